//! A budget for repeats: a share of first tries, with a floor. However many attempts fail, members get no more
//! than that on top, so that repeats cannot multiply an outage.

use beaconshore::interface::Micros;

/// First tries of about so long are remembered: a budget saved in a calm hour is not spent in one second.
const MEMORY: f64 = 10e6;

/// The budget of one route.
#[derive(Clone, Debug)]
pub struct Repeats {
    share: f64,
    floor: f64,
    tokens: f64,
    /// First tries of late, forgotten over the memory.
    tries: f64,
    at: Micros,
}

impl Repeats {
    /// Repeats up to a share of first tries, or so many a second where that is more.
    pub fn new(share: f64, floor_per_second: f64, now: Micros) -> Self {
        Repeats { share, floor: floor_per_second, tokens: floor_per_second, tries: 0.0, at: now }
    }

    fn pass(&mut self, now: Micros) {
        let passed = now.saturating_sub(self.at) as f64;
        self.at = self.at.max(now);
        self.tries *= (-passed / MEMORY).exp();
        self.tokens += self.floor * passed / 1e6;
        // What can be saved: what a memory's first tries allow, or a second's floor.
        self.tokens = self.tokens.min((self.share * self.tries).max(self.floor));
    }

    /// A first try.
    pub fn on_try(&mut self, now: Micros) {
        self.pass(now);
        self.tries += 1.0;
        self.tokens += self.share;
    }

    /// Whether a repeat is allowed; it is counted if so.
    pub fn allow(&mut self, now: Micros) -> bool {
        self.pass(now);
        let allowed = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(allowed));
        allowed
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn in_an_outage_repeats_stay_a_share_of_first_tries() {
        // All fails, and whoever may asks five times.
        let (mut repeats, mut first, mut again) = (Repeats::new(0.2, 1.0, 0), 0, 0);
        for i in 0..30_000_u64 {
            let now = i * 3_000;
            first += 1;
            repeats.on_try(now);
            again += (0..4).filter(|_| repeats.allow(now)).count();
        }
        let share = again as f64 / f64::from(first);
        assert!((0.19..0.22).contains(&share), "{share}");
    }

    #[test]
    fn a_route_with_few_requests_has_its_floor() {
        let mut repeats = Repeats::new(0.1, 2.0, 0);
        let allowed = (0..100_u64).filter(|i| repeats.allow(i * 100_000)).count();
        assert!((19..=23).contains(&allowed), "{allowed} in 10 s");
    }

    #[test]
    fn what_was_saved_in_calm_is_bounded() {
        let mut repeats = Repeats::new(0.2, 0.0, 0);
        (0..100_000_u64).for_each(|i| repeats.on_try(i * 10_000));
        let burst = (0..10_000).filter(|_| repeats.allow(1_000_000_000)).count();
        assert!(burst <= 202, "{burst} at once after 100 requests a second");
    }
}
