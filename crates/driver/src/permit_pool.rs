//! Permits for a limited resource, such as descriptors or memory, and the order in which idle holders are asked to
//! give theirs up when none is left.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

use async_lock::{Semaphore, SemaphoreGuardArc};

/// Order in which idle holders are asked for their permits when none is left; lower values first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum IdleRank {
    /// Connections that serve no request: none has been received on them yet, their next message is incomplete, or they
    /// are being closed.
    Unproductive,
    /// Connections that have served requests and wait for the next one.
    BetweenRequests,
}

/// The permits for one resource, and the idle holders that can be asked to give theirs up.
#[derive(Clone)]
pub struct PermitPool(Rc<Inner>);

struct Inner {
    free: Arc<Semaphore>,
    /// Number of permits in use.
    in_use: Cell<usize>,
    /// The idle holders, with the functions that ask them for their permits.
    idle: RefCell<BTreeMap<IdlePosition, Box<dyn Fn()>>>,
    /// Number of the next registration of an idle holder.
    next_number: Cell<u64>,
    /// Number of tasks that wait for a permit.
    waiting: Cell<usize>,
}

/// Position of an idle holder in the order of being asked: within one rank, the longest idle comes first.
type IdlePosition = (IdleRank, u64);

/// A permit. Dropping it frees its part of the resource for others.
pub struct Permit {
    pool: PermitPool,
    _semaphore_guard: SemaphoreGuardArc,
}

/// Registration of an idle holder, in effect until it is dropped.
pub struct IdleRegistration {
    pool: PermitPool,
    position: IdlePosition,
}

impl PermitPool {
    /// A pool of this many permits.
    pub fn new(count: usize) -> Self {
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

    /// Waits for a permit. Asks the first idle holder for its own; if there is none, the next that becomes idle is asked.
    pub async fn acquire(&self) -> Permit {
        self.ask_first();
        let _guard = WaitGuard::new(&self.0.waiting);
        self.permit(self.0.free.acquire_arc().await)
    }

    /// Whether tasks wait for a permit.
    pub fn is_contended(&self) -> bool {
        self.0.waiting.get() > 0
    }

    /// Number of permits in use.
    pub fn in_use(&self) -> usize {
        self.0.in_use.get()
    }

    fn permit(&self, guard: SemaphoreGuardArc) -> Permit {
        self.0.in_use.set(self.in_use() + 1);
        Permit { pool: self.clone(), _semaphore_guard: guard }
    }

    fn ask_first(&self) {
        let first = self.0.idle.borrow_mut().pop_first();
        first.into_iter().for_each(|(_, give_up)| give_up());
    }

    /// Registers a holder of a permit as idle. `give_up` asks it to give its permit up.
    pub fn register_idle(&self, rank: IdleRank, give_up: impl Fn() + 'static) -> IdleRegistration {
        let position = (rank, self.0.next_number.get());
        self.0.next_number.set(position.1 + 1);
        self.0.idle.borrow_mut().insert(position, Box::new(give_up));
        self.on_declined();
        IdleRegistration { pool: self.clone(), position }
    }

    /// Records that a holder that was asked for its permit is in use again. Another one is asked if a task still waits.
    pub fn on_declined(&self) {
        if self.is_contended() {
            self.ask_first();
        }
    }

    /// Asks all idle holders for their permits.
    pub fn ask_all_idle(&self) {
        let idle = std::mem::take(&mut *self.0.idle.borrow_mut());
        idle.into_values().for_each(|give_up| give_up());
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
        (0..3).for_each(|_| pool.ask_first());
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
