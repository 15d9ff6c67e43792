//! Large messages that are read without being kept, for want of memory. What such a message is owed is queued
//! once its last byte has been read.

use std::time::Instant;

use beaconshore::interface::Micros;

use super::{ConnectionState, Input};
use crate::buffer::SMALL_MESSAGE_BYTES;
use crate::pg::{self, BadRequest};

/// The reply to a request whose message is skipped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SkipReply {
    /// It is refused, and its client advised to wait this many microseconds before a repeat (0: no advice).
    Refused(Micros),
    /// It would be rejected in any case.
    Rejected(BadRequest),
}

/// A message that is being skipped.
pub(super) struct SkippedMessage {
    /// The byte that names its type.
    kind: u8,
    /// How many of its bytes have not been read yet.
    remaining: usize,
    reply: SkipReply,
}

impl ConnectionState {
    /// Skips the message that the buffer begins with, of which the header has been read. Returns how many bytes
    /// of the buffer belong to it.
    pub fn skip_message(&mut self, buffered: &[u8], reply: SkipReply, now: Instant) -> usize {
        let Some(&kind) = buffered.first() else { return 0 };
        self.skipped = Some(SkippedMessage { kind, remaining: pg::message_length(buffered), reply });
        self.skip_bytes(buffered.len(), now)
    }

    /// Whether a message is being skipped whose end has not been read yet.
    pub fn is_skipping(&self) -> bool {
        self.skipped.is_some()
    }

    /// How many bytes are read at once of the message that is being skipped; 0 if none is.
    pub(super) fn skipped_read_length(&self) -> usize {
        self.skipped.as_ref().map_or(0, |skipped| skipped.remaining.min(SMALL_MESSAGE_BYTES))
    }

    /// Takes bytes of the message that is being skipped from the buffer.
    pub(super) fn next_skipped_input<'b>(&mut self, bytes: &'b [u8], now: Instant) -> Input<'b> {
        match self.skip_bytes(bytes.len(), now) {
            0 => Input::NotReady,
            count => Input::Consume(count),
        }
    }

    /// Notes that this many bytes were read. Returns how many of them belong to the message.
    fn skip_bytes(&mut self, available: usize, now: Instant) -> usize {
        let Some(skipped) = &mut self.skipped else { return 0 };
        let count = available.min(skipped.remaining);
        skipped.remaining -= count;
        if skipped.remaining == 0 {
            let (kind, reply) = (skipped.kind, skipped.reply);
            self.skipped = None;
            self.on_message_skipped(kind, reply, now);
        }
        count
    }

    /// Queues what a message is owed whose last byte has been read.
    fn on_message_skipped(&mut self, kind: u8, reply: SkipReply, now: Instant) {
        match (pg::is_query(kind), reply) {
            (true, SkipReply::Refused(retry_after)) => {
                let mut out = Vec::new();
                pg::put_refusal(&mut out, retry_after);
                pg::put_ready_for_query(&mut out);
                self.queue_bytes(out);
                self.note_request(now);
            }
            (true, SkipReply::Rejected(bad_request)) => self.request_rejected(bad_request, now),
            (false, _) => {
                if pg::is_extended(kind) {
                    self.reject_extended();
                }
                self.skip_non_request(now);
            }
        }
    }
}
