//! How a fleet that talks divides its probes: in all about as many as `PROBERS` routers that don't talk send.
//! It only thins what the rules would probe anyway (`docs/design/probe-sharing.md`).

use crate::interface::{Micros, Settings};
use crate::random::Random;

/// So many routers find a thing out for all. One may be cut off or die with the news; of three, two may.
const PROBERS: u64 = 3;

/// Longest period of ordinary probing (the design's default), in microseconds.
pub const PROBE_PERIOD: Micros = 1_000_000;
/// A replica that lags is asked again after this part of its lag.
const LAG_SHARE: Micros = 4;

/// Pause before a replica that lags is asked again, in microseconds: it needs time to catch up.
pub fn lagging_replica_pause(lag: Micros) -> Micros {
    (lag / LAG_SHARE).min(PROBE_PERIOD)
}

/// A router's part in finding out: the number of routers that share what they learn.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProbeShare(u64);

impl ProbeShare {
    /// The part of a router with these settings.
    pub fn new(settings: &Settings) -> Self {
        ProbeShare(if settings.limits.peer_messages { settings.routers.into() } else { 0 })
    }

    /// Those of which this router finds out, `gap` after the last occasion (none: all). The fleet
    /// asks `PROBERS` times in a period for each, however little a router is asked.
    pub fn share<T>(self, all: Vec<T>, gap: Option<Micros>, period: Micros, random: &mut Random) -> Vec<T> {
        let gap = gap.filter(|_| self.0 > PROBERS);
        let mut mine = |gap: Micros| random.draw(self.0.saturating_mul(period)) < gap.saturating_mul(PROBERS);
        all.into_iter().filter(|_| gap.is_none_or(&mut mine)).collect()
    }

    /// How many of so many this router asks itself while it can't do without an answer: one at least.
    pub fn part(self, due: usize) -> usize {
        (due as u64 * PROBERS).div_ceil(self.0.max(PROBERS)) as usize
    }

    /// Pause between probes where one of `PROBERS` routers makes this one, at the `longest` this.
    pub fn pause(self, alone: Micros, longest: Micros) -> Micros {
        (alone.saturating_mul(self.0.max(PROBERS)) / PROBERS).min(longest)
    }
}
