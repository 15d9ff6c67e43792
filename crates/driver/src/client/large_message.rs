//! Large requests that a connection can only read with a permit for memory.
//!
//! The beginning of each message is read without one. The rest stays in the socket until a permit is free, and
//! the time that takes is the request's own: it is refused while its client can still repeat it. A connection
//! that keeps its permit although its message does not come whole has to return it to others that wait.

use std::future::Future;
use std::pin::Pin;
use std::time::Instant;

use beaconshore::interface::Micros;
use beaconshore::policy::refusal;

use super::connection::{SkipReply, EVICTION_GRACE, MESSAGE_TIMEOUT};
use super::message::ClientMessage;
use super::ConnectionActor;
use crate::budget::MessageMemory;
use crate::buffer::SMALL_MESSAGE_BYTES;
use crate::permit_pool::{IdleRank, IdleRegistration};
use crate::pg::{self, BadRequest};
use crate::stats::Counter;

/// Length in bytes of the type and the length that each message begins with.
const HEADER_BYTES: usize = 5;

/// Longest wait for a permit in microseconds: the rest of the message has to come before `MESSAGE_TIMEOUT`.
const MAX_MEMORY_WAIT: Micros = MESSAGE_TIMEOUT.as_micros() as Micros / 2;

/// A connection's wait for memory, with its place in the queue.
pub struct MemoryWait {
    /// Completes with the memory.
    pub memory: Pin<Box<dyn Future<Output = MessageMemory>>>,
    /// Whether the message has come whole, so that nothing is read meanwhile.
    pub is_whole: bool,
    /// When the request is refused instead. None while its beginning does not tell how long its client waits.
    pub gives_up_at: Option<Instant>,
}

/// What the beginning of a request says about it.
pub(super) struct RequestBeginning {
    class_index: usize,
    /// How long its client waits.
    wait: Micros,
}

impl ConnectionActor {
    /// Takes a permit for the large message that the buffer begins with, or starts to wait for one.
    pub(super) fn request_memory(&mut self) {
        if !self.buffer.filled().first().is_some_and(|kind| pg::is_query(*kind)) {
            // The content of other messages is not used.
            return self.skip_message();
        }
        let node = self.clients.node.clone();
        let requests = &node.memory_budget.requests;
        if !requests.is_contended() {
            if let Some(permit) = requests.try_acquire() {
                return self.grant_memory(MessageMemory::Large(permit));
            }
        }
        node.stats.count(Counter::MemoryWaits);
        let now = node.clock.now();
        let unread_since = *self.unread_since.get_or_insert(node.stall_detector.earliest_arrival(now));
        let gives_up_at = self.memory_wait_end(unread_since);
        let requests = requests.clone();
        let memory = Box::pin(async move { MessageMemory::Large(requests.acquire().await) });
        self.memory_wait = Some(MemoryWait { memory, is_whole: false, gives_up_at });
    }

    /// When the request that the buffer begins with, which has waited since then, is refused for want of memory. None
    /// while its beginning does not tell how long its client waits.
    pub(super) fn memory_wait_end(&self, waits_since: Micros) -> Option<Instant> {
        let request = self.parse_beginning().ok()?;
        let longest_wait = refusal::longest_wait(request.wait).min(MAX_MEMORY_WAIT);
        Some(self.clients.node.clock.instant(waits_since + longest_wait))
    }

    /// Takes the memory that was waited for. A large message is read on with it.
    pub(super) fn grant_memory(&mut self, memory: MessageMemory) {
        self.memory_wait = None;
        match memory {
            MessageMemory::Large(permit) => {
                self.memory_granted_at = Instant::now();
                self.buffer.grant(permit);
            }
            MessageMemory::Small(_) => self.granted_memory = Some(memory),
        }
    }

    /// Refuses the request that still waits for memory, if it has waited for as long as it may.
    pub(super) fn end_overdue_memory_wait(&mut self, now: Instant) {
        let gives_up_at = self.memory_wait.as_ref().and_then(|wait| wait.gives_up_at);
        if gives_up_at.is_some_and(|at| at <= now) {
            self.skip_message();
        }
    }

    /// Returns the permit, since others wait for one, unless the message that needs it has come whole meanwhile.
    pub(super) fn release_memory(&mut self) {
        let length = self.connection.message_length(self.buffer.filled());
        if self.buffer.has_permit() && length > SMALL_MESSAGE_BYTES {
            self.skip_message();
        } else {
            self.clients.node.memory_budget.requests.on_declined();
        }
    }

    /// When the permit that the buffer holds may be asked for, if it holds one; with the registration for that
    /// once the time has come.
    pub(super) fn register_memory(&self, now: Instant) -> (Option<Instant>, Option<IdleRegistration>) {
        let reclaimable_at = self.memory_granted_at + EVICTION_GRACE;
        if !self.buffer.has_permit() {
            return (None, None);
        }
        if now < reclaimable_at {
            return (Some(reclaimable_at), None);
        }
        let sender = self.sender.clone();
        let give_up = move || drop(sender.try_send(ClientMessage::ReleaseMemory));
        let requests = &self.clients.node.memory_budget.requests;
        (None, Some(requests.register_idle(IdleRank::Unproductive, give_up)))
    }

    /// Reads the message that the buffer begins with without keeping it.
    fn skip_message(&mut self) {
        self.memory_wait = None;
        self.clients.node.stats.count(Counter::MessagesSkipped);
        let reply = match self.parse_beginning() {
            Ok(request) => {
                let settings = &self.clients.node.settings.module;
                SkipReply::Refused(refusal::retry_advice(settings, request.class_index))
            }
            Err(bad_request) => SkipReply::Rejected(bad_request),
        };
        let skipped = self.connection.skip_message(self.buffer.filled(), reply, Instant::now());
        drop(self.buffer.consume(skipped));
    }

    /// Reads what the beginning of the request in the buffer says.
    pub(super) fn parse_beginning(&self) -> Result<RequestBeginning, BadRequest> {
        let query = self.buffer.filled().get(HEADER_BYTES..).unwrap_or_default();
        let (request, _) = pg::parse_request_comment(query)?;
        let class_index = self.find_class(&request)?;
        Ok(RequestBeginning { class_index, wait: self.waiting_time(&request, class_index) })
    }
}
