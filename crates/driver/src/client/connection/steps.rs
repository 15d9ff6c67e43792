//! What a client's connection is told, and what it asks its actor to do: typed steps, without state.

use std::rc::Rc;
use std::time::Instant;

use beaconshore::interface::RequestId;

use crate::descriptors::Rank;

/// How long connections stay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// As long as they are of use.
    Serving,
    /// The driver was asked to end: as long as they are in use.
    Leaving,
    /// Until they have no open request.
    Closing,
}

/// Why a connection ended with an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Its stream could not be followed.
    Stream,
    /// There was no room for it.
    Room,
    /// The driver ended.
    Ending,
}

/// What a look at the bytes at hand found.
#[derive(Debug, PartialEq, Eq)]
pub enum Look<'b> {
    /// Nothing more can be taken: no message is whole, or none may be looked at now.
    Nothing,
    /// So many bytes are done with.
    Passed(usize),
    /// The startup message, of this length: who its client says to be.
    Login(&'b [u8]),
    /// A wish to give up what is under way on the connection of this key.
    Cancel(u64, usize),
    /// A statement, and the length of its message. `took` or `declined` tells what became of it.
    Request(&'b [u8], usize),
}

/// What is to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reading {
    /// Messages.
    Messages,
    /// Messages that can't be looked at yet: only as many as take usual room.
    Ahead,
    /// Whatever comes, to be thrown away.
    Discard,
    /// Nothing for now.
    Nothing,
}

/// What a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Wait {
    /// What is read meanwhile.
    pub reading: Reading,
    /// Something can be written.
    pub writing: bool,
    /// When to look again, whatever comes.
    pub until: Option<Instant>,
    /// From when it may be asked to make room, and its rank among those.
    pub rest: Option<(Instant, Rank)>,
    /// Requests are open: a departure has to be seen though nothing is read.
    pub watches: bool,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Todo {
    /// Wait.
    Wait(Wait),
    /// Write what is ready, then ask again.
    Write,
    /// Look once, without waiting, whether anything has come; `read` or `nothing_came` tells.
    LastLook,
    /// Shut the sending side; `shut` tells that it is done.
    Shut,
    /// Close the socket: nothing is owed to anybody.
    Close,
}

/// What a wish to make room comes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Room {
    /// It goes.
    Made,
    /// It is in use: another one is to be asked.
    InUse,
}

/// A request that its client has left.
pub struct Left {
    /// Which.
    pub id: RequestId,
    /// What its client called it.
    pub name: Rc<[u8]>,
}
