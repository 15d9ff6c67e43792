//! The limit on the work that spills over into one zone: what is left of it now, and which request classes
//! get it.

use std::collections::BTreeMap;

use beaconshore::interface::Micros;

use crate::limit_loans::LimitPart;
use crate::sliding_window::{SlidingWindow, WINDOW_MICROS};

/// Weight of the latest round's demand in the moving average.
const DEMAND_SMOOTHING: f64 = 0.1;
/// A window is long enough for at least this many requests.
const MIN_REQUESTS_PER_WINDOW: f64 = 4.0;
/// Length of the longest window, in seconds.
const MAX_WINDOW_SECONDS: f64 = 30.0;
/// Time between two rounds, in microseconds. Each round the planner updates its zones and the demand.
pub const ROUND_MICROS: Micros = 50_000;

/// How much work of a class wants to spill over, and the value of that work.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ClassDemand {
    /// Work that wants to spill over, in microseconds per second.
    pub work: f64,
    /// Value of a microsecond of work.
    pub value_per_work: f64,
}

/// Divides a budget among classes in order of their value per work: the best ones get all they want, the next
/// one gets a part, and the others get nothing. This earns the most value, since a class may be served in
/// part (the fractional knapsack problem). Returns each class's share of what it wants, and what is left of
/// the budget.
pub fn allocate(budget: f64, demands: &[ClassDemand]) -> (Vec<f64>, f64) {
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by(|a, b| demands[*b].value_per_work.total_cmp(&demands[*a].value_per_work));
    let (mut shares, mut left) = (vec![1.0; demands.len()], budget.max(0.0));
    for class in order {
        let work = demands[class].work;
        shares[class] = if work <= left { 1.0 } else { left / work };
        left -= work * shares[class];
    }
    (shares, left.max(0.0))
}

/// Keeps the work that this router lets spill over into one zone within its limit.
#[derive(Clone, Debug)]
pub struct SpillLimiter {
    /// This router's part of the limit, with loans.
    part: LimitPart,
    /// Work that has spilled over lately.
    window: SlidingWindow,
}

impl SpillLimiter {
    /// Creates a limiter for this router's part of the limit, in microseconds of work within any second.
    pub fn new(limit: f64) -> Self {
        SpillLimiter { part: LimitPart::new(limit), window: SlidingWindow::default() }
    }

    /// Returns the work that may spill over within any second, in microseconds; with a longer window, on its
    /// mean.
    pub fn limit(&self, now: Micros) -> f64 {
        self.part.limit(now)
    }

    /// Returns the limit without what is borrowed from other routers.
    pub fn own_limit(&self, now: Micros) -> f64 {
        self.part.own_limit(now)
    }

    /// Lends a part of the limit to a router that asks for `need`. Returns the amount and the end of the
    /// loan.
    pub fn lend(&mut self, to: u32, need: f64, now: Micros) -> Option<(f64, Micros)> {
        let used = self.used(now);
        self.part.lend(to, need, used, now)
    }

    /// Takes a loan from another router.
    pub fn borrow(&mut self, from: u32, work: f64, until: Micros, now: Micros) {
        self.part.borrow(from, work, until, now);
    }

    /// Counts the work of an attempt that is sent.
    pub fn spend(&mut self, now: Micros, work: f64) {
        self.window.add(now, work);
    }

    /// Returns the work that spilled over within the last second, in microseconds; with a longer window, its
    /// mean per second.
    pub fn used(&mut self, now: Micros) -> f64 {
        self.window.total(now) / f64::from(self.window.span_seconds())
    }

    /// Returns the work that may still spill over now, in microseconds.
    pub fn remaining(&mut self, now: Micros) -> f64 {
        let allowed = self.part.limit(now) * f64::from(self.window.span_seconds());
        (allowed - self.window.total(now)).max(0.0)
    }

