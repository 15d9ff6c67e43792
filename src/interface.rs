//! The interface of the decision module: the settings it starts with, the events it receives and the actions
//! it returns. This file defines types only; every decision is made in [`crate::policy`].
//!
//! All times are microseconds on the caller's clock. A replication position is such a time too: the member
//! has applied every commit up to it.

/// Microseconds: either a point in time on the caller's clock or a duration.
pub type Micros = u64;

macro_rules! id {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    };
}

id!(
    /// Identifies a member, that is, a server of the store.
    MemberId(u32)
);
id!(
    /// Identifies a group, that is, a primary with its replicas.
    GroupId(u32)
);
id!(
    /// Identifies a zone, that is, a data centre.
    ZoneId(u16)
);
id!(
    /// Identifies one try of a client, as received by this router. A client's repeat gets a new id.
    RequestId(u64)
);
id!(
    /// Identifies a client session.
    SessionId(u64)
);

/// The consistency that a request class requires of the data it is served from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    /// A write; only the primary can execute it.
    Write,
    /// A read that must see everything committed before the request arrived.
    Fresh,
    /// A read that must see everything its own session has written.
    Session,
    /// A read whose data may be no older than this bound, in microseconds, when the request is sent to a
    /// member.
    Bounded(Micros),
    /// A read that accepts data of any age.
    Any,
}

impl Consistency {
    /// Returns whether only a primary can serve requests of this consistency.
    pub fn needs_primary(self) -> bool {
        matches!(self, Consistency::Write | Consistency::Fresh)
    }
}

/// Which members recognise and drop a repeat of a request that carries an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// Every member.
    All,
    /// The members in the zone of the member that executed the request.
    Zone,
    /// The members of the request's group.
    Group,
}

/// The effect of executing a request more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The request can be repeated without harm.
    Safe,
    /// The request carries an idempotency key: members within the scope drop repeats for this many
    /// microseconds, counted from the first send that may have been executed.
    Keyed(DedupScope, Micros),
    /// The request must not be repeated once it may have been executed.
    Unsafe,
}

/// A class of requests that share consistency, effect, latency target and value.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// The consistency that its requests require.
    pub consistency: Consistency,
    /// The effect of executing one of its requests more than once.
    pub effect: Effect,
    /// Latency target: a request answered within this time earns its full value.
    pub latency_target: Micros,
    /// How long a client waits for an answer, over all its tries.
    pub deadline: Micros,
    /// Value of an answer within the latency target, relative to the other classes.
    pub value: f64,
    /// Fraction of `value` that an answer after the latency target still earns.
    pub late_value_share: f64,
}

/// How the membership list reaches the router.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// The list is pushed without a request.
    #[default]
    Pushed,
    /// The list is sent only to routers that subscribe.
    OnRequest,
}

/// Who tracks the last write of a session.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SessionTracking {
    /// The client states it with each read.
    #[default]
    Client,
    /// This router remembers the commits of writes whose answers it saw.
    Router,
}

/// Who ensures that a member does not answer a read from data that is too old for it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LagCheck {
    /// The router alone, from the replication positions that it knows.
    #[default]
    Router,
    /// The member as well: it rejects such a read without executing it.
    Member,
}

/// Limits and optional features of the site.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Limits {
    /// Maximum number of attempts for each request.
    pub max_attempts: u32,
    /// Time after which a connection that is not yet established never will be; 0 if unknown.
    pub connect_timeout: Micros,
    /// Longest retry delay that clients honour.
    pub max_retry_after: Micros,
    /// Whether a retry delay sent with a refusal reaches clients.
    pub retry_after: bool,
    /// Whether the router may probe members.
    pub probes: bool,
    /// Whether routers may send messages to each other. Such messages can be delayed or lost.
    pub peer_messages: bool,
}

