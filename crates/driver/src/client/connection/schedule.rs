//! What a client's connection does next, and how long it may wait.

use std::time::{Duration, Instant};

use super::limits::{
    EVICTION_GRACE, IDLE_TIMEOUT, LINGER, LINGER_BYTES, MAX_OPEN, MESSAGE_TIMEOUT, SHUTDOWN_IDLE_TIMEOUT,
    WRITE_WAIT,
};
use super::{Connection, End, Fault, PendingClose, Phase, QueuedAnswer, Reading, Stage, Todo, Usage, Wait};
use crate::descriptors::Rank;
use crate::pg::sqlstate;

impl Connection {
    // ---- The next step ----

    /// The next step of the connection's actor. `begun`: the buffer holds part of a message.
    pub fn next(&mut self, phase: Phase, begun: bool, now: Instant) -> Todo {
        let is_idle = matches!(self.stage, Stage::Startup | Stage::Serving) && !self.owes_output();
        if is_idle && self.pending_close.is_none() && now >= self.idle_deadline(phase, begun) {
            self.expire(phase, begun);
        }
        match &self.stage {
            Stage::Closed => Todo::Close,
            Stage::Closing(End::Fatal(..)) if self.answers.is_empty() && self.output.is_none() => Todo::Write,
            _ if self.output.is_some() && now >= self.output_progress_at + WRITE_WAIT => Todo::Close,
            _ if self.pending_close.is_some() => Todo::LastLook,
            Stage::Closing(_) if !self.owes_output() => Todo::Shut,
            Stage::Lingering if now >= self.since + LINGER || self.discarded_bytes >= LINGER_BYTES => {
                Todo::Close
            }
            _ => Todo::Wait(self.wait(phase, begun, is_idle)),
        }
    }

    /// What the connection waits for.
    fn wait(&self, phase: Phase, begun: bool, is_idle: bool) -> Wait {
        let is_active = begun || self.usage == Usage::New;
        let reading = match &self.stage {
            Stage::Lingering => Reading::Discard,
            Stage::Closing(_) if self.discarded_bytes < LINGER_BYTES => Reading::Discard,
            Stage::Startup if self.output.is_none() => Reading::Messages,
            Stage::Serving if self.answers.len() < MAX_OPEN => Reading::Messages,
            Stage::Startup | Stage::Serving => Reading::Ahead,
            _ => Reading::Nothing,
        };
        let until = match &self.stage {
            _ if self.output.is_some() => Some(self.output_progress_at + WRITE_WAIT),
            Stage::Lingering => Some(self.since + LINGER),
            _ if is_idle => Some(self.idle_deadline(phase, begun)),
            _ => None,
        };
        let rest = match &self.stage {
            Stage::Lingering => Some((self.since, Rank::Useless)),
            _ if is_idle && is_active => Some((self.since + EVICTION_GRACE, Rank::Useless)),
            _ if is_idle => Some((self.since, Rank::Used)),
            _ => None,
        };
        let watches = self.answers.iter().any(|answer| matches!(answer, QueuedAnswer::Pending { .. }));
        Wait { reading, writing: self.output.is_some(), until, rest, watches }
    }

    /// When a connection that owes nothing has been idle for too long.
    fn idle_deadline(&self, phase: Phase, begun: bool) -> Instant {
        self.since
            + match phase {
                // The first request of a connection that was just accepted may be on its way.
                Phase::Closing if self.usage == Usage::New && !begun => EVICTION_GRACE,
                Phase::Closing => Duration::ZERO,
                _ if begun || self.usage == Usage::New => MESSAGE_TIMEOUT,
                Phase::Serving => IDLE_TIMEOUT,
                Phase::Leaving => SHUTDOWN_IDLE_TIMEOUT,
            }
    }

    /// Handles the end of the idle time.
    pub(super) fn expire(&mut self, phase: Phase, begun: bool) {
        // A request of which only a part has arrived is never forwarded, so that the client may send it to
        // another driver at once.
        let shutdown_error = (Fault::Ending, sqlstate::CANNOT_CONNECT_NOW, "this router ends");
        match phase {
            Phase::Closing if begun => {
                self.end_with_error(shutdown_error.0, shutdown_error.1, shutdown_error.2.into())
            }
            Phase::Closing if self.usage == Usage::New => {
                self.pending_close =
                    Some(PendingClose::WithError(shutdown_error.0, shutdown_error.1, shutdown_error.2))
            }
            _ if !begun => self.pending_close = Some(PendingClose::Silent),
            _ => {
                let text = "the message has not come whole in time";
                self.end_with_error(Fault::Stream, sqlstate::PROTOCOL_VIOLATION, text.into());
            }
        }
    }
}
