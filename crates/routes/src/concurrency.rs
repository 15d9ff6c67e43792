//! An adaptive limit on a route's open requests. The rule: an answer that took no more than `tolerance` times the
//! least usual time, while the limit was in use, raises it by one for each whole limit of such answers; one that
//! took longer, or a failure, lowers it by a tenth, once in the time that an answer takes.

use beaconshore::interface::Micros;

/// A limit falls by this.
const FALL: f64 = 0.9;
/// Weight of a new sample in the mean.
const GAIN: f64 = 0.1;
/// Time in which the least mean is mostly forgotten, in microseconds: far longer than a jam, which would else become
/// the usual.
const MEMORY: f64 = 600e6;
/// A limit counts as in use from this part of it on.
const IN_USE: f64 = 0.8;

/// The limit of one route.
#[derive(Clone, Debug)]
pub struct Concurrency {
    least: f64,
    most: f64,
    tolerance: f64,
    limit: f64,
    open: u32,
    mean: f64,
    /// The least that the mean has been, slowly forgotten.
    base: f64,
    fell: Micros,
    at: Micros,
}

impl Concurrency {
    /// Between two bounds; it starts at the lower one, doubled.
    pub fn new(least: u32, most: u32, tolerance: f64) -> Self {
        let (least, most) = (f64::from(least.max(1)), f64::from(most.max(least).max(1)));
        let limit = (2.0 * least).min(most);
        Concurrency { least, most, tolerance, limit, open: 0, mean: 0.0, base: f64::MAX, fell: 0, at: 0 }
    }

    /// The limit now.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Open requests.
    pub fn open(&self) -> u32 {
        self.open
    }

    /// Whether there is room for one more.
    pub fn has_room(&self) -> bool {
        self.open < self.limit()
    }

    /// One more is open.
    pub fn enter(&mut self) {
        self.open += 1;
    }

    /// One is over: served after a time, failed (`None`), or without a word on load.
    pub fn leave(&mut self, end: End, now: Micros) {
        let in_use = f64::from(self.open) >= IN_USE * self.limit;
        self.open = self.open.saturating_sub(1);
        let took = match end {
            End::Served(took) => took as f64,
            End::Failed => f64::MAX,
            End::Other => return,
        };
        if took < f64::MAX {
            self.mean = if self.mean == 0.0 { took } else { self.mean + GAIN * (took - self.mean) };
            self.base = self.base.min(self.mean);
            let passed = now.saturating_sub(self.at) as f64;
            self.base += (1.0 - (-passed / MEMORY).exp()) * (self.mean - self.base);
        }
        self.at = now;
        if took > self.tolerance * self.base {
            if now >= self.fell.saturating_add(self.mean as Micros) {
                (self.limit, self.fell) = ((FALL * self.limit).max(self.least), now);
            }
        } else if in_use {
            self.limit = (self.limit + 1.0 / self.limit).min(self.most);
        }
    }
}

/// How a request ended, as far as load is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Served after this time.
    Served(Micros),
    /// Failed, or refused after it was tried.
    Failed,
    /// Its client left, or it was turned away untried.
    Other,
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A server of some places, each busy for 50 ms: with more open than these, answers take longer.
    fn settle(places: f64, rounds: u64) -> Concurrency {
        let mut limit = Concurrency::new(2, 500, 2.0);
        for round in 0..rounds {
            let now = round * 60_000;
            let open = limit.limit();
            (0..open).for_each(|_| limit.enter());
            let took = 50_000.0 * (f64::from(open) / places).max(1.0);
            (0..open).for_each(|_| limit.leave(End::Served(took as Micros), now));
        }
        limit
    }

    #[test]
    fn it_finds_about_what_its_members_bear() {
        for places in [10.0, 60.0] {
            let limit = f64::from(settle(places, 2_000).limit());
            assert!((0.9 * places..2.6 * places).contains(&limit), "{limit} for {places}");
        }
    }

    #[test]
    fn failures_lower_it_to_its_least_and_idle_routes_do_not_raise_it() {
        let mut limit = settle(60.0, 2_000);
        for i in 0..2_000_u64 {
            limit.enter();
            limit.leave(End::Failed, 1_000_000_000 + i * 60_000);
        }
        assert_eq!((limit.limit(), limit.open()), (2, 0));
        for i in 0..2_000_u64 {
            limit.enter();
            limit.leave(End::Served(50_000), 2_000_000_000 + i * 60_000);
        }
        assert_eq!(limit.limit(), 2, "one at a time does not need more");
        limit.enter();
        limit.leave(End::Other, 3_000_000_000);
        assert_eq!(limit.open(), 0);
    }
}
