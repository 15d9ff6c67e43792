//! Memory of requests whose messages are small. Each takes its share of a pool before it is accepted.
//!
//! A connection that holds nothing of the pool waits in the order of asking, and its request is refused while its client can
//! still repeat it. One whose earlier requests hold some waits until these return it.

use crate::budget::{self, LargeMessagePermit, MessageMemory};
use crate::stats::Counter;

use super::large_message::MemoryWait;
use super::ConnectionActor;

/// The memory with which a whole request may be processed.
pub enum RequestMemory {
    /// Its large message holds a permit already, or it will be rejected.
    NotNeeded,
    /// Its share of the pool.
    Reserved(MessageMemory),
}

impl RequestMemory {
    /// The memory that the request keeps once it is accepted. A large message brings its permit.
    pub fn for_accepted_request(self, large_permit: Option<LargeMessagePermit>) -> Option<MessageMemory> {
        match self {
            RequestMemory::NotNeeded => large_permit.map(MessageMemory::Large),
            RequestMemory::Reserved(memory) => Some(memory),
        }
    }
}

impl ConnectionActor {
    /// Takes the memory for the request whose message, of this length, the buffer begins with. None if it has to wait.
    pub(super) fn take_request_memory(&mut self, length: usize) -> Option<RequestMemory> {
        if let Some(granted) = self.granted_memory.take() {
            return Some(RequestMemory::Reserved(granted));
        }
        if self.memory_wait.is_some() {
            return None;
        }
        if self.buffer.has_permit() {
            return Some(RequestMemory::NotNeeded);
        }
        let (bytes, held) = (budget::open_request_bytes(length), self.connection.small_message_bytes());
        let pool = &self.clients.node.memory_budget.open_requests;
        if let Some(reservation) = pool.try_reserve(bytes, held) {
            return Some(RequestMemory::Reserved(MessageMemory::Small(reservation)));
        }
        if self.parse_beginning().is_err() {
            return Some(RequestMemory::NotNeeded);
        }
        if held > 0 {
            self.connection.request_deferred();
        } else {
            self.wait_for_request_memory(bytes);
        }
        None
    }

    /// Whether the message that the buffer begins with has come whole and waits for memory.
    pub(super) fn is_whole_message_waiting(&self) -> bool {
        self.memory_wait.as_ref().is_some_and(|wait| wait.is_whole)
    }

    /// Starts to wait for this many bytes of the pool.
    fn wait_for_request_memory(&mut self, bytes: usize) {
        let node = self.clients.node.clone();
        node.stats.count(Counter::MemoryWaits);
        if self.connection.starts_request_now() {
            self.received_at = node.clock.now();
        }
        let waits_since = self.received_at;
        self.unread_since.get_or_insert(waits_since);
        let gives_up_at = self.memory_wait_end(waits_since);
        let pool = node.memory_budget.open_requests.clone();
        let memory = Box::pin(async move { MessageMemory::Small(pool.reserve(bytes).await) });
        self.memory_wait = Some(MemoryWait { memory, is_whole: true, gives_up_at });
    }
}
