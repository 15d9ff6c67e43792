//! The state of one attempt until its last byte is written, without I/O. Its decision, later changes, and
//! time come in; whether to connect, ask again, write or give up comes out.
//!
//! Owns the age of the decision behind the next byte. It never writes and decides nothing about the request
//! itself: whenever something may have changed, the decision module is asked again.

use beaconshore::interface::Micros;

/// A decision is valid for this many microseconds. After that the decision module is asked again, since
/// members may have changed or time limits may have expired meanwhile.
const DECISION_VALIDITY_US: Micros = 5_000;

/// The next step of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendStep {
    /// Open a connection.
    Connect,
    /// Ask the decision module whether the attempt may still be written.
    Confirm,
    /// Write: nothing has changed since the decision.
    Write,
    /// Give up and report the attempt as never sent: a member never runs a query that is cut short.
    GiveUp,
}

/// What may have changed since the decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendConditions {
    /// The current time.
    pub now: Micros,
    /// The current version of the membership list: the number of lists and changes that were taken in.
    pub list_version: u64,
    /// Whether the client has left.
    pub is_cancelled: bool,
}

/// The state of an attempt until its last byte is written.
#[derive(Clone, Copy, Debug)]
pub struct SendState {
    /// The attempt's deadline.
    deadline: Micros,
    /// When the attempt was decided on or confirmed last, and on which version of the membership list. None:
    /// the decision module has to be asked before the next byte.
    decided_on: Option<(Micros, u64)>,
    /// Whether a connection carries the attempt.
    is_connected: bool,
    /// Whether the decision module no longer allows the attempt.
    is_refused: bool,
}

impl SendState {
    /// An attempt that was decided on at this time and on this version of the membership list. `connected`:
    /// an idle connection carries it.
    pub fn new(decided_at: Micros, list_version: u64, deadline: Micros, connected: bool) -> Self {
        SendState {
            deadline,
            decided_on: Some((decided_at, list_version)),
            is_connected: connected,
            is_refused: false,
        }
    }

    /// Notes that the connection is up. That took time, so that the decision has to be confirmed.
    pub fn on_connected(&mut self) {
        (self.is_connected, self.decided_on) = (true, None);
    }

    /// Notes that the socket took no more bytes, so that the decision has to be confirmed.
    pub fn on_blocked(&mut self) {
        self.decided_on = None;
    }

    /// Notes the decision module's answer, as of this time and this version of the membership list.
    pub fn on_confirmation(&mut self, is_allowed: bool, decided_at: Micros, list_version: u64) {
        (self.is_refused, self.decided_on) = (!is_allowed, Some((decided_at, list_version)));
    }

    /// What to do now.
    pub fn next_step(&self, conditions: SendConditions) -> SendStep {
        if self.is_refused || conditions.is_cancelled || conditions.now >= self.deadline {
            return SendStep::GiveUp;
        }
        if !self.is_connected {
            return SendStep::Connect;
        }
        match self.decided_on {
            Some((at, list_version))
                if list_version == conditions.list_version && conditions.now <= at + DECISION_VALIDITY_US =>
            {
                SendStep::Write
            }
            _ => SendStep::Confirm,
        }
    }
}
