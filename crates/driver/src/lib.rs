//! A router for replicated stores on sockets: clients and members speak PostgreSQL's protocol, discovery
//! HTTP, other drivers datagrams. All that is decided is decided by `beaconshore::Router`.
//!
//! Everything runs on one thread, as actors that share nothing but their mailboxes, the counters and the
//! places for descriptors: one for each client's connection, for each member, for the list, for the peers, and
//! for the module, which alone sees a request's whole life.

pub mod budget;
pub mod buffer;
pub mod cli;
pub mod client;
pub mod clock;
pub mod config;
pub mod control;
pub mod descriptors;
pub mod discovery;
pub mod http;
pub mod ids;
pub mod listing;
pub mod member;
pub mod meter;
pub mod module;
pub mod peers;
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
use beaconshore_settings::Site;
use beaconshore_steering::Plans;
use futures_lite::{Stream, StreamExt};
use log::{info, warn};

pub use config::Config;
pub use control::Control;

use budget::Budget;
use clock::Clock;
use descriptors::{Descriptors, Permit, Places};
use ids::Ids;
use member::SocketTransport;
use meter::Meter;
use module::{Mail, ModuleHandle};
use skew::Skew;
use stall::StallDetector;
use stats::{Counter, Stats};

/// Connections that may wait to be accepted; the system may hold fewer.
const BACKLOG: i32 = 4096;

/// What all actors of one driver have in common.
pub struct Node {
    /// Owned by the control plane: its end is theirs.
    executor: Weak<LocalExecutor<'static>>,
    clock: Clock,
    site: Site,
    descriptors: Descriptors,
    budget: Budget,
    ids: Ids,
    skew: Skew,
    stats: Stats,
    meter: Meter,
    stalls: StallDetector,
    requests: Cell<u64>,
    /// Lists and changes that the module took in: who acts on a decision can tell whether it is older than one.
    lists: Cell<u64>,
}

impl Node {
    /// Waits for a place for a connection.
    async fn place(&self, places: &Places) -> Permit {
        match places.try_take() {
            Some(place) => place,
            None => {
                self.stats.count(Counter::Short);
                places.take().await
            }
        }
    }

    /// Starts an actor that ends by itself, or with the driver.
    pub fn spawn(&self, actor: impl Future<Output = ()> + 'static) {
        self.start(actor).into_iter().for_each(Task::detach);
    }

    /// Starts a task; none while the driver is being dropped.
    fn start(&self, task: impl Future<Output = ()> + 'static) -> Option<Task<()>> {
        self.executor.upgrade().map(|executor| executor.spawn(task))
    }

    fn new(config: &Config, executor: Weak<LocalExecutor<'static>>) -> Node {
        Node {
            executor,
            clock: Clock::start(),
            site: config.settings.clone(),
            descriptors: Descriptors::divide(config.limits.sockets),
            budget: Budget::divide(config.limits.memory_mb),
            ids: Ids::default(),
            skew: Skew::default(),
            stats: Stats::default(),
            meter: Meter::new(config.accounting),
            stalls: StallDetector::default(),
            requests: Cell::new(0),
            lists: Cell::new(0),
        }
    }

    /// The present, on this driver's clock.
    pub fn now(&self) -> Micros {
        self.clock.now()
    }

    /// Its counters.
    pub fn stats(&self) -> &Stats {
        &self.stats
    }

    /// Its processor time by kind of work.
    pub fn meter(&self) -> &Meter {
        &self.meter
    }
}

/// Serves until `stop` is ready and all that was taken is answered. Each configuration that `reloads` yields takes
/// the place of the one before, as far as that needs no new start.
pub fn run(
    config: Config,
    stop: impl Future<Output = ()> + 'static,
    reloads: impl Stream<Item = Config> + 'static,
) -> Result<(), String> {
    let bound = |what: &'static str| move |e: std::io::Error| format!("{what}: {e}");
    let listener = TcpListener::bind(config.listen).map_err(bound("listening for clients"))?;
    // Clients that come by the hundred are not to keep out others: one that finds no room tries again after a second.
    rustix::net::listen(&listener, BACKLOG).map_err(|e| bound("listening for clients")(e.into()))?;
    let listener = Async::new(listener).map_err(bound("listening for clients"))?;
    info!("{} listens at {}, {} members known", config.name, config.listen, config.known.instances.len());

    let control = Control::start(config, Rc::new(SocketTransport), reloads)?;
    let (node, handle) = (control.node().clone(), control.module().clone());
    let (clients, emptied) = client::Clients::new(node.clone(), handle);
    node.spawn({
        let node = node.clone();
        async move { stats::report(&node).await }
    });
    let serve = shutdown::serve(node.clone(), listener, clients, emptied, stop);
    async_io::block_on(control.executor().run(serve));
    info!("counts: {}", node.stats.line());
    info!("holds: {}", stats::holdings(&node));
    node.meter.line().into_iter().for_each(|line| info!("spent: {line}"));
    Ok(())
}

/// Applies new configurations: the address of discovery, at which the list is fetched anew. What else has changed
/// is named as needing a new start.
async fn reload(
    mut config: Config,
    reloads: impl Stream<Item = Config>,
    moves: Sender<SocketAddr>,
    module: ModuleHandle,
) {
    let mut reloads = pin!(reloads);
    while let Some(new) = reloads.next().await {
        info!("configuration read again, discovery at {}", new.discovery);
        let changes = config.needs_restart(&new);
        if !changes.is_empty() {
            warn!("only a new start changes: {}", changes.join(", "));
        }
        if new.discovery != config.discovery {
            config.discovery = new.discovery;
            let _ = moves.send(new.discovery).await;
        }
        if let Some(reason) = &new.refused {
            warn!("{reason}; the one in force stays");
        } else if new.plans.routes != config.plans.routes {
            let count = new.plans.routes.as_ref().map_or(0, |r| r.routes.len());
            info!("routes read again: {count} of them; requests that were taken go on by the old ones");
            config.plans = Plans { zones: config.plans.zones, ..new.plans.clone() };
            module.send(Mail::Routes(new.plans.routes));
        }
    }
}
