//! Messages between the actor of a client's connection and the other actors.
//!
//! Owns no state and never waits.

use std::cell::Cell;
use std::rc::Rc;

use beaconshore::interface::{Micros, RequestId};

use crate::budget::LargeMessagePermit;

/// A message to the actor of a client's connection.
pub enum ClientMessage {
    /// The final answer to a request of the connection.
    Answer(RequestId, Answer),
    /// Close the connection if it has no open request.
    CloseIfIdle,
    /// Return the memory for a large message that has not come whole: others wait for it.
    ReleaseMemory,
    /// Cancel the open requests: the client asked for that on another connection.
    CancelRequests,
}

/// The answer of a member that served a request.
#[derive(Default)]
pub struct MemberAnswer {
    /// The member's messages up to CommandComplete.
    pub messages: Vec<u8>,
    /// The answer's share of the memory for large messages, if it is large.
    pub large_permit: Option<LargeMessagePermit>,
}

/// A final answer.
pub enum Answer {
    /// A member served the request.
    Served(MemberAnswer),
    /// The request was refused and never ran, so that a retry is harmless. The client is advised to wait this
    /// many microseconds before it (0: no advice).
    Refused(Micros),
    /// The request failed. Whether it ran is not known.
    Failed,
}

/// Whether a request's client has left or cancelled it. The flag is shared by everything that works on the
/// request, so that this is seen right before each byte is written, however many messages wait in the
/// mailboxes.
#[derive(Clone, Debug, Default)]
pub struct CancelFlag(Rc<Cell<bool>>);

impl CancelFlag {
    /// Notes that the client has left or cancelled the request.
    pub fn cancel(&self) {
        self.0.set(true);
    }

    /// Whether nobody waits for the answer any more.
    pub fn is_cancelled(&self) -> bool {
        self.0.get()
    }
}
