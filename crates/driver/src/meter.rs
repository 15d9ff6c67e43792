//! Processor time by kind of work, read from the thread's clock around the code that does it.
//!
//! Owns the sums. Off unless the operator's file asks for it: then it costs two calls of the system for each piece of work.

use std::cell::Cell;
use std::fmt::Write;

use rustix::time::{clock_gettime, ClockId};

/// What processor time is spent on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Work {
    /// Reading membership lists and taking them in.
    List,
    /// Reading and writing messages between drivers.
    PeerMessages,
    /// The decision module's timer.
    Timer,
    /// Requests, attempts and probes: what traffic pays for itself.
    Traffic,
}

const NAMES: [&str; 4] = ["list", "peer_messages", "timer", "traffic"];

/// The sums, in nanoseconds.
#[derive(Debug, Default)]
pub struct Meter {
    enabled: bool,
    spent: [Cell<u64>; NAMES.len()],
}

impl Meter {
    /// A meter that measures, or one that costs nothing.
    pub fn new(enabled: bool) -> Self {
        Meter { enabled, ..Meter::default() }
    }

    /// Does a piece of work and adds its time. Pieces must not lie within each other.
    pub fn measure<T>(&self, work: Work, piece: impl FnOnce() -> T) -> T {
        if !self.enabled {
            return piece();
        }
        let before = thread_time();
        let value = piece();
        let sum = &self.spent[work as usize];
        sum.set(sum.get() + thread_time().saturating_sub(before));
        value
    }

    /// Nanoseconds spent on a kind of work so far.
    pub fn spent(&self, work: Work) -> u64 {
        self.spent[work as usize].get()
    }

    /// All sums and the whole process's time, in one line; none if nothing is measured.
    pub fn line(&self) -> Option<String> {
        let mut line = format!("process_ns={}", nanoseconds(ClockId::ProcessCPUTime));
        for (name, spent) in NAMES.iter().zip(&self.spent) {
            let _ = write!(line, " {name}_ns={}", spent.get());
        }
        self.enabled.then_some(line)
    }
}

fn thread_time() -> u64 {
    nanoseconds(ClockId::ThreadCPUTime)
}

fn nanoseconds(clock: ClockId) -> u64 {
    let time = clock_gettime(clock);
    u64::try_from(time.tv_sec).unwrap_or(0) * 1_000_000_000 + u64::try_from(time.tv_nsec).unwrap_or(0)
}
