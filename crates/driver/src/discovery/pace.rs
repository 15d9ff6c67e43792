//! How long calls of discovery may take and how long the pauses between them are: pure.
//!
//! What discovery holds counts as told from its return on, and a silent watch as broken: a drain binds although nobody has
//! delivered it. So from any such moment to the list, with one call that came too early and the pause after it, less has
//! to pass than the settings leave between hearing of a drain and heeding it.
//!
//! Whatever became of watches and calls, a change that discovery has and that could be had is in force within
//! `call + RESYNC + call + f x (call + longest pause)`, where f calls in a row fail: the first call is one that began just
//! before the change. A call is bounded from its connect to the last byte of its body, and waits for no descriptor.

use std::time::Duration;

use beaconshore::interface::Micros;

/// A watch says something at least every 2 s; one that was silent for so long is broken. What it misses counts as told 6 s
/// after it fell silent: that leaves time for calls of the whole list that stay silent too.
pub const SILENCE: Duration = Duration::from_millis(2_500);

/// The whole list is asked for so long after it came last, whatever a watch says meanwhile.
pub const RESYNC: Duration = Duration::from_secs(2);

/// Bounds on a call: discovery is an agent on the driver's own machine, which answers at once.
const SHORTEST_CALL: Duration = Duration::from_millis(100);
const LONGEST_CALL: Duration = Duration::from_millis(500);
/// Bounds on the longest pause.
const SHORTEST_PAUSE: Duration = Duration::from_millis(20);
const LONGEST_PAUSE: Duration = Duration::from_millis(250);
/// Where the settings name no time for drains.
const USUAL_GRACE: Micros = 500_000;

/// The pace of calls to one address.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// A call that has no answer by then is given up.
    pub call: Duration,
    longest: Duration,
    next: Duration,
}

impl Pace {
    /// The pace where a drain has to be heeded within this time of hearing of it (0: not told): half of it for a call, a
    /// quarter for a pause, and the rest to read the list and act on it.
    pub fn within(grace: Micros) -> Self {
        let grace = Duration::from_micros(if grace == 0 { USUAL_GRACE } else { grace });
        let call = (grace / 2).clamp(SHORTEST_CALL, LONGEST_CALL);
        let longest = (grace / 4).clamp(SHORTEST_PAUSE, LONGEST_PAUSE);
        Pace { call, longest, next: longest / 4 }
    }

    /// The pause after a call that failed: twice as long each time, up to the longest.
    pub fn pause(&mut self) -> Duration {
        let pause = self.next;
        self.next = (self.next * 2).min(self.longest);
        pause
    }

    /// How long the change of a list takes at the most to be in force, with so many calls in a row that fail.
    pub fn in_force_within(&self, failing: u32) -> Duration {
        2 * self.call + RESYNC + failing * (self.call + self.longest)
    }

    /// A list came: the next failure is the first one again.
    pub fn answered(&mut self) {
        self.next = self.longest / 4;
    }
}
