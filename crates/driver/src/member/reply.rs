//! An answer of a member as far as it has come, without I/O: bytes, silence and the connection's end come in; the outcome
//! that it amounts to comes out.
//!
//! Owns what was told so far. Never reads or waits: it says how long the next bytes may take.

use std::time::Duration;

use beaconshore::interface::Outcome;

use super::told::Told;
use crate::buffer::Buffer;
use crate::client::Served;
use crate::pg::{self, sqlstate, Backend, Severity};

/// Once its value is whole, the rest of an answer has so long to come.
const READY_WAIT: Duration = Duration::from_millis(100);
/// A message that has begun goes on within this: members send an answer at once.
const MESSAGE_GAP: Duration = Duration::from_millis(50);

/// What came of a statement; a broken connection, as long as its end has not come.
pub struct Reply {
    /// The outcome so far.
    pub outcome: Outcome,
    /// What is for the client, if it was served.
    pub served: Served,
    /// What the member said of itself.
    pub told: Told,
    row: Row,
}

/// How the reading of an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The member is ready for the next statement.
    Ready,
    /// The connection broke, or is of no further use.
    Broken,
    /// The answer can't be read, so its connection is of no further use.
    Spoilt,
}

impl Reply {
    /// No answer yet, which is this outcome.
    pub fn without_answer(outcome: Outcome) -> Self {
        Reply { outcome, served: Served::default(), told: Told::default(), row: Row::Nothing }
    }

    /// The answer to a statement that has just been written whole.
    pub fn awaited() -> Self {
        Reply::without_answer(Outcome::Reset)
    }

    /// Takes all messages at hand; tells how the answer ended, once it has.
    pub fn take(&mut self, buffer: &mut Buffer) -> Option<End> {
        loop {
            let bytes = buffer.filled();
            let (message, length) = match pg::backend(bytes) {
                Ok(Some(parsed)) => parsed,
                Ok(None) => return None,
                Err(_) => return Some(self.spoil()),
            };
            match message {
                Backend::ParameterStatus(name, value) => self.told.take(name, value),
                // Whatever follows a whole row does not belong to it.
                Backend::Error(..) | Backend::RowDescription(_) | Backend::DataRow(_)
                    if self.row == Row::Complete =>
                {
                    return Some(End::Broken);
                }
                Backend::Error(code, severity) => {
                    self.outcome = outcome_of(code);
                    if severity == Severity::Fatal {
                        return Some(End::Broken);
                    }
                }
                Backend::RowDescription(_) | Backend::DataRow(_) | Backend::CommandComplete => {
                    self.row = self.row.next(message);
                    if self.row == Row::Unfit {
                        return Some(self.spoil());
                    }
                    // One of each at most is kept, so the bound on messages bounds the answer.
                    self.served.messages.extend_from_slice(&bytes[..length]);
                    if self.row == Row::Complete {
                        self.outcome = Outcome::Served;
                    }
                }
                Backend::Ready if self.outcome == Outcome::Reset => return Some(self.spoil()),
                Backend::Ready | Backend::Authentication(_) | Backend::Other => {}
            }
            let ready = message == Backend::Ready;
            let large = buffer.consume(length);
            self.served.large = self.served.large.take().or(large);
            if ready {
                return Some(End::Ready);
            }
        }
    }

    /// How long the next bytes may take; none: until the attempt's own end. `begun`: part of a message is at hand.
    pub fn patience(&self, begun: bool) -> Option<Duration> {
        match self.row {
            Row::Complete => Some(READY_WAIT),
            _ if begun => Some(MESSAGE_GAP),
            _ => None,
        }
    }

    /// They did not come in time, or can't be read. A row that was whole before stays good, as does an error that was
    /// told; else the member did answer, and may have run the statement, which is what an error of its own would say.
    pub fn spoil(&mut self) -> End {
        if self.row == Row::Complete || self.outcome != Outcome::Reset {
            return End::Broken;
        }
        *self = Reply::without_answer(Outcome::Error);
        End::Spoilt
    }

    /// The attempt's own time is over: where all but the last message has come, that is the outcome.
    pub fn time_out(&mut self) {
        if self.outcome == Outcome::Reset {
            self.outcome = Outcome::TimedOut;
        }
    }
}

/// How far an answer's single row has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Row {
    Nothing,
    Described,
    Given,
    Complete,
    /// Not what a request's answer looks like.
    Unfit,
}

impl Row {
    fn next(self, message: Backend) -> Row {
        match (self, message) {
            (Row::Nothing, Backend::RowDescription(1)) => Row::Described,
            (Row::Described, Backend::DataRow(Some(_))) => Row::Given,
            (Row::Given, Backend::CommandComplete) => Row::Complete,
            _ => Row::Unfit,
        }
    }
}

/// The outcome that a member's error stands for.
fn outcome_of(code: &[u8]) -> Outcome {
    match std::str::from_utf8(code) {
        Ok(sqlstate::READ_ONLY | sqlstate::SNAPSHOT_TOO_OLD) => Outcome::Misdirected,
        Ok(sqlstate::TOO_MANY_CONNECTIONS) => Outcome::Rejected,
        _ => Outcome::Error,
    }
}