/// Parameters of the rules that every router must keep.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RuleParameters {
    /// A router that is not subscribed and has not asked for the list for this long is treated as if it had
    /// been told everything that was listed, so it has to resubscribe within this time.
    pub resubscribe_within: Micros,
    /// Whether only an entry in state `Draining` forbids new requests; if so, a missing or gone entry does
    /// not.
    pub only_draining_binds: bool,
    /// Lowest fraction of its full capacity that a member can have right after its start.
    pub cold_share: f64,
    /// Time from its start after which a member has its full capacity.
    pub warm_up_time: Micros,
    /// A member that is still warming up fails under load above this multiple of its present capacity, if
    /// that load lasts for `overload_window`.
    pub overload_multiple: f64,
    /// How long load has to exceed `overload_multiple` for a member that is still warming up to fail.
    pub overload_window: Micros,
}

/// The configuration that a router receives at start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Zone in which this router runs.
    pub zone: ZoneId,
    /// Number of routers that serve this store. All of them may have their maximum of open attempts at once.
    pub routers: u32,
    /// Minimum time between two rounds of events.
    pub step: Micros,
    /// Request classes; requests refer to them by index.
    pub classes: Vec<Class>,
    /// How the membership list reaches this router.
    pub discovery: DiscoveryMode,
    /// Who tracks the last write of a session.
    pub session_tracking: SessionTracking,
    /// Who prevents reads from members that lag too far behind.
    pub lag_check: LagCheck,
    /// Limits and optional features of the site.
    pub limits: Limits,
    /// Parameters of the rules that every router must keep.
    pub rules: RuleParameters,
}

/// The role of a member in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Executes the writes of the group.
    Primary,
    /// Replicates the primary.
    Replica,
}

/// The state of a member according to the membership list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    /// The member is in service.
    Ready,
    /// The member is finishing its open work; no new request may be sent to it.
    Draining,
    /// The member has been removed.
    Gone,
}

/// A member's entry in the membership list.
#[derive(Clone, Debug)]
pub struct ListEntry {
    /// The member that the entry describes.
    pub member: MemberId,
    /// Group that the member belongs to.
    pub group: GroupId,
    /// Zone in which the member runs.
    pub zone: ZoneId,
    /// Whether the member is in service.
    pub listed: ListedState,
    /// When the member last started; `None` if that was long ago.
    pub started_at: Option<Micros>,
    /// Whether the list names the member as primary of its group.
    pub primary: bool,
}

/// The content of a membership list event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only the entries that changed.
    Delta,
    /// All entries of the list.
    Full,
    /// All entries as the router last knew them before it restarted.
    Cached,
    /// No entries: a call to discovery failed or the subscription ended.
    Failed,
}

/// A member's report on itself. It arrives with a delay and holds only the fields that the site provides.
#[derive(Clone, Copy, Debug, Default)]
pub struct Report {
    /// Replication position, rounded down.
    pub position: Option<Micros>,
    /// Role in the group.
    pub role: Option<Role>,
    /// Fraction of the member's cores in use.
    pub utilization: Option<f64>,
    /// Number of requests queued at the member.
    pub backlog: Option<f64>,
}

/// What an answer states about the member that gave it, exact as of the time of the answer.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReplyStatus {
    /// Replication position of the member; for a successful write, the position of its commit.
    pub position: Option<Micros>,
    /// Role of the member in its group.
    pub role: Option<Role>,
}

/// What routers tell each other about a member.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberUpdate {
    /// The member that the update describes.
    pub member: MemberId,
    /// Replication position that the member had reached.
    pub position: Micros,
    /// Role that the member stated.
    pub role: Option<Role>,
}

/// Advice of the zone planner on one zone. Advice only restricts what a router may do; it never makes a
/// member eligible.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneAdvice {
    /// The zone that the advice applies to.
    pub zone: ZoneId,
    /// Rank in this router's order of preference, 0 first. Without advice it is 0 for the router's own zone
    /// and 1 for all others.
    pub tier: u16,
    /// Whether the zone is suspected to have failed as a whole: all its members then count as possibly dead.
    pub suspected: bool,
    /// Fraction of reads that may be sent to the zone. Each request draws a random number once and compares
    /// it with this fraction.
    pub read_share: f64,
    /// Limit on the reads sent to this zone although their home tier is a preferred one; `None` means no
    /// limit.
    pub spill_limit: Option<SpillLimit>,
}

