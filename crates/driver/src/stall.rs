//! Whether the driver stood still: on a busy or stopped core, what is read late may have come long before.

use std::cell::Cell;

use beaconshore::interface::Micros;

/// A timer of a driver that runs is less late than this.
const LATE: Micros = 20_000;
/// What waited meanwhile is read within so long after a standstill.
const CATCH_UP: Micros = 5_000;

/// A stretch of time.
type Stretch = (Micros, Micros);

/// Watches how late the module's timer is.
#[derive(Debug, Default)]
pub struct StallDetector {
    /// When the timer was set, and when it is due.
    timer: Cell<Option<Stretch>>,
    /// When the driver stood still last, at the longest.
    stood: Cell<Option<Stretch>>,
}

impl StallDetector {
    /// The timer is set.
    pub fn expect(&self, now: Micros, due: Micros) {
        self.timer.set(Some((now, due)));
    }

    /// The timer went off; tells whether the driver stood still until then.
    pub fn beat(&self, now: Micros) -> bool {
        let late = self.late(now);
        self.timer.set(None);
        late.into_iter().for_each(|since| self.stood.set(Some((since, now))));
        late.is_some()
    }

    /// When something that is read now has come at the earliest: now, but for what waited through a standstill.
    pub fn came(&self, now: Micros) -> Micros {
        let stood = self.stood.get().filter(|(_, until)| now <= until + CATCH_UP);
        self.late(now).or(stood.map(|(since, _)| since)).unwrap_or(now)
    }

    /// Since when nothing tells that the driver ran, if its timer is late.
    fn late(&self, now: Micros) -> Option<Micros> {
        self.timer.get().filter(|(_, due)| now > due + LATE).map(|(set, _)| set)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn while_the_timer_is_on_time_what_is_read_has_just_come() {
        let stalls = StallDetector::default();
        assert_eq!(stalls.came(5), 5);
        stalls.expect(990_000, 1_000_000);
        assert_eq!(stalls.came(1_000_000 + LATE), 1_000_000 + LATE);
        assert!(!stalls.beat(1_000_000 + LATE));
        stalls.expect(1_000_000 + LATE, 1_010_000 + LATE);
        assert_eq!(stalls.came(1_000_000 + LATE), 1_000_000 + LATE);
    }

    #[test]
    fn after_a_standstill_what_is_read_may_have_come_since_its_start() {
        let stalls = StallDetector::default();
        stalls.expect(990_000, 1_000_000);
        assert_eq!(stalls.came(1_700_000), 990_000, "read before the timer goes off");
        assert!(stalls.beat(1_700_100));
        stalls.expect(1_700_100, 1_710_100);
        assert_eq!(stalls.came(1_700_200), 990_000, "read right after it");
        assert_eq!(stalls.came(1_706_000), 1_706_000, "what comes later is new");
    }
}
