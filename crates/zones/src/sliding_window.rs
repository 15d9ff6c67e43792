//! A sliding window over work done, counted in slots. The count is never below the exact figure, so that no
//! window of that length, wherever it is placed, holds more work than a limit that was checked against it.

use beaconshore::interface::Micros;

/// Length of a window that spans one second, in microseconds.
pub const WINDOW_MICROS: Micros = 1_000_000;
/// Number of slots of a window: 50 cover its length, and one more is needed because a window that ends within
/// the newest slot also reaches into the oldest one.
const SLOTS: usize = 51;

/// Work done within the last seconds. The total may include up to one slot's length of older work.
#[derive(Clone, Debug)]
pub struct SlidingWindow {
    span_seconds: u32,
    slots: [f64; SLOTS],
    /// Number of the newest slot, counted from time 0.
    newest_slot: Micros,
    total: f64,
}

impl Default for SlidingWindow {
    fn default() -> Self {
        SlidingWindow { span_seconds: 1, slots: [0.0; SLOTS], newest_slot: 0, total: 0.0 }
    }
}

impl SlidingWindow {
    /// Returns the length of the window, in seconds.
    pub fn span_seconds(&self) -> u32 {
        self.span_seconds
    }

    /// Changes the length of the window. The work counted so far is treated as done now, so that it is never
    /// dropped too early.
    pub fn resize(&mut self, now: Micros, span_seconds: u32) {
        if span_seconds != self.span_seconds {
            let total = self.total(now);
            *self = SlidingWindow { span_seconds: span_seconds.max(1), ..SlidingWindow::default() };
            self.add(now, total);
        }
    }

    fn slot_micros(&self) -> Micros {
        Micros::from(self.span_seconds) * WINDOW_MICROS / (SLOTS as Micros - 1)
    }

    /// Adds work that is done now.
    pub fn add(&mut self, now: Micros, work: f64) {
        self.advance(now);
        self.slots[(self.newest_slot % SLOTS as Micros) as usize] += work;
        self.total += work;
    }

    /// Returns the work of the window that ends now, rounded up to whole slots.
    pub fn total(&mut self, now: Micros) -> f64 {
        self.advance(now);
        self.total.max(0.0)
    }

    /// Clears the slots that have left the window.
    fn advance(&mut self, now: Micros) {
        let slot = (now / self.slot_micros()).max(self.newest_slot);
        if slot - self.newest_slot >= SLOTS as Micros {
            (self.slots, self.total) = ([0.0; SLOTS], 0.0);
        } else if slot > self.newest_slot {
            for passed in self.newest_slot + 1..=slot {
                self.slots[(passed % SLOTS as Micros) as usize] = 0.0;
            }
            // The total is summed anew: a total kept by subtracting would drift by rounding errors.
            self.total = self.slots.iter().sum();
        }
        self.newest_slot = slot;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against an undercount: a limit checked against the window would let too much work through.
    #[test]
    fn total_is_never_below_the_exact_work_of_the_last_second() {
        let (mut window, mut events) = (SlidingWindow::default(), Vec::new());
        let mut now = 1_000_000_000;
        for step in 0..5_000_u64 {
            now += step * 7_919 % 9_973;
            let work = (step % 13) as f64;
            window.add(now, work);
            events.push((now, work));
            let exact: f64 =
                events.iter().filter(|(at, _)| *at + WINDOW_MICROS > now).map(|(_, work)| work).sum();
            let counted = window.total(now);
            assert!(counted >= exact - 1e-6, "counted {counted}, but {exact} was done");
        }
        assert_eq!(window.total(now + 2 * WINDOW_MICROS), 0.0);
    }
}
