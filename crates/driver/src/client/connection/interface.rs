//! Types that the connection's state and its actor exchange. They hold no state of their own.

use std::rc::Rc;
use std::time::Instant;

use beaconshore::interface::RequestId;

use crate::permit_pool::IdleRank;

/// How long connections are kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Until they have been idle for too long.
    Serving,
    /// The driver was asked to shut down: only while they are in use.
    ShuttingDown,
    /// Until they have no open request.
    Closing,
}

/// Why a connection ended with an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseCause {
    /// The client's byte stream could not be parsed.
    ProtocolViolation,
    /// There was no free descriptor for it.
    NoCapacity,
    /// The driver shut down.
    Shutdown,
}

/// The next input in the buffer.
#[derive(Debug, PartialEq, Eq)]
pub enum Input<'b> {
    /// Nothing can be processed now: no message is complete, or the connection does not accept one yet.
    NotReady,
    /// This many bytes have been processed.
    Consume(usize),
    /// The startup message, which is to be consumed: it names the user and the database.
    Startup(&'b [u8]),
    /// A request to cancel what is open on the connection with this key, and the length of the message.
    Cancel(u64, usize),
    /// A statement, and the length of its message. `request_accepted` or `request_rejected` reports what
    /// became of it.
    Request(&'b [u8], usize),
}

/// What to read from the socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadMode {
    /// Messages.
    Messages,
    /// Messages that can't be processed yet: only as many bytes as a buffer of the usual size holds.
    Ahead,
    /// Any bytes, which are discarded.
    Discard,
    /// Nothing for now.
    Paused,
}

/// What a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Wait {
    /// What is read meanwhile.
    pub read_mode: ReadMode,
    /// Whether output waits for the socket.
    pub wants_write: bool,
    /// When the connection has to be examined again, whatever else happens.
    pub deadline: Option<Instant>,
    /// From when the connection counts as idle and may be evicted, and its rank among those.
    pub idle_since: Option<(Instant, IdleRank)>,
    /// Whether requests are open, so that a disconnection has to be noticed even while nothing is read.
    pub watches_disconnect: bool,
}

/// The next step of a connection's actor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Wait.
    Wait(Wait),
    /// Write the output that is ready, then ask again.
    Write,
    /// Check once, without waiting, whether input has arrived; `on_read` or `on_no_input` reports the result.
    CheckInput,
    /// Shut down the sending side; `on_write_shutdown` reports that it is done.
    ShutdownWrite,
    /// Close the socket: nothing is owed to the client.
    Close,
}

/// The answer to a request to close a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Eviction {
    /// The connection closes.
    Accepted,
    /// The connection is in use; another one has to be asked.
    InUse,
}

/// A request that its client has left or cancelled.
pub struct AbandonedRequest {
    /// The id that the driver gave it.
    pub id: RequestId,
    /// The id that the client gave it.
    pub client_id: Rc<[u8]>,
}
