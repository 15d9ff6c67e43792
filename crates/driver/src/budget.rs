//! Memory limit: how many large messages the driver may hold at once, and how many bytes open requests with small messages
//! may take together. Further ones wait, so that the driver never takes more memory than the machine allows.

use crate::buffer::SMALL_MESSAGE_BYTES;
use crate::byte_pool::{BytePool, ByteReservation};
use crate::permit_pool::{Permit, PermitPool};
use crate::pg;

/// Memory of a driver that holds no large message, in bytes: code, tables, the read buffers of connections, and the least
/// that open requests with small messages may take.
const BASE_BYTES: usize = 12 << 20;
/// The part of it, in bytes, for open requests with small messages.
const BASE_OPEN_REQUEST_BYTES: usize = 2 << 20;
/// Memory of an open request beside its messages, in bytes: its entries in the tables and mailboxes.
const REQUEST_RECORD_BYTES: usize = 2 * 1024;
/// Longest message, in bytes, of a request that does not wait behind longer ones.
const MAX_SHORT_REQUEST_BYTES: usize = 1024;
/// Memory for an answer that needs no permit for large messages, in bytes.
const SMALL_ANSWER_BYTES: usize = SMALL_MESSAGE_BYTES;
/// Most memory that a large request takes, in bytes: it is read, copied so that it outlives the read buffer, and copied again
/// to be written to a member.
const REQUEST_BYTES: usize = 3 * pg::MAX_QUERY_BYTES;
/// Most memory that a large answer takes, in bytes: it is read, and kept until its client has received it.
const ANSWER_BYTES: usize = 2 * pg::MAX_ANSWER_BYTES;

/// A permit to hold one large message, kept for as long as the message takes memory.
pub type LargeMessagePermit = Permit;

/// The memory of a request or of its answer, kept until the answer has been written.
pub enum MessageMemory {
    /// The permit of a large message.
    Large(LargeMessagePermit),
    /// The share of a request whose messages are small.
    Small(ByteReservation),
}

impl MessageMemory {
    /// What is left of a request's memory once only its small answer of this many bytes is held.
    pub fn for_small_answer(self, answer_bytes: usize) -> Option<MessageMemory> {
        match self {
            MessageMemory::Large(_) => None,
            MessageMemory::Small(mut reservation) => {
                reservation.shrink_to(REQUEST_RECORD_BYTES + answer_bytes);
                Some(MessageMemory::Small(reservation))
            }
        }
    }

    /// The bytes that it takes of the pool for small messages.
    pub fn small_bytes(&self) -> usize {
        match self {
            MessageMemory::Large(_) => 0,
            MessageMemory::Small(reservation) => reservation.bytes(),
        }
    }
}

/// Most memory, in bytes, that an open request takes with a small message of this length: the statement, its copy while it is
/// written to a member, and the answer.
pub fn open_request_bytes(message_length: usize) -> usize {
    REQUEST_RECORD_BYTES + 2 * message_length + SMALL_ANSWER_BYTES
}

/// The memory for messages.
pub struct MemoryBudget {
    /// For requests of clients. A connection whose large message stays incomplete is an idle holder.
    pub requests: PermitPool,
    /// For answers of members. They have their own permits because a request keeps its permit until it is answered: with
    /// shared permits, requests could hold all of them while each waits for an answer.
    pub answers: PermitPool,
    /// For open requests whose messages are small.
    pub open_requests: BytePool,
}

impl MemoryBudget {
    /// Divides a memory limit: of what is left beyond `BASE_BYTES`, an eighth stays free, an eighth is for open requests with
    /// small messages, and the remainder is split evenly between large requests and large answers.
    pub fn divide(megabytes: usize) -> Self {
        let eighth = (megabytes << 20).saturating_sub(BASE_BYTES) / 8;
        let permits = |bytes_each: usize| PermitPool::new((3 * eighth / bytes_each).max(2));
        MemoryBudget {
            requests: permits(REQUEST_BYTES),
            answers: permits(ANSWER_BYTES),
            open_requests: BytePool::new(
                BASE_OPEN_REQUEST_BYTES + eighth,
                open_request_bytes(MAX_SHORT_REQUEST_BYTES),
            ),
        }
    }
}
