//! Detects stalls of the process. After a stall, on a busy or stopped core, input that is read now may have arrived long ago.

use std::cell::Cell;

use beaconshore::interface::Micros;

/// Greatest delay of a timer in a process that is not stalled, in microseconds.
const MAX_TIMER_DELAY: Micros = 20_000;
/// Time after a stall in which the input that arrived during it is read, in microseconds.
const CATCH_UP_TIME: Micros = 5_000;

/// Start and end of a period.
type Interval = (Micros, Micros);

/// Detects stalls by how late the timer of the decision actor fires.
#[derive(Debug, Default)]
pub struct StallDetector {
    /// When the timer was set, and when it is due; `None` while it is not set.
    timer: Cell<Option<Interval>>,
    /// Longest possible period of the last stall: from the setting of the timer until it fired.
    last_stall: Cell<Option<Interval>>,
}

impl StallDetector {
    /// Records that the timer was set.
    pub fn on_timer_set(&self, now: Micros, due: Micros) {
        self.timer.set(Some((now, due)));
    }

    /// Records that the timer fired. Returns whether the process was stalled until then.
    pub fn on_timer_fired(&self, now: Micros) -> bool {
        let overdue_since = self.overdue_since(now);
        self.timer.set(None);
        overdue_since.into_iter().for_each(|since| self.last_stall.set(Some((since, now))));
        overdue_since.is_some()
    }

    /// Earliest time at which input that is read now can have arrived. This is `now`, unless the input may have waited
    /// through a stall.
    pub fn earliest_arrival(&self, now: Micros) -> Micros {
        let recent_stall = self.last_stall.get().filter(|(_, until)| now <= until + CATCH_UP_TIME);
        self.overdue_since(now).or(recent_stall.map(|(since, _)| since)).unwrap_or(now)
    }

    /// If the timer is late, the time at which it was set: since then nothing shows that the process was running.
    fn overdue_since(&self, now: Micros) -> Option<Micros> {
        self.timer.get().filter(|(_, due)| now > due + MAX_TIMER_DELAY).map(|(set, _)| set)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn input_read_while_the_timer_is_on_time_counts_as_just_arrived() {
        let detector = StallDetector::default();
        assert_eq!(detector.earliest_arrival(5), 5);
        detector.on_timer_set(990_000, 1_000_000);
        assert_eq!(detector.earliest_arrival(1_000_000 + MAX_TIMER_DELAY), 1_000_000 + MAX_TIMER_DELAY);
        assert!(!detector.on_timer_fired(1_000_000 + MAX_TIMER_DELAY));
        detector.on_timer_set(1_000_000 + MAX_TIMER_DELAY, 1_010_000 + MAX_TIMER_DELAY);
        assert_eq!(detector.earliest_arrival(1_000_000 + MAX_TIMER_DELAY), 1_000_000 + MAX_TIMER_DELAY);
    }

    #[test]
    fn input_read_after_a_stall_may_have_arrived_since_its_start() {
        let detector = StallDetector::default();
        detector.on_timer_set(990_000, 1_000_000);
        assert_eq!(detector.earliest_arrival(1_700_000), 990_000, "read before the timer fires");
        assert!(detector.on_timer_fired(1_700_100));
        detector.on_timer_set(1_700_100, 1_710_100);
        assert_eq!(detector.earliest_arrival(1_700_200), 990_000, "read right after the timer fired");
        assert_eq!(detector.earliest_arrival(1_706_000), 1_706_000, "input read later has just arrived");
    }
}
