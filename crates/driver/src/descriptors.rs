//! File descriptors: how many connections of clients and of members may be open, so that neither takes the
//! other's; and which idle one goes first when they run short.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::sync::Arc;

use async_lock::{Semaphore, SemaphoreGuardArc};

/// Kept back for the list, peers, timers, signals, the listener, standard streams, and one accept in advance.
const RESERVE: usize = 40;

/// Holds a connection's place as long as it lives.
pub type Permit = SemaphoreGuardArc;

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

/// Places for connections of one kind, and the wishes that idle ones be closed.
pub struct Places {
    free: Arc<Semaphore>,
    idle: RefCell<BTreeMap<Turn, Box<dyn Fn()>>>,
    turn: Cell<u64>,
    /// Those that wait for a place.
    waiting: Cell<usize>,
}

/// Names an idle connection; those idle for longer come first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Turn(u64);

impl Places {
    fn new(count: usize) -> Self {
        let (idle, turn, waiting) = Default::default();
        Places { free: Arc::new(Semaphore::new(count)), idle, turn, waiting }
    }

    /// A place if one is free.
    pub fn try_take(&self) -> Option<Permit> {
        self.free.try_acquire_arc()
    }

    /// Waits for a place; the longest idle connection is asked to go, or else the first that is idle again.
    pub async fn take(&self) -> Permit {
        self.close_longest();
        let _waits = Waits::new(&self.waiting);
        self.free.acquire_arc().await
    }

    fn close_longest(&self) {
        let longest = self.idle.borrow_mut().pop_first();
        longest.into_iter().for_each(|(_, close)| close());
    }

    /// Notes that a connection is idle, with the way to have it closed.
    pub fn rest(&self, close: impl Fn() + 'static) -> Turn {
        let turn = Turn(self.turn.get());
        self.turn.set(turn.0 + 1);
        self.idle.borrow_mut().insert(turn, Box::new(close));
        if self.waiting.get() > 0 {
            self.close_longest();
        }
        turn
    }

    /// Notes that a connection is idle no more.
    pub fn wake(&self, turn: Turn) {
        self.idle.borrow_mut().remove(&turn);
    }

    /// Asks all idle connections to go.
    pub fn close_idle(&self) {
        let all = std::mem::take(&mut *self.idle.borrow_mut());
        all.into_values().for_each(|close| close());
    }
}

/// Counts one that waits, for as long as it does.
struct Waits<'a>(&'a Cell<usize>);

impl<'a> Waits<'a> {
    fn new(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Waits(count)
    }
}

impl Drop for Waits<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
