//! Keeps the membership list up to date from discovery: fetches the full list at intervals, and watches for changes from its
//! version on. A watch that breaks is reopened after a pause.
//!
//! Owns the calls to discovery, and passes every list to the decision actor unchanged; it decides nothing about members.
//! Which calls are made when, and which list is applied, is decided by [`list_sync`], without I/O.

pub mod call_timing;
pub mod list_sync;
mod response;
pub mod update_decoder;

use std::fmt;
use std::future::Future;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::Receiver;
use async_io::Timer;
use futures_lite::future;
use log::{info, warn};

use crate::decision::DecisionHandle;
use crate::http;
use crate::membership::MembershipUpdate;
use crate::meter::Work;
use crate::stats::Counter;
use crate::Node;

use call_timing::CallTiming;
use list_sync::{Action, FullListVerdict, ListSync};
use response::DiscoveryResponse;

/// Why a call for the full list failed or a watch ended.
#[derive(Debug)]
enum CallError {
    Io(std::io::Error),
    Silent,
    Closed,
    Status(u16),
    Http(http::ResponseError),
    Json(serde_json::Error),
    TooLong,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            CallError::Io(e) => write!(f, "{e}"),
            CallError::Silent => f.write_str("nothing was received in time"),
            CallError::Closed => f.write_str("discovery ended the response or closed the connection"),
            CallError::Status(status) => write!(f, "HTTP status {status}"),
            CallError::Http(broken) => write!(f, "{broken}"),
            CallError::Json(e) => write!(f, "the membership list can't be parsed: {e}"),
            CallError::TooLong => f.write_str("the membership list exceeds its size limit"),
        }
    }
}

/// Keeps the membership list up to date for as long as the driver runs: first from `address`, later from each address that
/// arrives on `addresses`. A new address takes over once it has delivered its full list; until then the previous one is used.
pub async fn run(
    node: Rc<Node>,
    address: SocketAddr,
    addresses: Receiver<SocketAddr>,
    decision: DecisionHandle,
) {
    let (mut address, mut version) = (address, None);
    loop {
        // The first future is polled first: once the new address has delivered its list, no update of the old watch counts.
        let moved = await_new_address(&node, &addresses);
        let (next, update) = future::or(moved, sync_with(&node, address, version, &decision)).await;
        info!("discovery address changed: the membership list now comes from {next}");
        (address, version) = (next, Some(update.generation));
        decision.send_list(update).await;
    }
}

/// Waits until a new discovery address has delivered its full list, and returns both. If further addresses arrive
/// meanwhile, the newest one counts.
async fn await_new_address(
    node: &Rc<Node>,
    addresses: &Receiver<SocketAddr>,
) -> (SocketAddr, MembershipUpdate) {
    let next_address = || async {
        match addresses.recv().await {
            Ok(address) => address,
            Err(_) => future::pending().await,
        }
    };
    let mut address = next_address().await;
    loop {
        let newer = async { Err(next_address().await) };
        let fetched = async { Ok(fetch_until_received(node, address).await) };
        match future::or(newer, fetched).await {
            Ok(update) => return (address, update),
            Err(newer) => address = newer,
        }
    }
}

/// Fetches the full list from an address, repeating the call until it succeeds.
async fn fetch_until_received(node: &Rc<Node>, address: SocketAddr) -> MembershipUpdate {
    let mut calls = CallState::new(node, address);
    loop {
        match fetch_list(node, address, calls.timing.timeout).await {
            Ok((update, _)) => return update,
            Err(error) => {
                calls.failed(&error);
                Timer::after(calls.timing.next_pause()).await;
            }
        }
    }
}

