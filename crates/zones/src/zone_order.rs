//! The order in which a router prefers zones: as operators state it, or by measured round trips.

use std::collections::BTreeMap;

use beaconshore::interface::{Micros, ZoneId};

use crate::policy::Policy;

/// A zone overtakes the one before it only if its round trip is below this fraction of the other's, so that
/// zones at nearly the same distance do not keep swapping places.
const OVERTAKE_RATIO: f64 = 0.8;
/// Weight of a new sample in the moving average when it is above the average; a shorter one replaces it at
/// once.
const ROUND_TRIP_SMOOTHING: f64 = 0.02;

/// Round trips to zones, and the order of preference that follows from them.
#[derive(Clone, Debug, Default)]
pub struct ZoneOrder {
    round_trips: BTreeMap<ZoneId, f64>,
    order: Vec<ZoneId>,
}

impl ZoneOrder {
    /// Records the round trip of a probe to a member of the zone.
    pub fn record_round_trip(&mut self, zone: ZoneId, duration: Micros) {
        let average = self.round_trips.entry(zone).or_insert(duration as f64);
        *average = if (duration as f64) < *average {
            duration as f64
        } else {
            *average + ROUND_TRIP_SMOOTHING * (duration as f64 - *average)
        };
    }

    /// Updates and returns the order for a router in zone `own`: first the zones that operators list in its
    /// `prefer` (only `own` if they list none), then the others by round trip, unmeasured ones last.
    pub fn order(&mut self, own: ZoneId, zones: impl Iterator<Item = ZoneId>, policy: &Policy) -> &[ZoneId] {
        let stated = policy.zone(own).map_or(&[][..], |z| &z.prefer[..]);
        self.order.retain(|z| !stated.contains(z) && *z != own);
        let mut zones: Vec<ZoneId> = zones.filter(|z| !stated.contains(z) && *z != own).collect();
        zones.sort_unstable();
        zones.dedup();
        self.order.retain(|z| zones.contains(z));
        let new: Vec<ZoneId> = zones.into_iter().filter(|z| !self.order.contains(z)).collect();
        self.order.extend(new);
        // One bubble-sort pass per call is enough: the order settles within a few rounds.
        for i in 1..self.order.len() {
            let (before, current) = (self.round_trip(self.order[i - 1]), self.round_trip(self.order[i]));
            if current < OVERTAKE_RATIO * before {
                self.order.swap(i - 1, i);
            }
        }
        let mut order: Vec<ZoneId> = if stated.is_empty() { vec![own] } else { stated.to_vec() };
        order.append(&mut self.order);
        self.order = order;
        &self.order
    }

    fn round_trip(&self, zone: ZoneId) -> f64 {
        self.round_trips.get(&zone).copied().unwrap_or(f64::MAX)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::policy::ZonePolicy;

    const ZONES: [ZoneId; 3] = [ZoneId(0), ZoneId(1), ZoneId(2)];

    #[test]
    fn stated_zones_come_first_and_the_others_follow_by_round_trip() {
        let (mut zone_order, mut policy) = (ZoneOrder::default(), Policy::default());
        zone_order.record_round_trip(ZoneId(1), 5_000);
        zone_order.record_round_trip(ZoneId(2), 2_000);
        assert_eq!(
            zone_order.order(ZoneId(0), ZONES.into_iter(), &policy),
            [ZoneId(0), ZoneId(2), ZoneId(1)]
        );
        let prefer = vec![ZoneId(0), ZoneId(1)];
        policy.zones =
            vec![ZonePolicy { zone: ZoneId(0), name: "a".into(), prefer, capacity: 0.0, routers: 1 }];
        assert_eq!(
            zone_order.order(ZoneId(0), ZONES.into_iter(), &policy),
            [ZoneId(0), ZoneId(1), ZoneId(2)]
        );
    }

    /// Guards against traffic moving to and fro between two zones because of small changes in their round
    /// trips.
    #[test]
    fn zones_at_nearly_the_same_distance_do_not_swap_places() {
        let (mut zone_order, policy) = (ZoneOrder::default(), Policy::default());
        let mut orders = Vec::new();
        for round in 0..200 {
            zone_order.record_round_trip(ZoneId(1), 2_000 + 150 * (round % 3));
            zone_order.record_round_trip(ZoneId(2), 2_000 + 150 * ((round + 1) % 3));
            orders.push(zone_order.order(ZoneId(0), ZONES.into_iter(), &policy).to_vec());
        }
        orders.dedup();
        assert_eq!(orders.len(), 1, "{orders:?}");
    }
}
