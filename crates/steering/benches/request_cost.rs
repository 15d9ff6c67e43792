//! Measures the time that the composition takes for a request, with and without the zone planner, for small
//! and large numbers of members. A request consists of its arrival, the send of its attempt and the end of
//! the attempt, and of its part of the router's timer events.

#![allow(missing_docs)] // The macros of criterion generate functions without documentation.

use beaconshore::interface::*;
use beaconshore_steering::{PlannerPolicies, Steering};
use beaconshore_zones::policy::{Policy, ZonePolicy};
use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};

const MS: Micros = 1_000;
const START: Micros = 1_000_000_000;
/// Requests between two timer events. At 3.7 ms between requests, 270 a second, that is one every 11 ms.
const REQUESTS_PER_TIMER_EVENT: u64 = 3;

fn settings() -> Settings {
    let class = |consistency, effect, latency_target| Class {
        consistency,
        effect,
        latency_target,
        deadline: 2_000 * MS,
        value: 1.0,
        late_value_share: 0.3,
    };
    Settings {
        routers: 3,
        step: 5 * MS,
        classes: vec![
            class(Consistency::Bounded(200 * MS), Effect::Safe, 250 * MS),
            class(Consistency::Write, Effect::Keyed(DedupScope::Group, 3_000 * MS), 600 * MS),
        ],
        limits: Limits {
            max_attempts: 8,
            connect_timeout: 0,
            max_retry_after: 1_000 * MS,
            retry_after: true,
            probes: true,
            peer_messages: true,
        },
        rules: RuleParameters {
            resubscribe_within: 10_000 * MS,
            cold_share: 0.2,
            warm_up_time: 16_000 * MS,
            overload_multiple: 2.0,
            overload_window: 1_500 * MS,
            ..RuleParameters::default()
        },
        ..Settings::default()
    }
}

/// A router with members that answer at once.
struct Fixture {
    steering: Steering,
    groups: u32,
    now: Micros,
    last_request_id: u64,
    actions: Vec<Action>,
}

impl Fixture {
    fn new(members: u32, policy: Option<Policy>) -> Fixture {
        let mut steering = Steering::new(
            settings(),
            PlannerPolicies { zones: policy, ..PlannerPolicies::default() },
            7,
            START,
        );
        let entry = |m: u32| ListEntry {
            member: MemberId(m),
            group: GroupId(m / 3),
            zone: ZoneId((m % 3) as u16),
            listed: ListedState::Ready,
            started_at: None,
            primary: m % 3 == 1,
        };
        let entries: Vec<ListEntry> = (0..members).map(entry).collect();
        let mut actions = Vec::new();
        steering.handle(START, &Event::List(ListKind::Cached, &entries), &mut actions);
        let mut fixture = Fixture { steering, groups: members / 3, now: START, last_request_id: 0, actions };
        fixture.answer_all();
        (0..members).for_each(|_| fixture.request());
        fixture
    }

    /// Answers all attempts and probes that are in flight.
    fn answer_all(&mut self) {
        for action in std::mem::take(&mut self.actions) {
            match action {
                Action::Send { request, member, .. } => {
                    let role = Some(if member.0 % 3 == 1 { Role::Primary } else { Role::Replica });
                    let status = ReplyStatus { position: Some(self.now - 5 * MS), role };
                    let ended = Event::AttemptEnded(AttemptResult {
                        request,
                        member,
                        outcome: Outcome::Served,
                        status,
                        duration: 40 * MS,
                        request_finished: true,
                        report: Report {
                            position: status.position,
                            role,
                            utilization: Some(0.4),
                            backlog: None,
                        },
                    });
                    self.steering.handle(self.now, &ended, &mut self.actions);
                }
                Action::Probe(member) => {
                    let role = Some(if member.0 % 3 == 1 { Role::Primary } else { Role::Replica });
                    let report = Report { position: Some(self.now - 5 * MS), role, ..Report::default() };
                    let ended = Event::ProbeEnded { member, outcome: Outcome::Served, report };
                    self.steering.handle(self.now, &ended, &mut self.actions);
                }
                _ => {}
            }
        }
    }

    fn request(&mut self) {
        self.last_request_id += 1;
        self.now += 3_700;
        if self.last_request_id.is_multiple_of(REQUESTS_PER_TIMER_EVENT) {
            self.steering.handle(self.now, &Event::Timer, &mut self.actions);
        }
        let request = Event::Request(Request {
            id: RequestId(self.last_request_id),
            class: usize::from(self.last_request_id.is_multiple_of(7)),
            group: GroupId((self.last_request_id * 7 % u64::from(self.groups)) as u32),
            session: None,
            budget: 2_000 * MS,
            is_repeat: false,
            last_write_ago: None,
        });
        self.steering.handle(self.now, &request, &mut self.actions);
        self.answer_all();
    }
}

fn policy() -> Policy {
    let zone = |id: u16| ZonePolicy {
        zone: ZoneId(id),
        name: String::new(),
        prefer: Vec::new(),
        capacity: 12.0,
        routers: 1,
    };
    Policy { zones: vec![zone(0), zone(1), zone(2)], ..Policy::default() }
}

fn request_cost(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("request");
    for members in [12, 120, 1_200] {
        for (name, policy) in [("zones off", None), ("zones on", Some(policy()))] {
            let mut fixture = Fixture::new(members, policy);
            group.bench_function(BenchmarkId::new(name, members), |b| b.iter(|| fixture.request()));
        }
    }
    group.finish();
}

criterion_group!(benches, request_cost);
criterion_main!(benches);
