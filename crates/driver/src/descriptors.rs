//! File descriptors: how many connections of clients and of members may be open, so that neither takes the
//! other's; and which idle one goes first when they run short.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

use async_lock::{Semaphore, SemaphoreGuardArc};

/// Kept back for the list (two at once while it moves), peers, the reactor, signals, the listener, standard
/// streams, a file that is read, and one accept in advance.
const RESERVE: usize = 32;

/// The places for connections.
pub struct Descriptors {
    /// Of clients.
    pub clients: Places,
    /// Of members: fewer, since a request that waits has a client but no member.
    pub members: Places,
}

impl Descriptors {
    /// Divides what a process may hold.
    pub fn divide(sockets: usize) -> Self {
        let free = sockets.saturating_sub(RESERVE).max(2);
        let members = (free * 2 / 5).max(1);
        Descriptors { clients: Places::new(free - members), members: Places::new(members) }
    }
}

/// Which idle connections go first when places run short.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rank {
    /// Those that have not been of use yet.
    Useless,
    /// Those between uses.
    Used,
}

/// Places for connections of one kind, and the wishes that idle ones be closed.
#[derive(Clone)]
pub struct Places(Rc<Inner>);

struct Inner {
    free: Arc<Semaphore>,
    taken: Cell<usize>,
    idle: RefCell<BTreeMap<Turn, Box<dyn Fn()>>>,
    turn: Cell<u64>,
    /// Those that wait for a place.
    waiting: Cell<usize>,
}

/// Of one rank, those that are idle for longer come first.
type Turn = (Rank, u64);

/// Holds a connection's place as long as it lives.
pub struct Permit {
    places: Places,
    _place: SemaphoreGuardArc,
}

/// Says that a connection is idle, as long as it lives.
pub struct Rest {
    places: Places,
    turn: Turn,
}

impl Places {
    fn new(count: usize) -> Self {
        let (taken, idle, turn, waiting) = Default::default();
        Places(Rc::new(Inner { free: Arc::new(Semaphore::new(count)), taken, idle, turn, waiting }))
    }

    /// A place if one is free.
    pub fn try_take(&self) -> Option<Permit> {
        self.0.free.try_acquire_arc().map(|place| self.permit(place))
    }

    /// Waits for a place; the first in turn of the idle connections is asked to go, or else the next that is idle.
    pub async fn take(&self) -> Permit {
        self.close_first();
        let _waits = Counted::new(&self.0.waiting);
        self.permit(self.0.free.acquire_arc().await)
    }

    /// How many are taken.
    pub fn taken(&self) -> usize {
        self.0.taken.get()
    }

    fn permit(&self, place: SemaphoreGuardArc) -> Permit {
        self.0.taken.set(self.taken() + 1);
        Permit { places: self.clone(), _place: place }
    }

    fn close_first(&self) {
        let first = self.0.idle.borrow_mut().pop_first();
        first.into_iter().for_each(|(_, close)| close());
    }

    /// Notes that a connection is idle, with the way to have it closed.
    pub fn rest(&self, rank: Rank, close: impl Fn() + 'static) -> Rest {
        let turn = (rank, self.0.turn.get());
        self.0.turn.set(turn.1 + 1);
        self.0.idle.borrow_mut().insert(turn, Box::new(close));
        self.asked_in_vain();
        Rest { places: self.clone(), turn }
    }

    /// Notes that a connection that was asked to go has come into use again: another one is asked.
    pub fn asked_in_vain(&self) {
        if self.0.waiting.get() > 0 {
            self.close_first();
        }
    }

    /// Asks all idle connections to go.
    pub fn close_idle(&self) {
        let all = std::mem::take(&mut *self.0.idle.borrow_mut());
        all.into_values().for_each(|close| close());
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let taken = &self.places.0.taken;
        taken.set(taken.get() - 1);
    }
}

impl Drop for Rest {
    fn drop(&mut self) {
        self.places.0.idle.borrow_mut().remove(&self.turn);
    }
}

/// Counts one that waits, for as long as it does.
struct Counted<'a>(&'a Cell<usize>);

impl<'a> Counted<'a> {
    fn new(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Counted(count)
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn those_of_no_use_yet_go_first_then_the_longest_idle() {
        let places = Places::new(3);
        let gone = Rc::new(RefCell::new(Vec::new()));
        let rest = |rank, name: &'static str| {
            let gone = gone.clone();
            places.rest(rank, move || gone.borrow_mut().push(name))
        };
        let _idle =
            (rest(Rank::Used, "used"), rest(Rank::Used, "used later"), rest(Rank::Useless, "useless"));
        drop(rest(Rank::Useless, "awake again"));
        (0..3).for_each(|_| places.close_first());
        assert_eq!(*gone.borrow(), ["useless", "used", "used later"]);
    }

    #[test]
    fn places_are_given_back() {
        let places = Places::new(2);
        let held = (places.try_take(), places.try_take());
        assert!(held.0.is_some() && held.1.is_some() && places.try_take().is_none());
        assert_eq!(places.taken(), 2);
        drop(held);
        assert_eq!(places.taken(), 0);
        assert!(places.try_take().is_some());
    }
}