    /// Sets the length of the window so that it has room for a few requests of this work each. With one
    /// second a part of about one request would let none through, or be used only in part. Many routers with
    /// such small parts hold the limit together on average, not in each second. If they all send at once, the
    /// zone gets more than its limit for a moment.
    pub fn fit_window(&mut self, now: Micros, work: f64) {
        let span_seconds = (MIN_REQUESTS_PER_WINDOW * work / self.part.own_limit(now).max(1.0))
            .ceil()
            .clamp(1.0, MAX_WINDOW_SECONDS);
        // The window shrinks only if it is more than twice too long, so that it does not follow every small
        // change.
        if span_seconds > f64::from(self.window.span_seconds())
            || 2.0 * span_seconds < f64::from(self.window.span_seconds())
        {
            self.window.resize(now, span_seconds as u32);
        }
    }
}

/// Measures how much work of each class wants to spill over, as a moving average. Both requests that were
/// sent to another zone and requests that were refused for lack of room count.
#[derive(Clone, Debug, Default)]
pub struct SpillDemand {
    /// Work of the current round, by class.
    current_round: BTreeMap<usize, f64>,
    /// Moving averages in microseconds of work per second, by class.
    averages: BTreeMap<usize, f64>,
}

impl SpillDemand {
    /// Counts a request of a class that wanted to spill over.
    pub fn record(&mut self, class: usize, work: f64) {
        *self.current_round.entry(class).or_default() += work;
    }

    /// Ends a round of [`ROUND_MICROS`] and updates the averages.
    pub fn end_round(&mut self) {
        let rounds_per_second = WINDOW_MICROS as f64 / ROUND_MICROS as f64;
        for (class, work) in std::mem::take(&mut self.current_round) {
            *self.averages.entry(class).or_default() += DEMAND_SMOOTHING * work * rounds_per_second;
        }
        self.averages.values_mut().for_each(|average| *average *= 1.0 - DEMAND_SMOOTHING);
    }

    /// Returns the work that wants to spill over in all classes together, in microseconds per second.
    pub fn total(&self) -> f64 {
        self.averages.values().sum()
    }

    /// Returns the work of a class that wants to spill over, in microseconds per second.
    pub fn of_class(&self, class: usize) -> f64 {
        self.averages.get(&class).copied().unwrap_or(0.0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn budget_goes_to_the_classes_with_the_highest_value_per_work() {
        let demand = |work, value_per_work| ClassDemand { work, value_per_work };
        let (shares, left) = allocate(100.0, &[demand(80.0, 1.0), demand(60.0, 3.0), demand(50.0, 2.0)]);
        assert_eq!(shares, [0.0, 1.0, 0.8]);
        assert_eq!(left, 0.0);
        let (shares, left) = allocate(500.0, &[demand(80.0, 1.0), demand(60.0, 3.0)]);
        assert_eq!((shares, left), (vec![1.0, 1.0], 360.0));
    }

    /// Guards against more work in any second than the limit allows, against a limit that is left unused, and
    /// against a limit of less than one request per second that lets nothing through at all.
    #[test]
    fn limit_holds_in_any_second_and_a_small_one_still_lets_requests_through() {
        let mut limiter = SpillLimiter::new(1000.0);
        let (mut now, mut sent) = (5_000_000, Vec::new());
        for _ in 0..4_000 {
            now += 3_137;
            if limiter.remaining(now) >= 70.0 {
                limiter.spend(now, 70.0);
                sent.push(now);
            }
        }
        for (i, from) in sent.iter().enumerate() {
            let within = sent[i..].iter().take_while(|at| **at < from + WINDOW_MICROS).count();
            assert!(within as f64 * 70.0 <= 1000.0, "{within} sends in a second");
        }
        // A limit of less than one request per second lets a request through every few seconds.
        let (mut small, mut count) = (SpillLimiter::new(20.0), 0);
        small.fit_window(now, 70.0);
        for _ in 0..20_000 {
            now += 5_000;
            if small.remaining(now) >= 70.0 {
                small.spend(now, 70.0);
                count += 1;
            }
        }
        assert!((20..=32).contains(&count), "{count} sends in 100 s");
        assert!(sent.len() > 4_000 * 3_137 / 1_000_000 * 12, "the limit is used: {} sends", sent.len());
    }
}
