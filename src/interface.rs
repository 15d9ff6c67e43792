//! The decision module's interface: settings at start, events in, actions out. No decision is made here.
//!
//! All times are microseconds on the caller's clock. A position is such a time too: up to it, a member has
//! applied every commit.

/// Microseconds, as a point on the caller's clock or as a length.
pub type Micros = u64;

macro_rules! id {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    };
}

id!(
    /// A server of the store.
    MemberId(u32)
);
id!(
    /// A primary with its replicas.
    GroupId(u32)
);
id!(
    /// A data centre.
    ZoneId(u16)
);
id!(
    /// One try of a client, as it reached this router.
    RequestId(u64)
);
id!(
    /// A client's session.
    SessionId(u64)
);

/// How fresh the data of a class must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    /// Only the primary takes it.
    Write,
    /// All that was committed before the request came.
    Fresh,
    /// All that its session has written.
    Session,
    /// No older than the bound when it is sent.
    Bounded(Micros),
    /// Whatever the member has.
    Any,
}

impl Consistency {
    /// Whether only a primary can serve it.
    pub fn needs_primary(self) -> bool {
        matches!(self, Consistency::Write | Consistency::Fresh)
    }
}

/// Where a keyed request's repeats are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// By every member.
    All,
    /// By the members in the zone of the one that ran it.
    Zone,
    /// By the members of its group.
    Group,
}

/// What a repeat of a request may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Safe to repeat.
    Safe,
    /// Repeats are dropped within a scope, for a time from the first send that may have run.
    Keyed(DedupScope, Micros),
    /// Never to be repeated once it may have run.
    Unsafe,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// How fresh its data must be.
    pub consistency: Consistency,
    /// What a repeat may do.
    pub effect: Effect,
    /// Answered within this it earns its full worth.
    pub latency_target: Micros,
    /// A client waits this long over all its tries.
    pub deadline: Micros,
    /// Worth of an answer in time.
    pub value: f64,
    /// Share of the worth that a late answer earns.
    pub late_value_share: f64,
}

/// How membership lists come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Unasked.
    #[default]
    Pushed,
    /// To those who ask.
    OnRequest,
}

/// Who knows what a session has written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SessionTracking {
    /// The client says so with each read.
    #[default]
    Client,
    /// This router remembers the writes whose answers it saw.
    Router,
}

/// Who sees to it that a member does not answer a read from data that is too old for it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LagCheck {
    /// The router alone, by what it knows of positions.
    #[default]
    Router,
    /// The member too: it turns such a read away untouched.
    Member,
}

/// What the site permits.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Limits {
    /// Attempts for each request.
    pub max_attempts: u32,
    /// A connection that is not up by then never comes up; 0: not told.
    pub connect_timeout: Micros,
    /// Longest wait that a client heeds.
    pub max_retry_after: Micros,
    /// Whether advice on when to come back reaches clients.
    pub retry_after: bool,
    /// Whether members may be probed.
    pub probes: bool,
    /// Whether routers may send each other messages, which may be late or lost.
    pub peer_messages: bool,
}

/// The figures of the rules.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RuleParameters {
    /// Unsubscribed and silent for this long, a router counts as told of all that was listed.
    pub resubscribe_within: Micros,
    /// Only an entry that says draining binds; a missing or gone one does not.
    pub only_draining_binds: bool,
    /// Least share of its capacity with which a member starts.
    pub cold_share: f64,
    /// It is warm after this.
    pub warm_up_time: Micros,
    /// Over this multiple of its present capacity...
    pub overload_multiple: f64,
    /// ...for this long, a cold member falls over.
    pub overload_window: Micros,
}

