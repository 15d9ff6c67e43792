//! One attempt before its last byte is written, without I/O: what was decided, what has changed since, and time come in;
//! whether to ask again, write, or give it up comes out.
//!
//! Owns how old the decision is that stands behind the next byte. Never writes, and decides nothing about the request
//! itself: whatever may have changed, the decision module is asked again.

use beaconshore::interface::Micros;

/// A decision stands for so long: what was told or ran out meanwhile is asked about again.
const STANDS: Micros = 5_000;

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Open a connection.
    Connect,
    /// Ask whether it may still go out.
    Ask,
    /// Write: nothing has changed since it was decided.
    Write,
    /// Give it up, as never sent: of a query that is cut short nothing ever runs.
    GiveUp,
}

/// Whatever may have changed since a decision: how many lists are in force, and whether anybody waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Present {
    /// The time.
    pub now: Micros,
    /// How many lists and changes were taken in.
    pub lists: u64,
    /// The client has gone.
    pub withdrawn: bool,
}

/// An attempt on its way to its last byte.
#[derive(Clone, Copy, Debug)]
pub struct Departure {
    /// When its time is over.
    ends: Micros,
    /// When it was decided, or confirmed last, and on how many lists; none: it has to be asked about.
    decided: Option<(Micros, u64)>,
    connected: bool,
    refused: bool,
}

impl Departure {
    /// One that was decided at this time, on so many lists; `connected`: an idle connection carries it.
    pub fn new(decided: Micros, lists: u64, ends: Micros, connected: bool) -> Self {
        Departure { ends, decided: Some((decided, lists)), connected, refused: false }
    }

    /// The connection is up.
    pub fn connected(&mut self) {
        (self.connected, self.decided) = (true, None);
    }

    /// There was no room to write more.
    pub fn blocked(&mut self) {
        self.decided = None;
    }

    /// It was asked about; this is the answer, as of this time and so many lists.
    pub fn answered(&mut self, allowed: bool, at: Micros, lists: u64) {
        (self.refused, self.decided) = (!allowed, Some((at, lists)));
    }

    /// What to do right now.
    pub fn next(&self, present: Present) -> Next {
        if self.refused || present.withdrawn || present.now >= self.ends {
            return Next::GiveUp;
        }
        if !self.connected {
            return Next::Connect;
        }
        match self.decided {
            Some((at, lists)) if lists == present.lists && present.now <= at + STANDS => Next::Write,
            _ => Next::Ask,
        }
    }
}
