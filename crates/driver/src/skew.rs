//! Estimates the difference between this machine's clock and the clocks of the members. All machines are meant to have
//! synchronized clocks. If this one is set wrong, every replica looks too stale or, worse, fresher than it is.
//!
//! A primary sends its current time with each answer. The difference between that and the time of arrival is the difference
//! of the clocks plus the time of the transfer, which is never negative. The least of many such values is therefore close to
//! the difference of the clocks alone.

use std::cell::Cell;

use beaconshore::interface::Micros;

/// Number of samples that must agree before a difference is accepted.
const REQUIRED_SAMPLES: usize = 3;
/// Greatest spread of samples that agree, in microseconds.
const MAX_SPREAD_US: i64 = 5_000;
/// Differences that count as none, in microseconds: transfers take up to that long, and times are sent in milliseconds.
const NO_DIFFERENCE_US: std::ops::RangeInclusive<i64> = -2_000..=20_000;
/// Greater differences, in microseconds, are ignored: they are not the effect of a wrong clock.
const MAX_DIFF: i64 = 60_000_000;

/// The estimated difference of the clocks. It is positive if this machine's clock is ahead of the members' clocks.
#[derive(Debug, Default)]
pub struct ClockSkew {
    /// The least samples so far in ascending order, in microseconds; as many as have to agree.
    least_samples: Cell<Option<[i64; REQUIRED_SAMPLES]>>,
    /// The accepted difference, in microseconds.
    difference: Cell<i64>,
}

impl ClockSkew {
    /// Adds a sample: a primary sent the time `sent` of its clock, which arrived at `now`. Returns whether the difference
    /// changed.
    pub fn add_sample(&self, sent: Micros, now: Micros) -> bool {
        let Some(diff) = now.checked_signed_diff(sent).filter(|d| d.abs() <= MAX_DIFF) else { return false };
        let mut least_samples = self.least_samples.get().unwrap_or([i64::MAX; REQUIRED_SAMPLES]);
        if diff >= least_samples[REQUIRED_SAMPLES - 1] {
            return false;
        }
        least_samples[REQUIRED_SAMPLES - 1] = diff;
        least_samples.sort_unstable();
        self.least_samples.set(Some(least_samples));
        let (first, last) = (least_samples[0], least_samples[REQUIRED_SAMPLES - 1]);
        let agrees = last != i64::MAX && last - first <= MAX_SPREAD_US;
        let difference = if agrees && !NO_DIFFERENCE_US.contains(&last) { last } else { 0 };
        // Both clocks run at the same rate, so further samples can only make the difference more precise.
        agrees && self.difference.replace(difference) != difference
    }

    /// Converts a time of the members' clocks to this machine's clock.
    pub fn to_local(&self, member_time: Micros) -> Micros {
        member_time.saturating_add_signed(self.difference.get())
    }

    /// Converts a time of this machine's clock to the members' clocks.
    pub fn to_members(&self, local_time: Micros) -> Micros {
        local_time.saturating_add_signed(-self.difference.get())
    }

    /// The difference in microseconds; positive if this machine's clock is ahead.
    pub fn difference(&self) -> i64 {
        self.difference.get()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const T: Micros = 1_767_225_600_000_000;

    #[test]
    fn transfer_times_alone_give_no_difference() {
        let skew = ClockSkew::default();
        for transfer in [900, 300, 40_000, 150, 2_000, 700] {
            skew.add_sample(T, T + transfer);
        }
        assert_eq!((skew.difference(), skew.to_local(T), skew.to_members(T)), (0, T, T));
    }

    #[test]
    fn a_wrong_clock_is_detected_from_a_few_samples_that_agree() {
        for offset in [5_800_000, 80_000, -150_000] {
            let skew = ClockSkew::default();
            let add_sample = |transfer: i64| skew.add_sample(T, T.saturating_add_signed(offset + transfer));
            assert!(!add_sample(300) && !add_sample(700_000), "two samples that do not agree have no effect");
            assert!(!add_sample(900) && add_sample(600), "three samples that agree do");
            assert!((offset..offset + 1_000).contains(&skew.difference()), "{offset}: {}", skew.difference());
            assert!(skew.to_local(T).abs_diff(T.saturating_add_signed(offset)) < 1_000);
            assert_eq!(skew.to_members(skew.to_local(T)), T);
            add_sample(2_000_000);
            assert!((offset..offset + 1_000).contains(&skew.difference()), "a slow answer changes nothing");
        }
    }

    #[test]
    fn samples_that_deviate_alone_are_ignored() {
        let skew = ClockSkew::default();
        for _ in 0..3 {
            skew.add_sample(T, T + 400);
        }
        skew.add_sample(T + 9_000_000, T);
        skew.add_sample(T + 5_000_000, T);
        assert_eq!(skew.difference(), 0);
        skew.add_sample(0, T);
        skew.add_sample(Micros::MAX, T);
        assert_eq!(skew.difference(), 0);
    }
}
