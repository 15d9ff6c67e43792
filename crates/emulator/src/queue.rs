//! What is to happen, in order of time; at one time in the order in which it was set.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use beaconshore::interface::Micros;

struct Item<T> {
    at: Micros,
    number: u64,
    what: T,
}

impl<T> PartialEq for Item<T> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}

impl<T> Eq for Item<T> {}

impl<T> PartialOrd for Item<T> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Item<T> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// The queue, and the present.
pub struct Queue<T> {
    heap: BinaryHeap<Reverse<Item<T>>>,
    number: u64,
    now: Micros,
}

impl<T> Queue<T> {
    /// Nothing yet, at this time.
    pub fn new(now: Micros) -> Self {
        Queue { heap: BinaryHeap::new(), number: 0, now }
    }

    /// The present.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// Something is to happen then; what should have happened before now happens now.
    pub fn at(&mut self, at: Micros, what: T) {
        self.number += 1;
        self.heap.push(Reverse(Item { at: at.max(self.now), number: self.number, what }));
    }

    /// Something is to happen after a time.
    pub fn after(&mut self, delay: Micros, what: T) {
        self.at(self.now + delay, what);
    }

    /// When that is.
    pub fn due(&self) -> Option<Micros> {
        self.heap.peek().map(|Reverse(item)| item.at)
    }

    /// On a clock that is not its own: what is due until then, one after the other, late as it may be. Once nothing is,
    /// the present is that time.
    pub fn advance_to(&mut self, now: Micros) -> Option<T> {
        if self.due().is_some_and(|at| at <= now) {
            return self.advance();
        }
        self.now = self.now.max(now);
        None
    }

    /// What happens next; the present becomes its time.
    pub fn advance(&mut self) -> Option<T> {
        let Reverse(item) = self.heap.pop()?;
        self.now = item.at;
        Some(item.what)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn things_happen_by_time_then_in_the_order_set() {
        let mut queue = Queue::new(10);
        queue.at(30, 'c');
        queue.after(10, 'a');
        queue.at(20, 'b');
        queue.at(5, 'x');
        let order: Vec<(char, Micros)> =
            std::iter::from_fn(|| queue.advance().map(|c| (c, queue.now()))).collect();
        assert_eq!(order, [('x', 10), ('a', 20), ('b', 20), ('c', 30)]);
    }

    #[test]
    fn on_another_clock_only_what_is_due_happens_and_the_present_follows() {
        let mut queue = Queue::new(10);
        queue.at(20, 'a');
        queue.at(25, 'b');
        queue.at(40, 'c');
        assert_eq!([30, 30, 30].map(|now| queue.advance_to(now)), [Some('a'), Some('b'), None]);
        assert_eq!((queue.now(), queue.due()), (30, Some(40)));
        assert_eq!(queue.advance_to(5), None);
        assert_eq!(queue.now(), 30, "no clock goes back");
    }
}
