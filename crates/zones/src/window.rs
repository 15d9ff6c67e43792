//! Work within any second (or any few seconds), counted so that no placement finds more than the limit.

use beaconshore::interface::Micros;

/// Length of the window, in microseconds.
pub const WINDOW: Micros = 1_000_000;
/// Slots that it is counted in: the newest and all that a window reaching into it may touch.
const SLOTS: usize = 51;

/// Work of the last second or seconds, rounded up by a slot's.
#[derive(Clone, Debug)]
pub struct Window {
    /// Seconds.
    span: u32,
    slots: [f64; SLOTS],
    newest: Micros,
    sum: f64,
}

impl Default for Window {
    fn default() -> Self {
        Window { span: 1, slots: [0.0; SLOTS], newest: 0, sum: 0.0 }
    }
}

impl Window {
    /// Its length, in seconds.
    pub fn span(&self) -> u32 {
        self.span
    }

    /// Counts over so many seconds from now on; what was counted is taken to be of now.
    pub fn stretch(&mut self, now: Micros, span: u32) {
        if span != self.span {
            let sum = self.sum(now);
            *self = Window { span: span.max(1), ..Window::default() };
            self.add(now, sum);
        }
    }

    fn slot(&self) -> Micros {
        Micros::from(self.span) * WINDOW / (SLOTS as Micros - 1)
    }

    /// Adds work done now.
    pub fn add(&mut self, now: Micros, work: f64) {
        self.turn(now);
        self.slots[(self.newest % SLOTS as Micros) as usize] += work;
        self.sum += work;
    }

    /// At least the work of every second that ends now or earlier within it.
    pub fn sum(&mut self, now: Micros) -> f64 {
        self.turn(now);
        self.sum.max(0.0)
    }

    fn turn(&mut self, now: Micros) {
        let slot = (now / self.slot()).max(self.newest);
        if slot - self.newest >= SLOTS as Micros {
            (self.slots, self.sum) = ([0.0; SLOTS], 0.0);
        } else if slot > self.newest {
            for passed in self.newest + 1..=slot {
                self.slots[(passed % SLOTS as Micros) as usize] = 0.0;
            }
            // Added up anew: sums of differences drift.
            self.sum = self.slots.iter().sum();
        }
        self.newest = slot;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn no_second_holds_more_than_was_counted_for_it() {
        let (mut window, mut events) = (Window::default(), Vec::new());
        let mut now = 1_000_000_000;
        for step in 0..5_000_u64 {
            now += step * 7_919 % 9_973;
            let work = (step % 13) as f64;
            window.add(now, work);
            events.push((now, work));
            let exact: f64 = events.iter().filter(|(at, _)| *at + WINDOW > now).map(|(_, work)| work).sum();
            let counted = window.sum(now);
            assert!(counted >= exact - 1e-6, "{counted} counted, {exact} done");
        }
        assert_eq!(window.sum(now + 2 * WINDOW), 0.0);
    }
}
