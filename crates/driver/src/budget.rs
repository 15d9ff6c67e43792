//! Memory limit: how many large messages the driver may hold at once. Further ones wait, so that the driver never takes more
//! memory than the machine allows.

use crate::permit_pool::{Permit, PermitPool};
use crate::pg;

/// Memory of a driver that holds no large message, in bytes: code, tables, and connections with small messages.
const BASE_BYTES: usize = 12 << 20;
/// Most memory that a large request takes, in bytes: it is read, copied so that it outlives the read buffer, and copied again
/// to be written to a member.
const REQUEST_BYTES: usize = 3 * pg::MAX_QUERY_BYTES;
/// Most memory that a large answer takes, in bytes: it is read, and kept until its client has received it.
const ANSWER_BYTES: usize = 2 * pg::MAX_ANSWER_BYTES;

/// A permit to hold one large message, kept for as long as the message takes memory.
pub type LargeMessagePermit = Permit;

/// The permits for large messages.
pub struct MemoryBudget {
    /// For requests of clients. A connection whose large message stays incomplete is an idle holder.
    pub requests: PermitPool,
    /// For answers of members. They have their own permits because a request keeps its permit until it is answered: with
    /// shared permits, requests could hold all of them while each waits for an answer.
    pub answers: PermitPool,
}

impl MemoryBudget {
    /// Divides a memory limit: `BASE_BYTES` and a quarter of the rest stay free, and the remainder is split evenly between
    /// requests and answers.
    pub fn divide(megabytes: usize) -> Self {
        let half = (megabytes << 20).saturating_sub(BASE_BYTES) * 3 / 4 / 2;
        let permits = |bytes_each: usize| PermitPool::new((half / bytes_each).max(2));
        MemoryBudget { requests: permits(REQUEST_BYTES), answers: permits(ANSWER_BYTES) }
    }
}
