//! Estimates the difference between this machine's clock and the clocks of the members. All machines are meant to have
//! synchronized clocks. If this one is set wrong, every replica looks too stale or, worse, fresher than it is.
//!
//! A primary sends its current time with each answer. The difference between that and the time of arrival is the difference
//! of the clocks plus the time of the transfer, which is never negative. The least of many such values is therefore close to
//! the difference of the clocks alone.
//!
//! Until a primary has shown that this machine's clock is not behind, a replica's position may look fresh though it is not.
//! Such positions are then not used.

use std::cell::Cell;

use beaconshore::interface::Micros;

/// Number of samples that must agree before a difference is accepted.
const REQUIRED_SAMPLES: usize = 3;
/// Greatest spread of samples that agree, in microseconds.
const MAX_SPREAD_US: i64 = 5_000;
/// Differences that count as none, in microseconds: transfers take up to that long, and times are sent in milliseconds.
const NO_DIFFERENCE_US: std::ops::RangeInclusive<i64> = -2_000..=20_000;
/// Greater differences, in microseconds, are ignored: they are not the effect of a wrong clock.
const MAX_DIFF: i64 = 2 * 24 * 3_600 * 1_000_000;
/// Samples that agree must be at least this time apart, in microseconds. A position that stands still, or several answers
/// that were held up and arrive at once, would otherwise look like a difference of the clocks.
const MIN_SPAN_US: Micros = 20_000;
/// How long a comparison with a primary's time is waited for, in microseconds: members of some sites state no roles.
const COMPARISON_WAIT_US: Micros = 1_000_000;

/// The difference of the clocks according to one answer, and when it arrived.
#[derive(Clone, Copy, Debug)]
struct Sample {
    difference: i64,
    at: Micros,
}

/// Whether this machine's clock may be behind the members' clocks, by the last time that a primary stated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Comparison {
    /// No primary has stated its time yet.
    #[default]
    Pending,
    /// The primary's time was not ahead of this machine's.
    NotBehind,
    /// The primary's time was ahead of this machine's.
    Behind,
}

/// The estimated difference of the clocks. It is positive if this machine's clock is ahead of the members' clocks.
#[derive(Debug, Default)]
pub struct ClockSkew {
    /// The least samples so far; as many as have to agree.
    least_samples: Cell<[Option<Sample>; REQUIRED_SAMPLES]>,
    /// The accepted difference, in microseconds.
    difference: Cell<i64>,
    /// The last comparison with a primary's time.
    comparison: Cell<Comparison>,
}

impl ClockSkew {
    /// Adds a sample: a primary sent the time `sent` of its clock, which arrived at `now`. Returns whether the difference
    /// changed.
    pub fn add_sample(&self, sent: Micros, now: Micros) -> bool {
        let Some(difference) = now.checked_signed_diff(sent).filter(|d| d.abs() <= MAX_DIFF) else {
            return false;
        };
        let least = with_sample(self.least_samples.get(), Sample { difference, at: now });
        self.least_samples.set(least);
        let Some(agreed) = agreed_difference(&least) else { return false };
        let difference = if NO_DIFFERENCE_US.contains(&agreed) { 0 } else { agreed };
        // Both clocks run at the same rate, so further samples can only make the difference more precise.
        self.difference.replace(difference) != difference
    }

    /// Compares this machine's clock with the time that a primary stated, which arrived at `now`.
    pub fn compare(&self, primary_time: Micros, now: Micros) {
        let is_behind = self.to_local(primary_time) > now.saturating_add_signed(-NO_DIFFERENCE_US.start());
        self.comparison.set(if is_behind { Comparison::Behind } else { Comparison::NotBehind });
    }

    /// Whether a comparison with a primary's time is still waited for, after this machine's clock has run for `uptime`.
    pub fn awaits_comparison(&self, uptime: Micros) -> bool {
        self.comparison.get() == Comparison::Pending && uptime <= COMPARISON_WAIT_US
    }

