//! Adaptive limit on a route's requests in flight, driven by response times.
//!
//! A response that took at most `tolerance` times the baseline latency while the limit was in use raises the limit by
//! `1 / limit`, hence by one for each full limit of such responses. A slower response or a failure lowers the limit by
//! a tenth, at most once in the time that a response usually takes.

use beaconshore::interface::Micros;

/// Factor by which the limit falls after a slow response or a failure.
const DECREASE_FACTOR: f64 = 0.9;
/// Weight of a new sample in the moving average of latency.
const LATENCY_SMOOTHING: f64 = 0.1;
/// Time constant with which the baseline latency drifts up to the present average, in microseconds. It is far longer
/// than a congestion lasts, since a congested latency would otherwise become the baseline.
const BASELINE_MEMORY_US: f64 = 600e6;
/// The limit counts as in use if at least this share of it is in flight. An idle route does not raise its limit.
const IN_USE_SHARE: f64 = 0.8;

/// Adaptive concurrency limit of one route.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    min: f64,
    max: f64,
    tolerance: f64,
    limit: f64,
    in_flight: u32,
    /// Moving average of latency, in microseconds; 0 before the first sample.
    mean_latency: f64,
    /// Lowest moving average so far, in microseconds, which drifts up slowly.
    baseline_latency: f64,
    decreased_at: Micros,
    updated_at: Micros,
}

impl ConcurrencyLimit {
    /// Creates a limit that stays between `min` and `max`, and starts at twice `min`.
    pub fn new(min: u32, max: u32, tolerance: f64) -> Self {
        let (min, max) = (f64::from(min.max(1)), f64::from(max.max(min).max(1)));
        let limit = (2.0 * min).min(max);
        ConcurrencyLimit {
            min,
            max,
            tolerance,
            limit,
            in_flight: 0,
            mean_latency: 0.0,
            baseline_latency: f64::MAX,
            decreased_at: 0,
            updated_at: 0,
        }
    }

    /// The present limit on requests in flight.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Number of requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Whether one more request may be admitted.
    pub fn has_capacity(&self) -> bool {
        self.in_flight < self.limit()
    }

    /// Counts one more request as in flight.
    pub fn acquire(&mut self) {
        self.in_flight += 1;
    }

    /// Counts a request as ended, and adjusts the limit by what its end says of the load.
    pub fn release(&mut self, sample: LoadSample, now: Micros) {
        let in_use = f64::from(self.in_flight) >= IN_USE_SHARE * self.limit;
        self.in_flight = self.in_flight.saturating_sub(1);
        let latency = match sample {
            LoadSample::Served(latency) => latency as f64,
            LoadSample::Failed => f64::MAX,
            LoadSample::Ignored => return,
        };
        if latency < f64::MAX {
            self.mean_latency = if self.mean_latency == 0.0 {
                latency
            } else {
                self.mean_latency + LATENCY_SMOOTHING * (latency - self.mean_latency)
            };
            self.baseline_latency = self.baseline_latency.min(self.mean_latency);
            let elapsed = now.saturating_sub(self.updated_at) as f64;
            self.baseline_latency +=
                (1.0 - (-elapsed / BASELINE_MEMORY_US).exp()) * (self.mean_latency - self.baseline_latency);
        }
        self.updated_at = now;
        if latency > self.tolerance * self.baseline_latency {
            if now >= self.decreased_at.saturating_add(self.mean_latency as Micros) {
                (self.limit, self.decreased_at) = ((DECREASE_FACTOR * self.limit).max(self.min), now);
            }
        } else if in_use {
            self.limit = (self.limit + 1.0 / self.limit).min(self.max);
        }
    }
}

/// What the end of a request says of the load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadSample {
    /// The request was served after this time, in microseconds.
    Served(Micros),
    /// The request failed, or was refused after an attempt.
    Failed,
    /// The client left, or no attempt was made: nothing is known of the load.
    Ignored,
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Runs a limit against a server that handles `capacity` requests at once in 50 ms each. With more in flight the
    /// response time grows in proportion.
    fn run_against_server(capacity: f64, rounds: u64) -> ConcurrencyLimit {
        let mut limit = ConcurrencyLimit::new(2, 500, 2.0);
        for round in 0..rounds {
            let now = round * 60_000;
            let in_flight = limit.limit();
            (0..in_flight).for_each(|_| limit.acquire());
            let latency = 50_000.0 * (f64::from(in_flight) / capacity).max(1.0);
            (0..in_flight).for_each(|_| limit.release(LoadSample::Served(latency as Micros), now));
        }
        limit
    }

    /// Guards against a limit that stays far below or grows far beyond the capacity of the server.
    #[test]
    fn the_limit_converges_near_the_capacity_of_the_server() {
        for capacity in [10.0, 60.0] {
            let limit = f64::from(run_against_server(capacity, 2_000).limit());
            assert!((0.9 * capacity..2.6 * capacity).contains(&limit), "{limit} for {capacity}");
        }
    }

    /// Guards against a limit that ignores failures, and against one that grows while the route hardly uses it.
    #[test]
    fn failures_lower_the_limit_to_its_minimum_and_an_idle_route_does_not_raise_it() {
        let mut limit = run_against_server(60.0, 2_000);
        for i in 0..2_000_u64 {
            limit.acquire();
            limit.release(LoadSample::Failed, 1_000_000_000 + i * 60_000);
        }
        assert_eq!((limit.limit(), limit.in_flight()), (2, 0));
        for i in 0..2_000_u64 {
            limit.acquire();
            limit.release(LoadSample::Served(50_000), 2_000_000_000 + i * 60_000);
        }
        assert_eq!(limit.limit(), 2, "one request at a time does not raise the limit");
        limit.acquire();
        limit.release(LoadSample::Ignored, 3_000_000_000);
        assert_eq!(limit.in_flight(), 0);
    }
}
