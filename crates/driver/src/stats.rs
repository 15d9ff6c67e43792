//! The counters of a driver, the sizes of its tables, the lines that report both in the log at intervals, and the checks of
//! invariants.

use std::cell::{Cell, RefCell};
use std::fmt::Write;
use std::fs;
use std::time::Duration;

use async_io::Timer;
use beaconshore::sizes::TableSizes;
use beaconshore_zones::planner::ZoneStatus;
use log::{info, warn};

use crate::Node;

/// Time between two reports in the log.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident = $text:literal),* $(,)?) => {
        /// An event that is counted.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Counter { $($(#[$doc])* $name),* }
        const NAMES: &[&str] = &[$($text),*];
    };
}

counters!(
    /// Connections of clients that were accepted.
    ConnectionsAccepted = "accepted",
    /// Requests accepted from clients.
    Requests = "requests",
    /// Requests answered with a member's result.
    Served = "served",
    /// Requests refused, with a time after which to retry.
    Refused = "refused",
    /// Requests answered with a failure.
    Failed = "failed",
    /// Requests whose client disconnected or cancelled before the answer.
    RequestsAbandoned = "hung_up",
    /// Statements that are not valid requests.
    BadRequests = "bad_requests",
    /// Client connections closed because of a violation of the protocol.
    ProtocolViolations = "bad_streams",
    /// Client connections rejected because the limit on descriptors was reached.
    ConnectionsRejected = "no_room",
    /// Client connections that the shutdown of the driver ended in the middle of a message or before their first one.
    ConnectionsCutByShutdown = "cut_short",
    /// Client connections that ended before any answer was sent on them.
    ConnectionsUnanswered = "unanswered",
    /// Requests answered without an attempt at any member.
    AnsweredWithoutAttempt = "untried",
    /// Attempts passed to the actors of members.
    Attempts = "attempts",
    /// Attempts that a member answered with an error.
    MemberErrors = "errors",
    /// Attempts that a member rejected because it has reached its limit.
    RejectedAsFull = "turned_away",
    /// Attempts that a member rejected because it is not the primary or is too far behind.
    RejectedByRoleOrLag = "misplaced",
    /// Attempts for which no connection could be opened.
    Unreachable = "unreachable",
    /// Attempts whose connection broke before the answer.
    Resets = "resets",
    /// Attempts without an answer in time.
    TimedOut = "timed_out",
    /// Attempts that were never sent: their time ran out first, or they were no longer wanted.
    Unsent = "unsent",
    /// Connections to members that the driver tried to open.
    MemberConnects = "connects",
    /// Times that an idle connection to a member was used again.
    MemberConnectionsReused = "reused",
    /// Probes of members started.
    Probes = "probes",
    /// Membership lists and updates taken in.
    ListUpdates = "lists",
    /// Calls to discovery that it answered.
    DiscoveryCalls = "watches",
    /// Calls to discovery that failed, and watches that ended.
    DiscoveryCallsFailed = "calls_failed",
    /// Datagrams sent to other drivers.
    DatagramsSent = "told",
    /// Datagrams from other drivers that were accepted.
    DatagramsReceived = "heard",
    /// Datagrams from other drivers that were dropped, and messages to them that found no room to wait.
    DatagramsDropped = "dropped",
    /// Bytes of datagrams sent, without IP and UDP headers.
    PeerBytesSent = "peer_bytes_sent",
    /// Bytes of datagrams received, without IP and UDP headers.
    PeerBytesReceived = "peer_bytes_received",
    /// Bytes sent to discovery.
    ListBytesSent = "list_bytes_sent",
    /// Bytes received from discovery.
    ListBytesReceived = "list_bytes_received",
    /// Times that an actor had to wait for a descriptor.
    DescriptorWaits = "short_of_descriptors",
    /// Times that a request had to wait for memory: a large one before it was read whole, a small one before it was accepted.
    MemoryWaits = "short_of_memory",
    /// Messages that were read without being kept for want of memory, so that their requests were not accepted.
    MessagesSkipped = "skipped",
    /// Stalls of the process.
    Stalls = "standstills",
    /// Times that a member was newly taken for a group's primary.
    PrimariesAccepted = "primaries",
    /// Times that a group's known primary turned out not to be one.
    PrimariesRevoked = "primaries_lost",
    /// Statements that a member is a primary that were not believed.
    PrimaryClaimsIgnored = "claims_ignored",
    /// Violated invariants.
    InvariantViolations = "breaches",
);

