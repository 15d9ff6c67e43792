//! The order in which a router prefers zones: stated, or told from round trips.

use std::collections::BTreeMap;

use beaconshore::interface::{Micros, ZoneId};

use crate::policy::Policy;

/// A zone moves before another only if its round trip is shorter by this share: near ones do not swap about.
const CLEARLY: f64 = 0.8;
/// Weight of a new sample where it is above the least; a shorter one is taken at once.
const GAIN: f64 = 0.02;

/// Round trips and the order that follows.
#[derive(Clone, Debug, Default)]
pub struct Tiers {
    trips: BTreeMap<ZoneId, f64>,
    order: Vec<ZoneId>,
}

impl Tiers {
    /// A probe's round trip.
    pub fn sample(&mut self, zone: ZoneId, took: Micros) {
        let trip = self.trips.entry(zone).or_insert(took as f64);
        *trip = if (took as f64) < *trip { took as f64 } else { *trip + GAIN * (took as f64 - *trip) };
    }

    /// The order for a router in `own`: what its operators state, then what round trips tell, then the rest.
    pub fn order(&mut self, own: ZoneId, zones: impl Iterator<Item = ZoneId>, policy: &Policy) -> &[ZoneId] {
        let stated = policy.of(own).map_or(&[][..], |z| &z.prefer[..]);
        self.order.retain(|z| !stated.contains(z) && *z != own);
        let mut zones: Vec<ZoneId> = zones.filter(|z| !stated.contains(z) && *z != own).collect();
        zones.sort_unstable();
        zones.dedup();
        self.order.retain(|z| zones.contains(z));
        let new: Vec<ZoneId> = zones.into_iter().filter(|z| !self.order.contains(z)).collect();
        self.order.extend(new);
        // One pass of neighbours each time settles the order within a few rounds.
        for i in 1..self.order.len() {
            let (before, here) = (self.trip(self.order[i - 1]), self.trip(self.order[i]));
            if here < CLEARLY * before {
                self.order.swap(i - 1, i);
            }
        }
        let mut order: Vec<ZoneId> = if stated.is_empty() { vec![own] } else { stated.to_vec() };
        order.append(&mut self.order);
        self.order = order;
        &self.order
    }

    fn trip(&self, zone: ZoneId) -> f64 {
        self.trips.get(&zone).copied().unwrap_or(f64::MAX)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::policy::ZonePolicy;

    const ZONES: [ZoneId; 3] = [ZoneId(0), ZoneId(1), ZoneId(2)];

    #[test]
    fn what_is_stated_comes_first_and_the_rest_by_round_trips() {
        let (mut tiers, mut policy) = (Tiers::default(), Policy::default());
        tiers.sample(ZoneId(1), 5_000);
        tiers.sample(ZoneId(2), 2_000);
        assert_eq!(tiers.order(ZoneId(0), ZONES.into_iter(), &policy), [ZoneId(0), ZoneId(2), ZoneId(1)]);
        let prefer = vec![ZoneId(0), ZoneId(1)];
        policy.zones =
            vec![ZonePolicy { zone: ZoneId(0), name: "a".into(), prefer, capacity: 0.0, routers: 1 }];
        assert_eq!(tiers.order(ZoneId(0), ZONES.into_iter(), &policy), [ZoneId(0), ZoneId(1), ZoneId(2)]);
    }

    #[test]
    fn zones_at_much_the_same_distance_do_not_swap() {
        let (mut tiers, policy) = (Tiers::default(), Policy::default());
        let mut orders = Vec::new();
        for round in 0..200 {
            tiers.sample(ZoneId(1), 2_000 + 150 * (round % 3));
            tiers.sample(ZoneId(2), 2_000 + 150 * ((round + 1) % 3));
            orders.push(tiers.order(ZoneId(0), ZONES.into_iter(), &policy).to_vec());
        }
        orders.dedup();
        assert_eq!(orders.len(), 1, "{orders:?}");
    }
}
