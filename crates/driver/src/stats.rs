//! Counters, the regular line in the log, and the checks of what must hold.

use std::cell::Cell;
use std::fmt::Write;
use std::time::Duration;

use async_io::Timer;
use log::{info, warn};

/// Pause between two lines.
const PERIOD: Duration = Duration::from_secs(10);

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {
        /// What is counted.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        #[allow(missing_docs)]
        pub enum Counter { $($(#[$doc])* $name),* }
        const NAMES: &[&str] = &[$(stringify!($name)),*];
    };
}

counters!(
    Accepted,
    Requests,
    Served,
    Refused,
    Failed,
    HungUp,
    BadRequests,
    BadStreams,
    Attempts,
    Connects,
    Reused,
    Probes,
    Withdrawn,
    Lists,
    Watches,
    Told,
    Heard,
    Dropped,
    Short,
    Breaches,
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

    /// How many were counted.
    pub fn get(&self, counter: Counter) -> u64 {
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
