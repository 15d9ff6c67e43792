//! What the actors of the rig tell the one that owns the day. Messages point one way: to it.

use std::net::TcpStream;
use std::rc::Rc;

use async_channel::Sender;
use async_io::Async;
use beaconshore::interface::{Report, RequestId};
use beaconshore_emulator::client::Answer;
use beaconshore_emulator::live::{Said, Welcome};

/// A connection of a router's process to a member.
#[derive(Clone)]
pub struct Link {
    /// Tells connections apart.
    pub number: u64,
    /// The router.
    pub router: usize,
    /// The member.
    pub member: usize,
    /// The way back to it.
    pub back: Sender<Back>,
    /// Its socket, to look whether its process has closed it by now.
    pub socket: Rc<Async<TcpStream>>,
}

/// What a connection waits for.
#[derive(Clone, Copy)]
pub struct Under {
    /// The request that an attempt carries; none: a probe.
    pub request: Option<RequestId>,
    /// The attempt or probe.
    pub token: u64,
}

/// What a connection is told.
pub enum Back {
    /// The answer to its attempt.
    Say(Box<Said>),
    /// The answer to its probe.
    Probed(Report),
    /// It is reset.
    Reset,
}

/// What happened.
pub enum Mail {
    /// A process opened a connection.
    Opened(Link, Sender<Welcome>),
    /// A request's last byte came; the start of the member that the connection belongs to, and whether it is the first.
    Came { request: RequestId, token: u64, link: Link, epoch: u32, first: bool },
    /// A probe came.
    Probe { token: u64, link: Link },
    /// A connection that was up ended, and what it was in the middle of.
    Closed { number: u64, router: usize, member: usize, epoch: u32, under: Option<Under> },
    /// A client got its answer.
    Answered { request: RequestId, router: usize, answer: Answer },
    /// A client's connection ended without one; whether the process had taken the request.
    Dropped { request: RequestId, router: usize, taken: bool },
    /// A process answers for the first time since its start; the start's number.
    Ready { router: usize, start: u64 },
    /// A datagram from one process, to one other or to all.
    Datagram { from: usize, to: Option<usize>, bytes: Rc<[u8]> },
}
