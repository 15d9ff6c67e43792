//! The limit on what spills into one zone: what of it is left now, and which classes it is given to.

use std::collections::BTreeMap;

use beaconshore::interface::Micros;

use crate::lend::Part;
use crate::window::{Window, WINDOW};

/// Weight of a round's demand in the mean; rounds come every `ROUND`.
const GAIN: f64 = 0.1;
/// Requests that a window has room for at least.
const FEW: f64 = 4.0;
/// Longest window, in seconds.
const LONGEST: f64 = 30.0;
/// Time between two rounds of shares, in microseconds.
pub const ROUND: Micros = 50_000;

/// What a class wants to spill, and what it is worth.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Wish {
    /// Work wanted in a second, in microseconds.
    pub work: f64,
    /// Worth for a microsecond of work.
    pub density: f64,
}

/// Gives a budget to classes by what they are worth for their work: the best whole, the next in part, the rest
/// nothing. That is the best use of it, as long as parts of a class may go (the fractional knapsack). Returns
/// each class's share and what is left.
pub fn allot(budget: f64, wishes: &[Wish]) -> (Vec<f64>, f64) {
    let mut order: Vec<usize> = (0..wishes.len()).collect();
    order.sort_by(|a, b| wishes[*b].density.total_cmp(&wishes[*a].density));
    let (mut shares, mut left) = (vec![1.0; wishes.len()], budget.max(0.0));
    for class in order {
        let work = wishes[class].work;
        shares[class] = if work <= left { 1.0 } else { left / work };
        left -= work * shares[class];
    }
    (shares, left.max(0.0))
}

/// Work that spilled into a zone, against its limit.
#[derive(Clone, Debug)]
pub struct Account {
    /// Work in any second: this router's part, with what is lent and borrowed.
    part: Part,
    window: Window,
}

impl Account {
    /// This router's part of the limit.
    pub fn new(limit: f64) -> Self {
        Account { part: Part::new(limit), window: Window::default() }
    }

    /// Work in any second that may spill, or on the mean of a longer window.
    pub fn limit(&self, now: Micros) -> f64 {
        self.part.limit(now)
    }

    /// The same without what is borrowed.
    pub fn own(&self, now: Micros) -> f64 {
        self.part.own(now)
    }

    /// Lends a part to a router that asks for so much.
    pub fn lend(&mut self, to: u32, need: f64, now: Micros) -> Option<(f64, Micros)> {
        let used = self.used(now);
        self.part.lend(to, need, used, now)
    }

    /// Takes a loan.
    pub fn borrow(&mut self, from: u32, work: f64, until: Micros, now: Micros) {
        self.part.borrow(from, work, until, now);
    }

    /// Counts a send.
    pub fn spend(&mut self, now: Micros, work: f64) {
        self.window.add(now, work);
    }

    /// Work that spilled within the last second, or in a second on the mean of a longer window.
    pub fn used(&mut self, now: Micros) -> f64 {
        self.window.sum(now) / f64::from(self.window.span())
    }

    /// What may still go now.
    pub fn credit(&mut self, now: Micros) -> f64 {
        let whole = self.part.limit(now) * f64::from(self.window.span());
        (whole - self.window.sum(now)).max(0.0)
    }

    /// A part that a few requests (of this work) fill is held over as many seconds as these take: within one it
    /// would let none through, or be used by a fraction. Many such routers together hold the limit by their
    /// number, not in each second. May hurt where they all burst at once.
    pub fn fit(&mut self, now: Micros, work: f64) {
        let span = (FEW * work / self.part.own(now).max(1.0)).ceil().clamp(1.0, LONGEST);
        // Not for every change of what requests take.
        if span > f64::from(self.window.span()) || 2.0 * span < f64::from(self.window.span()) {
            self.window.stretch(now, span as u32);
        }
    }
}

/// What classes want to spill: sent or turned away for want of room, as a running mean.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    round: BTreeMap<usize, f64>,
    means: BTreeMap<usize, f64>,
}

impl Demand {
    /// A request of this class wanted to spill.
    pub fn note(&mut self, class: usize, work: f64) {
        *self.round.entry(class).or_default() += work;
    }

    /// Ends a round of `ROUND`.
    pub fn turn(&mut self) {
        let rate = WINDOW as f64 / ROUND as f64;
        for (class, work) in std::mem::take(&mut self.round) {
            *self.means.entry(class).or_default() += GAIN * work * rate;
        }
        self.means.values_mut().for_each(|mean| *mean *= 1.0 - GAIN);
    }

    /// Work wanted in a second over all classes, in microseconds.
    pub fn sum(&self) -> f64 {
        self.means.values().sum()
    }

    /// Work wanted in a second, in microseconds.
    pub fn of(&self, class: usize) -> f64 {
        self.means.get(&class).copied().unwrap_or(0.0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn worth_decides_what_goes() {
        let wish = |work, density| Wish { work, density };
        let (shares, left) = allot(100.0, &[wish(80.0, 1.0), wish(60.0, 3.0), wish(50.0, 2.0)]);
        assert_eq!(shares, [0.0, 1.0, 0.8]);
        assert_eq!(left, 0.0);
        let (shares, left) = allot(500.0, &[wish(80.0, 1.0), wish(60.0, 3.0)]);
        assert_eq!((shares, left), (vec![1.0, 1.0], 360.0));
    }

    #[test]
    fn nothing_goes_beyond_the_limit_of_any_second() {
        let mut account = Account::new(1000.0);
        let (mut now, mut sent) = (5_000_000, Vec::new());
        for _ in 0..4_000 {
            now += 3_137;
            if account.credit(now) >= 70.0 {
                account.spend(now, 70.0);
                sent.push(now);
            }
        }
        for (i, from) in sent.iter().enumerate() {
            let within = sent[i..].iter().take_while(|at| **at < from + WINDOW).count();
            assert!(within as f64 * 70.0 <= 1000.0, "{within} sends in a second");
        }
        // A part of less than a request in a second lets one through now and then.
        let (mut small, mut count) = (Account::new(20.0), 0);
        small.fit(now, 70.0);
        for _ in 0..20_000 {
            now += 5_000;
            if small.credit(now) >= 70.0 {
                small.spend(now, 70.0);
                count += 1;
            }
        }
        assert!((20..=32).contains(&count), "{count} sends in 100 s");
        assert!(sent.len() > 4_000 * 3_137 / 1_000_000 * 12, "the limit is used: {} sends", sent.len());
    }
}