/// Limit on the reads that may spill into a zone, that is, reads whose home tier is preferred to the zone's
/// tier.
#[derive(Clone, Debug, PartialEq)]
pub struct SpillLimit {
    /// Work that may still be sent to the zone until the next advice, in microseconds of service time.
    pub credit: f64,
    /// Fraction of spilling reads that may be sent to the zone, by class index.
    pub class_shares: Vec<f64>,
}

/// Advice of the zone planner to a router. It replaces earlier advice on the same zones and groups.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Advice {
    /// Advice on single zones.
    pub zones: Vec<ZoneAdvice>,
    /// Home tier of each group's reads: the most preferred tier in which the group usually has members.
    pub home_tiers: Vec<(GroupId, u16)>,
}

/// By what a router learned about a member's role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoleSource {
    /// The member's answer to a request of this router.
    Answer,
    /// A report of the member, given with an answer or to a probe.
    Report,
    /// Another router.
    Peer,
    /// The membership list.
    List,
}

/// What happened to a router's knowledge of a group's primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PrimaryEventKind {
    /// The member is now taken for the primary.
    Accepted,
    /// The member is no longer taken for the primary.
    Revoked,
    /// A statement that the member is the primary was not believed, since newer statements contradict it.
    ClaimIgnored,
}

/// An event about the primary of a group, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrimaryEvent {
    /// The group.
    pub group: GroupId,
    /// The member that the event concerns.
    pub member: MemberId,
    /// What happened.
    pub kind: PrimaryEventKind,
    /// By what the router learned it.
    pub source: RoleSource,
    /// Age of the member's known replication position; `None` if none is known.
    pub position_age: Option<Micros>,
}

/// A message between the zone planners of different routers by which they lend each other parts of a shared
/// spill limit.
#[derive(Clone, Debug, PartialEq)]
pub struct SpillLoan {
    /// Zone whose spill limit is lent.
    pub zone: ZoneId,
    /// Number of the router that the loan goes to; `None` if the sender asks for a loan.
    pub to: Option<u32>,
    /// Work that is lent or asked for, in microseconds of service time per second.
    pub work: f64,
    /// When the loan ends.
    pub until: Micros,
}

/// The outcome of an attempt or a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The member served the request.
    Served,
    /// The member answered with an error. The request may have been executed.
    Error,
    /// The member rejected the request unread because it is full or draining. The request was not executed.
    Rejected,
    /// No answer came in time. The request may have been executed.
    TimedOut,
    /// No connection could be established. The request was not executed.
    Unreachable,
    /// The connection broke. The request may have been executed.
    Reset,
    /// The attempt was cancelled. The request may have been executed.
    Cancelled,
    /// The request was never sent, hence not executed.
    NeverSent,
    /// The member rejected the request because it is not the primary or lags too far behind. The request was
    /// not executed.
    Misdirected,
}

impl Outcome {
    /// Returns whether this outcome proves that the request was not executed.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::Unreachable | Outcome::NeverSent | Outcome::Misdirected)
    }
}

/// A client's request, as received by this router.
#[derive(Clone, Debug)]
pub struct Request {
    /// Id of the request, unique within this router.
    pub id: RequestId,
    /// Index of the request's class in the settings.
    pub class: usize,
    /// Group that holds the requested data.
    pub group: GroupId,
    /// Session that the request belongs to, if any.
    pub session: Option<SessionId>,
    /// Time until the client gives up this try.
    pub budget: Micros,
    /// Whether the client marks the request as a repeat of an earlier one.
    pub is_repeat: bool,
    /// How long before the request's arrival the session's last write was committed, if the client states it.
    pub last_write_ago: Option<Micros>,
}

/// Limits that a request's route sets for this request. The default sets no limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteLimits {
    /// Maximum number of attempts.
    pub max_attempts: u32,
    /// Timeout of a single attempt; 0 for the time that the request has left.
    pub attempt_timeout: Micros,
    /// Maximum age of the data of a bounded read, where its class allows older data.
    pub max_staleness: Micros,
    /// Zones whose members the request's reads may use, one bit per zone.
    pub zone_mask: u64,
}

