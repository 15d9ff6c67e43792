//! A member's answer as far as it has been received, without I/O. Bytes, silence and the end of the
//! connection come in; the outcome comes out.
//!
//! Owns what was received so far. It never reads or waits, but says how long the wait for the next bytes may
//! take.

use std::time::Duration;

use beaconshore::interface::Outcome;

use super::self_report::SelfReport;
use crate::buffer::Buffer;
use crate::client::MemberAnswer;
use crate::pg::{self, sqlstate, BackendMessage, Severity};

/// Time for the rest of an answer once its value is complete.
const READY_TIMEOUT: Duration = Duration::from_millis(100);
/// Longest gap within a message that has begun: members send an answer in one piece.
const MESSAGE_GAP_TIMEOUT: Duration = Duration::from_millis(50);

/// What was received in answer to a statement. Its outcome is that of a broken connection until more is
/// known.
pub struct Reply {
    /// The outcome so far.
    pub outcome: Outcome,
    /// The answer for the client, if the member served the request.
    pub answer: MemberAnswer,
    /// What the member reported of itself.
    pub self_report: SelfReport,
    /// How much of the single row has been received.
    row_progress: RowProgress,
}

/// How the reading of an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyEnd {
    /// The member is ready for the next statement.
    Ready,
    /// The connection broke or can't be used again.
    Unusable,
    /// The answer is malformed, so that its connection can't be used again.
    Malformed,
}

impl Reply {
    /// A request that ended with this outcome and without an answer.
    pub fn without_answer(outcome: Outcome) -> Self {
        Reply {
            outcome,
            answer: MemberAnswer::default(),
            self_report: SelfReport::default(),
            row_progress: RowProgress::NotStarted,
        }
    }

    /// The answer to a statement that was just written whole, of which nothing has been received yet.
    pub fn awaited() -> Self {
        Reply::without_answer(Outcome::Reset)
    }

    /// Reads all complete messages in the buffer. Returns how the answer ended, once it has.
    pub fn read_messages(&mut self, buffer: &mut Buffer) -> Option<ReplyEnd> {
        loop {
            let bytes = buffer.filled();
            let (message, length) = match pg::parse_backend(bytes) {
                Ok(Some(parsed)) => parsed,
                Ok(None) => return None,
                Err(_) => return Some(self.abort()),
            };
            match message {
                BackendMessage::ParameterStatus(name, value) => self.self_report.record_value(name, value),
                // Whatever follows a complete row does not belong to this answer.
                BackendMessage::Error(..)
                | BackendMessage::RowDescription(_)
                | BackendMessage::DataRow(_)
                    if self.row_progress == RowProgress::Complete =>
                {
                    return Some(ReplyEnd::Unusable);
                }
                BackendMessage::Error(code, severity) => {
                    self.outcome = outcome_for_sqlstate(code);
                    if severity == Severity::Fatal {
                        return Some(ReplyEnd::Unusable);
                    }
                }
                BackendMessage::RowDescription(_)
                | BackendMessage::DataRow(_)
                | BackendMessage::CommandComplete => {
                    self.row_progress = self.row_progress.after(message);
                    if self.row_progress == RowProgress::Unexpected {
                        return Some(self.abort());
                    }
                    // At most one message of each kind is kept, so that the limit on a message bounds the
                    // answer.
                    self.answer.messages.extend_from_slice(&bytes[..length]);
                    if self.row_progress == RowProgress::Complete {
                        self.outcome = Outcome::Served;
                    }
                }
                BackendMessage::Ready if self.outcome == Outcome::Reset => return Some(self.abort()),
                BackendMessage::Ready | BackendMessage::Authentication(_) | BackendMessage::Other => {}
            }
            let is_ready = message == BackendMessage::Ready;
            let large_permit = buffer.consume(length);
            self.answer.large_permit = self.answer.large_permit.take().or(large_permit);
            if is_ready {
                return Some(ReplyEnd::Ready);
            }
        }
    }

    /// How long the wait for the next bytes may take; None: until the attempt's deadline. `begun`: the buffer
    /// holds part of a message.
    pub fn read_timeout(&self, begun: bool) -> Option<Duration> {
        match self.row_progress {
            RowProgress::Complete => Some(READY_TIMEOUT),
            _ if begun => Some(MESSAGE_GAP_TIMEOUT),
            _ => None,
        }
    }

    /// Ends an answer that is malformed or whose next bytes did not arrive in time. A row that was complete
    /// stays valid, and so does an error. Otherwise the member did answer and may have run the statement,
    /// which is what an error of its own would mean.
    pub fn abort(&mut self) -> ReplyEnd {
        if self.row_progress == RowProgress::Complete || self.outcome != Outcome::Reset {
            return ReplyEnd::Unusable;
        }
        *self = Reply::without_answer(Outcome::Error);
        ReplyEnd::Malformed
    }

    /// Notes that the attempt's deadline has passed. If only the last message is missing, the outcome is
    /// known and stays.
    pub fn time_out(&mut self) {
        if self.outcome == Outcome::Reset {
            self.outcome = Outcome::TimedOut;
        }
    }
}

/// How much of the answer's single row has been received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RowProgress {
    NotStarted,
    Described,
    Received,
    Complete,
    /// Messages that an answer to a request does not have.
    Unexpected,
}

impl RowProgress {
    fn after(self, message: BackendMessage) -> RowProgress {
        match (self, message) {
            (RowProgress::NotStarted, BackendMessage::RowDescription(1)) => RowProgress::Described,
            (RowProgress::Described, BackendMessage::DataRow(Some(_))) => RowProgress::Received,
            (RowProgress::Received, BackendMessage::CommandComplete) => RowProgress::Complete,
            _ => RowProgress::Unexpected,
        }
    }
}

/// The outcome that a member's error code stands for.
fn outcome_for_sqlstate(code: &[u8]) -> Outcome {
    match std::str::from_utf8(code) {
        Ok(sqlstate::READ_ONLY | sqlstate::SNAPSHOT_TOO_OLD) => Outcome::Misdirected,
        Ok(sqlstate::TOO_MANY_CONNECTIONS) => Outcome::Rejected,
        _ => Outcome::Error,
    }
}