/// Keeps the list up to date from one address. Never returns; the result type is that of [`await_new_address`], which runs
/// at the same time.
async fn sync_with(
    node: &Rc<Node>,
    address: SocketAddr,
    version: Option<u64>,
    decision: &DecisionHandle,
) -> (SocketAddr, MembershipUpdate) {
    let mut calls = CallState::new(node, address);
    let mut list_sync = ListSync::new(calls.timing, version, Instant::now());
    let (mut full_list, mut watch) = (None, Watch::Closed);
    loop {
        while let Some(action) = list_sync.next_action(Instant::now()) {
            match action {
                Action::FetchList => {
                    full_list = Some(Box::pin(fetch_list(node, address, calls.timing.timeout)))
                }
                Action::OpenWatch(from) => {
                    watch = Watch::Opening(Box::pin(open_watch(node, address, from, calls.timing.timeout)))
                }
                Action::CloseWatch => watch = Watch::Closed,
            }
        }
        let fetched = async {
            match &mut full_list {
                Some(call) => CallEvent::FullList(call.as_mut().await),
                None => future::pending().await,
            }
        };
        let due = async {
            match list_sync.due() {
                Some(at) => drop(Timer::at(at).await),
                None => future::pending().await,
            }
            CallEvent::Due
        };
        // Dropping the futures that are not ready loses no bytes: what they have read stays in their buffers.
        match future::or(fetched, future::or(watch.next_event(), due)).await {
            CallEvent::Due => {}
            CallEvent::FullList(Ok((update, digest))) => {
                full_list = None;
                calls.answered();
                if list_sync.on_full_list(update.generation, digest, Instant::now()) == FullListVerdict::Apply
                {
                    decision.send_list(update).await;
                }
            }
            CallEvent::FullList(Err(error)) => {
                full_list = None;
                calls.failed(&error);
                list_sync.on_full_list_failure(Instant::now());
            }
            CallEvent::Opened(response) => watch = Watch::Open(response),
            CallEvent::Update(None) => calls.answered(),
            CallEvent::Update(Some(update)) => {
                calls.answered();
                list_sync.on_update(update.generation);
                decision.send_list(update).await;
            }
            CallEvent::Ended(error) => {
                watch = Watch::Closed;
                calls.failed(&error);
                list_sync.on_watch_end(Instant::now());
            }
        }
    }
}

/// An event that the loop of [`sync_with`] waits for.
enum CallEvent {
    FullList(Result<(MembershipUpdate, u64), CallError>),
    Opened(Box<DiscoveryResponse>),
    Update(Option<MembershipUpdate>),
    Ended(CallError),
    Due,
}

/// State of the watch.
enum Watch<F> {
    Closed,
    Opening(Pin<Box<F>>),
    Open(Box<DiscoveryResponse>),
}

impl<F: Future<Output = Result<DiscoveryResponse, CallError>>> Watch<F> {
    /// Waits until the watch is open, or for its next message, or for its end.
    async fn next_event(&mut self) -> CallEvent {
        match self {
            Watch::Closed => future::pending().await,
            Watch::Opening(call) => match call.as_mut().await {
                Ok(response) => CallEvent::Opened(Box::new(response)),
                Err(error) => CallEvent::Ended(error),
            },
            Watch::Open(response) => match response.next_update().await {
                Ok(update) => CallEvent::Update(update),
                Err(error) => CallEvent::Ended(error),
            },
        }
    }
}

/// Fetches the full list, and returns it with a digest of its text.
async fn fetch_list(
    node: &Rc<Node>,
    address: SocketAddr,
    call_timeout: Duration,
) -> Result<(MembershipUpdate, u64), CallError> {
    let response = DiscoveryResponse::open(node, address, "/v1/endpoints", call_timeout).await?;
    node.stats.count(Counter::DiscoveryCalls);
    let text = response.read_body().await?;
    let mut digest = DefaultHasher::new();
    text.hash(&mut digest);
    let update = node.meter.measure(Work::List, || serde_json::from_slice(&text)).map_err(CallError::Json)?;
    Ok((update, digest.finish()))
}

/// Opens a watch for the changes after a version.
async fn open_watch(
    node: &Rc<Node>,
    address: SocketAddr,
    from: u64,
    call_timeout: Duration,
) -> Result<DiscoveryResponse, CallError> {
    let response =
        DiscoveryResponse::open(node, address, &format!("/v1/endpoints?watch=1&from={from}"), call_timeout)
            .await?;
    node.stats.count(Counter::DiscoveryCalls);
    Ok(response)
}

/// Time limits of the calls to one address, and whether its failure has been logged.
struct CallState<'n> {
    node: &'n Rc<Node>,
    address: SocketAddr,
    timing: CallTiming,
    is_down: bool,
}

impl<'n> CallState<'n> {
    fn new(node: &'n Rc<Node>, address: SocketAddr) -> Self {
        CallState {
            node,
            address,
            timing: CallTiming::for_drain_grace(node.settings.protocol.drain_grace),
            is_down: false,
        }
    }

    /// Records that discovery sent something that can be parsed.
    fn answered(&mut self) {
        if std::mem::take(&mut self.is_down) {
            info!("discovery at {} is back: it answers calls again", self.address);
        }
    }

    /// Records a failed call. Only the first failure in a row is logged.
    fn failed(&mut self, error: &CallError) {
        self.node.stats.count(Counter::DiscoveryCallsFailed);
        if !std::mem::replace(&mut self.is_down, true) {
            warn!(
                "discovery at {} is lost, the last known list stays in use and calls are repeated: {error}",
                self.address
            );
        }
    }
}
