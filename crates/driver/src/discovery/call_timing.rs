//! How long calls to discovery may take, when they are repeated, and the pauses between them. Pure calculation, without I/O.
//!
//! A router is taken to know what discovery holds as soon as discovery can be reached again after an outage, and a silent
//! watch counts as broken: a drain takes effect even if no message has delivered it. From any such moment, the list must
//! therefore arrive within the time that the settings allow between learning of a drain and obeying it, even if one call
//! came too early and was followed by a pause.
//!
//! A call that is not answered may have been lost, or may wait for its turn at a busy discovery. It is therefore repeated
//! soon, but stays open up to [`MAX_CALL_TIME`], and whichever call is answered counts.
//!
//! Whatever happens to watches and calls, a change that discovery holds is in force within
//! `latency + RESYNC_INTERVAL + latency + f x (patience + longest pause)` of the time at which it can be fetched, where f is
//! the number of consecutive calls that fail or are abandoned, all others are answered within `latency`, and `patience` is
//! the time after which a call is repeated: [`CallTiming::max_apply_time`]. The first `latency` stands for a call that began
//! just before the change. The time of a call covers everything from the connect to the last byte of the body, and a call
//! never waits for a descriptor.

use std::time::Duration;

use beaconshore::interface::Micros;

/// A watch that has sent nothing for this long is broken: discovery sends a message at least every 2 s. The router is taken
/// to know a change 6 s after its watch fell silent, which leaves time for several calls for the full list that get no
/// answer either.
pub const WATCH_TIMEOUT: Duration = Duration::from_millis(2_500);

/// The full list is fetched again this long after it was last received, whatever the watch has delivered meanwhile.
pub const RESYNC_INTERVAL: Duration = Duration::from_secs(2);

/// A call that has not been answered after this long is closed. Calls may wait in turn for 2 s before they are served.
pub const MAX_CALL_TIME: Duration = Duration::from_secs(4);

/// Least time after which an unanswered call is repeated. A discovery that is not busy answers at once.
const MIN_REPEAT_AFTER: Duration = Duration::from_millis(100);
/// Greatest time after which an unanswered call is repeated, where discovery answers in less.
const MAX_REPEAT_AFTER: Duration = Duration::from_millis(500);
/// Greatest time after which an unanswered call is repeated, however slowly discovery answers.
const MAX_PATIENCE: Duration = Duration::from_millis(1_500);
/// Least value of the longest pause between failed calls.
const MIN_LONGEST_PAUSE: Duration = Duration::from_millis(20);
/// Greatest value of the longest pause between failed calls.
const MAX_LONGEST_PAUSE: Duration = Duration::from_millis(250);
/// Time for obeying a drain where the settings name none, in microseconds.
const DEFAULT_GRACE: Micros = 500_000;

/// When calls to one address are repeated, and the backoff between calls that fail.
#[derive(Clone, Copy, Debug)]
pub struct CallTiming {
    /// Time after which an unanswered call is repeated, as long as discovery answers within it.
    pub repeat_after: Duration,
    /// Upper bound on the pause between calls.
    max_pause: Duration,
    /// The pause after the next failure.
    next_pause: Duration,
}

impl CallTiming {
    /// Derives the times from the time within which a drain must be obeyed after the router has learned of it (0: not
    /// stated). Half of it is for a call, a quarter for a pause, and the rest for reading the list and acting on it.
    pub fn for_drain_grace(grace: Micros) -> Self {
        let grace = Duration::from_micros(if grace == 0 { DEFAULT_GRACE } else { grace });
        let repeat_after = (grace / 2).clamp(MIN_REPEAT_AFTER, MAX_REPEAT_AFTER);
        let max_pause = (grace / 4).clamp(MIN_LONGEST_PAUSE, MAX_LONGEST_PAUSE);
        CallTiming { repeat_after, max_pause, next_pause: max_pause / 4 }
    }

    /// Returns the pause after a failed call. It doubles with each failure, up to the longest pause.
    pub fn next_pause(&mut self) -> Duration {
        let pause = self.next_pause;
        self.next_pause = (self.next_pause * 2).min(self.max_pause);
        pause
    }

    /// Time after which a call is repeated if it has not been answered. It follows the time that discovery took to answer
    /// last, so that a busy discovery is not called more often for being slow, and halves with each call that has remained
    /// unanswered since, because discovery may then be out of reach.
    pub fn patience(&self, last_latency: Duration, unanswered_calls: u32) -> Duration {
        if last_latency <= self.repeat_after {
            return self.repeat_after;
        }
        let patience = (last_latency * 3 / 2).min(MAX_PATIENCE);
        let halved = patience / 2_u32.saturating_pow(unanswered_calls);
        halved.max(self.repeat_after)
    }

    /// Longest time until a change of the list is in force, if this many consecutive calls fail or are abandoned, and all
    /// others are answered within `latency`.
    pub fn max_apply_time(&self, latency: Duration, failed_calls: u32) -> Duration {
        let latency = latency.max(self.repeat_after);
        let repeats = (0..failed_calls).map(|number| self.patience(latency, number) + self.max_pause);
        2 * latency + RESYNC_INTERVAL + repeats.sum::<Duration>()
    }

    /// Longest pause before the next call after one that failed.
    pub fn max_pause(&self) -> Duration {
        self.max_pause
    }

    /// Resets the pause after a list was received.
    pub fn reset(&mut self) {
        self.next_pause = self.max_pause / 4;
    }
}
