//! Input of a client's connection: bytes, messages, disconnection, and requests to cancel.

use std::rc::Rc;
use std::time::Instant;

use beaconshore::interface::RequestId;

use super::limits::{MAX_CONSECUTIVE_NON_REQUESTS, MAX_OPEN};
use super::{CancelFlag, Connection, End, Fault, Left, Look, QueuedAnswer, Stage, Usage};
use crate::budget::Share;
use crate::pg::{self, sqlstate, BadRequest, Frontend, Opening, Severity};

impl Connection {
    // ---- Input from the client ----

    /// Notes that bytes were read. `was_empty`: the buffer was empty before.
    pub fn read(&mut self, count: usize, was_empty: bool, now: Instant) {
        self.pending_close = None;
        match self.stage {
            Stage::Closing(_) | Stage::Lingering => self.discarded_bytes += count,
            _ if was_empty && self.usage == Usage::Used => self.since = now,
            _ => {}
        }
    }

    /// Takes the next message from the buffer.
    pub fn look<'b>(&mut self, bytes: &'b [u8], now: Instant) -> Look<'b> {
        match self.stage {
            // The reply to the opening is written before the next message is processed.
            Stage::Startup if self.output.is_none() => self.next_opening_input(bytes, now),
            Stage::Serving if self.answers.len() < MAX_OPEN => self.next_message_input(bytes, now),
            // No request is accepted once the connection is closing.
            Stage::Closing(_) | Stage::Lingering if !bytes.is_empty() => Look::Passed(bytes.len()),
            _ => Look::Nothing,
        }
    }

    /// Takes a message that comes before the connection is open for requests.
    fn next_opening_input<'b>(&mut self, bytes: &'b [u8], now: Instant) -> Look<'b> {
        match pg::opening(bytes) {
            Ok(None) => Look::Nothing,
            Ok(Some((Opening::Startup, length))) => {
                self.stage = Stage::Serving;
                let mut out = Vec::new();
                pg::put_welcome(&mut out, self.cancel_key);
                self.start_output(out, false, None, now);
                Look::Login(&bytes[..length])
            }
            Ok(Some((Opening::Encryption, length))) => {
                match self.count_non_request(None) {
                    true => self.start_output(vec![pg::NO_ENCRYPTION], false, None, now),
                    false => self.stage = Stage::Closing(End::Silent),
                }
                Look::Passed(length)
            }
            // A connection that carries a cancel request carries nothing else and gets no reply.
            Ok(Some((Opening::Cancel(key), length))) => {
                self.stage = Stage::Closing(End::Silent);
                Look::Cancel(key, length)
            }
            Err(broken) => {
                self.end_with_error(Fault::Stream, broken.sqlstate(), broken.to_string());
                Look::Passed(bytes.len())
            }
        }
    }

    /// Takes a message that comes after the startup message.
    fn next_message_input<'b>(&mut self, bytes: &'b [u8], now: Instant) -> Look<'b> {
        let (message, length) = match pg::frontend(bytes) {
            Ok(Some(parsed)) => parsed,
            Ok(None) => return Look::Nothing,
            Err(broken) => {
                self.end_with_error(Fault::Stream, broken.sqlstate(), broken.to_string());
                return Look::Passed(bytes.len());
            }
        };
        let mut out = Vec::new();
        match message {
            Frontend::Terminate => {
                self.stage = Stage::Closing(End::Silent);
                return Look::Passed(length);
            }
            Frontend::Ignored => {}
            Frontend::Sync => {
                self.skips_to_sync = false;
                pg::put_ready(&mut out);
            }
            Frontend::Extended if self.skips_to_sync => {}
            Frontend::Extended => {
                self.skips_to_sync = true;
                let code = sqlstate::FEATURE_NOT_SUPPORTED;
                pg::put_error(&mut out, Severity::Error, code, "only simple queries are taken", None);
            }
            Frontend::Query(query) if query.trim_ascii().is_empty() => {
                pg::put_empty(&mut out);
                pg::put_ready(&mut out);
                self.queue_bytes(out);
                self.note_request(now);
                return Look::Passed(length);
            }
            Frontend::Query(query) => return Look::Request(query, length),
        }
        if !out.is_empty() {
            self.queue_bytes(out);
        }
        self.skip_non_request(now);
        Look::Passed(length)
    }

    /// Notes that the request that was just returned is accepted.
    pub fn took(
        &mut self,
        id: RequestId,
        name: Rc<[u8]>,
        cancel_flag: CancelFlag,
        large: Option<Share>,
        now: Instant,
    ) {
        self.answers.push_back(QueuedAnswer::Pending { id, name, cancel_flag, _large_permit: large });
        self.note_request(now);
    }

    /// Notes that the request that was just returned is rejected, and queues the error.
    pub fn declined(&mut self, (code, text): BadRequest, now: Instant) {
        let mut out = Vec::new();
        pg::put_error(&mut out, Severity::Error, code, text, None);
        pg::put_ready(&mut out);
        self.queue_bytes(out);
        self.skip_non_request(now);
    }

    /// Notes that the client has closed the connection or that it broke. Returns the open requests, which are
    /// abandoned, and drops all output.
    pub fn gone(&mut self) -> Vec<Left> {
        self.stage = Stage::Closed;
        self.output = None;
        let open = self.answers.drain(..).filter_map(|answer| match answer {
            QueuedAnswer::Pending { id, name, cancel_flag, .. } => {
                cancel_flag.cancel();
                Some(Left { id, name })
            }
            QueuedAnswer::Ready { .. } => None,
        });
        open.collect()
    }

    /// Cancels the open requests at the client's wish. Each is answered with that error and returned as
    /// abandoned.
    pub fn cancelled(&mut self) -> Vec<Left> {
        let mut left = Vec::new();
        self.has_cancelled = true;
        for answer in &mut self.answers {
            if matches!(answer, QueuedAnswer::Ready { .. }) {
                continue;
            }
            let mut bytes = Vec::new();
            let text = "cancelled as its client asked; the statement may have run";
            pg::put_error(&mut bytes, Severity::Error, sqlstate::QUERY_CANCELED, text, None);
            pg::put_ready(&mut bytes);
            if let QueuedAnswer::Pending { id, name, cancel_flag, .. } =
                std::mem::replace(answer, QueuedAnswer::Ready { bytes, _large_permit: None })
            {
                cancel_flag.cancel();
                left.push(Left { id, name });
            }
        }
        left
    }

    /// Notes a request. The time for the next message starts now.
    fn note_request(&mut self, now: Instant) {
        (self.usage, self.since, self.consecutive_non_requests) = (Usage::Used, now, 0);
    }

    /// Counts a message that was no request. False if there were too many in a row.
    fn count_non_request(&mut self, now: Option<Instant>) -> bool {
        self.consecutive_non_requests += 1;
        if let (Usage::Used, Some(now)) = (self.usage, now) {
            self.since = now;
        }
        self.consecutive_non_requests < MAX_CONSECUTIVE_NON_REQUESTS
    }

    /// Counts a message that was no request, and ends the connection if there were too many in a row.
    fn skip_non_request(&mut self, now: Instant) {
        if !self.count_non_request(Some(now)) {
            let text = "too many messages in a row were no requests";
            self.end_with_error(Fault::Stream, sqlstate::PROTOCOL_VIOLATION, text.into());
        }
    }
}