/// All that a router is told at start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// The zone in which this router runs.
    pub zone: ZoneId,
    /// How many routers serve this store; what one may have open, all may have at once.
    pub routers: u32,
    /// Least time between two rounds of events.
    pub step: Micros,
    /// Request classes, by index.
    pub classes: Vec<Class>,
    /// How lists come.
    pub discovery: DiscoveryMode,
    /// Who knows what a session has written.
    pub session_tracking: SessionTracking,
    /// Who checks a member's lag.
    pub lag_check: LagCheck,
    /// What the site permits.
    pub limits: Limits,
    /// The figures of the rules.
    pub rules: RuleParameters,
}

/// A member's part in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Takes the writes.
    Primary,
    /// Follows the primary.
    Replica,
}

/// What the list says of a member's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    /// In service.
    Ready,
    /// Finishing its work; nothing new may go there.
    Draining,
    /// Removed.
    Gone,
}

/// A member as the list shows it.
#[derive(Clone, Debug)]
pub struct ListEntry {
    /// Which member.
    pub member: MemberId,
    /// Its group.
    pub group: GroupId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its state.
    pub listed: ListedState,
    /// When it last started, if that is not long ago.
    pub started: Option<Micros>,
    /// Whether the list holds it to be the primary.
    pub primary: bool,
}

/// What a list event brings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Delta,
    /// All entries.
    Full,
    /// All entries as last held before a restart.
    Cached,
    /// Nothing: a call failed or a subscription broke.
    Failed,
}

/// What a member says of itself; late, and only what its site offers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Report {
    /// Position, rounded down.
    pub position: Option<Micros>,
    /// Its role.
    pub role: Option<Role>,
    /// Share of its cores in use.
    pub utilization: Option<f64>,
    /// Requests that wait there.
    pub backlog: Option<f64>,
}

/// What an answer says of the member that gave it, exact as of the answer.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReplyStatus {
    /// Its position; for a write that went through, the commit.
    pub position: Option<Micros>,
    /// Its role.
    pub role: Option<Role>,
}

/// What routers tell each other of a member.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberUpdate {
    /// Which member.
    pub member: MemberId,
    /// Position that it had reached.
    pub position: Micros,
    /// The role that it named.
    pub role: Option<Role>,
}

/// What planners say of a zone. It only narrows what a router may do: no word makes a member eligible.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneAdvice {
    /// Which zone.
    pub zone: ZoneId,
    /// Place in this router's order of preference, 0 first. Without any word it is 0 for its own zone, 1 for others.
    pub tier: u16,
    /// Its members fail together: all of them count as possibly dead.
    pub suspected: bool,
    /// Share of reads that may go there, by a lot that each request draws once.
    pub read_share: f64,
    /// What it may be sent beyond the work that is at home there; none: no limit.
    pub spill: Option<SpillLimit>,
}

/// What a zone may be sent of reads that are at home in zones preferred to it.
#[derive(Clone, Debug, PartialEq)]
pub struct SpillLimit {
    /// Work that may still go there until the next word, in microseconds.
    pub credit: f64,
    /// Share of such reads that may go there, by class.
    pub shares: Vec<f64>,
}

/// What planners tell a router: words on zones replace earlier ones on the same, homes too.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Advice {
    /// Zones.
    pub zones: Vec<ZoneAdvice>,
    /// The tier in which a group's reads are at home: the best in which it usually has members.
    pub homes: Vec<(GroupId, u16)>,
}

/// What planners of routers tell each other of the limits that they share.
#[derive(Clone, Debug, PartialEq)]
pub struct SpillLoan {
    /// Whose limit.
    pub zone: ZoneId,
    /// The router that this is lent to, by its number; none: this router asks for it.
    pub to: Option<u32>,
    /// Work in any second, in microseconds.
    pub work: f64,
    /// Until then.
    pub until: Micros,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Served,
    /// The member answered with an error; may have run.
    Error,
    /// Turned away unseen: full or draining. Never ran.
    Rejected,
    /// No answer in time; may have run.
    TimedOut,
    /// No connection. Never ran.
    Unreachable,
    /// The connection broke; may have run.
    Reset,
    /// Cancelled; may have run.
    Cancelled,
    /// Never sent.
    NeverSent,
    /// Turned away untouched: not the primary, or lagging too far. Never ran.
    Misdirected,
}

