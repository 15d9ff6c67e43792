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
pub enum Next {
    /// Open a connection.
    Connect,
    /// Ask the decision module whether the attempt may still be written.
    Ask,
    /// Write: nothing has changed since the decision.
    Write,
    /// Give up and report the attempt as never sent: a member never runs a query that is cut short.
    GiveUp,
}

/// What may have changed since the decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Present {
    /// The current time.
    pub now: Micros,
    /// The current version of the membership list: the number of lists and changes that were taken in.
    pub lists: u64,
    /// Whether the client has left.
    pub withdrawn: bool,
}

/// The state of an attempt until its last byte is written.
#[derive(Clone, Copy, Debug)]
pub struct Departure {
    /// The attempt's deadline.
    ends: Micros,
    /// When the attempt was decided on or confirmed last, and on which version of the membership list. None:
    /// the decision module has to be asked before the next byte.
    decided_on: Option<(Micros, u64)>,
    /// Whether a connection carries the attempt.
    is_connected: bool,
    /// Whether the decision module no longer allows the attempt.
    is_refused: bool,
}

impl Departure {
    /// An attempt that was decided on at this time and on this version of the membership list. `connected`:
    /// an idle connection carries it.
    pub fn new(decided_at: Micros, lists: u64, ends: Micros, connected: bool) -> Self {
        Departure { ends, decided_on: Some((decided_at, lists)), is_connected: connected, is_refused: false }
    }

    /// Notes that the connection is up. That took time, so that the decision has to be confirmed.
    pub fn connected(&mut self) {
        (self.is_connected, self.decided_on) = (true, None);
    }

    /// Notes that the socket took no more bytes, so that the decision has to be confirmed.
    pub fn blocked(&mut self) {
        self.decided_on = None;
    }

    /// Notes the decision module's answer, as of this time and this version of the membership list.
    pub fn answered(&mut self, allowed: bool, at: Micros, lists: u64) {
        (self.is_refused, self.decided_on) = (!allowed, Some((at, lists)));
    }

    /// What to do now.
    pub fn next(&self, present: Present) -> Next {
        if self.is_refused || present.withdrawn || present.now >= self.ends {
            return Next::GiveUp;
        }
        if !self.is_connected {
            return Next::Connect;
        }
        match self.decided_on {
            Some((at, lists)) if lists == present.lists && present.now <= at + DECISION_VALIDITY_US => {
                Next::Write
            }
            _ => Next::Ask,
        }
    }
}
