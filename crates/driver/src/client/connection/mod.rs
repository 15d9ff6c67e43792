//! The state of one client's connection, without I/O. Bytes, answers, disconnections and time come in;
//! requests, bytes to write and the steps of closing come out.
//!
//! Owns what the connection owes and how it ends. It never reads, writes or waits, and decides nothing about
//! a request.
//!
//! There is one way to close a connection, whatever the cause: no further request is accepted, what is owed
//! is written, the sending side is shut down, and what the client still sends is discarded until it closes
//! its side. Nothing that is read after the shutdown is ever processed.

mod incoming;
mod interface;
mod limits;
mod schedule;
mod skipping;

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Instant;

use beaconshore::interface::RequestId;

use super::message::{Answer, CancelFlag};
use crate::budget::MessageMemory;
use crate::pg::{self, sqlstate, Severity};

pub use interface::{AbandonedRequest, CloseCause, Eviction, Input, NextStep, Phase, ReadMode, Wait};
use limits::SHUTDOWN_IDLE_TIMEOUT;
pub use limits::{
    DISCONNECT_CHECK_INTERVAL, EVICTION_GRACE, LINGER_TIMEOUT, MAX_LINGER_BYTES, MAX_OPEN_REQUESTS,
    MESSAGE_TIMEOUT, OUTPUT_STALL_TIMEOUT,
};
pub use skipping::SkipReply;
use skipping::SkippedMessage;

/// How a connection ends.
#[derive(Clone, Debug, PartialEq, Eq)]
enum End {
    /// Without an error: between requests, or because the client asked for it.
    Silent,
    /// With an error: its SQLSTATE and message.
    Fatal(&'static str, String),
}

/// The stage of a connection's life.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Stage {
    /// The startup message has not arrived yet.
    Startup,
    /// Requests are accepted.
    Serving,
    /// No further request is accepted. What is owed is written.
    Closing(End),
    /// The sending side is shut down. Input is discarded.
    Lingering,
    /// Nothing is left to do.
    Closed,
}

/// How an idle connection ends, unless input that has arrived meanwhile keeps it open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PendingClose {
    /// Without an error.
    Silent,
    /// With an error, since the client's first request may be on its way: the cause, the SQLSTATE and the
    /// message.
    WithError(CloseCause, &'static str, &'static str),
}

/// Whether a connection has carried a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Usage {
    /// No request has arrived yet.
    New,
    /// At least one request has arrived.
    Used,
}

/// An answer that is owed.
enum QueuedAnswer {
    /// The answer of a request that is still open.
    Pending { id: RequestId, client_id: Rc<[u8]>, cancel_flag: CancelFlag, memory: Option<MessageMemory> },
    /// An answer that is ready to be written.
    Ready { bytes: Vec<u8>, memory: Option<MessageMemory> },
}

/// An answer that is being written.
struct Output {
    bytes: Vec<u8>,
    written: usize,
    /// Whether the client asked for it, after the startup message.
    is_answer: bool,
    memory: Option<MessageMemory>,
}

/// The state of a client's connection.
pub struct ConnectionState {
    stage: Stage,
    /// Set while an idle connection is about to be closed.
    pending_close: Option<PendingClose>,
    usage: Usage,
    /// When the connection began. Later, when the message in the buffer, the idle time or the lingering
    /// began.
    since: Instant,
    /// When the client last took some of the output.
    output_progress_at: Instant,
    /// Messages in a row that were no requests.
    consecutive_non_requests: u32,
    /// Set after an error in the extended protocol: messages are skipped up to the next Sync.
    skips_to_sync: bool,
    /// The message that is being skipped for want of memory.
    skipped: Option<SkippedMessage>,
    /// The answers that are owed, in the order of the messages that asked for them.
    answers: VecDeque<QueuedAnswer>,
    output: Option<Output>,
    /// Bytes that were discarded since the connection began to close.
    discarded_bytes: usize,
    /// Whether any answer was written whole.
    has_answered: bool,
    /// Whether the next request has to wait until earlier ones of the connection return some of their memory.
    is_deferring: bool,
    /// Whether a request waits, or waited, until earlier ones of the connection return some of their memory.
    waits_behind_own: bool,
    /// Whether requests were cancelled. Answers to them may still arrive.
    has_cancelled_requests: bool,
    /// Why the connection ended with an error.
    close_cause: Option<CloseCause>,
    /// The key by which the client may cancel its requests.
    cancel_key: u64,
}