impl Outcome {
    /// Whether this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::Unreachable | Outcome::NeverSent | Outcome::Misdirected)
    }
}

/// A client's request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Index of its class.
    pub class: usize,
    /// The group it names.
    pub group: GroupId,
    /// Its session, if it has one.
    pub session: Option<SessionId>,
    /// Time until the client gives this try up.
    pub budget: Micros,
    /// Whether the client says that it asked before.
    pub repeat: bool,
    /// How long before its arrival the session's last write was committed, where the client tells.
    pub last_write_ago: Option<Micros>,
}

/// How a request's route narrows what a router may do for it. The default narrows nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteLimits {
    /// Attempts.
    pub attempts: u32,
    /// Time for an attempt; 0: what is left.
    pub attempt: Micros,
    /// Oldest data of a bounded read, where its class allows older.
    pub staleness: Micros,
    /// Zones whose members its reads may use, a bit for each.
    pub zones: u64,
}

impl Default for RouteLimits {
    fn default() -> Self {
        RouteLimits { attempts: u32::MAX, attempt: 0, staleness: Micros::MAX, zones: u64::MAX }
    }
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    /// Its request.
    pub request: RequestId,
    /// Where it was sent.
    pub member: MemberId,
    /// How it ended.
    pub outcome: Outcome,
    /// What the answer said of the member.
    pub note: ReplyStatus,
    /// Time since the send.
    pub took: Micros,
    /// Whether the request has its final answer.
    pub finished: bool,
    /// A load report that came along.
    pub report: Report,
}

/// What reaches a router.
#[derive(Clone, Debug)]
pub enum Event<'a> {
    /// The list, or news of it.
    List(ListKind, &'a [ListEntry]),
    /// A request.
    Request(Request),
    /// A request that its route narrows.
    RequestWithLimits(Request, RouteLimits),
    /// What is to be heeded at the end of an open request's attempt, told right before that: no further one before
    /// this time, or none at all.
    RetryNotBefore(RequestId, Option<Micros>),
    /// The end of an attempt.
    AttemptEnded(AttemptResult),
    /// The end of a probe.
    ProbeEnded {
        /// Which member.
        member: MemberId,
        /// How it ended.
        outcome: Outcome,
        /// The member's report.
        report: Report,
    },
    /// What another router heard from members.
    PeerUpdates(Vec<MemberUpdate>),
    /// What planners say of zones.
    Advice(&'a Advice),
    /// What the planner of another router, by its number, tells those here.
    SpillLoans(u32, Vec<SpillLoan>),
    /// The client is gone; nothing is owed any more.
    ClientDisconnected(RequestId),
    /// The timer that the router set is due.
    Timer,
}

/// What a router wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a request to a member.
    Send {
        /// Which request.
        request: RequestId,
        /// Where to.
        member: MemberId,
        /// How long the attempt may last (0: until the client gives up).
        wait: Micros,
    },
    /// Final answer: refused; trying again is harmless, best after the pause (0: no advice).
    Refuse {
        /// Which request.
        request: RequestId,
        /// When to come back.
        retry_after: Micros,
    },
    /// Final answer: failed; nothing is promised.
    Fail(RequestId),
    /// Close this router's connections to a member that carry nothing.
    CloseIdle(MemberId),
    /// Probe a member.
    Probe(MemberId),
    /// Nothing refers to a member any more: what belongs to it can go. Should it be listed again, it is a new one.
    Forget(MemberId),
    /// Tell all other routers what members said.
    SendPeerUpdates(Vec<MemberUpdate>),
    /// Tell all other routers what planners have to say; it may be lost.
    SpillLoans(Vec<SpillLoan>),
    /// Wake the router after this time.
    SetTimer(Micros),
    /// Subscribe to the list.
    Subscribe,
    /// A line for the log.
    Log(String),
}
