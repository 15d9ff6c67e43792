//! The ids that clients give to their requests. At any time, no two requests of a driver may have the same id.

use std::cell::RefCell;
use std::collections::{HashSet, VecDeque};
use std::rc::Rc;

use beaconshore::interface::Micros;

/// Longest id that is accepted, in bytes.
pub const MAX_ID_BYTES: usize = 64;
/// How long an id stays reserved after its request was served, in microseconds: a duplicate of the request may still be in
/// transit.
const REUSE_DELAY: Micros = 2_000_000;
/// The same for a request that may still run: its client has left, or it was answered as failed.
const UNRESOLVED_REUSE_DELAY: Micros = 10_000_000;
/// Greatest number of ids of each kind that stay reserved after their requests.
const MAX_RELEASED: usize = 8_192;

/// The ids of open requests, and of requests answered recently.
#[derive(Default)]
pub struct RequestIds {
    /// All reserved ids.
    reserved: RefCell<HashSet<Rc<[u8]>>>,
    /// The ids of served requests.
    served: RefCell<ReleasedIds>,
    /// The ids of requests that may still run.
    unresolved: RefCell<ReleasedIds>,
}

/// Ids that stay reserved after their requests, with the time of their release, oldest first.
type ReleasedIds = VecDeque<(Micros, Rc<[u8]>)>;

impl RequestIds {
    /// Reserves an id for a request. Returns false if another request has it.
    pub fn reserve(&self, id: &Rc<[u8]>, now: Micros) -> bool {
        self.free_overdue(&mut self.served.borrow_mut(), now, REUSE_DELAY);
        self.free_overdue(&mut self.unresolved.borrow_mut(), now, UNRESOLVED_REUSE_DELAY);
        self.reserved.borrow_mut().insert(id.clone())
    }

    /// Frees the ids that were released longer ago than this, or are too many.
    fn free_overdue(&self, released: &mut ReleasedIds, now: Micros, delay: Micros) {
        let mut reserved = self.reserved.borrow_mut();
        while let Some((_, oldest)) =
            released.front().filter(|(at, _)| now > at + delay || released.len() > MAX_RELEASED)
        {
            reserved.remove(oldest);
            released.pop_front();
        }
    }

    /// Records that the request was served.
    pub fn release(&self, id: Rc<[u8]>, now: Micros) {
        self.served.borrow_mut().push_back((now, id));
    }

    /// Records that nobody waits for the request any more, which may still run.
    pub fn release_unresolved(&self, id: Rc<[u8]>, now: Micros) {
        self.unresolved.borrow_mut().push_back((now, id));
    }

    /// Records that the request was refused: it never ran, or a repeat is harmless.
    pub fn forget(&self, id: &Rc<[u8]>) {
        self.reserved.borrow_mut().remove(id);
    }

    /// Number of reserved ids.
    pub fn len(&self) -> usize {
        self.reserved.borrow().len()
    }

    /// Whether no id is reserved.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_id_can_be_reused_only_after_a_delay() {
        let (ids, id): (RequestIds, Rc<[u8]>) = (RequestIds::default(), Rc::from(&b"9b1f"[..]));
        assert!(ids.reserve(&id, 0));
        assert!(!ids.reserve(&id, 60_000_000), "the request with this id is open");
        ids.release(id.clone(), 60_000_000);
        assert!(!ids.reserve(&id, 60_000_000 + REUSE_DELAY));
        assert!(ids.reserve(&id, 60_000_001 + REUSE_DELAY));
    }

    #[test]
    fn the_number_of_reserved_ids_is_bounded() {
        let ids = RequestIds::default();
        for number in 0..3 * MAX_RELEASED as u64 {
            let id: Rc<[u8]> = Rc::from(&number.to_be_bytes()[..]);
            assert!(ids.reserve(&id, number));
            ids.release(id, number);
        }
        assert!(ids.len() <= MAX_RELEASED + 2, "{}", ids.len());
    }
}
