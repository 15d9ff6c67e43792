//! Common fixture of the module tests: settings, a membership list, and helpers to send events and inspect
//! actions.
#![allow(dead_code, missing_docs)] // Each test file uses only a part of it.

use beaconshore::interface::*;
use beaconshore::Router;

/// One millisecond, in microseconds.
pub const MS: Micros = 1_000;
/// Time at which a test starts, in microseconds.
pub const START: Micros = 1_000_000_000;
/// Index of the class of bounded reads in `settings()`.
pub const READ: usize = 0;
/// Index of the class of writes with an idempotency key.
pub const WRITE: usize = 1;
/// Index of the class of reads that accept data of any age.
pub const ANY: usize = 2;
/// Index of the class of session reads.
pub const SESSION: usize = 3;
/// Index of the class of writes that must not be repeated.
pub const UNSAFE: usize = 4;
/// Staleness bound of the class `READ`, in microseconds.
pub const BOUND: Micros = 200 * MS;
/// Time for which members drop repeats of requests of the class `WRITE`, in microseconds.
pub const WINDOW: Micros = 3_000 * MS;
/// Grace period of a drain, in microseconds; no test uses it at present.
pub const GRACE: Micros = 500 * MS;

/// A class with a deadline of 2 s and a value of 1.
pub fn class(
    consistency: Consistency,
    effect: Effect,
    latency_target: Micros,
    late_value_share: f64,
) -> Class {
    Class { consistency, effect, latency_target, deadline: 2_000 * MS, value: 1.0, late_value_share }
}

/// Settings of a router in zone 0 with one class of each kind.
pub fn settings() -> Settings {
    let keyed = Effect::Keyed(DedupScope::Group, WINDOW);
    Settings {
        zone: ZoneId(0),
        routers: 3,
        step: 5 * MS,
        classes: vec![
            class(Consistency::Bounded(BOUND), Effect::Safe, 250 * MS, 0.0),
            class(Consistency::Write, keyed, 600 * MS, 0.3),
            class(Consistency::Any, Effect::Safe, 500 * MS, 0.0),
            class(Consistency::Session, Effect::Safe, 500 * MS, 0.0),
            class(Consistency::Write, Effect::Unsafe, 600 * MS, 0.3),
        ],
        discovery: DiscoveryMode::Pushed,
        session_tracking: SessionTracking::Client,
        lag_check: LagCheck::Router,
        limits: Limits {
            max_attempts: 8,
            connect_timeout: 250 * MS,
            max_retry_after: 1_000 * MS,
            retry_after: true,
            probes: true,
            peer_messages: false,
        },
        rules: RuleParameters {
            resubscribe_within: 10_000 * MS,
            only_draining_binds: false,
            cold_share: 0.2,
            warm_up_time: 16_000 * MS,
            overload_multiple: 2.0,
            overload_window: 1_500 * MS,
        },
    }
}

/// List entry of a member in service of group 1.
pub fn entry(member: u32, zone: u16, primary: bool) -> ListEntry {
    ListEntry {
        member: MemberId(member),
        group: GroupId(1),
        zone: ZoneId(zone),
        listed: ListedState::Ready,
        started_at: None,
        primary,
    }
}

/// A list with a primary (1) and a replica (2) in the router's zone and a replica (3) in another zone.
pub fn entries() -> Vec<ListEntry> {
    vec![entry(1, 0, true), entry(2, 0, false), entry(3, 1, false)]
}

/// A router under test with its clock.
pub struct Fixture {
    pub router: Router,
    pub now: Micros,
    /// Duration that the fixture reports for attempts.
    pub attempt_duration: Micros,
    /// Id of the next request.
    next: u64,
}

impl Fixture {
    /// Creates a router that has received its first list but has not heard from any member.
    pub fn unprobed(settings: Settings, entries: &[ListEntry]) -> (Fixture, Vec<Action>) {
        Fixture::with_seed(7, settings, entries)
    }

    /// Creates a router with the given seed, as each router of a fleet has its own.
    pub fn with_seed(seed: u64, settings: Settings, entries: &[ListEntry]) -> (Fixture, Vec<Action>) {
        let mut fixture = Fixture {
            router: Router::new(settings, seed, START),
            now: START,
            attempt_duration: 50 * MS,
            next: 1,
        };
        let actions = fixture.event(Event::List(ListKind::Cached, entries));
        (fixture, actions)
    }

