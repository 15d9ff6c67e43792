//! A small stage for module tests: settings, a list, and short ways to send events and read actions.
#![allow(dead_code, missing_docs)] // Each test file uses a part of it.

use beaconshore::interface::*;
use beaconshore::Router;

pub const MS: Micros = 1_000;
pub const START: Micros = 1_000_000_000;
pub const READ: usize = 0;
pub const WRITE: usize = 1;
pub const ANY: usize = 2;
pub const SESSION: usize = 3;
pub const UNSAFE: usize = 4;
pub const BOUND: Micros = 200 * MS;
pub const WINDOW: Micros = 3_000 * MS;
pub const GRACE: Micros = 500 * MS;

pub fn class(
    consistency: Consistency,
    effect: Effect,
    latency_target: Micros,
    late_value_share: f64,
) -> Class {
    Class { consistency, effect, latency_target, deadline: 2_000 * MS, value: 1.0, late_value_share }
}

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

pub fn entry(member: u32, zone: u16, primary: bool) -> ListEntry {
    ListEntry {
        member: MemberId(member),
        group: GroupId(1),
        zone: ZoneId(zone),
        listed: ListedState::Ready,
        started: None,
        primary,
    }
}

/// A primary (1) and a replica (2) in the router's zone, another replica (3) elsewhere.
pub fn entries() -> Vec<ListEntry> {
    vec![entry(1, 0, true), entry(2, 0, false), entry(3, 1, false)]
}

pub struct Stage {
    pub router: Router,
    pub now: Micros,
    /// Time that attempts are said to have taken.
    pub took: Micros,
    next: u64,
}

impl Stage {
    /// A router that has its first list, but has heard from no member.
    pub fn silent(settings: Settings, entries: &[ListEntry]) -> (Stage, Vec<Action>) {
        Stage::seeded(7, settings, entries)
    }

    /// One of a fleet: each router has a seed of its own.
    pub fn seeded(seed: u64, settings: Settings, entries: &[ListEntry]) -> (Stage, Vec<Action>) {
        let mut stage =
            Stage { router: Router::new(settings, seed, START), now: START, took: 50 * MS, next: 1 };
        let actions = stage.event(Event::List(ListKind::Cached, entries));
        (stage, actions)
    }

    /// A router to which every member of `entries()` has just answered its first probe.
    pub fn with(settings: Settings, entries: &[ListEntry]) -> Stage {
        let (mut stage, _) = Stage::silent(settings, entries);
        stage.now += 5 * MS;
        for e in entries {
            stage.probed(e.member.0, stage.now - MS, e.primary);
        }
        stage
    }

    pub fn new() -> Stage {
        Stage::with(settings(), &entries())
    }

    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.router.handle(self.now, &event, &mut actions);
        actions
    }

    /// Lets time pass, waking the router every tick.
    pub fn pass(&mut self, time: Micros) -> Vec<Action> {
        let end = self.now + time;
        let mut actions = Vec::new();
        while self.now < end {
            self.now = (self.now + 10 * MS).min(end);
            actions.extend(self.event(Event::Timer));
        }
        actions
    }

    pub fn list(&mut self, kind: ListKind, entries: &[ListEntry]) -> Vec<Action> {
        self.event(Event::List(kind, entries))
    }

    pub fn probed(&mut self, member: u32, position: Micros, primary: bool) -> Vec<Action> {
        let role = Some(if primary { Role::Primary } else { Role::Replica });
        let report = Report { position: Some(position), role, ..Report::default() };
        self.event(Event::ProbeEnded { member: MemberId(member), outcome: Outcome::Served, report })
    }

    pub fn probe_failed(&mut self, member: u32) -> Vec<Action> {
        let (outcome, report) = (Outcome::TimedOut, Report::default());
        self.event(Event::ProbeEnded { member: MemberId(member), outcome, report })
    }

    /// A request; its id and what was done about it.
    pub fn ask(&mut self, class: usize) -> (RequestId, Vec<Action>) {
        self.ask_with(class, 2_000 * MS, |_| {})
    }

    pub fn ask_with(
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
            repeat: false,
            last_write_ago: None,
        };
        change(&mut request);
        (id, self.event(Event::Request(request)))
    }

    /// The end of an attempt; served ones finish their request.
    pub fn ended(
        &mut self,
        request: RequestId,
        member: u32,
        outcome: Outcome,
        note: ReplyStatus,
    ) -> Vec<Action> {
        let finished = outcome == Outcome::Served;
        self.event(Event::AttemptEnded(AttemptResult {
            request,
            member: MemberId(member),
            outcome,
            note,
            took: self.took,
            finished,
            report: Report::default(),
        }))
    }

    pub fn note(&self, role: Role) -> ReplyStatus {
        ReplyStatus { position: Some(self.now), role: Some(role) }
    }
}

/// Where a request was sent, if it was.
pub fn sent(actions: &[Action], request: RequestId) -> Option<u32> {
    actions.iter().find_map(|a| match a {
        Action::Send { request: r, member, .. } if *r == request => Some(member.0),
        _ => None,
    })
}

pub fn refused(actions: &[Action], request: RequestId) -> bool {
    actions.iter().any(|a| matches!(a, Action::Refuse { request: r, .. } if *r == request))
}

pub fn failed(actions: &[Action], request: RequestId) -> bool {
    actions.contains(&Action::Fail(request))
}

pub fn probes(actions: &[Action], member: u32) -> usize {
    actions.iter().filter(|a| **a == Action::Probe(MemberId(member))).count()
}
