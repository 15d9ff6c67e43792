//! Deterministic pseudorandom numbers from a seed. This file makes no decision.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// A generator of pseudorandom numbers (ChaCha with 8 rounds). Its sequence is the same on every machine and
/// in every version.
#[derive(Clone, Debug)]
pub struct Random(ChaCha8Rng);

impl Random {
    /// Creates a generator; the same seed gives the same sequence.
    pub fn new(seed: u64) -> Self {
        Random(ChaCha8Rng::seed_from_u64(seed))
    }

    /// Returns a random number less than `below`; 0 if `below` is 0.
    pub fn draw(&mut self, below: u64) -> u64 {
        self.0.random_range(0..below.max(1))
    }
}

impl Default for Random {
    fn default() -> Self {
        Random::new(0)
    }
}

/// Maps a number to a pseudorandom number from 0 to 1; the same input always gives the same result.
pub fn unit_hash(number: u64) -> f64 {
    (number.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 11) as f64 / (1u64 << 53) as f64
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn numbers_are_spread_evenly_and_repeat_with_their_seed() {
        let (mut one, mut other) = (Random::new(7), Random::new(7));
        let drawn: Vec<u64> = (0..10_000).map(|_| one.draw(10)).collect();
        assert!(drawn.iter().all(|&n| n == other.draw(10)));
        for number in 0..10 {
            let count = drawn.iter().filter(|&&n| n == number).count();
            assert!((850..1150).contains(&count), "{number}: {count}");
        }
        let low = (0..10_000).filter(|&n| unit_hash(one.draw(u64::MAX) ^ n) < 0.3).count();
        assert!((2_800..3_200).contains(&low), "{low}");
    }
}
