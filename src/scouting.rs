//! How a fleet divides the work of finding out: which probes a router leaves to others, and how rarely it asks again.
//!
//! Owns the number of routers that share what they learn; never sends, reads a clock or makes a member eligible. Each
//! answer here only thins what the rules would probe anyway.
//!
//! What one router learns by a probe all others are told, where they may talk. With R routers that each probe alone, a
//! fleet pays R times for one piece of news; with a part of `SCOUTS / R` each, the fleet pays as much as `SCOUTS` routers
//! that don't talk, whatever its size. Up to that many routers nothing changes.

use crate::interface::{Limits, Micros, Settings};
use crate::random::Random;

/// So many routers find a thing out for all. One may be cut off or die with the news; of three, two may.
const SCOUTS: u64 = 3;

/// Longest period of ordinary probing (the design's default), in microseconds.
pub const PROBE_PERIOD: Micros = 1_000_000;
/// A replica that lags is asked again after this part of its lag.
const LAG_SHARE: Micros = 4;

/// Pause before a replica that lags is asked again, in microseconds: one that lags far needs time to catch up.
pub fn lag_pause(lag: Micros) -> Micros {
    (lag / LAG_SHARE).min(PROBE_PERIOD)
}

/// A router's part in finding out.
#[derive(Clone, Copy, Debug)]
pub struct Scouting {
    /// Routers that share what they learn; `SCOUTS` where they are fewer or none may talk.
    fleet: u64,
}

impl Default for Scouting {
    fn default() -> Self {
        Scouting { fleet: SCOUTS }
    }
}

impl Scouting {
    /// The part of a router with these settings.
    pub fn new(settings: &Settings) -> Self {
        let Limits { peer_messages, .. } = settings.limits;
        let fleet = if peer_messages { u64::from(settings.routers).max(SCOUTS) } else { SCOUTS };
        Scouting { fleet }
    }

    /// Draws whether this router is among those that find out now what the others are then told.
    pub fn is_scout(self, random: &mut Random) -> bool {
        self.fleet == SCOUTS || random.draw(self.fleet) < SCOUTS
    }

    /// Draws those of which this router finds out: each of them with the chance of being a scout for it.
    pub fn draw<T>(self, all: impl Iterator<Item = T>, random: &mut Random) -> Vec<T> {
        all.filter(|_| self.is_scout(random)).collect()
    }

    /// Those of which this router finds out, on an occasion that it last had `gap` ago (microseconds): each with a chance
    /// that grows with it, so that the fleet asks `SCOUTS` times in a period for each; all on its first one. A chance for
    /// each request instead would ask the more rarely the less each router is asked: many replicas would stay unknown,
    /// and all reads of the fleet meet at the few that are not.
    pub fn share<T>(self, all: Vec<T>, gap: Option<Micros>, period: Micros, random: &mut Random) -> Vec<T> {
        let (fleet, gap) = (self.fleet, gap.filter(|_| self.fleet > SCOUTS));
        let mut mine = |gap: Micros| random.draw(fleet.saturating_mul(period)) < gap.saturating_mul(SCOUTS);
        all.into_iter().filter(|_| gap.is_none_or(&mut mine)).collect()
    }

    /// How many of so many members this router asks itself while it can't do without an answer: at least one, for
    /// it may be the only one that is asked for them.
    pub fn part(self, due: usize) -> usize {
        (due as u64 * SCOUTS).div_ceil(self.fleet) as usize
    }

    /// Pause between probes of one member by this router, where `SCOUTS` routers alone would make this one and
    /// none makes one longer than `longest` (microseconds): if all others are silent, that bounds what it costs.
    pub fn pause(self, alone: Micros, longest: Micros) -> Micros {
        (alone.saturating_mul(self.fleet) / SCOUTS).min(longest)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn fleet(routers: u32, peer_messages: bool) -> Scouting {
        let limits = Limits { peer_messages, ..Limits::default() };
        Scouting::new(&Settings { routers, limits, ..Settings::default() })
    }

    #[test]
    fn few_routers_or_silent_ones_find_out_all_by_themselves() {
        let mut random = Random::new(7);
        for scouting in [fleet(0, true), fleet(3, true), fleet(300, false), Scouting::default()] {
            assert!((0..100).all(|_| scouting.is_scout(&mut random)));
            assert!((0..10).all(|due| scouting.part(due) == due));
            assert_eq!(scouting.pause(100, 1_000), 100);
        }
    }

    #[test]
    fn a_fleet_of_any_size_asks_as_often_as_three_routers() {
        for routers in [30, 300, 1_000] {
            let mut asked = 0;
            for seed in 0..u64::from(routers) {
                let mut random = Random::new(seed);
                asked += fleet(routers, true).draw(0..120, &mut random).len();
            }
            // 360 on average; five standard deviations of chance.
            assert!((265..455).contains(&asked), "{routers} routers asked {asked} times");
        }
        assert_eq!(fleet(30, true).pause(100, 10_000), 1_000);
        assert_eq!(fleet(300, true).pause(100, 1_000), 1_000, "the longest pause bounds what silence costs");
    }

    #[test]
    fn each_member_is_asked_for_as_often_whatever_a_router_is_asked() {
        const SECOND: Micros = 1_000_000;
        for gap in [SECOND / 10, SECOND, 5 * SECOND] {
            let mut random = Random::new(7);
            let occasions = 300 * 100 * SECOND / gap;
            let ask = |_| fleet(300, true).share(vec![()], Some(gap), SECOND, &mut random).len();
            // In 100 s; five standard deviations of chance.
            let asked: usize = (0..occasions).map(ask).sum();
            assert!((213..=387).contains(&asked), "{asked} times with a request every {gap} us");
        }
        let mut random = Random::new(7);
        assert_eq!(
            fleet(300, true).share(vec![1, 2], None, SECOND, &mut random),
            [1, 2],
            "a fresh router asks"
        );
        assert_eq!(fleet(3, true).share(vec![1, 2], Some(0), SECOND, &mut random), [1, 2], "few ask for all");
    }

    #[test]
    fn a_replica_is_asked_more_rarely_the_further_it_lags_but_within_the_usual_period() {
        assert_eq!(
            [0, 400_000, 4_000_000, 60_000_000].map(lag_pause),
            [0, 100_000, PROBE_PERIOD, PROBE_PERIOD]
        );
    }

    #[test]
    fn what_a_read_cannot_do_without_is_asked_by_each() {
        assert_eq!([0, 1, 2, 4].map(|due| fleet(300, true).part(due)), [0, 1, 1, 1]);
        assert_eq!(fleet(6, true).part(4), 2);
    }
}
