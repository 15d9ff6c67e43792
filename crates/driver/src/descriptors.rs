//! Limits on file descriptors: how many connections of clients and of members may be open, so that neither kind can use up
//! the descriptors of the other, and which idle connection is closed first when a limit is reached.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

use async_lock::{Semaphore, SemaphoreGuardArc};

/// Number of descriptors reserved for everything else: calls to discovery (to two addresses at once while the address
/// changes), the socket for peers, the reactor, signals, the listener, the standard streams, a file that is being read, and
/// one connection that is accepted in advance.
const RESERVED: usize = 32;

/// The permits for connections of both kinds.
pub struct Descriptors {
    /// For connections of clients.
    pub clients: PermitPool,
    /// For connections to members. These are fewer, since a waiting request occupies a client connection but none to a
    /// member.
    pub members: PermitPool,
}

impl Descriptors {
    /// Divides the number of descriptors that the process may have open.
    pub fn divide(sockets: usize) -> Self {
        let free = sockets.saturating_sub(RESERVED).max(2);
        let members = (free * 2 / 5).max(1);
        Descriptors { clients: PermitPool::new(free - members), members: PermitPool::new(members) }
    }
}

/// Order in which idle connections are closed when the limit is reached; lower values first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum IdleRank {
    /// Connections that serve no request: none has been received on them yet, their next message is incomplete, or they
    /// are being closed.
    Unproductive,
    /// Connections that have served requests and wait for the next one.
    BetweenRequests,
}

/// The permits for connections of one kind, and the idle connections that can be closed to free some.
#[derive(Clone)]
pub struct PermitPool(Rc<Inner>);

struct Inner {
    free: Arc<Semaphore>,
    /// Number of permits in use.
    in_use: Cell<usize>,
    /// The idle connections, with the functions that ask them to close.
    idle: RefCell<BTreeMap<IdlePosition, Box<dyn Fn()>>>,
    /// Number of the next registration of an idle connection.
    next_number: Cell<u64>,
    /// Number of tasks that wait for a permit.
    waiting: Cell<usize>,
}

/// Position of an idle connection in the order of closing: within one rank, the longest idle comes first.
type IdlePosition = (IdleRank, u64);

/// A permit for one connection. Dropping it frees the descriptor for others.
pub struct Permit {
    pool: PermitPool,
    _semaphore_guard: SemaphoreGuardArc,
}

/// Registration of an idle connection, in effect until it is dropped.
pub struct IdleRegistration {
    pool: PermitPool,
    position: IdlePosition,
}

impl PermitPool {
    fn new(count: usize) -> Self {
        let (in_use, idle, next_number, waiting) = Default::default();
        PermitPool(Rc::new(Inner {
            free: Arc::new(Semaphore::new(count)),
            in_use,
            idle,
            next_number,
            waiting,
        }))
    }

    /// Returns a permit if one is free.
    pub fn try_acquire(&self) -> Option<Permit> {
        self.0.free.try_acquire_arc().map(|guard| self.permit(guard))
    }

    /// Waits for a permit. Asks the first idle connection to close; if there is none, the next that becomes idle is asked.
    pub async fn acquire(&self) -> Permit {
        self.close_first();
        let _guard = WaitGuard::new(&self.0.waiting);
        self.permit(self.0.free.acquire_arc().await)
    }

    /// Number of permits in use.
    pub fn in_use(&self) -> usize {
        self.0.in_use.get()
    }

    fn permit(&self, guard: SemaphoreGuardArc) -> Permit {
        self.0.in_use.set(self.in_use() + 1);
        Permit { pool: self.clone(), _semaphore_guard: guard }
    }

    fn close_first(&self) {
        let first = self.0.idle.borrow_mut().pop_first();
        first.into_iter().for_each(|(_, close)| close());
    }

    /// Registers a connection as idle. `close` asks it to close.
    pub fn register_idle(&self, rank: IdleRank, close: impl Fn() + 'static) -> IdleRegistration {
        let position = (rank, self.0.next_number.get());
        self.0.next_number.set(position.1 + 1);
        self.0.idle.borrow_mut().insert(position, Box::new(close));
        self.on_close_declined();
        IdleRegistration { pool: self.clone(), position }
    }

    /// Records that a connection that was asked to close is in use again. Another one is asked if a task still waits.
    pub fn on_close_declined(&self) {
        if self.0.waiting.get() > 0 {
            self.close_first();
        }
    }

    /// Asks all idle connections to close.
    pub fn close_all_idle(&self) {
        let idle = std::mem::take(&mut *self.0.idle.borrow_mut());
        idle.into_values().for_each(|close| close());
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let in_use = &self.pool.0.in_use;
        in_use.set(in_use.get() - 1);
    }
}

impl Drop for IdleRegistration {
    fn drop(&mut self) {
        self.pool.0.idle.borrow_mut().remove(&self.position);
    }
}

/// Increments a counter of waiting tasks, and decrements it when dropped.
struct WaitGuard<'a>(&'a Cell<usize>);

impl<'a> WaitGuard<'a> {
    fn new(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        WaitGuard(count)
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn unused_connections_are_closed_first_then_the_longest_idle() {
        let pool = PermitPool::new(3);
        let closed = Rc::new(RefCell::new(Vec::new()));
        let register = |rank, name: &'static str| {
            let closed = closed.clone();
            pool.register_idle(rank, move || closed.borrow_mut().push(name))
        };
        let _idle = (
            register(IdleRank::BetweenRequests, "used"),
            register(IdleRank::BetweenRequests, "used later"),
            register(IdleRank::Unproductive, "useless"),
        );
        drop(register(IdleRank::Unproductive, "awake again"));
        (0..3).for_each(|_| pool.close_first());
        assert_eq!(*closed.borrow(), ["useless", "used", "used later"]);
    }

    #[test]
    fn dropped_permits_can_be_acquired_again() {
        let pool = PermitPool::new(2);
        let held = (pool.try_acquire(), pool.try_acquire());
        assert!(held.0.is_some() && held.1.is_some() && pool.try_acquire().is_none());
        assert_eq!(pool.in_use(), 2);
        drop(held);
        assert_eq!(pool.in_use(), 0);
        assert!(pool.try_acquire().is_some());
    }
}