impl ConnectionState {
    /// The state of a connection that was just accepted.
    pub fn new(cancel_key: u64, now: Instant) -> Self {
        ConnectionState {
            stage: Stage::Startup,
            pending_close: None,
            usage: Usage::New,
            since: now,
            output_progress_at: now,
            consecutive_non_requests: 0,
            skips_to_sync: false,
            skipped: None,
            answers: VecDeque::new(),
            output: None,
            discarded_bytes: 0,
            has_answered: false,
            is_deferring: false,
            waits_behind_own: false,
            has_cancelled_requests: false,
            close_cause: None,
            cancel_key,
        }
    }

    /// Notes the answer to an open request. It is written after all answers before it. Returns the client's
    /// id of the request; None if the request is not open here.
    pub fn queue_answer(&mut self, of: RequestId, answer: Answer) -> Option<Rc<[u8]>> {
        let queued = self
            .answers
            .iter_mut()
            .find(|queued| matches!(queued, QueuedAnswer::Pending { id, .. } if *id == of))?;
        let (mut bytes, mut large_answer) = (Vec::new(), None);
        match answer {
            Answer::Served(served) => {
                (bytes, large_answer) = (served.messages, served.large_permit.map(MessageMemory::Large));
            }
            Answer::Refused(retry_after) => pg::put_refusal(&mut bytes, retry_after),
            Answer::Failed => {
                let (code, text) = (sqlstate::COMPLETION_UNKNOWN, "failed; the statement may have run");
                pg::put_error(&mut bytes, Severity::Error, code, text, None);
            }
        }
        pg::put_ready_for_query(&mut bytes);
        bytes.shrink_to_fit();
        let answer_bytes = bytes.len();
        let earlier = std::mem::replace(queued, QueuedAnswer::Ready { bytes, memory: None });
        let QueuedAnswer::Pending { client_id, memory: request_memory, .. } = earlier else { return None };
        let answer_memory = large_answer.or_else(|| request_memory?.for_small_answer(answer_bytes));
        if let QueuedAnswer::Ready { memory, .. } = queued {
            *memory = answer_memory;
        }
        Some(client_id)
    }

    /// Asks the connection to close, so that others get its descriptor. `begun`: the buffer holds part of a
    /// message.
    pub fn evict(&mut self, phase: Phase, begun: bool, now: Instant) -> Eviction {
        match self.stage {
            Stage::Lingering => self.stage = Stage::Closed,
            Stage::Startup | Stage::Serving if !self.owes_output() && phase == Phase::Closing => {
                self.expire(phase, begun);
            }
            Stage::Startup | Stage::Serving if !self.owes_output() => {
                if phase == Phase::ShuttingDown && now < self.since + SHUTDOWN_IDLE_TIMEOUT {
                    return Eviction::InUse;
                }
                let is_active = begun || self.usage == Usage::New;
                let text = "no room for a connection without a request";
                let with_error =
                    PendingClose::WithError(CloseCause::NoCapacity, sqlstate::TOO_MANY_CONNECTIONS, text);
                self.pending_close = Some(if is_active { with_error } else { PendingClose::Silent });
            }
            _ => return Eviction::InUse,
        }
        Eviction::Accepted
    }

    /// The bytes to write now. None if no output is ready.
    pub fn pending_output(&mut self, now: Instant) -> Option<&[u8]> {
        if self.output.is_none() {
            if let Some(QueuedAnswer::Ready { .. }) = self.answers.front() {
                if let Some(QueuedAnswer::Ready { bytes, memory }) = self.answers.pop_front() {
                    self.start_output(bytes, true, memory, now);
                }
            } else if let (true, Stage::Closing(End::Fatal(code, text))) =
                (self.answers.is_empty(), &self.stage)
            {
                let mut bytes = Vec::new();
                pg::put_error(&mut bytes, Severity::Fatal, code, text, None);
                self.stage = Stage::Closing(End::Silent);
                self.start_output(bytes, true, None, now);
            }
        }
        self.output.as_ref().map(|output| &output.bytes[output.written..])
    }

