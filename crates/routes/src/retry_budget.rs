//! Retry budget of a route: retries are limited to a share of first attempts, with a guaranteed minimum rate.
//!
//! However many attempts fail, members receive no more than this share on top of the first attempts, so that retries
//! cannot amplify an outage.

use beaconshore::interface::Micros;

/// Time constant with which past first attempts are forgotten, in microseconds. It bounds the budget that accumulates
/// in a quiet period, which could otherwise be spent within one second.
const MEMORY_US: f64 = 10e6;

/// Token bucket of the retries that one route may send.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    retry_share: f64,
    min_per_second: f64,
    tokens: f64,
    /// Recent first attempts, with exponential decay.
    recent_first_attempts: f64,
    updated_at: Micros,
}

impl RetryBudget {
    /// Allows retries up to `retry_share` of first attempts, or `min_per_second` where that is more.
    pub fn new(retry_share: f64, min_per_second: f64, now: Micros) -> Self {
        RetryBudget {
            retry_share,
            min_per_second,
            tokens: min_per_second,
            recent_first_attempts: 0.0,
            updated_at: now,
        }
    }

    /// Applies decay and refill for the time since the last call.
    fn advance(&mut self, now: Micros) {
        let elapsed = now.saturating_sub(self.updated_at) as f64;
        self.updated_at = self.updated_at.max(now);
        self.recent_first_attempts *= (-elapsed / MEMORY_US).exp();
        self.tokens += self.min_per_second * elapsed / 1e6;
        // The bucket holds at most what the remembered first attempts earned, or one second of the minimum rate.
        self.tokens =
            self.tokens.min((self.retry_share * self.recent_first_attempts).max(self.min_per_second));
    }

    /// Records the first attempt of a request, which adds to the budget.
    pub fn record_first_attempt(&mut self, now: Micros) {
        self.advance(now);
        self.recent_first_attempts += 1.0;
        self.tokens += self.retry_share;
    }

    /// Takes one retry from the budget and returns whether there was one left.
    pub fn try_take_retry(&mut self, now: Micros) -> bool {
        self.advance(now);
        let allowed = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(allowed));
        allowed
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against retries amplifying an outage: every attempt fails and each request asks for four retries.
    #[test]
    fn retries_stay_within_their_share_when_every_attempt_fails() {
        let (mut budget, mut first_attempts, mut retries) = (RetryBudget::new(0.2, 1.0, 0), 0, 0);
        for i in 0..30_000_u64 {
            let now = i * 3_000;
            first_attempts += 1;
            budget.record_first_attempt(now);
            retries += (0..4).filter(|_| budget.try_take_retry(now)).count();
        }
        let share = retries as f64 / f64::from(first_attempts);
        assert!((0.19..0.22).contains(&share), "{share}");
    }

    /// Guards against a route with so few requests that its share of them never adds up to a retry.
    #[test]
    fn a_route_with_few_requests_may_retry_at_the_minimum_rate() {
        let mut budget = RetryBudget::new(0.1, 2.0, 0);
        let allowed = (0..100_u64).filter(|i| budget.try_take_retry(i * 100_000)).count();
        assert!((19..=23).contains(&allowed), "{allowed} in 10 s");
    }

    /// Guards against a long quiet period saving up a budget that is then spent in one burst.
    #[test]
    fn the_budget_saved_in_a_quiet_period_is_bounded() {
        let mut budget = RetryBudget::new(0.2, 0.0, 0);
        (0..100_000_u64).for_each(|i| budget.record_first_attempt(i * 10_000));
        let burst = (0..10_000).filter(|_| budget.try_take_retry(1_000_000_000)).count();
        assert!(burst <= 202, "{burst} retries at once after 100 requests a second");
    }
}
