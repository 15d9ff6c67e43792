//! Types that the connection's state and its actor exchange. They hold no state of their own.

use std::rc::Rc;
use std::time::Instant;

use beaconshore::interface::RequestId;

use crate::descriptors::Rank;

/// How long connections are kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Until they have been idle for too long.
    Serving,
    /// The driver was asked to shut down: only while they are in use.
    Leaving,
    /// Until they have no open request.
    Closing,
}

/// Why a connection ended with an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The client's byte stream could not be parsed.
    Stream,
    /// There was no free descriptor for it.
    Room,
    /// The driver shut down.
    Ending,
}

/// The next input in the buffer.
#[derive(Debug, PartialEq, Eq)]
pub enum Look<'b> {
    /// Nothing can be processed now: no message is complete, or the connection does not accept one yet.
    Nothing,
    /// This many bytes have been processed.
    Passed(usize),
    /// The startup message, which is to be consumed: it names the user and the database.
    Login(&'b [u8]),
    /// A request to cancel what is open on the connection with this key, and the length of the message.
    Cancel(u64, usize),
    /// A statement, and the length of its message. `took` or `declined` reports whether it was accepted.
    Request(&'b [u8], usize),
}

/// What to read from the socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reading {
    /// Messages.
    Messages,
    /// Messages that can't be processed yet: only as many bytes as a buffer of the usual size holds.
    Ahead,
    /// Any bytes, which are discarded.
    Discard,
    /// Nothing for now.
    Nothing,
}

/// What a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Wait {
    /// What is read meanwhile.
    pub reading: Reading,
    /// Whether output waits for the socket.
    pub writing: bool,
    /// When the connection has to be examined again, whatever else happens.
    pub until: Option<Instant>,
    /// From when the connection counts as idle and may be evicted, and its rank among those.
    pub rest: Option<(Instant, Rank)>,
    /// Whether requests are open, so that a disconnection has to be noticed even while nothing is read.
    pub watches: bool,
}

/// The next step of a connection's actor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Todo {
    /// Wait.
    Wait(Wait),
    /// Write the output that is ready, then ask again.
    Write,
    /// Check once, without waiting, whether input has arrived; `read` or `nothing_came` reports the result.
    LastLook,
    /// Shut down the sending side; `shut` reports that it is done.
    Shut,
    /// Close the socket: nothing is owed to the client.
    Close,
}

/// The answer to a request to close a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Room {
    /// The connection closes.
    Made,
    /// The connection is in use; another one has to be asked.
    InUse,
}

/// A request that its client has left or cancelled.
pub struct Left {
    /// The id that the driver gave it.
    pub id: RequestId,
    /// The id that the client gave it.
    pub name: Rc<[u8]>,
}
