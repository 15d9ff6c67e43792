//! Input of a client's connection: bytes, messages, disconnection, and requests to cancel.

use std::rc::Rc;
use std::time::Instant;

use beaconshore::interface::RequestId;

use super::limits::{MAX_CONSECUTIVE_NON_REQUESTS, MAX_OPEN_REQUESTS};
use super::{
    AbandonedRequest, CancelFlag, CloseCause, ConnectionState, End, Input, QueuedAnswer, Stage, Usage,
};
use crate::budget::MessageMemory;
use crate::pg::{self, sqlstate, BadRequest, FirstMessage, FrontendMessage, Severity};

impl ConnectionState {
    // ---- Input from the client ----

    /// Notes that bytes were read. `was_empty`: the buffer was empty before.
    pub fn on_read(&mut self, count: usize, was_empty: bool, now: Instant) {
        self.pending_close = None;
        match self.stage {
            Stage::Closing(_) | Stage::Lingering => self.discarded_bytes += count,
            _ if was_empty && self.usage == Usage::Used => self.since = now,
            _ => {}
        }
    }

    /// Takes the next message from the buffer.
    pub fn next_input<'b>(&mut self, bytes: &'b [u8], now: Instant) -> Input<'b> {
        self.is_deferring = false;
        match self.stage {
            // The reply to the opening is written before the next message is processed.
            Stage::Startup if self.output.is_none() => self.next_opening_input(bytes, now),
            Stage::Serving if self.answers.len() >= MAX_OPEN_REQUESTS => Input::NotReady,
            Stage::Serving if self.is_skipping() => self.next_skipped_input(bytes, now),
            Stage::Serving => self.next_message_input(bytes, now),
            // No request is accepted once the connection is closing.
            Stage::Closing(_) | Stage::Lingering if !bytes.is_empty() => Input::Consume(bytes.len()),
            _ => Input::NotReady,
        }
    }

    /// Takes a message that comes before the connection is open for requests.
    fn next_opening_input<'b>(&mut self, bytes: &'b [u8], now: Instant) -> Input<'b> {
        match pg::parse_first_message(bytes) {
            Ok(None) => Input::NotReady,
            Ok(Some((FirstMessage::Startup, length))) => {
                self.stage = Stage::Serving;
                let mut out = Vec::new();
                pg::put_startup_response(&mut out, self.cancel_key);
                self.start_output(out, false, None, now);
                Input::Startup(&bytes[..length])
            }
            Ok(Some((FirstMessage::EncryptionRequest, length))) => {
                match self.count_non_request(None) {
                    true => self.start_output(vec![pg::NO_ENCRYPTION], false, None, now),
                    false => self.stage = Stage::Closing(End::Silent),
                }
                Input::Consume(length)
            }
            // A connection that carries a cancel request carries nothing else and gets no reply.
            Ok(Some((FirstMessage::CancelRequest(key), length))) => {
                self.stage = Stage::Closing(End::Silent);
                Input::Cancel(key, length)
            }
            Err(error) => {
                self.end_with_error(CloseCause::ProtocolViolation, error.sqlstate(), error.to_string());
                Input::Consume(bytes.len())
            }
        }
    }

    /// Takes a message that comes after the startup message.
    fn next_message_input<'b>(&mut self, bytes: &'b [u8], now: Instant) -> Input<'b> {
        let (message, length) = match pg::parse_frontend(bytes) {
            Ok(Some(parsed)) => parsed,
            Ok(None) => return Input::NotReady,
            Err(error) => {
                self.end_with_error(CloseCause::ProtocolViolation, error.sqlstate(), error.to_string());
                return Input::Consume(bytes.len());
            }
        };
        let mut out = Vec::new();
        match message {
            FrontendMessage::Terminate => {
                self.stage = Stage::Closing(End::Silent);
                return Input::Consume(length);
            }
            FrontendMessage::Ignored => {}
            FrontendMessage::Sync => {
                self.skips_to_sync = false;
                pg::put_ready_for_query(&mut out);
            }
            FrontendMessage::Extended => self.reject_extended(),
            FrontendMessage::Query(query) if query.trim_ascii().is_empty() => {
                pg::put_empty_query_response(&mut out);
                pg::put_ready_for_query(&mut out);
                self.queue_bytes(out);
                self.note_request(now);
                return Input::Consume(length);
            }
            FrontendMessage::Query(query) => return Input::Request(query, length),
        }
        if !out.is_empty() {
            self.queue_bytes(out);
        }
        self.skip_non_request(now);
        Input::Consume(length)
    }

    /// Notes that the request that was just returned is accepted.
    pub fn request_accepted(
        &mut self,
        id: RequestId,
        client_id: Rc<[u8]>,
        cancel_flag: CancelFlag,
        memory: Option<MessageMemory>,
        now: Instant,
    ) {
        self.answers.push_back(QueuedAnswer::Pending { id, client_id, cancel_flag, memory });
        self.note_request(now);
    }

    /// Notes that the request that was just returned is rejected, and queues the error.
    pub fn request_rejected(&mut self, (code, text): BadRequest, now: Instant) {
        let mut out = Vec::new();
        pg::put_error(&mut out, Severity::Error, code, text, None);
        pg::put_ready_for_query(&mut out);
        self.queue_bytes(out);
        self.skip_non_request(now);
    }

    /// Queues the error that a message of the extended protocol gets, unless messages are skipped up to the next
    /// Sync already.
    pub(super) fn reject_extended(&mut self) {
        if self.skips_to_sync {
            return;
        }
        self.skips_to_sync = true;
        let mut out = Vec::new();
        let code = sqlstate::FEATURE_NOT_SUPPORTED;
        pg::put_error(&mut out, Severity::Error, code, "only simple queries are taken", None);
        self.queue_bytes(out);
    }

    /// Notes that the client has closed the connection or that it broke. Returns the open requests, which are
    /// abandoned, and drops all output.
    pub fn disconnected(&mut self) -> Vec<AbandonedRequest> {
        self.stage = Stage::Closed;
        self.output = None;
        let open = self.answers.drain(..).filter_map(|answer| match answer {
            QueuedAnswer::Pending { id, client_id, cancel_flag, .. } => {
                cancel_flag.cancel();
                Some(AbandonedRequest { id, client_id })
            }
            QueuedAnswer::Ready { .. } => None,
        });
        open.collect()
    }

    /// Cancels the open requests at the client's wish. Each is answered with that error and returned as
    /// abandoned.
    pub fn cancel_requests(&mut self) -> Vec<AbandonedRequest> {
        let mut abandoned = Vec::new();
        self.has_cancelled_requests = true;
        for answer in &mut self.answers {
            if matches!(answer, QueuedAnswer::Ready { .. }) {
                continue;
            }
            let mut bytes = Vec::new();
            let text = "cancelled as its client asked; the statement may have run";
            pg::put_error(&mut bytes, Severity::Error, sqlstate::QUERY_CANCELED, text, None);
            pg::put_ready_for_query(&mut bytes);
            if let QueuedAnswer::Pending { id, client_id, cancel_flag, .. } =
                std::mem::replace(answer, QueuedAnswer::Ready { bytes, memory: None })
            {
                cancel_flag.cancel();
                abandoned.push(AbandonedRequest { id, client_id });
            }
        }
        abandoned
    }

    /// Notes a request. The time for the next message starts now.
    pub(super) fn note_request(&mut self, now: Instant) {
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
    pub(super) fn skip_non_request(&mut self, now: Instant) {
        if !self.count_non_request(Some(now)) {
            let text = "too many messages in a row were no requests";
            self.end_with_error(CloseCause::ProtocolViolation, sqlstate::PROTOCOL_VIOLATION, text.into());
        }
    }
}
