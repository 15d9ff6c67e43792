//! Time limits of calls to discovery, and the pauses between them. Pure calculation, without I/O.
//!
//! A router is taken to know what discovery holds as soon as discovery can be reached again after an outage, and a silent
//! watch counts as broken: a drain takes effect even if no message has delivered it. From any such moment, the list must
//! therefore arrive within the time that the settings allow between learning of a drain and obeying it, even if one call
//! came too early and was followed by a pause.
//!
//! Whatever happens to watches and calls, a change that discovery holds is in force within
//! `timeout + RESYNC_INTERVAL + timeout + f x (timeout + longest pause)` of the time at which it can be fetched, where f is
//! the number of consecutive calls that fail. The first `timeout` stands for a call that began just before the change. The
//! limit of a call covers everything from the connect to the last byte of the body, and a call never waits for a descriptor.

use std::time::Duration;

use beaconshore::interface::Micros;

/// A watch that has sent nothing for this long is broken: discovery sends a message at least every 2 s. The router is taken
/// to know a change 6 s after its watch fell silent, which leaves time for several calls for the full list that get no
/// answer either.
pub const WATCH_TIMEOUT: Duration = Duration::from_millis(2_500);

/// The full list is fetched again this long after it was last received, whatever the watch has delivered meanwhile.
pub const RESYNC_INTERVAL: Duration = Duration::from_secs(2);

/// Shortest time limit of a call. Discovery is an agent on the driver's own machine and answers at once.
const MIN_CALL_TIMEOUT: Duration = Duration::from_millis(100);
/// Longest time limit of a call.
const MAX_CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Least value of the longest pause between failed calls.
const MIN_LONGEST_PAUSE: Duration = Duration::from_millis(20);
/// Greatest value of the longest pause between failed calls.
const MAX_LONGEST_PAUSE: Duration = Duration::from_millis(250);
/// Time for obeying a drain where the settings name none, in microseconds.
const DEFAULT_GRACE: Micros = 500_000;

/// Time limit of calls to one address, and the backoff between calls that fail.
#[derive(Clone, Copy, Debug)]
pub struct CallTiming {
    /// Time limit of a call, after which it is abandoned.
    pub timeout: Duration,
    /// Upper bound on the pause between calls.
    max_pause: Duration,
    /// The pause after the next failure.
    next_pause: Duration,
}

impl CallTiming {
    /// Derives the limits from the time within which a drain must be obeyed after the router has learned of it (0: not
    /// stated). Half of it is for a call, a quarter for a pause, and the rest for reading the list and acting on it.
    pub fn for_drain_grace(grace: Micros) -> Self {
        let grace = Duration::from_micros(if grace == 0 { DEFAULT_GRACE } else { grace });
        let timeout = (grace / 2).clamp(MIN_CALL_TIMEOUT, MAX_CALL_TIMEOUT);
        let max_pause = (grace / 4).clamp(MIN_LONGEST_PAUSE, MAX_LONGEST_PAUSE);
        CallTiming { timeout, max_pause, next_pause: max_pause / 4 }
    }

    /// Returns the pause after a failed call. It doubles with each failure, up to the longest pause.
    pub fn next_pause(&mut self) -> Duration {
        let pause = self.next_pause;
        self.next_pause = (self.next_pause * 2).min(self.max_pause);
        pause
    }

    /// Longest time until a change of the list is in force, if this many consecutive calls fail.
    pub fn max_apply_time(&self, failed_calls: u32) -> Duration {
        2 * self.timeout + RESYNC_INTERVAL + failed_calls * (self.timeout + self.max_pause)
    }

    /// Resets the pause after a list was received.
    pub fn reset(&mut self) {
        self.next_pause = self.max_pause / 4;
    }
}
