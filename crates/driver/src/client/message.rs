//! What a client's connection and the other actors tell each other.
//!
//! Owns no state; never waits.

use std::cell::Cell;
use std::rc::Rc;

use beaconshore::interface::{Micros, RequestId};

use crate::budget::Share;

/// What reaches the actor of a client's connection.
pub enum ClientMail {
    /// The final answer to its request.
    Answer(RequestId, Answer),
    /// Close, if nothing is under way.
    Close,
    /// Its client asked, on another connection, that what is under way be given up.
    Cancel,
}

/// What a member served.
#[derive(Default)]
pub struct Served {
    /// Its messages up to CommandComplete.
    pub messages: Vec<u8>,
    /// The place among the large answers, if it is one.
    pub large: Option<Share>,
}

/// A final answer.
pub enum Answer {
    /// Served.
    Served(Served),
    /// Refused: trying again is harmless, best after so long (0: no advice).
    Refused(Micros),
    /// Failed.
    Failed,
}

/// Whether a request's client still waits for it: shared by all that work on the request, so that its departure is
/// seen right before each byte, however full the mailboxes are.
#[derive(Clone, Debug, Default)]
pub struct CancelFlag(Rc<Cell<bool>>);

impl CancelFlag {
    /// The client has gone.
    pub fn cancel(&self) {
        self.0.set(true);
    }

    /// Whether nobody waits any more.
    pub fn is_cancelled(&self) -> bool {
        self.0.get()
    }
}