    /// Notes how many of these bytes were written.
    pub fn on_written(&mut self, count: usize, now: Instant) {
        let Some(output) = &mut self.output else { return };
        output.written += count;
        self.output_progress_at = now;
        if output.written >= output.bytes.len() {
            if output.is_answer {
                (self.has_answered, self.since) = (true, now);
            }
            self.output = None;
            self.waits_behind_own &= !self.answers.is_empty();
        }
    }

    /// Notes that the sending side is shut down.
    pub fn on_write_shutdown(&mut self, now: Instant) {
        (self.stage, self.since) = (Stage::Lingering, now);
    }

    /// Notes that the last check for input found none.
    pub fn on_no_input(&mut self) {
        match self.pending_close.take() {
            None => {}
            Some(PendingClose::Silent) => self.stage = Stage::Closing(End::Silent),
            Some(PendingClose::WithError(cause, code, text)) => self.end_with_error(cause, code, text.into()),
        }
    }

    /// Whether no answer was written whole so far.
    pub fn is_unanswered(&self) -> bool {
        !self.has_answered
    }

    /// The number of answers that are owed.
    pub fn owed_answers(&self) -> usize {
        self.answers.len()
    }

    /// The bytes that the connection holds of the pool for small messages.
    pub fn small_message_bytes(&self) -> usize {
        let bytes = |memory: &Option<MessageMemory>| memory.as_ref().map_or(0, MessageMemory::small_bytes);
        let owed = self.answers.iter().map(|answer| match answer {
            QueuedAnswer::Pending { memory, .. } | QueuedAnswer::Ready { memory, .. } => bytes(memory),
        });
        owed.sum::<usize>() + self.output.as_ref().map_or(0, |output| bytes(&output.memory))
    }

    /// Notes that the request that was just returned waits until earlier ones return some of their memory.
    pub fn request_deferred(&mut self) {
        (self.is_deferring, self.waits_behind_own) = (true, true);
    }

    /// Whether the time of the next request starts now, since it had to wait for earlier answers before it was accepted.
    pub fn starts_request_now(&self) -> bool {
        self.waits_behind_own || self.owed_answers() + 1 >= MAX_OPEN_REQUESTS
    }

    /// Whether requests were cancelled. Answers to them are dropped.
    pub fn has_cancelled_requests(&self) -> bool {
        self.has_cancelled_requests
    }

    /// Why the connection ended with an error, if it did.
    pub fn close_cause(&self) -> Option<CloseCause> {
        self.close_cause
    }

    /// The whole length of the message that the buffer begins with; 0 while it is not known. Of a message that
    /// is being skipped, as many bytes as are read at once.
    pub fn message_length(&self, bytes: &[u8]) -> usize {
        match self.stage {
            Stage::Startup => pg::first_message_length(bytes),
            _ if self.is_skipping() => self.skipped_read_length(),
            _ => pg::message_length(bytes),
        }
    }

    /// Whether any answer or error still has to be written.
    fn owes_output(&self) -> bool {
        let owes_error = matches!(self.stage, Stage::Closing(End::Fatal(..)));
        !self.answers.is_empty() || self.output.is_some() || owes_error
    }

    /// Queues bytes that are ready to be written.
    fn queue_bytes(&mut self, bytes: Vec<u8>) {
        self.answers.push_back(QueuedAnswer::Ready { bytes, memory: None });
    }

    /// Begins to write these bytes.
    fn start_output(&mut self, bytes: Vec<u8>, is_answer: bool, memory: Option<MessageMemory>, now: Instant) {
        (self.output, self.output_progress_at) = (Some(Output { bytes, written: 0, is_answer, memory }), now);
    }

    /// Ends the connection with an error, after what is owed has been written.
    fn end_with_error(&mut self, cause: CloseCause, code: &'static str, text: String) {
        self.close_cause = Some(cause);
        self.stage = Stage::Closing(End::Fatal(code, text));
    }
}
