//! What a client's connection does next, and how long it may wait.

use std::time::{Duration, Instant};

use super::limits::{
    IDLE_WAIT, LEAVING_IDLE_WAIT, LINGER, LINGER_BYTES, MAX_OPEN, MESSAGE_WAIT, SPARED, WRITE_WAIT,
};
use super::{Connection, Due, End, Fault, Parting, Phase, Reading, Stage, Todo, Use, Wait};
use crate::descriptors::Rank;
use crate::pg::sqlstate;

impl Connection {
    // ---- What is next ----

    /// What to do; `begun`: part of a message is at hand.
    pub fn next(&mut self, phase: Phase, begun: bool, now: Instant) -> Todo {
        let idle = matches!(self.stage, Stage::Opening | Stage::Serving) && !self.owes();
        if idle && self.parting.is_none() && now >= self.idle_deadline(phase, begun) {
            self.expire(phase, begun);
        }
        match &self.stage {
            Stage::Over => Todo::Close,
            Stage::Ending(End::Fatal(..)) if self.queue.is_empty() && self.output.is_none() => Todo::Write,
            _ if self.output.is_some() && now >= self.moved + WRITE_WAIT => Todo::Close,
            _ if self.parting.is_some() => Todo::LastLook,
            Stage::Ending(_) if !self.owes() => Todo::Shut,
            Stage::Draining if now >= self.since + LINGER || self.discarded >= LINGER_BYTES => Todo::Close,
            _ => Todo::Wait(self.wait(phase, begun, idle)),
        }
    }

    fn wait(&self, phase: Phase, begun: bool, idle: bool) -> Wait {
        let at_work = begun || self.used == Use::New;
        let reading = match &self.stage {
            Stage::Draining => Reading::Discard,
            Stage::Ending(_) if self.discarded < LINGER_BYTES => Reading::Discard,
            Stage::Opening if self.output.is_none() => Reading::Messages,
            Stage::Serving if self.queue.len() < MAX_OPEN => Reading::Messages,
            Stage::Opening | Stage::Serving => Reading::Ahead,
            _ => Reading::Nothing,
        };
        let until = match &self.stage {
            _ if self.output.is_some() => Some(self.moved + WRITE_WAIT),
            Stage::Draining => Some(self.since + LINGER),
            _ if idle => Some(self.idle_deadline(phase, begun)),
            _ => None,
        };
        let rest = match &self.stage {
            Stage::Draining => Some((self.since, Rank::Useless)),
            _ if idle && at_work => Some((self.since + SPARED, Rank::Useless)),
            _ if idle => Some((self.since, Rank::Used)),
            _ => None,
        };
        let watches = self.queue.iter().any(|due| matches!(due, Due::Open { .. }));
        Wait { reading, writing: self.output.is_some(), until, rest, watches }
    }

    /// Until when a connection may rest that owes nothing.
    fn idle_deadline(&self, phase: Phase, begun: bool) -> Instant {
        self.since
            + match phase {
                // What has just come up may have its request right behind it.
                Phase::Closing if self.used == Use::New && !begun => SPARED,
                Phase::Closing => Duration::ZERO,
                _ if begun || self.used == Use::New => MESSAGE_WAIT,
                Phase::Serving => IDLE_WAIT,
                Phase::Leaving => LEAVING_IDLE_WAIT,
            }
    }

    /// That time is over.
    pub(super) fn expire(&mut self, phase: Phase, begun: bool) {
        // What has begun is never sent on: its client may ask elsewhere at once.
        let ending = (Fault::Ending, sqlstate::CANNOT_CONNECT_NOW, "this router ends");
        match phase {
            Phase::Closing if begun => self.end(ending.0, ending.1, ending.2.into()),
            Phase::Closing if self.used == Use::New => {
                self.parting = Some(Parting::Told(ending.0, ending.1, ending.2))
            }
            _ if !begun => self.parting = Some(Parting::Quiet),
            _ => {
                let text = "the message has not come whole in time";
                self.end(Fault::Stream, sqlstate::PROTOCOL_VIOLATION, text.into());
            }
        }
    }
}
