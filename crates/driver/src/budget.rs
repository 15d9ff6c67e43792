//! Memory: how many large messages may be in the driver at once, so that many of them wait rather than take more than
//! the machine allows.

use std::sync::Arc;

use async_lock::{Semaphore, SemaphoreGuardArc};

use crate::pg;

/// What the driver takes without any large message: code, tables, connections with usual messages.
const BASE: usize = 12 << 20;
/// A large request at its worst: read, copied to outlive its buffer, and written to a member.
const REQUEST: usize = 3 * pg::MAX_QUERY;
/// A large answer at its worst: read, and kept until its client has taken it.
const ANSWER: usize = 2 * pg::MAX_ANSWER;

/// A place for a large message, held as long as it takes memory.
pub type Share = SemaphoreGuardArc;

/// The places for large messages.
pub struct Budget {
    /// Of clients.
    pub requests: Arc<Semaphore>,
    /// Of members: places of their own, since a request holds its place until it has its answer.
    pub answers: Arc<Semaphore>,
}

impl Budget {
    /// Divides so many megabytes, half and half; the rest of the driver is left its part.
    pub fn divide(megabytes: usize) -> Self {
        let half = (megabytes << 20).saturating_sub(BASE) * 3 / 4 / 2;
        let places = |each: usize| Arc::new(Semaphore::new((half / each).max(2)));
        Budget { requests: places(REQUEST), answers: places(ANSWER) }
    }
}
