//! What is read off days: scores relative to the oracle, spread over seeds, percentiles.

use beaconshore_emulator::plan::SECOND;
use beaconshore_emulator::{Brains, Day, Plan};
use hdrhistogram::Histogram;

use crate::plays::Plays;

/// Longest time that histograms hold, in microseconds.
const LONGEST: u64 = 600_000_000;

/// Least, mean and most of some numbers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spread {
    /// Least.
    pub least: f64,
    /// Mean.
    pub mean: f64,
    /// Most.
    pub most: f64,
}

/// The spread of some numbers; none of none.
pub fn spread(numbers: impl Iterator<Item = f64>) -> Option<Spread> {
    let all: Vec<f64> = numbers.collect();
    let mean = all.iter().sum::<f64>() / all.len().max(1) as f64;
    let (least, most) = (all.iter().copied().reduce(f64::min)?, all.iter().copied().reduce(f64::max)?);
    Some(Spread { least, mean, most })
}

/// The second from which a day is judged after its first fault: five seconds on.
pub fn judged_from(plan: &Plan) -> usize {
    let first = plan.strikes.iter().map(|s| s.at).min();
    first.map_or((plan.settle / SECOND) as usize, |at| (at / SECOND) as usize + 5)
}

/// A day's score from there on, over the oracle's on the same seed.
pub fn of_oracle(plan: &Plan, plays: &Plays, brains: Brains, seed: u64) -> Option<f64> {
    let from = judged_from(plan);
    let score = |b: Brains| plays.day(b, seed).map(|day| day.score_between(from, plan.seconds()));
    let (score, oracle) = (score(brains)?, score(Brains::Oracle)?);
    (oracle > 0.0).then(|| score / oracle)
}

/// The service score of each second, with its spread over seeds.
pub fn by_second(plan: &Plan, plays: &Plays, brains: Brains) -> Vec<Option<Spread>> {
    let seconds = 0..plan.seconds();
    let score = |second: usize| {
        let days = plays.of(brains).filter(move |day| day.seconds[second].asked > 0.0);
        spread(days.map(move |day| day.score_between(second, second + 1)))
    };
    seconds.map(score).collect()
}

/// Times of served requests over some days, in microseconds; of one class, or of all.
pub fn times<'d>(
    days: impl Iterator<Item = &'d Day>,
    class: Option<usize>,
    second: Option<usize>,
) -> Histogram<u64> {
    // The bounds are constants that the library takes.
    let mut histogram = Histogram::new_with_bounds(1, LONGEST, 3).expect("bounds that fit");
    for day in days {
        for (c, at, took) in &day.latencies {
            let fits = class.is_none_or(|class| class == usize::from(*c));
            if fits && second.is_none_or(|s| s == usize::from(*at)) {
                histogram.saturating_record(u64::from(*took).max(1));
            }
        }
    }
    histogram
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn spreads_and_percentiles_are_those_of_the_numbers() {
        let found = spread([3.0, 1.0, 2.0].into_iter()).unwrap();
        assert_eq!(found, Spread { least: 1.0, mean: 2.0, most: 3.0 });
        assert_eq!(spread(std::iter::empty()), None);
        let day = Day {
            latencies: (1..=1000).map(|i| (u8::from(i % 2 == 0), 3, i * 1000)).collect(),
            ..Day::default()
        };
        let all = times([&day].into_iter(), None, None);
        let median = all.value_at_quantile(0.5);
        assert!(median.abs_diff(500_000) < 1_000, "{median}");
        assert_eq!(times([&day].into_iter(), Some(1), None).len(), 500);
        assert_eq!(times([&day].into_iter(), None, Some(4)).len(), 0);
    }
}
