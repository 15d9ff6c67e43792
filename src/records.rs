//! The form of what a router keeps: members, groups, requests. No decision: it says only what there is.

use std::collections::BTreeSet;

use crate::interface::*;

pub(crate) struct Open {
    pub(crate) request: RequestId,
    pub(crate) sent: Micros,
    pub(crate) class: usize,
}

#[derive(Default)]
pub(crate) struct Member {
    pub(crate) id: MemberId,
    pub(crate) group: GroupId,
    pub(crate) zone: ZoneId,
    pub(crate) gone: bool,   // Off the list.
    pub(crate) barred: bool, // Drains or is gone: nothing new goes there.
    pub(crate) started: Option<Micros>,
    pub(crate) position: Micros, // Position that it has certainly reached, and when that was learnt.
    pub(crate) heard: Micros,
    pub(crate) turned: Micros, // Last time at which it turned a read away for its lag.
    pub(crate) denied: Micros, // Last time at which it said that it is no primary.
    pub(crate) shared: Micros, // When routers last told each other of it.
    pub(crate) listed_primary: bool,
    pub(crate) dark: bool,      // The last probe had no answer.
    pub(crate) failures: u32,   // Consecutive failures of probes and connections; any answer clears them.
    pub(crate) unanswered: u32, // Attempts without an answer in time, nor any since; only real work done clears this.
    pub(crate) last_answer: Micros,
    pub(crate) last_sent: Micros,
    pub(crate) open: Vec<Open>,
    pub(crate) limit: f64, // Open attempts it may have, under one the share of requests; as of the last answer.
    pub(crate) told_at: Micros,
    pub(crate) probe_sent: Micros,
    pub(crate) probe_out: bool,
    pub(crate) load: f64, // Work sent there, as of the last send; forgotten over the window of the cold rule.
}

/// A group, with when a request last named it and those that wait.
#[derive(Default)]
pub(crate) struct Group {
    pub(crate) members: BTreeSet<MemberId>,
    pub(crate) primary: Option<(MemberId, Micros)>, // The last known primary, and the time that the evidence speaks of.
    pub(crate) asked: Micros,
    pub(crate) line: Vec<RequestId>,
}

/// A request that awaits its final answer.
#[derive(Default)]
pub(crate) struct Held {
    pub(crate) class: usize,
    pub(crate) group: GroupId,
    pub(crate) session: Option<SessionId>,
    pub(crate) arrived: Micros,
    pub(crate) ends: Micros,
    /// Until then it waits for a lost primary; its client then has as long again to go elsewhere.
    pub(crate) half: Micros,
    /// A client's repeat of unknown age: mostly it has used up the aim and earns nothing any more.
    pub(crate) spent: bool,
    /// Drawn once: what goes by share takes or leaves a request for good, however often it is looked at.
    pub(crate) lot: u64,
    pub(crate) floor: Micros, // Position that a member must have reached to serve it (sessions).
    pub(crate) out: Option<Micros>, // When the attempt that is out was sent.
    pub(crate) tried: Vec<MemberId>,
    pub(crate) errors: u32,                      // Members that answered with an error.
    pub(crate) narrow: RouteLimits, // By its route: this is heeded beside all else, never instead.
    pub(crate) rests: Micros,       // No attempt before this time.
    pub(crate) risk: Option<(Micros, MemberId)>, // First send that may have run, and where.
}
