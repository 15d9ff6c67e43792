//! How far this machine's clock is from the members'. All are meant to read one clock; where this one was set wrong,
//! every replica would look too old, or, worse, fresher than it is.
//!
//! A primary tells the present with each answer. What lies between that and its arrival is the difference of the
//! clocks and the way, which is never negative: the least of many is nearly the difference alone.

use std::cell::Cell;

use beaconshore::interface::Micros;

/// Answers of primaries that have to agree...
const AGREEING: usize = 3;
/// ...within this.
const AGREEMENT: i64 = 5_000;
/// Differences between these are none: answers take that long, and times are told in milliseconds.
const NONE: std::ops::RangeInclusive<i64> = -2_000..=20_000;
/// What is further off is no clock's fault.
const LARGEST: i64 = 60_000_000;

/// The difference as known so far, in microseconds; this clock is ahead where it is positive.
#[derive(Debug, Default)]
pub struct Skew {
    /// The least that were seen, in order; as many as have to agree.
    least: Cell<Option<[i64; AGREEING]>>,
    difference: Cell<i64>,
}

impl Skew {
    /// A primary told that it was `told` then, and that came `now`; true if that changed the difference.
    pub fn sample(&self, told: Micros, now: Micros) -> bool {
        let Some(seen) = now.checked_signed_diff(told).filter(|d| d.abs() <= LARGEST) else { return false };
        let mut least = self.least.get().unwrap_or([i64::MAX; AGREEING]);
        if seen >= least[AGREEING - 1] {
            return false;
        }
        least[AGREEING - 1] = seen;
        least.sort_unstable();
        self.least.set(Some(least));
        let (first, last) = (least[0], least[AGREEING - 1]);
        let agreed = last != i64::MAX && last - first <= AGREEMENT;
        let difference = if agreed && !NONE.contains(&last) { last } else { 0 };
        // Both clocks run evenly: a difference once known is only ever known better.
        agreed && self.difference.replace(difference) != difference
    }

    /// What the members' clocks call this, on this machine's clock.
    pub fn ours(&self, theirs: Micros) -> Micros {
        theirs.saturating_add_signed(self.difference.get())
    }

    /// What this machine's clock calls this, on the members' clocks.
    pub fn theirs(&self, ours: Micros) -> Micros {
        ours.saturating_add_signed(-self.difference.get())
    }

    /// The difference, in microseconds.
    pub fn difference(&self) -> i64 {
        self.difference.get()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const T: Micros = 1_767_225_600_000_000;

    #[test]
    fn clocks_that_agree_differ_by_nothing() {
        let skew = Skew::default();
        for way in [900, 300, 40_000, 150, 2_000, 700] {
            skew.sample(T, T + way);
        }
        assert_eq!((skew.difference(), skew.ours(T), skew.theirs(T)), (0, T, T));
    }

    #[test]
    fn a_clock_that_is_off_is_known_from_a_few_answers_that_agree() {
        for off in [5_800_000, 80_000, -150_000] {
            let skew = Skew::default();
            let told = |way: i64| skew.sample(T, T.saturating_add_signed(off + way));
            assert!(!told(300) && !told(700_000), "two that don't agree tell nothing");
            assert!(!told(900) && told(600), "three that do");
            assert!((off..off + 1_000).contains(&skew.difference()), "{off}: {}", skew.difference());
            assert!(skew.ours(T).abs_diff(T.saturating_add_signed(off)) < 1_000);
            assert_eq!(skew.theirs(skew.ours(T)), T);
            told(2_000_000);
            assert!((off..off + 1_000).contains(&skew.difference()), "late answers change nothing");
        }
    }

    #[test]
    fn one_that_tells_another_time_is_not_believed() {
        let skew = Skew::default();
        for _ in 0..3 {
            skew.sample(T, T + 400);
        }
        skew.sample(T + 9_000_000, T);
        skew.sample(T + 5_000_000, T);
        assert_eq!(skew.difference(), 0);
        skew.sample(0, T);
        skew.sample(Micros::MAX, T);
        assert_eq!(skew.difference(), 0);
    }
}
