//! Weighted shares of one concurrency limit that all routes have in common.
//!
//! Each route is guaranteed a part of the limit in proportion to its weight. Capacity that a route does not use may be
//! borrowed by the others, and returns to its owner within a second: the peak use of the last second is reserved for
//! the route, and a route below its guarantee is admitted even while others have borrowed from it. The total can
//! therefore exceed the limit for a short time.

use beaconshore::interface::Micros;

/// Length of a window in which peak use is recorded, in microseconds. Guaranteed capacity that a route did not use in
/// the current and the previous window may be borrowed.
const PEAK_WINDOW_US: Micros = 1_000_000;

#[derive(Clone, Debug, Default)]
struct Share {
    weight: f64,
    in_flight: u32,
    /// Highest number of requests in flight in the current window and in the previous one.
    peaks: [u32; 2],
    window_start: Micros,
}

impl Share {
    /// Starts a new window if the current one is over, and records the present use in it.
    fn advance(&mut self, now: Micros) {
        if now >= self.window_start + PEAK_WINDOW_US {
            let idle = now >= self.window_start + 2 * PEAK_WINDOW_US;
            self.peaks = [self.in_flight, if idle { self.in_flight } else { self.peaks[0] }];
            self.window_start = now;
        }
        self.peaks[0] = self.peaks[0].max(self.in_flight);
    }

    fn peak(&self) -> u32 {
        self.peaks[0].max(self.peaks[1])
    }
}

/// Divides a common concurrency limit among all routes by their weights.
#[derive(Clone, Debug)]
pub struct WeightedShares {
    limit: u32,
    shares: Vec<Share>,
    in_flight: u32,
}

impl WeightedShares {
    /// Creates the shares of `limit` requests in flight, one for each route's weight.
    pub fn new(limit: u32, weights: impl Iterator<Item = f64>) -> Self {
        let shares = weights.map(|weight| Share { weight, ..Share::default() }).collect();
        WeightedShares { limit, shares, in_flight: 0 }
    }

    /// Number of requests in flight that a route is guaranteed: its weighted part of the limit, and at least one.
    pub fn guaranteed(&self, route: usize) -> u32 {
        let total_weight: f64 = self.shares.iter().map(|s| s.weight).sum();
        let part = self.shares[route].weight / total_weight.max(f64::MIN_POSITIVE) * f64::from(self.limit);
        (part as u32).max(1)
    }

    /// Takes a slot for a request of a route and returns whether there was one. A slot that was taken has to be given
    /// back by [`release`](Self::release).
    pub fn try_acquire(&mut self, route: usize, now: Micros) -> bool {
        self.shares.iter_mut().for_each(|share| share.advance(now));
        let within_guarantee = self.shares[route].in_flight < self.guaranteed(route);
        // Beyond its guarantee a route may only borrow what the other routes are unlikely to need within a second:
        // their peak use, up to their guarantees, stays reserved.
        let reserved = |(i, share): (usize, &Share)| match i == route {
            true => 0,
            false => self.guaranteed(i).min(share.peak()).saturating_sub(share.in_flight),
        };
        let reserved: u32 = self.shares.iter().enumerate().map(reserved).sum();
        if !within_guarantee && self.in_flight + reserved >= self.limit {
            return false;
        }
        self.acquire(route);
        self.shares[route].advance(now);
        true
    }

    /// Takes a slot regardless of the limit, for a request that was admitted before.
    pub fn acquire(&mut self, route: usize) {
        self.in_flight += 1;
        self.shares[route].in_flight += 1;
    }

    /// Gives a slot back.
    pub fn release(&mut self, route: usize) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let share = &mut self.shares[route];
        share.in_flight = share.in_flight.saturating_sub(1);
    }

    /// Requests in flight: of all routes, and of one route.
    pub fn in_flight(&self, route: usize) -> (u32, u32) {
        (self.in_flight, self.shares[route].in_flight)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SECOND: Micros = 1_000_000;

    /// Simulates two routes in steps of 10 ms. In each step a route asks for as many slots as `demand` says, and keeps
    /// each slot for 100 ms. Returns the requests in flight by route at the end of each step.
    fn simulate(
        shares: &mut WeightedShares,
        steps: u64,
        demand: impl Fn(u64, usize) -> u32,
    ) -> Vec<Vec<u32>> {
        let (mut held, mut history): (Vec<(u64, usize)>, _) = (Vec::new(), Vec::new());
        for step in 0..steps {
            let now = 10 * SECOND + step * 10_000;
            held.retain(|(ends, route)| {
                if *ends <= step {
                    shares.release(*route);
                }
                *ends > step
            });
            for route in 0..2 {
                for _ in 0..demand(step, route) {
                    if shares.try_acquire(route, now) {
                        held.push((step + 10, route));
                    }
                }
            }
            history.push((0..2).map(|route| shares.in_flight(route).1).collect());
        }
        history
    }

    /// Guards against a route with excessive demand displacing another route's guaranteed share.
    #[test]
    fn each_route_keeps_its_guarantee_when_another_floods_the_limit() {
        let mut shares = WeightedShares::new(40, [1.0, 3.0].into_iter());
        let history = simulate(&mut shares, 500, |_, route| if route == 0 { 50 } else { 5 });
        let settled = &history[300..];
        assert!(
            settled.iter().all(|open| open[1] >= 30),
            "route 1 falls below its guarantee of 30: {:?}",
            settled[0]
        );
        assert!(settled.iter().all(|open| open[0] >= 10 && open[0] + open[1] <= 40));
    }

    /// Guards against two failures: capacity of an idle route that nobody may use, and borrowed capacity that does not
    /// return to its owner within a second.
    #[test]
    fn an_idle_share_is_borrowed_and_returns_within_a_second() {
        let mut shares = WeightedShares::new(40, [1.0, 1.0].into_iter());
        let history = simulate(
            &mut shares,
            1_000,
            |step, route| if route == 0 { 10 } else { u32::from(step >= 500) * 4 },
        );
        assert!(history[300][0] >= 39, "route 0 borrows all of the idle share: {:?}", history[300]);
        assert!(history[600][1] >= 19, "route 1 has its share after a second of demand: {:?}", history[600]);
        assert!(history[600..].iter().all(|open| open[0] <= 21 && open[0] + open[1] <= 41));
        assert!(
            history.iter().all(|open| open[0] + open[1] <= 60),
            "the total never exceeds the limit plus one guaranteed share"
        );
    }

    /// Guards against a weight so small that its part of the limit rounds to zero and the route is never admitted.
    #[test]
    fn a_route_of_negligible_weight_is_guaranteed_one_slot() {
        let mut shares = WeightedShares::new(4, [1000.0, 0.001].into_iter());
        assert_eq!((0..100).filter(|_| shares.try_acquire(0, SECOND)).count(), 4);
        assert!(shares.try_acquire(1, SECOND));
        assert_eq!(shares.in_flight(1), (5, 1));
    }
}
