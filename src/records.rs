//! The records that a router keeps of members, groups and requests. This file makes no decision; it only
//! defines what is stored.

use std::collections::BTreeSet;

use crate::interface::*;
use crate::policy::request_queue::RequestQueue;

/// An attempt that was sent and has not ended.
pub(crate) struct OpenAttempt {
    /// Request that the attempt belongs to.
    pub(crate) request: RequestId,
    /// When the attempt was sent.
    pub(crate) sent_at: Micros,
    /// Class index of the request.
    pub(crate) class: usize,
}

/// What a router knows of a member.
#[derive(Default)]
pub(crate) struct Member {
    /// Id of the member.
    pub(crate) id: MemberId,
    /// Group that the member belongs to.
    pub(crate) group: GroupId,
    /// Zone in which the member runs.
    pub(crate) zone: ZoneId,
    /// Whether the member is missing from the membership list or listed as gone.
    pub(crate) unlisted: bool,
    /// Whether no new request may be sent to the member because it drains or is gone.
    pub(crate) excluded: bool,
    /// When the member last started, if known.
    pub(crate) started_at: Option<Micros>,
    /// Highest replication position that the member is known to have reached.
    pub(crate) position: Micros,
    /// When `position` was learned; 0 if the member has never stated one.
    pub(crate) position_learned_at: Micros,
    /// Last time at which the member rejected a read because it lags too far behind.
    pub(crate) lag_rejected_at: Micros,
    /// When this router last heard that the member is not the primary; 0 if it never did.
    pub(crate) denial_heard_at: Micros,
    /// Position that the member had when it last reported that, or the time at which it answered so. Positions
    /// never go back, so that what was stated at a lower one is older.
    pub(crate) denial_position: Micros,
    /// When routers last told each other about the member.
    pub(crate) shared_at: Micros,
    /// Whether the list names the member as primary.
    pub(crate) listed_primary: bool,
    /// Whether the last probe got no answer.
    pub(crate) probe_unanswered: bool,
    /// Consecutive failures of probes and connections; any answer resets the count.
    pub(crate) failures: u32,
    /// Consecutive attempts without an answer in time. An answer to an attempt or a restart resets the count,
    /// an answer to a probe does not: it proves no real work.
    pub(crate) unanswered: u32,
    /// When the member last answered an attempt.
    pub(crate) last_answer_at: Micros,
    /// When an attempt was last sent to the member.
    pub(crate) last_sent_at: Micros,
    /// Attempts that are open at the member.
    pub(crate) open: Vec<OpenAttempt>,
    /// Limit on open attempts at the member as of `limit_set_at`; below 1 it is the fraction of requests that
    /// may be sent there.
    pub(crate) limit: f64,
    /// When `limit` was last updated.
    pub(crate) limit_set_at: Micros,
    /// When the last probe was sent.
    pub(crate) probe_sent_at: Micros,
    /// Whether a probe is out and has not ended.
    pub(crate) probe_pending: bool,
    /// Work sent to the member, in microseconds of service time, as of the last send. It decays exponentially
    /// over the overload window of members that are warming up.
    pub(crate) load: f64,
}

/// The member that a router takes for the primary of a group.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KnownPrimary {
    /// The member.
    pub(crate) member: MemberId,
    /// Time for which the evidence holds; 0 if only the list names the member.
    pub(crate) evidence_at: Micros,
    /// When the evidence was heard, if it was dated by a position of the member.
    pub(crate) position_heard_at: Option<Micros>,
    /// Whether reads may rely on its role. If not, only writes are sent there, which a replica rejects.
    pub(crate) serves_reads: bool,
}

/// What a router knows of a group.
#[derive(Default)]
pub(crate) struct Group {
    /// Members of the group.
    pub(crate) members: BTreeSet<MemberId>,
    /// Last known primary.
    pub(crate) primary: Option<KnownPrimary>,
    /// When a request last named the group.
    pub(crate) last_request_at: Micros,
    /// Requests that wait for a member.
    pub(crate) queue: RequestQueue,
}

/// A request that awaits its final answer.
#[derive(Default)]
pub(crate) struct PendingRequest {
    /// Class index of the request.
    pub(crate) class: usize,
    /// Group that holds the requested data.
    pub(crate) group: GroupId,
    /// Session that the request belongs to, if any.
    pub(crate) session: Option<SessionId>,
    /// When the client first sent the request, as far as that can be told from its remaining time.
    pub(crate) arrived_at: Micros,
    /// When the client gives up this try.
    pub(crate) expires_at: Micros,
    /// Until then the request waits for a lost primary. The client then has as long again to try elsewhere.
    pub(crate) primary_wait_until: Micros,
    /// Whether the request is a repeat of unknown age. Such a request has mostly used up its latency target
    /// and earns nothing any more.
    pub(crate) likely_late: bool,
    /// Random number drawn once per request, so that decisions by a fraction of requests treat the request
    /// the same way however often they are made.
    pub(crate) random_draw: u64,
    /// Replication position that a member must have reached to serve the request, from the session's last
    /// write.
    pub(crate) min_position: Micros,
    /// When the open attempt was sent; `None` without one.
    pub(crate) attempt_sent_at: Option<Micros>,
    /// Members that attempts were sent to, in order.
    pub(crate) tried_members: Vec<MemberId>,
    /// Number of members that answered with an error.
    pub(crate) member_errors: u32,
    /// Limits set by the request's route. They apply in addition to all others.
    pub(crate) route_limits: RouteLimits,
    /// Time before which no attempt may be sent.
    pub(crate) not_before: Micros,
    /// Time and member of the first send after which the request may have been executed.
    pub(crate) first_possible_run: Option<(Micros, MemberId)>,
}