    /// Whether the positions of replicas can be compared with this machine's clock, which has run for `uptime`.
    pub fn may_trust_positions(&self, uptime: Micros) -> bool {
        match self.comparison.get() {
            Comparison::NotBehind => true,
            Comparison::Pending => uptime > COMPARISON_WAIT_US,
            Comparison::Behind => false,
        }
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

/// The least samples after one more. Of samples that are close in time only the least is kept, so that a burst of answers
/// counts as one.
fn with_sample(
    least: [Option<Sample>; REQUIRED_SAMPLES],
    sample: Sample,
) -> [Option<Sample>; REQUIRED_SAMPLES] {
    let close = |other: &Sample| sample.at.abs_diff(other.at) < MIN_SPAN_US;
    let mut least = least;
    let place = least.iter_mut().find(|slot| slot.as_ref().is_some_and(close));
    let place = match place {
        Some(place) => place,
        // The greatest gives way; an empty place is greater than any sample.
        None => match least.iter_mut().max_by_key(|slot| slot.map_or(i64::MAX, |s| s.difference)) {
            Some(greatest) => greatest,
            None => return least,
        },
    };
    if place.is_none_or(|other| sample.difference < other.difference) {
        *place = Some(sample);
    }
    least
}

/// The greatest of the least samples, if all agree.
fn agreed_difference(least: &[Option<Sample>; REQUIRED_SAMPLES]) -> Option<i64> {
    let differences = || least.iter().map(|slot| slot.map(|sample| sample.difference));
    let (first, last) = (differences().min()??, differences().max()??);
    let all_known = least.iter().all(Option::is_some);
    (all_known && last - first <= MAX_SPREAD_US).then_some(last)
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
            let time = Cell::new(T);
            let add_sample = |transfer: i64| {
                time.set(time.get() + 2 * MIN_SPAN_US);
                skew.add_sample(time.get(), time.get().saturating_add_signed(offset + transfer))
            };
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

    #[test]
    fn a_position_that_stands_still_is_no_difference_of_clocks() {
        let skew = ClockSkew::default();
        for at in [0, 30, 60, 90, 5_000, 5_030] {
            skew.add_sample(T, T + 3_400_000 + at * 1_000);
        }
        assert_eq!(skew.difference(), 0, "samples at different times do not agree");
        let skew = ClockSkew::default();
        for at in [0, 1, 2, 3] {
            skew.add_sample(T, T + 3_400_000 + at * 1_000);
        }
        assert_eq!(skew.difference(), 0, "answers that were held up arrive at once");
    }

    #[test]
    fn a_burst_of_answers_does_not_keep_the_difference_unknown() {
        let skew = ClockSkew::default();
        for at in [0, 1, 2, 3] {
            skew.add_sample(T + at, T + at + 5_000_300);
        }
        for at in 1..=3 {
            skew.add_sample(T + at * MIN_SPAN_US, T + at * MIN_SPAN_US + 5_000_600);
        }
        assert!((5_000_000..5_001_000).contains(&skew.difference()), "{}", skew.difference());
    }

    #[test]
    fn positions_count_once_a_primary_shows_that_the_clock_is_not_behind() {
        let skew = ClockSkew::default();
        assert!(!skew.may_trust_positions(0));
        assert!(skew.may_trust_positions(COMPARISON_WAIT_US + 1), "members may state no roles");
        skew.compare(T + 3_000_000, T);
        assert!(!skew.may_trust_positions(COMPARISON_WAIT_US + 1));
        for sample in 1..=3 {
            skew.add_sample(T + 3_000_000 + sample * MIN_SPAN_US, T + sample * MIN_SPAN_US);
        }
        skew.compare(T + 4_000_000, T + 1_000_000);
        assert!(skew.may_trust_positions(0), "the difference is known");
        assert_eq!(skew.to_local(T + 4_000_000), T + 1_000_000);
    }
}
