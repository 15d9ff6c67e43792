//! The ids of requests, as their clients word them: no two requests have the same.

use std::cell::RefCell;
use std::collections::{HashSet, VecDeque};
use std::rc::Rc;

use beaconshore::interface::Micros;

/// Longest id that is taken.
pub const MAX_ID: usize = 64;
/// An id counts as taken for so long after its request was answered: a copy of it may have been on its way.
const AFTERGLOW: Micros = 2_000_000;
/// Bound on those that are kept after their requests.
const MAX_KEPT: usize = 4096;

/// Ids of requests that are open, or were so a moment ago.
#[derive(Default)]
pub struct Ids {
    taken: RefCell<HashSet<Rc<[u8]>>>,
    /// Those of answered requests, with when they were answered.
    kept: RefCell<VecDeque<(Micros, Rc<[u8]>)>>,
}

impl Ids {
    /// Takes an id for a request; false if it is another request's.
    pub fn take(&self, id: &Rc<[u8]>, now: Micros) -> bool {
        let (mut taken, mut kept) = (self.taken.borrow_mut(), self.kept.borrow_mut());
        while let Some((_, old)) =
            kept.front().filter(|(at, _)| now > at + AFTERGLOW || kept.len() > MAX_KEPT)
        {
            taken.remove(old);
            kept.pop_front();
        }
        taken.insert(id.clone())
    }

    /// Notes that the request is answered, or its client gone.
    pub fn release(&self, id: Rc<[u8]>, now: Micros) {
        self.kept.borrow_mut().push_back((now, id));
    }

    /// How many are held.
    pub fn len(&self) -> usize {
        self.taken.borrow().len()
    }

    /// Whether none is held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_id_is_taken_once_until_a_while_after_its_request() {
        let (ids, id): (Ids, Rc<[u8]>) = (Ids::default(), Rc::from(&b"9b1f"[..]));
        assert!(ids.take(&id, 0));
        assert!(!ids.take(&id, 60_000_000), "its request is open");
        ids.release(id.clone(), 60_000_000);
        assert!(!ids.take(&id, 60_000_000 + AFTERGLOW));
        assert!(ids.take(&id, 60_000_001 + AFTERGLOW));
    }

    #[test]
    fn what_is_kept_is_bounded() {
        let ids = Ids::default();
        for number in 0..3 * MAX_KEPT as u64 {
            let id: Rc<[u8]> = Rc::from(&number.to_be_bytes()[..]);
            assert!(ids.take(&id, number));
            ids.release(id, number);
        }
        assert!(ids.len() <= MAX_KEPT + 2, "{}", ids.len());
    }
}
