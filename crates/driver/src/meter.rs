//! Measures processor time by kind of work, with the CPU clock of the thread before and after each piece of work.
//!
//! Owns the sums. Measuring is off unless the operator's file turns it on; it costs two system calls per piece of work.

use std::cell::Cell;
use std::fmt::Write;

use rustix::time::{clock_gettime, ClockId};

/// A kind of work whose processor time is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Work {
    /// Parsing membership lists and applying them.
    List,
    /// Encoding, decoding, sending and receiving messages between drivers, and handling them.
    PeerMessages,
    /// The timer events of the decision module.
    Timer,
    /// Requests, attempts and probes: the work that grows with traffic.
    Traffic,
}

const NAMES: [&str; 4] = ["list", "peer_messages", "timer", "traffic"];

/// The processor time spent so far, by kind of work.
#[derive(Debug, Default)]
pub struct Meter {
    enabled: bool,
    /// Sums in nanoseconds, indexed by [`Work`].
    spent: [Cell<u64>; NAMES.len()],
}

impl Meter {
    /// Creates a meter. If it is not enabled it measures nothing and costs no system calls.
    pub fn new(enabled: bool) -> Self {
        Meter { enabled, ..Meter::default() }
    }

    /// Runs a piece of work and adds its time. Calls must not be nested, since the inner time would be counted twice.
    pub fn measure<T>(&self, work: Work, task: impl FnOnce() -> T) -> T {
        if !self.enabled {
            return task();
        }
        let before = thread_time();
        let value = task();
        let sum = &self.spent[work as usize];
        sum.set(sum.get() + thread_time().saturating_sub(before));
        value
    }

    /// Processor time spent on a kind of work so far, in nanoseconds.
    pub fn spent(&self, work: Work) -> u64 {
        self.spent[work as usize].get()
    }

    /// The processor time of the whole process and all sums in one line; `None` if nothing is measured.
    pub fn summary_line(&self) -> Option<String> {
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
