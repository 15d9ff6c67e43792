//! Random numbers: ChaCha with 8 rounds, one stream for each purpose. What one purpose draws shifts no other, so
//! that arrivals and faults are the same whatever the routers decide.

use beaconshore::interface::Micros;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1, StandardNormal};

/// What numbers are drawn for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// When clients ask, and what for.
    Arrivals,
    /// What clients do after an answer.
    Clients,
    /// Delays and losses on the network.
    Network,
    /// Speeds, elections, restarts.
    Members,
    /// News of the list.
    Discovery,
    /// Who is struck by a fault.
    Faults,
    /// What baselines choose.
    Baselines,
}

/// A stream of numbers.
#[derive(Clone, Debug)]
pub struct Draws(ChaCha8Rng);

impl Draws {
    /// The stream of a purpose.
    pub fn new(seed: u64, purpose: Purpose) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        random.set_stream(purpose as u64 + 1);
        Draws(random)
    }

    /// From 0 up to 1.
    pub fn share(&mut self) -> f64 {
        self.0.random()
    }

    /// Whether something of this chance happens.
    pub fn chance(&mut self, chance: f64) -> bool {
        self.share() < chance
    }

    /// Under `below`, or 0.
    pub fn below(&mut self, below: usize) -> usize {
        self.0.random_range(0..below.max(1))
    }

    /// Any number.
    pub fn any(&mut self) -> u64 {
        self.0.random()
    }

    /// Between two times.
    pub fn between(&mut self, least: Micros, most: Micros) -> Micros {
        if most <= least {
            least
        } else {
            self.0.random_range(least..=most)
        }
    }

    /// An exponential time of this mean.
    pub fn wait(&mut self, mean: f64) -> f64 {
        let unit: f64 = Exp1.sample(&mut self.0);
        unit * mean
    }

    /// A lognormal number of this mean and coefficient of variation.
    pub fn lognormal(&mut self, mean: f64, spread: f64) -> f64 {
        let sigma2 = (1.0 + spread * spread).ln();
        let unit: f64 = StandardNormal.sample(&mut self.0);
        mean * (unit * sigma2.sqrt() - sigma2 / 2.0).exp()
    }

    /// A time spread around a mean by a share of it, never under a third of it.
    pub fn around(&mut self, mean: f64, spread: f64) -> Micros {
        let unit: f64 = StandardNormal.sample(&mut self.0);
        (mean * (1.0 + spread * unit).clamp(1.0 / 3.0, 3.0)) as Micros
    }
}
