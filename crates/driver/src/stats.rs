//! Counters, what the driver holds, the regular lines in the log, and the checks of what must hold.

use std::cell::{Cell, RefCell};
use std::fmt::Write;
use std::fs;
use std::time::Duration;

use async_io::Timer;
use beaconshore::sizes::TableSizes;
use beaconshore_zones::planner::ZoneStatus;
use log::{info, warn};

use crate::Node;

/// Pause between two lines.
const PERIOD: Duration = Duration::from_secs(10);

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident = $text:literal),* $(,)?) => {
        /// What is counted.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Counter { $($(#[$doc])* $name),* }
        const NAMES: &[&str] = &[$($text),*];
    };
}

counters!(
    /// Connections of clients.
    Accepted = "accepted",
    /// Requests taken.
    Requests = "requests",
    /// Requests answered with what a member gave.
    Served = "served",
    /// Requests refused.
    Refused = "refused",
    /// Requests failed.
    Failed = "failed",
    /// Requests whose client left first.
    HungUp = "hung_up",
    /// Statements that were not in the clients' form.
    BadRequests = "bad_requests",
    /// Clients' connections whose stream could not be followed.
    BadStreams = "bad_streams",
    /// Connections told that there is no room for them.
    NoRoom = "no_room",
    /// Connections ended by the driver's end in the middle of a message, or before any.
    CutShort = "cut_short",
    /// Connections that ended before anything was answered on them.
    Unanswered = "unanswered",
    /// Requests answered without any attempt at a member.
    Untried = "untried",
    /// Attempts decided.
    Attempts = "attempts",
    /// Attempts that a member answered with an error.
    Errors = "errors",
    /// Attempts that a member turned away as full.
    TurnedAway = "turned_away",
    /// Attempts that a member turned away as no primary, or as too far behind.
    Misplaced = "misplaced",
    /// Attempts that got no connection.
    Unreachable = "unreachable",
    /// Attempts whose connection broke.
    Resets = "resets",
    /// Attempts without an answer in time.
    TimedOut = "timed_out",
    /// Attempts never sent, since they had to wait for too long.
    Unsent = "unsent",
    /// Connections to members opened.
    Connects = "connects",
    /// Connections to members used again.
    Reused = "reused",
    /// Probes sent.
    Probes = "probes",
    /// Lists and changes of the list.
    Lists = "lists",
    /// Calls of discovery that it answered.
    Watches = "watches",
    /// Calls of discovery that brought nothing, and watches that ended.
    CallsFailed = "calls_failed",
    /// Datagrams sent.
    Told = "told",
    /// Datagrams taken.
    Heard = "heard",
    /// Datagrams passed over.
    Dropped = "dropped",
    /// Bytes of datagrams sent, without their headers.
    PeerBytesSent = "peer_bytes_sent",
    /// Bytes of datagrams that came, without their headers.
    PeerBytesReceived = "peer_bytes_received",
    /// Bytes sent to discovery.
    ListBytesSent = "list_bytes_sent",
    /// Bytes that came from discovery.
    ListBytesReceived = "list_bytes_received",
    /// Times that somebody had to wait for a descriptor.
    Short = "short_of_descriptors",
    /// Times that the driver stood still.
    Standstills = "standstills",
    /// Broken invariants.
    Breaches = "breaches",
);

/// The driver's counters, how zones stand, and the sizes of the decision module's tables as last noted.
#[derive(Debug)]
pub struct Stats {
    counts: [Cell<u64>; NAMES.len()],
    sizes: Cell<TableSizes>,
    zones: RefCell<Vec<ZoneStatus>>,
}

impl Default for Stats {
    fn default() -> Self {
        Stats {
            counts: std::array::from_fn(|_| Cell::new(0)),
            sizes: Cell::default(),
            zones: RefCell::default(),
        }
    }
}

impl Stats {
    /// Counts one.
    pub fn count(&self, counter: Counter) {
        self.add(counter, 1);
    }

    /// Counts so many.
    pub fn add(&self, counter: Counter, many: usize) {
        let cell = &self.counts[counter as usize];
        cell.set(cell.get() + many as u64);
    }

    /// How many were counted.
    pub fn of(&self, counter: Counter) -> u64 {
        self.counts[counter as usize].get()
    }

    /// Checks what must hold: a breach ends a debug build, and is counted and logged by a release build.
    pub fn check(&self, holds: bool, what: &str) {
        debug_assert!(holds, "broken invariant: {what}");
        if !holds {
            self.count(Counter::Breaches);
            warn!("broken invariant: {what}");
        }
    }

    /// All counters that are not zero, in one line.
    pub fn line(&self) -> String {
        let mut line = String::new();
        for (name, count) in NAMES.iter().zip(&self.counts).filter(|(_, count)| count.get() > 0) {
            let _ = write!(line, "{}{name}={}", if line.is_empty() { "" } else { " " }, count.get());
        }
        line
    }

    /// Notes the sizes of the decision module's tables.
    pub fn note(&self, sizes: TableSizes) {
        self.sizes.set(sizes);
    }

    /// Notes how zones stand; none without planners.
    pub fn note_zones(&self, zones: Vec<ZoneStatus>) {
        self.zones.replace(zones);
    }

    /// How zones stand, a line for each, by preference.
    pub fn zones(&self) -> Vec<String> {
        self.zones.borrow().iter().map(ZoneStatus::to_string).collect()
    }
}

/// What the driver holds, in one line.
pub fn holdings(node: &Node) -> String {
    let TableSizes { members, groups, requests, sessions } = node.stats.sizes.get();
    let (clients, connections) = (node.descriptors.clients.taken(), node.descriptors.members.taken());
    let mut line = format!(
        "members={members} groups={groups} requests={requests} sessions={sessions} ids={} clients={clients} \
         member_connections={connections}",
        node.ids.len()
    );
    // Told by the system, where it does.
    let resident = fs::read_to_string("/proc/self/status").ok().and_then(|status| {
        let kilobytes = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        kilobytes.trim().strip_suffix(" kB").map(str::to_string)
    });
    let descriptors = fs::read_dir("/proc/self/fd").ok().map(Iterator::count);
    resident.into_iter().for_each(|kilobytes| line += &format!(" memory_kb={kilobytes}"));
    // One of them is the look itself.
    descriptors.into_iter().for_each(|count| line += &format!(" descriptors={}", count.saturating_sub(1)));
    line
}

/// Writes both lines now and then, as long as the counters change.
pub async fn report(node: &Node) {
    let mut last = String::new();
    loop {
        Timer::after(PERIOD).await;
        let line = node.stats.line();
        if line != last {
            info!("counts: {line}");
            info!("holds: {}", holdings(node));
            node.meter.line().into_iter().for_each(|line| info!("spent: {line}"));
            node.stats.zones().iter().for_each(|line| info!("zones: {line}"));
            last = line;
        }
    }
}
