//! A limit on the rate of a route's first tries: the generic cell rate algorithm, from a library, on our time.

use std::num::NonZeroU32;
use std::time::Duration;

use beaconshore::interface::Micros;
use governor::clock::{Clock, FakeRelativeClock};
use governor::{Quota, RateLimiter};

type Limiter = governor::RateLimiter<
    governor::state::NotKeyed,
    governor::state::InMemoryState,
    FakeRelativeClock,
    governor::middleware::NoOpMiddleware<<FakeRelativeClock as Clock>::Instant>,
>;

/// The limit of one route.
pub struct Rate {
    limiter: Limiter,
    clock: FakeRelativeClock,
    now: Micros,
}

impl Rate {
    /// So many requests a second, and so many at once.
    pub fn new(per_second: NonZeroU32, burst: NonZeroU32, now: Micros) -> Self {
        let clock = FakeRelativeClock::default();
        let quota = Quota::per_second(per_second).allow_burst(burst);
        Rate { limiter: RateLimiter::direct_with_clock(quota, clock.clone()), clock, now }
    }

    /// Admits one, or says after what time one would be.
    pub fn admit(&mut self, now: Micros) -> Result<(), Micros> {
        // Time that goes back stands still.
        let passed = now.saturating_sub(self.now);
        self.now = self.now.max(now);
        self.clock.advance(Duration::from_micros(passed));
        self.limiter.check().map_err(|not_until| {
            let wait = not_until.wait_time_from(self.clock.now());
            (wait.as_micros() as Micros).max(1)
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn no_more_than_the_rate_and_one_burst_go_through() {
        let count = |n| NonZeroU32::new(n).unwrap();
        let mut rate = Rate::new(count(50), count(10), 0);
        let admitted = (0..100_000).filter(|i| rate.admit(i * 100).is_ok()).count();
        assert!((505..=511).contains(&admitted), "{admitted} in 10 s");
        let wait = rate.admit(9_999_900).unwrap_err();
        assert!(wait <= 20_000, "{wait}");
        assert!(rate.admit(9_999_900 + wait).is_ok(), "it is admitted when it was told to come back");
        assert!(rate.admit(1_000).is_err(), "a clock that goes back brings nothing");
    }
}
