//! What a client's connection does next, and how long it may wait.

use std::time::{Duration, Instant};

use super::limits::{
    EVICTION_GRACE, IDLE_TIMEOUT, LINGER_TIMEOUT, MAX_LINGER_BYTES, MAX_OPEN_REQUESTS, MESSAGE_TIMEOUT,
    OUTPUT_STALL_TIMEOUT, SHUTDOWN_IDLE_TIMEOUT,
};
use super::{
    CloseCause, ConnectionState, End, NextStep, PendingClose, Phase, QueuedAnswer, ReadMode, Stage, Usage,
    Wait,
};
use crate::permit_pool::IdleRank;
use crate::pg::sqlstate;

impl ConnectionState {
    // ---- The next step ----

    /// The next step of the connection's actor. `begun`: the buffer holds part of a message.
    pub fn next_step(&mut self, phase: Phase, begun: bool, now: Instant) -> NextStep {
        let is_idle = matches!(self.stage, Stage::Startup | Stage::Serving) && !self.owes_output();
        if is_idle && self.pending_close.is_none() && now >= self.idle_deadline(phase, begun) {
            self.expire(phase, begun);
        }
        match &self.stage {
            Stage::Closed => NextStep::Close,
            Stage::Closing(End::Fatal(..)) if self.answers.is_empty() && self.output.is_none() => {
                NextStep::Write
            }
            _ if self.output.is_some() && now >= self.output_progress_at + OUTPUT_STALL_TIMEOUT => {
                NextStep::Close
            }
            _ if self.pending_close.is_some() => NextStep::CheckInput,
            Stage::Closing(_) if !self.owes_output() => NextStep::ShutdownWrite,
            Stage::Lingering
                if now >= self.since + LINGER_TIMEOUT || self.discarded_bytes >= MAX_LINGER_BYTES =>
            {
                NextStep::Close
            }
            _ => NextStep::Wait(self.wait(phase, begun, is_idle)),
        }
    }

    /// What the connection waits for.
    fn wait(&self, phase: Phase, begun: bool, is_idle: bool) -> Wait {
        let is_active = begun || self.usage == Usage::New;
        let read_mode = match &self.stage {
            Stage::Lingering => ReadMode::Discard,
            Stage::Closing(_) if self.discarded_bytes < MAX_LINGER_BYTES => ReadMode::Discard,
            Stage::Startup if self.output.is_none() => ReadMode::Messages,
            Stage::Serving if self.answers.len() < MAX_OPEN_REQUESTS && !self.is_deferring => {
                ReadMode::Messages
            }
            Stage::Startup | Stage::Serving => ReadMode::Ahead,
            _ => ReadMode::Paused,
        };
        let deadline = match &self.stage {
            _ if self.output.is_some() => Some(self.output_progress_at + OUTPUT_STALL_TIMEOUT),
            Stage::Lingering => Some(self.since + LINGER_TIMEOUT),
            _ if is_idle => Some(self.idle_deadline(phase, begun)),
            _ => None,
        };
        let idle_since = match &self.stage {
            Stage::Lingering => Some((self.since, IdleRank::Unproductive)),
            _ if is_idle && is_active => Some((self.since + EVICTION_GRACE, IdleRank::Unproductive)),
            _ if is_idle => Some((self.since + EVICTION_GRACE, IdleRank::BetweenRequests)),
            _ => None,
        };
        let watches_disconnect =
            self.answers.iter().any(|answer| matches!(answer, QueuedAnswer::Pending { .. }));
        Wait { read_mode, wants_write: self.output.is_some(), deadline, idle_since, watches_disconnect }
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
                Phase::ShuttingDown => SHUTDOWN_IDLE_TIMEOUT,
            }
    }

    /// Handles the end of the idle time.
    pub(super) fn expire(&mut self, phase: Phase, begun: bool) {
        // A request of which only a part has arrived is never forwarded, so that the client may send it to
        // another driver at once.
        let shutdown_error = (CloseCause::Shutdown, sqlstate::CANNOT_CONNECT_NOW, "this router ends");
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
                self.end_with_error(CloseCause::ProtocolViolation, sqlstate::PROTOCOL_VIOLATION, text.into());
            }
        }
    }
}
