//! Limit on the rate of a route's first attempts, by the generic cell rate algorithm of the `governor` library. The
//! library runs on the time that the caller passes, not on a clock of its own.

use std::num::NonZeroU32;
use std::time::Duration;

use beaconshore::interface::Micros;
use governor::clock::{Clock, FakeRelativeClock};
use governor::{Quota, RateLimiter};

type GovernorLimiter = governor::RateLimiter<
    governor::state::NotKeyed,
    governor::state::InMemoryState,
    FakeRelativeClock,
    governor::middleware::NoOpMiddleware<<FakeRelativeClock as Clock>::Instant>,
>;

/// Rate limiter of one route.
pub struct RouteRateLimiter {
    limiter: GovernorLimiter,
    clock: FakeRelativeClock,
    now: Micros,
}

impl RouteRateLimiter {
    /// Allows `per_second` requests a second, of which `burst` may come at once.
    pub fn new(per_second: NonZeroU32, burst: NonZeroU32, now: Micros) -> Self {
        let clock = FakeRelativeClock::default();
        let quota = Quota::per_second(per_second).allow_burst(burst);
        RouteRateLimiter { limiter: RateLimiter::direct_with_clock(quota, clock.clone()), clock, now }
    }

    /// Admits one request, or returns the time in microseconds after which one would be admitted.
    pub fn try_admit(&mut self, now: Micros) -> Result<(), Micros> {
        // A clock that steps back counts as no time elapsed.
        let elapsed = now.saturating_sub(self.now);
        self.now = self.now.max(now);
        self.clock.advance(Duration::from_micros(elapsed));
        self.limiter.check().map_err(|not_until| {
            let wait = not_until.wait_time_from(self.clock.now());
            (wait.as_micros() as Micros).max(1)
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against admitting more than the rate and one burst, against a wait that is too short, and against a
    /// clock that steps back adding to the quota.
    #[test]
    fn at_most_the_rate_and_one_burst_are_admitted() {
        let nonzero = |n| NonZeroU32::new(n).unwrap();
        let mut limiter = RouteRateLimiter::new(nonzero(50), nonzero(10), 0);
        let admitted = (0..100_000).filter(|i| limiter.try_admit(i * 100).is_ok()).count();
        assert!((505..=511).contains(&admitted), "{admitted} in 10 s");
        let wait = limiter.try_admit(9_999_900).unwrap_err();
        assert!(wait <= 20_000, "{wait}");
        assert!(
            limiter.try_admit(9_999_900 + wait).is_ok(),
            "a request is admitted after the wait it was told"
        );
        assert!(limiter.try_admit(1_000).is_err(), "a clock that steps back adds no quota");
    }
}
