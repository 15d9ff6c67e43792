//! Divides probes among the routers of a fleet that exchange messages. Together they send about as many
//! probes as `PROBING_ROUTERS` routers that exchange none. Sharing only reduces the probes that the rules
//! would send anyway (`docs/design/probe-sharing.md`).

use crate::interface::{Micros, Settings};
use crate::random::Random;

/// Number of routers that probe a member on behalf of the whole fleet. One of them may be cut off or stop
/// before it passes on the result; with three, two may.
const PROBING_ROUTERS: u64 = 3;

/// Longest period of ordinary probing, in microseconds (the default of the design).
pub const PROBE_PERIOD: Micros = 1_000_000;
/// A lagging replica is probed again after its lag divided by this.
const LAG_DIVISOR: Micros = 4;

/// Returns the pause before a lagging replica is probed again, in microseconds, since it needs time to catch
/// up.
pub fn lagging_replica_pause(lag: Micros) -> Micros {
    (lag / LAG_DIVISOR).min(PROBE_PERIOD)
}

/// The number of routers that share the results of their probes; 0 if this router shares none.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProbeShare(u64);

impl ProbeShare {
    /// Creates the share of a router with these settings.
    pub fn new(settings: &Settings) -> Self {
        ProbeShare(if settings.limits.peer_messages { settings.routers.into() } else { 0 })
    }

    /// Selects at random the probes that this router sends itself, where `gap` is the time since the last
    /// occasion; without a gap it selects all. The fleet as a whole sends each probe `PROBING_ROUTERS` times
    /// per period, however rarely a single router gets requests.
    pub fn assigned<T>(
        self,
        probes: Vec<T>,
        gap: Option<Micros>,
        period: Micros,
        random: &mut Random,
    ) -> Vec<T> {
        let gap = gap.filter(|_| self.0 > PROBING_ROUTERS);
        let mut is_assigned =
            |gap: Micros| random.draw(self.0.saturating_mul(period)) < gap.saturating_mul(PROBING_ROUTERS);
        probes.into_iter().filter(|_| gap.is_none_or(&mut is_assigned)).collect()
    }

    /// Returns how many of the due probes this router sends itself while a request cannot do without an
    /// answer: at least one, unless none is due.
    pub fn assigned_count(self, due: usize) -> usize {
        (due as u64 * PROBING_ROUTERS).div_ceil(self.0.max(PROBING_ROUTERS)) as usize
    }

    /// Returns the pause between this router's probes with which the fleet probes as often as
    /// `PROBING_ROUTERS` routers that each pause for `single_pause`; at most `longest`.
    pub fn fleet_pause(self, single_pause: Micros, longest: Micros) -> Micros {
        (single_pause.saturating_mul(self.0.max(PROBING_ROUTERS)) / PROBING_ROUTERS).min(longest)
    }
}
