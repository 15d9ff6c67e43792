//! Keeps the membership list in step with discovery at one address: makes the calls that [`ListSync`] asks for, and returns
//! the lists and updates that are to be applied.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use async_io::Timer;
use futures_lite::future;
use log::{info, warn};

use super::call_timing::CallTiming;
use super::list_sync::{Action, FullListVerdict, ListSync};
use super::pending_calls::PendingCalls;
use super::response::DiscoveryResponse;
use super::running_calls::CallId;
use super::CallError;
use crate::membership::MembershipUpdate;
use crate::meter::Work;
use crate::stats::Counter;
use crate::Node;

/// A full list, and a digest of its text.
struct FullList {
    update: MembershipUpdate,
    digest: u64,
}

/// An event that [`AddressSync::next_update`] waits for.
enum CallEvent {
    FullList(CallId, Result<FullList, CallError>),
    WatchOpened(CallId, Result<DiscoveryResponse, CallError>),
    Update(Option<MembershipUpdate>),
    WatchEnded(CallError),
    Due,
}

/// The calls to discovery at one address.
pub struct AddressSync {
    node: Rc<Node>,
    address: SocketAddr,
    list_sync: ListSync,
    list_calls: PendingCalls<FullList>,
    watch_calls: PendingCalls<DiscoveryResponse>,
    watch: Option<DiscoveryResponse>,
    /// Whether it has been logged that discovery does not answer.
    is_lost: bool,
}

impl AddressSync {
    /// Starts with a call for the full list.
    pub fn new(node: &Rc<Node>, address: SocketAddr) -> Self {
        let timing = CallTiming::for_drain_grace(node.settings.protocol.drain_grace);
        AddressSync {
            node: node.clone(),
            address,
            list_sync: ListSync::new(timing, Instant::now()),
            list_calls: PendingCalls::new(),
            watch_calls: PendingCalls::new(),
            watch: None,
            is_lost: false,
        }
    }

    /// The address that is called.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Has the full list fetched now.
    pub fn fetch_now(&mut self) {
        self.list_sync.fetch_now(Instant::now());
    }

    /// Waits for the next list or update that is to be applied. Loses nothing if it is dropped before that.
    pub async fn next_update(&mut self) -> MembershipUpdate {
        loop {
            self.take_actions();
            let event = self.next_event().await;
            if let Some(update) = self.handle(event) {
                return update;
            }
        }
    }

    /// Makes and abandons calls as the schedule asks.
    fn take_actions(&mut self) {
        while let Some(action) = self.list_sync.next_action(Instant::now()) {
            match action {
                Action::FetchList(call) => {
                    self.list_calls.insert(call, fetch_list(self.node.clone(), self.address));
                }
                Action::OpenWatch(call, from) => {
                    self.watch_calls.insert(call, open_watch(self.node.clone(), self.address, from));
                }
                Action::Abandon(call) => self.abandon(call),
                Action::CloseWatch => {
                    self.watch_calls.clear();
                    self.watch = None;
                }
            }
        }
        if self.list_sync.is_unanswered() {
            self.log_lost(&CallError::Silent);
        }
    }

    fn abandon(&mut self, call: CallId) {
        if self.list_calls.abandon(call) || self.watch_calls.abandon(call) {
            self.node.stats.count(Counter::DiscoveryCallsFailed);
        }
    }

    /// Dropping the futures that are not ready loses no bytes: what they have read stays in their buffers.
    async fn next_event(&mut self) -> CallEvent {
        let due = self.list_sync.due();
        let AddressSync { list_calls, watch_calls, watch, .. } = self;
        let full_list = async {
            let (call, result) = list_calls.next().await;
            CallEvent::FullList(call, result)
        };
        let opened = async {
            let (call, result) = watch_calls.next().await;
            CallEvent::WatchOpened(call, result)
        };
        let update = async {
            match watch {
                Some(response) => {
                    response.next_update().await.map_or_else(CallEvent::WatchEnded, CallEvent::Update)
                }
                None => future::pending().await,
            }
        };
        let due = async {
            Timer::at(due).await;
            CallEvent::Due
        };
        future::or(future::or(full_list, opened), future::or(update, due)).await
    }

    /// Records what has happened. Returns a list or update that is to be applied.
    fn handle(&mut self, event: CallEvent) -> Option<MembershipUpdate> {
        match event {
            CallEvent::Due => {}
            CallEvent::FullList(call, Ok(list)) => {
                self.log_back();
                let verdict =
                    self.list_sync.on_full_list(call, list.update.generation, list.digest, Instant::now());
                return (verdict == FullListVerdict::Apply).then_some(list.update);
            }
            CallEvent::FullList(call, Err(error)) => {
                self.count_failure(&error);
                self.list_sync.on_full_list_failure(call, Instant::now());
            }
            CallEvent::WatchOpened(call, Ok(response)) => {
                if self.list_sync.on_watch_opened(call, Instant::now()) {
                    self.watch = Some(response);
                }
            }
            CallEvent::WatchOpened(call, Err(error)) => {
                self.count_failure(&error);
                self.list_sync.on_watch_failure(call, Instant::now());
            }
            CallEvent::Update(update) => {
                self.log_back();
                if let Some(update) = &update {
                    self.list_sync.on_update(update.generation);
                }
                return update;
            }
            CallEvent::WatchEnded(error) => {
                self.watch = None;
                self.count_failure(&error);
                self.list_sync.on_watch_end(Instant::now());
            }
        }
        None
    }

    fn count_failure(&mut self, error: &CallError) {
        self.node.stats.count(Counter::DiscoveryCallsFailed);
        self.log_lost(error);
    }

    /// Logs that discovery sent something that can be parsed, if it had been lost.
    fn log_back(&mut self) {
        if std::mem::take(&mut self.is_lost) {
            info!("discovery at {} is back: it answers calls again", self.address);
        }
    }

    /// Logs that discovery does not answer. Only the first failure in a row is logged.
    fn log_lost(&mut self, error: &CallError) {
        if !std::mem::replace(&mut self.is_lost, true) {
            warn!(
                "discovery at {} is lost, the last known list stays in use and calls are repeated: {error}",
                self.address
            );
        }
    }
}

/// Fetches the full list.
async fn fetch_list(node: Rc<Node>, address: SocketAddr) -> Result<FullList, CallError> {
    let response = DiscoveryResponse::open(&node, address, "/v1/endpoints").await?;
    node.stats.count(Counter::DiscoveryCalls);
    let text = response.read_body().await?;
    let mut digest = DefaultHasher::new();
    text.hash(&mut digest);
    let update = node.meter.measure(Work::List, || serde_json::from_slice(&text)).map_err(CallError::Json)?;
    Ok(FullList { update, digest: digest.finish() })
}

/// Opens a watch for the changes after a version.
async fn open_watch(node: Rc<Node>, address: SocketAddr, from: u64) -> Result<DiscoveryResponse, CallError> {
    let target = format!("/v1/endpoints?watch=1&from={from}");
    let response = DiscoveryResponse::open(&node, address, &target).await?;
    node.stats.count(Counter::DiscoveryCalls);
    Ok(response)
}