/// The counters of a driver, and the last recorded sizes of the decision module's tables and states of zones.
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
    /// Adds one to a counter.
    pub fn count(&self, counter: Counter) {
        self.add(counter, 1);
    }

    /// Adds a number to a counter.
    pub fn add(&self, counter: Counter, number: usize) {
        let cell = &self.counts[counter as usize];
        cell.set(cell.get() + number as u64);
    }

    /// The value of a counter.
    pub fn get(&self, counter: Counter) -> u64 {
        self.counts[counter as usize].get()
    }

    /// Checks an invariant. A violation panics in a debug build; a release build counts and logs it. `what` describes the
    /// invariant.
    pub fn check_invariant(&self, holds: bool, what: &str) {
        debug_assert!(holds, "broken invariant: {what}");
        if !holds {
            self.count(Counter::InvariantViolations);
            warn!("broken invariant: {what}");
        }
    }

    /// All counters that are not zero, in one line of `name=value` pairs.
    pub fn summary_line(&self) -> String {
        let mut line = String::new();
        for (name, count) in NAMES.iter().zip(&self.counts).filter(|(_, count)| count.get() > 0) {
            let _ = write!(line, "{}{name}={}", if line.is_empty() { "" } else { " " }, count.get());
        }
        line
    }

    /// Records the sizes of the decision module's tables.
    pub fn record_sizes(&self, sizes: TableSizes) {
        self.sizes.set(sizes);
    }

    /// Records the states of the zones; empty without planners.
    pub fn record_zones(&self, zones: Vec<ZoneStatus>) {
        self.zones.replace(zones);
    }

    /// The recorded states of the zones, one line each, in order of preference.
    pub fn zone_lines(&self) -> Vec<String> {
        self.zones.borrow().iter().map(ZoneStatus::to_string).collect()
    }
}

/// The sizes of the driver's tables and its use of memory and descriptors, in one line of `name=value` pairs.
pub fn usage_line(node: &Node) -> String {
    let TableSizes { members, groups, requests, sessions } = node.stats.sizes.get();
    let (clients, connections) = (node.descriptors.clients.in_use(), node.descriptors.members.in_use());
    let mut line = format!(
        "members={members} groups={groups} requests={requests} sessions={sessions} ids={} clients={clients} \
         member_connections={connections}",
        node.request_ids.len()
    );
    // Memory and descriptors are reported only where the system has a /proc file system.
    let resident = fs::read_to_string("/proc/self/status").ok().and_then(|status| {
        let kilobytes = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        kilobytes.trim().strip_suffix(" kB").map(str::to_string)
    });
    let descriptors = fs::read_dir("/proc/self/fd").ok().map(Iterator::count);
    resident.into_iter().for_each(|kilobytes| line += &format!(" memory_kb={kilobytes}"));
    // Reading the directory takes one descriptor itself.
    descriptors.into_iter().for_each(|count| line += &format!(" descriptors={}", count.saturating_sub(1)));
    line
}

/// Logs a report at intervals, unless no counter has changed since the last one.
pub async fn report(node: &Node) {
    let mut last_line = String::new();
    loop {
        Timer::after(REPORT_INTERVAL).await;
        let line = node.stats.summary_line();
        if line != last_line {
            info!("counts: {line}");
            info!("holds: {}", usage_line(node));
            node.meter.summary_line().into_iter().for_each(|line| info!("spent: {line}"));
            node.stats.zone_lines().iter().for_each(|line| info!("zones: {line}"));
            last_line = line;
        }
    }
}
