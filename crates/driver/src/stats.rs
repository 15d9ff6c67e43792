//! Counters, the regular line in the log, and the checks of what must hold.

use std::cell::Cell;
use std::fmt::Write;
use std::time::Duration;

use async_io::Timer;
use log::{info, warn};

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
    /// Datagrams sent.
    Told = "told",
    /// Datagrams taken.
    Heard = "heard",
    /// Datagrams passed over.
    Dropped = "dropped",
    /// Times that somebody had to wait for a descriptor.
    Short = "short_of_descriptors",
    /// Times that the driver stood still.
    Standstills = "standstills",
    /// Broken invariants.
    Breaches = "breaches",
);

/// The driver's counters.
#[derive(Debug, Default)]
pub struct Stats {
    counts: [Cell<u64>; NAMES.len()],
}

impl Stats {
    /// Counts one.
    pub fn count(&self, counter: Counter) {
        let cell = &self.counts[counter as usize];
        cell.set(cell.get() + 1);
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

    /// Writes the line now and then, as long as it changes.
    pub async fn report(&self) {
        let mut last = String::new();
        loop {
            Timer::after(PERIOD).await;
            let line = self.line();
            if line != last {
                info!("counts: {line}");
                last = line;
            }
        }
    }
}
