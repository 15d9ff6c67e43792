//! A pool of bytes that is shared by all connections, with a bound on the share of each holder.
//!
//! A holder that has nothing yet gets its first reservation as soon as it fits, in the order of asking. What it may hold
//! beyond that shrinks with what is free, so that many holders together always leave room for others. Large reservations
//! leave a part of the pool to small ones, which therefore don't wait behind them.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use async_channel::Sender;

/// A holder may have this fraction of the free bytes in reservations beyond its first one.
const MAX_SHARE_DIVISOR: usize = 8;
/// Large reservations leave this fraction of the pool free.
const SMALL_ONLY_DIVISOR: usize = 4;

/// The pool.
#[derive(Clone)]
pub struct BytePool(Rc<Inner>);

struct Inner {
    capacity: usize,
    /// Reservations of more bytes than this count as large.
    max_small: usize,
    reserved: Cell<usize>,
    /// Those that wait for a small first reservation, in the order of asking.
    waiting_small: RefCell<BTreeMap<u64, WaitingHolder>>,
    /// Those that wait for a large one.
    waiting_large: RefCell<BTreeMap<u64, WaitingHolder>>,
    next_ticket: Cell<u64>,
}

/// A holder that waits for its first reservation.
struct WaitingHolder {
    bytes: usize,
    reply: Sender<ByteReservation>,
}

/// Reserved bytes. Dropping it returns them.
pub struct ByteReservation {
    pool: BytePool,
    bytes: usize,
}

impl BytePool {
    /// A pool of this many bytes, in which reservations of more than `max_small` count as large.
    pub fn new(capacity: usize, max_small: usize) -> Self {
        BytePool(Rc::new(Inner {
            capacity,
            max_small,
            reserved: Cell::default(),
            waiting_small: RefCell::default(),
            waiting_large: RefCell::default(),
            next_ticket: Cell::default(),
        }))
    }

    /// The bytes that are reserved now.
    pub fn reserved(&self) -> usize {
        self.0.reserved.get()
    }

    /// The number of holders that wait for their first reservation.
    pub fn waiting(&self) -> usize {
        self.0.waiting_small.borrow().len() + self.0.waiting_large.borrow().len()
    }

    /// Reserves bytes for a holder that has reserved `held` bytes already, unless it has to wait. With `held` at 0 it can
    /// wait by `reserve`; otherwise until it has returned some of its own.
    pub fn try_reserve(&self, bytes: usize, held: usize) -> Option<ByteReservation> {
        let share = if held == 0 { usize::MAX } else { self.free_for(bytes) / MAX_SHARE_DIVISOR };
        let fits = self.fits(bytes) && held.saturating_add(bytes) <= share;
        (fits && self.waiting_for(bytes).borrow().is_empty()).then(|| self.take(bytes))
    }

    /// Waits for the first reservation of a holder. The future can be dropped at any time.
    pub async fn reserve(&self, bytes: usize) -> ByteReservation {
        if let Some(reservation) = self.try_reserve(bytes, 0) {
            return reservation;
        }
        let (reply, reservation) = async_channel::bounded(1);
        let ticket = self.0.next_ticket.get();
        self.0.next_ticket.set(ticket + 1);
        self.waiting_for(bytes).borrow_mut().insert(ticket, WaitingHolder { bytes, reply });
        let _entry = WaitingEntry { pool: self, bytes, ticket };
        match reservation.recv().await {
            Ok(reservation) => reservation,
            // The entry is removed only together with a reply.
            Err(_) => futures_lite::future::pending().await,
        }
    }

    /// Those that wait for a first reservation of the same kind as one of this many bytes.
    fn waiting_for(&self, bytes: usize) -> &RefCell<BTreeMap<u64, WaitingHolder>> {
        if bytes > self.0.max_small {
            &self.0.waiting_large
        } else {
            &self.0.waiting_small
        }
    }

    /// The bytes that are free for reservations of the same kind as one of this many bytes.
    fn free_for(&self, bytes: usize) -> usize {
        let is_large = bytes > self.0.max_small;
        let kept_free = if is_large { self.0.capacity / SMALL_ONLY_DIVISOR } else { 0 };
        (self.0.capacity - kept_free).saturating_sub(self.0.reserved.get())
    }

    /// Whether a reservation fits. One of more than there is altogether fits if nothing else is reserved.
    fn fits(&self, bytes: usize) -> bool {
        bytes <= self.free_for(bytes) || self.0.reserved.get() == 0
    }

    fn take(&self, bytes: usize) -> ByteReservation {
        self.0.reserved.set(self.0.reserved.get() + bytes);
        ByteReservation { pool: self.clone(), bytes }
    }

    fn give_back(&self, bytes: usize) {
        self.0.reserved.set(self.0.reserved.get() - bytes);
        self.serve_waiting(&self.0.waiting_small);
        self.serve_waiting(&self.0.waiting_large);
    }

    /// Gives reservations to those that wait, as far as the bytes suffice.
    fn serve_waiting(&self, waiting: &RefCell<BTreeMap<u64, WaitingHolder>>) {
        loop {
            let next = {
                let mut waiting = waiting.borrow_mut();
                let fits = waiting.first_key_value().is_some_and(|(_, first)| self.fits(first.bytes));
                if fits {
                    waiting.pop_first()
                } else {
                    None
                }
            };
            let Some((_, holder)) = next else { return };
            // A holder that no longer waits has removed its entry: the reply is received, or returned with its future.
            let _ = holder.reply.try_send(self.take(holder.bytes));
        }
    }
}

impl ByteReservation {
    /// The number of reserved bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns all but this many bytes to the pool.
    pub fn shrink_to(&mut self, bytes: usize) {
        if bytes < self.bytes {
            let returned = self.bytes - bytes;
            self.bytes = bytes;
            self.pool.give_back(returned);
        }
    }
}

impl Drop for ByteReservation {
    fn drop(&mut self) {
        self.pool.give_back(self.bytes);
    }
}

/// The entry of a holder that waits, which is removed when it no longer does.
struct WaitingEntry<'a> {
    pool: &'a BytePool,
    bytes: usize,
    ticket: u64,
}

impl Drop for WaitingEntry<'_> {
    fn drop(&mut self) {
        let waiting = self.pool.waiting_for(self.bytes);
        let removed = waiting.borrow_mut().remove(&self.ticket);
        // The next one may need less than this one did.
        if removed.is_some() {
            self.pool.serve_waiting(waiting);
        }
    }
}
