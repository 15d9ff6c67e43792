//! Shares of a common limit on open requests. Each route has a guaranteed part by weight; what others do not use
//! may be borrowed, and is there for them again within a second: a part that was in use within the last second is
//! kept free for its route, and one that begins to ask is admitted to its part even while others have borrowed it.

use beaconshore::interface::Micros;

/// A part that was not used for this long may be borrowed whole.
const IDLE: Micros = 1_000_000;

#[derive(Clone, Debug, Default)]
struct Part {
    weight: f64,
    open: u32,
    /// The most that were open in this second, and in the one before.
    peaks: [u32; 2],
    turned: Micros,
}

impl Part {
    fn pass(&mut self, now: Micros) {
        if now >= self.turned + IDLE {
            let idle = now >= self.turned + 2 * IDLE;
            self.peaks = [self.open, if idle { self.open } else { self.peaks[0] }];
            self.turned = now;
        }
        self.peaks[0] = self.peaks[0].max(self.open);
    }

    fn peak(&self) -> u32 {
        self.peaks[0].max(self.peaks[1])
    }
}

/// The shares of all routes.
#[derive(Clone, Debug)]
pub struct Fair {
    limit: u32,
    parts: Vec<Part>,
    open: u32,
}

impl Fair {
    /// A common limit, and the weight of each route.
    pub fn new(limit: u32, weights: impl Iterator<Item = f64>) -> Self {
        let parts = weights.map(|weight| Part { weight, ..Part::default() }).collect();
        Fair { limit, parts, open: 0 }
    }

    /// What a route is sure of: at least one.
    pub fn guaranteed(&self, route: usize) -> u32 {
        let all: f64 = self.parts.iter().map(|p| p.weight).sum();
        let part = self.parts[route].weight / all.max(f64::MIN_POSITIVE) * f64::from(self.limit);
        (part as u32).max(1)
    }

    /// Takes a place for a route, if it has one; the place is to be given back.
    pub fn enter(&mut self, route: usize, now: Micros) -> bool {
        self.parts.iter_mut().for_each(|part| part.pass(now));
        let own = self.parts[route].open < self.guaranteed(route);
        // Beyond its own part: what nobody is likely to ask for within the second.
        let kept = |(i, part): (usize, &Part)| match i == route {
            true => 0,
            false => self.guaranteed(i).min(part.peak()).saturating_sub(part.open),
        };
        let kept: u32 = self.parts.iter().enumerate().map(kept).sum();
        if !own && self.open + kept >= self.limit {
            return false;
        }
        self.take(route);
        self.parts[route].pass(now);
        true
    }

    /// Takes a place for a request that is open already.
    pub fn take(&mut self, route: usize) {
        self.open += 1;
        self.parts[route].open += 1;
    }

    /// Gives a place back.
    pub fn leave(&mut self, route: usize) {
        self.open = self.open.saturating_sub(1);
        let part = &mut self.parts[route];
        part.open = part.open.saturating_sub(1);
    }

    /// Places in use, by all and by one route.
    pub fn open(&self, route: usize) -> (u32, u32) {
        (self.open, self.parts[route].open)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SECOND: Micros = 1_000_000;

    /// Every 10 ms each route asks as often as it likes; each request is open for 100 ms. Open requests at the end of
    /// each step.
    fn play(fair: &mut Fair, steps: u64, eager: impl Fn(u64, usize) -> u32) -> Vec<Vec<u32>> {
        let (mut out, mut seen): (Vec<(u64, usize)>, _) = (Vec::new(), Vec::new());
        for step in 0..steps {
            let now = 10 * SECOND + step * 10_000;
            out.retain(|(ends, route)| {
                if *ends <= step {
                    fair.leave(*route);
                }
                *ends > step
            });
            for route in 0..2 {
                for _ in 0..eager(step, route) {
                    if fair.enter(route, now) {
                        out.push((step + 10, route));
                    }
                }
            }
            seen.push((0..2).map(|route| fair.open(route).1).collect());
        }
        seen
    }

    #[test]
    fn at_the_limit_each_has_its_part_however_eager_the_other_is() {
        let mut fair = Fair::new(40, [1.0, 3.0].into_iter());
        let seen = play(&mut fair, 500, |_, route| if route == 0 { 50 } else { 5 });
        let late = &seen[300..];
        assert!(late.iter().all(|open| open[1] >= 30), "the eager one leaves it its 30: {:?}", late[0]);
        assert!(late.iter().all(|open| open[0] >= 10 && open[0] + open[1] <= 40));
    }

    #[test]
    fn an_idle_part_is_lent_and_back_within_a_second() {
        let mut fair = Fair::new(40, [1.0, 1.0].into_iter());
        let seen =
            play(&mut fair, 1_000, |step, route| if route == 0 { 10 } else { u32::from(step >= 500) * 4 });
        assert!(seen[300][0] >= 39, "all of it while the other is idle: {:?}", seen[300]);
        assert!(seen[600][1] >= 19, "a second after it began to ask: {:?}", seen[600]);
        assert!(seen[600..].iter().all(|open| open[0] <= 21 && open[0] + open[1] <= 41));
        assert!(seen.iter().all(|open| open[0] + open[1] <= 60), "never more than the limit and one part");
    }

    #[test]
    fn a_route_of_little_weight_has_a_place() {
        let mut fair = Fair::new(4, [1000.0, 0.001].into_iter());
        assert_eq!((0..100).filter(|_| fair.enter(0, SECOND)).count(), 4);
        assert!(fair.enter(1, SECOND));
        assert_eq!(fair.open(1), (5, 1));
    }
}