    /// Creates a router whose first probe every member of the list has just answered.
    pub fn ready(settings: Settings, entries: &[ListEntry]) -> Fixture {
        let (mut fixture, _) = Fixture::unprobed(settings, entries);
        fixture.now += 5 * MS;
        for e in entries {
            fixture.answer_probe(e.member.0, fixture.now - MS, e.primary);
        }
        fixture
    }

    /// Creates a router with the default settings and list whose first probes have just been answered.
    pub fn new() -> Fixture {
        Fixture::ready(settings(), &entries())
    }

    /// Passes an event to the router and returns its actions.
    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.router.handle(self.now, &event, &mut actions);
        actions
    }

    /// Advances the clock and sends the router a timer event every 10 ms.
    pub fn advance(&mut self, time: Micros) -> Vec<Action> {
        let end = self.now + time;
        let mut actions = Vec::new();
        while self.now < end {
            self.now = (self.now + 10 * MS).min(end);
            actions.extend(self.event(Event::Timer));
        }
        actions
    }

    /// Passes an event of the membership list to the router.
    pub fn update_list(&mut self, kind: ListKind, entries: &[ListEntry]) -> Vec<Action> {
        self.event(Event::List(kind, entries))
    }

    /// Ends a probe of the member with a report.
    pub fn answer_probe(&mut self, member: u32, position: Micros, primary: bool) -> Vec<Action> {
        let role = Some(if primary { Role::Primary } else { Role::Replica });
        let report = Report { position: Some(position), role, ..Report::default() };
        self.event(Event::ProbeEnded { member: MemberId(member), outcome: Outcome::Served, report })
    }

    /// Ends a probe of the member without an answer.
    pub fn fail_probe(&mut self, member: u32) -> Vec<Action> {
        let (outcome, report) = (Outcome::TimedOut, Report::default());
        self.event(Event::ProbeEnded { member: MemberId(member), outcome, report })
    }

    /// Sends a request of the class and returns its id and the resulting actions.
    pub fn request(&mut self, class: usize) -> (RequestId, Vec<Action>) {
        self.request_with(class, 2_000 * MS, |_| {})
    }

    /// Sends a request with the given budget, modified by `change`.
    pub fn request_with(
        &mut self,
        class: usize,
        budget: Micros,
        change: impl Fn(&mut Request),
    ) -> (RequestId, Vec<Action>) {
        let id = RequestId(self.next);
        self.next += 1;
        let mut request = Request {
            id,
            class,
            group: GroupId(1),
            session: None,
            budget,
            is_repeat: false,
            last_write_ago: None,
        };
        change(&mut request);
        (id, self.event(Event::Request(request)))
    }

    /// Ends an attempt. A served one finishes its request.
    pub fn end_attempt(
        &mut self,
        request: RequestId,
        member: u32,
        outcome: Outcome,
        status: ReplyStatus,
    ) -> Vec<Action> {
        let request_finished = outcome == Outcome::Served;
        self.event(Event::AttemptEnded(AttemptResult {
            request,
            member: MemberId(member),
            outcome,
            status,
            duration: self.attempt_duration,
            request_finished,
            report: Report::default(),
        }))
    }

    /// Status of a member with this role and the present position.
    pub fn status(&self, role: Role) -> ReplyStatus {
        ReplyStatus { position: Some(self.now), role: Some(role) }
    }
}

/// Returns the member that a request was sent to, if any.
pub fn sent_to(actions: &[Action], request: RequestId) -> Option<u32> {
    actions.iter().find_map(|a| match a {
        Action::Send { request: r, member, .. } if *r == request => Some(member.0),
        _ => None,
    })
}

/// Returns whether the actions refuse the request.
pub fn is_refused(actions: &[Action], request: RequestId) -> bool {
    actions.iter().any(|a| matches!(a, Action::Refuse { request: r, .. } if *r == request))
}

/// Returns whether the actions fail the request.
pub fn is_failed(actions: &[Action], request: RequestId) -> bool {
    actions.contains(&Action::Fail(request))
}

/// Returns the number of probes sent to the member.
pub fn probe_count(actions: &[Action], member: u32) -> usize {
    actions.iter().filter(|a| **a == Action::Probe(MemberId(member))).count()
}
