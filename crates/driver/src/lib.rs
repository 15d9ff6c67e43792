//! The driver: a router for replicated stores as a network service. Clients and members are connected over PostgreSQL's
//! protocol, discovery over HTTP, and other drivers over UDP datagrams. All routing decisions are made by
//! `beaconshore::Router`.
//!
//! Everything runs on one thread, as actors that communicate through mailboxes and share little besides: the counters, the
//! limits on descriptors and memory, and the clocks (see [`Node`]). There is one actor for each client connection, one for
//! each member, one for the membership list, one for the peers, and one for the decision module, the only one that follows a
//! request from its arrival to its answer.

pub mod budget;
pub mod buffer;
pub mod byte_pool;
pub mod cli;
pub mod client;
pub mod clock;
pub mod config;
pub mod control;
pub mod decision;
pub mod descriptors;
pub mod discovery;
pub mod http;
pub mod ids;
pub mod member;
pub mod membership;
pub mod meter;
pub mod peers;
pub mod permit_pool;
pub mod pg;
pub mod shutdown;
pub mod signals;
pub mod skew;
pub mod stall;
pub mod stats;

use std::cell::Cell;
use std::future::Future;
use std::net::{SocketAddr, TcpListener};
use std::pin::pin;
use std::rc::{Rc, Weak};

use async_channel::Sender;
use async_executor::{LocalExecutor, Task};
use async_io::Async;
use beaconshore::interface::Micros;
use beaconshore_settings::RouterSettings;
use beaconshore_steering::PlannerPolicies;
use futures_lite::{Stream, StreamExt};
use log::{info, warn};

pub use config::Config;
pub use control::ControlPlane;

use budget::MemoryBudget;
use clock::Clock;
use decision::{DecisionHandle, DecisionMessage};
use descriptors::Descriptors;
use ids::RequestIds;
use member::SocketTransport;
use meter::Meter;
use permit_pool::{Permit, PermitPool};
use skew::ClockSkew;
use stall::StallDetector;
use stats::{Counter, Stats};

/// Number of connections that may be queued to be accepted. The system may limit it further.
const LISTEN_BACKLOG: i32 = 4096;

/// State shared by all actors of one driver.
pub struct Node {
    /// Owned by the control plane: when that is dropped, all actors end.
    executor: Weak<LocalExecutor<'static>>,
    clock: Clock,
    settings: RouterSettings,
    descriptors: Descriptors,
    memory_budget: MemoryBudget,
    request_ids: RequestIds,
    clock_skew: ClockSkew,
    stats: Stats,
    meter: Meter,
    stall_detector: StallDetector,
    /// Id of the request that was accepted last. Ids are consecutive numbers.
    last_request_id: Cell<u64>,
    /// Number of lists and updates that the decision module has taken in. A member's actor compares it to see whether a
    /// decision was made before the latest one.
    lists_applied: Cell<u64>,
}

impl Node {
    /// Waits for a permit to open or accept a connection, and counts if none is available at once.
    async fn acquire_permit(&self, pool: &PermitPool) -> Permit {
        match pool.try_acquire() {
            Some(permit) => permit,
            None => {
                self.stats.count(Counter::DescriptorWaits);
                pool.acquire().await
            }
        }
    }

    /// Starts an actor, which runs until it returns or the driver ends.
    pub fn spawn(&self, actor: impl Future<Output = ()> + 'static) {
        self.spawn_cancellable(actor).into_iter().for_each(Task::detach);
    }

    /// Starts a task that can be cancelled; `None` while the driver is being dropped.
    fn spawn_cancellable(&self, task: impl Future<Output = ()> + 'static) -> Option<Task<()>> {
        self.executor.upgrade().map(|executor| executor.spawn(task))
    }

    fn new(config: &Config, executor: Weak<LocalExecutor<'static>>) -> Node {
        Node {
            executor,
            clock: Clock::start(),
            settings: config.settings.clone(),
            descriptors: Descriptors::divide(config.limits.sockets),
            memory_budget: MemoryBudget::divide(config.limits.memory_mb),
            request_ids: RequestIds::default(),
            clock_skew: ClockSkew::default(),
            stats: Stats::default(),
            meter: Meter::new(config.accounting),
            stall_detector: StallDetector::default(),
            last_request_id: Cell::new(0),
            lists_applied: Cell::new(0),
        }
    }

    /// The current time of this driver's clock.
    pub fn now(&self) -> Micros {
        self.clock.now()
    }

    /// The counters of this driver.
    pub fn stats(&self) -> &Stats {
        &self.stats
    }

    /// The processor time of this driver by kind of work.
    pub fn meter(&self) -> &Meter {
        &self.meter
    }
}

/// Serves until `stop` completes and every accepted request is answered. Each configuration that `reloads` yields replaces
/// the previous one, except for the parts that only a restart can change. Returns an error if an address cannot be bound.
pub fn run(
    config: Config,
    stop: impl Future<Output = ()> + 'static,
    reloads: impl Stream<Item = Config> + 'static,
) -> Result<(), String> {
    let bind_error = |what: &'static str| move |e: std::io::Error| format!("{what}: {e}");
    let listener = TcpListener::bind(config.listen).map_err(bind_error("listening for clients"))?;
    // The default backlog would overflow when hundreds of clients connect at once; a client whose connection attempt is
    // dropped retries only after a second.
    rustix::net::listen(&listener, LISTEN_BACKLOG)
        .map_err(|e| bind_error("listening for clients")(e.into()))?;
    let listener = Async::new(listener).map_err(bind_error("listening for clients"))?;
    info!(
        "{} listens at {}; the last known list has {} members",
        config.name,
        config.listen,
        config.known.instances.len()
    );

    let control = ControlPlane::start(config, Rc::new(SocketTransport), reloads)?;
    let (node, handle) = (control.node().clone(), control.decision().clone());
    let (clients, emptied) = client::Clients::new(node.clone(), handle);
    node.spawn({
        let node = node.clone();
        async move { stats::report(&node).await }
    });
    let serve = shutdown::serve(node.clone(), listener, clients, emptied, stop);
    async_io::block_on(control.executor().run(serve));
    info!("counts: {}", node.stats.summary_line());
    info!("holds: {}", stats::usage_line(&node));
    node.meter.summary_line().into_iter().for_each(|line| info!("spent: {line}"));
    Ok(())
}

/// Applies new configurations: a new address of discovery, and new routes. Other changes are logged as needing a restart.
async fn reload(
    mut config: Config,
    reloads: impl Stream<Item = Config>,
    discovery_addresses: Sender<SocketAddr>,
    decision: DecisionHandle,
) {
    let mut reloads = pin!(reloads);
    while let Some(new) = reloads.next().await {
        info!("configuration reloaded, discovery at {}", new.discovery);
        let changes = config.needs_restart(&new);
        if !changes.is_empty() {
            warn!("only a new start changes: {}; restart the driver to apply them", changes.join(", "));
        }
        if new.discovery != config.discovery {
            config.discovery = new.discovery;
            let _ = discovery_addresses.send(new.discovery).await;
        }
        if let Some(reason) = &new.operator_error {
            warn!("{reason}; the one in force stays until a valid file is loaded");
        } else if new.plans.routes != config.plans.routes {
            let count = new.plans.routes.as_ref().map_or(0, |r| r.routes.len());
            info!("routes read again: {count} of them; requests already accepted keep their routes");
            config.plans = PlannerPolicies { zones: config.plans.zones, ..new.plans.clone() };
            decision.send(DecisionMessage::ReplaceRoutes(new.plans.routes));
        }
    }
}
