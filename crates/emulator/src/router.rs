//! One router's process as the emulator sees it: the composition (or a baseline), open requests, connections.

use std::collections::BTreeMap;

use beaconshore::interface::{ListEntry, Micros, RequestId};
use beaconshore_steering::Steering;

/// An attempt that is out.
#[derive(Clone, Copy, Debug)]
pub struct Out {
    /// Where.
    pub member: usize,
    /// Which.
    pub token: u64,
    /// When the router decided it.
    pub began: Micros,
    /// When its bytes went out; none while its connection is opened.
    pub sent: Option<Micros>,
}

/// A request that a router has taken.
#[derive(Clone, Copy, Debug)]
pub struct Open {
    /// Its story.
    pub story: u64,
    /// When its client gives up.
    pub ends: Micros,
    /// Oldest position that it may see.
    pub floor: Micros,
    /// Attempts so far.
    pub tries: u32,
    /// The attempt that is out.
    pub out: Option<Out>,
    /// The commit of a write that was served.
    pub commit: Option<Micros>,
}

/// An idle connection: since when, and to which start of the member.
#[derive(Clone, Copy, Debug)]
pub struct Idle {
    /// Since when.
    pub since: Micros,
    /// Start of the member that it leads to.
    pub epoch: u32,
}

/// A router.
pub struct Router {
    /// Its zone.
    pub zone: usize,
    /// Whether its process runs.
    pub alive: bool,
    /// Whether clients find others, since it was told to end or has not answered yet.
    pub leaving: bool,
    /// Whether it was told to end.
    pub told_to_end: bool,
    /// Counts its starts.
    pub epoch: u32,
    /// It stands still until then.
    pub still_until: Micros,
    /// The composition; none in a baseline.
    pub steering: Option<Box<Steering>>,
    /// What it has taken.
    pub open: BTreeMap<RequestId, Open>,
    /// Idle connections by member.
    pub idle: Vec<Vec<Idle>>,
    /// The list as it last had it.
    pub known: Vec<ListEntry>,
    /// Versions of the list's entries that it was told.
    pub versions: Vec<u64>,
}

impl Router {
    /// A connection that may carry the next request; those that its member has closed by now are gone.
    pub fn take_idle(&mut self, member: usize, lasts: Micros, now: Micros) -> (Option<Idle>, usize) {
        let before = self.idle[member].len();
        self.idle[member].retain(|idle| now < idle.since + lasts);
        let closed = before - self.idle[member].len();
        (self.idle[member].pop(), closed)
    }
}