impl Default for RouteLimits {
    fn default() -> Self {
        RouteLimits {
            max_attempts: u32::MAX,
            attempt_timeout: 0,
            max_staleness: Micros::MAX,
            zone_mask: u64::MAX,
        }
    }
}

/// The result of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    /// Request that the attempt belongs to.
    pub request: RequestId,
    /// Member that the attempt was sent to.
    pub member: MemberId,
    /// Outcome of the attempt.
    pub outcome: Outcome,
    /// Status of the member as stated in the answer.
    pub status: ReplyStatus,
    /// Time from sending the attempt to its end.
    pub duration: Micros,
    /// Whether the request has received its final answer.
    pub request_finished: bool,
    /// Report of the member that came with the answer.
    pub report: Report,
}

/// An event that the decision module handles.
#[derive(Clone, Debug)]
pub enum Event<'a> {
    /// Entries of the membership list, or a failure to get them.
    List(ListKind, &'a [ListEntry]),
    /// A request arrived.
    Request(Request),
    /// A request arrived whose route sets limits for it.
    RequestWithLimits(Request, RouteLimits),
    /// A constraint on the next attempt of an open request: not before this time, or, if `None`, no further
    /// attempt. It is sent immediately before the [`Event::AttemptEnded`] that it applies to.
    RetryNotBefore(RequestId, Option<Micros>),
    /// An attempt ended.
    AttemptEnded(AttemptResult),
    /// A probe ended.
    ProbeEnded {
        /// Member that was probed.
        member: MemberId,
        /// Outcome of the probe.
        outcome: Outcome,
        /// Report of the member.
        report: Report,
    },
    /// A member answered a probe. What it stated beside its role follows when the probe ends.
    ProbeAnswered {
        /// The member that was probed.
        member: MemberId,
        /// Its role, if it stated one.
        role: Option<Role>,
    },
    /// Another router sent what it learned from members.
    PeerUpdates(Vec<MemberUpdate>),
    /// The zone planner sent new advice.
    Advice(&'a Advice),
    /// The zone planner of another router, given by its number, sent spill loans or requests for them.
    SpillLoans(u32, Vec<SpillLoan>),
    /// Times of members' clocks are converted anew from now on: by this many microseconds more than before.
    ClockAdjusted(i64),
    /// A clock was set to another time: what members stated of their positions before can't be compared with
    /// what they state from now on.
    ClockStepped,
    /// The client disconnected; the request needs no answer any more.
    ClientDisconnected(RequestId),
    /// The timer set by [`Action::SetTimer`] expired.
    Timer,
}

/// An action that the decision module asks its caller to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a request to a member.
    Send {
        /// Request to send.
        request: RequestId,
        /// Member to send it to.
        member: MemberId,
        /// Timeout of the attempt; 0 to wait until the client gives up.
        timeout: Micros,
    },
    /// Answer a request finally as refused, which promises the client that a repeat is harmless.
    Refuse {
        /// Request to answer.
        request: RequestId,
        /// Delay after which the client should try again; 0 for no advice.
        retry_after: Micros,
    },
    /// Answer a request finally as failed, without a promise about repeats.
    Fail(RequestId),
    /// Close this router's idle connections to a member.
    CloseIdle(MemberId),
    /// Send a probe to a member.
    Probe(MemberId),
    /// Release all resources held for a member, since the router no longer refers to it. If the member is
    /// listed again, it counts as a new one.
    Forget(MemberId),
    /// Send what this router learned from members to all other routers.
    SendPeerUpdates(Vec<MemberUpdate>),
    /// Send spill loans, or requests for them, to the zone planners of all other routers. The message can be
    /// lost.
    SpillLoans(Vec<SpillLoan>),
    /// Send [`Event::Timer`] after this time.
    SetTimer(Micros),
    /// Subscribe to the membership list.
    Subscribe,
    /// Report an event about a group's primary. It asks for nothing to be done.
    ReportPrimary(PrimaryEvent),
    /// Write a line to the log.
    Log(String),
}
