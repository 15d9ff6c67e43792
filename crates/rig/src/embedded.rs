//! Routers that run inside this process in place of processes of their own: what the day asks of them, and what they say.
//!
//! Their datagrams and calls of discovery take the same sockets as a process's do. Only clients' and members' connections are
//! replaced by the messages below.

use beaconshore::interface::{Micros, Report, RequestId};
use beaconshore_emulator::client::Answer;
use beaconshore_emulator::live::{Ask, Said};
use serde_json::Value;

/// A router of the day, by number.
pub type RouterNumber = usize;

/// What a member's side says to an attempt or a probe.
#[derive(Clone, Debug)]
pub enum Reply {
    /// The answer to an attempt.
    Said(Box<Said>),
    /// The answer to a probe.
    Probed(Report),
    /// No connection came up.
    Unreachable,
    /// The connection was reset.
    Reset,
}

/// Something that a router did.
#[derive(Clone, Debug)]
pub enum Event {
    /// It has started and takes requests.
    Ready,
    /// It has answered what it took, as it was told to.
    Ended,
    /// It sent a request to a member.
    Attempt {
        /// Which request.
        request: RequestId,
        /// Names this attempt among all.
        token: u64,
        /// Where to.
        member: usize,
    },
    /// It probed a member.
    Probe {
        /// Names this probe among all.
        token: u64,
        /// Where to.
        member: usize,
    },
    /// It gave up waiting for an attempt, or for a probe.
    GaveUp {
        /// The attempt's request; none: a probe.
        request: Option<RequestId>,
        /// The attempt or probe.
        token: u64,
    },
    /// A client got its final answer.
    Answered {
        /// Which request.
        request: RequestId,
        /// What it got.
        answer: Answer,
    },
}

/// An event with the router whose it is.
#[derive(Clone, Debug)]
pub struct FromRouter {
    /// Which router.
    pub router: RouterNumber,
    /// Its start, counted from 1: events of an earlier one are void.
    pub start: u64,
    /// What happened.
    pub event: Event,
}

/// Where embedded routers run.
pub trait Embedded {
    /// Starts a router.
    fn start(&self, router: RouterNumber, start: u64, config: &Value);
    /// Ends it at once, and closes all that it holds.
    fn kill(&self, router: RouterNumber);
    /// Lets it answer what it took, and end.
    fn leave(&self, router: RouterNumber);
    /// Lets it stand still for so long.
    fn stand_still(&self, router: RouterNumber, length: Micros);
    /// A client asks it; times of the day become Unix time by adding `offset`.
    fn ask(&self, ask: Box<Ask>, offset: Micros);
    /// A member replies to one of its attempts or probes.
    fn reply(&self, router: RouterNumber, token: u64, reply: Reply);
}
