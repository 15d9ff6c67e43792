//! Compares the composition with the decision module alone, on the same random events.

use beaconshore::interface::*;
use beaconshore::Router;
use beaconshore_steering::{PlannerPolicies, Steering};
use beaconshore_zones::Policy;

const MS: Micros = 1_000;
const START: Micros = 1_000_000_000;

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
        zone: ZoneId(0),
        routers: 3,
        step: 5 * MS,
        classes: vec![
            class(Consistency::Bounded(200 * MS), Effect::Safe, 250 * MS),
            class(Consistency::Write, Effect::Keyed(DedupScope::Group, 3_000 * MS), 600 * MS),
            class(Consistency::Any, Effect::Safe, 500 * MS),
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
            only_draining_binds: false,
            cold_share: 0.2,
            warm_up_time: 16_000 * MS,
            overload_multiple: 2.0,
            overload_window: 1_500 * MS,
        },
        ..Settings::default()
    }
}

/// An xorshift generator: the same seed gives the same numbers.
struct TestRandom(u64);

impl TestRandom {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % bound
    }
}

/// Returns a complete list of eight members of two groups in three zones, in random states.
fn random_list(random: &mut TestRandom) -> Vec<ListEntry> {
    let listed = |random: &mut TestRandom| match random.below(12) {
        0 => ListedState::Draining,
        1 => ListedState::Gone,
        _ => ListedState::Ready,
    };
    (0..8)
        .map(|m| ListEntry {
            member: MemberId(m),
            group: GroupId(m % 2),
            zone: ZoneId((m / 2 % 3) as u16),
            listed: listed(random),
            started_at: None,
            primary: m < 2,
        })
        .collect()
}

/// Generates random events that fit the actions of the router under test. `handle` is that router; `check`
/// gets each event with the actions that `handle` returned for it.
fn run_random_events(
    seed: u64,
    mut handle: impl FnMut(Micros, &Event) -> Vec<Action>,
    mut check: impl FnMut(Micros, &Event, &[Action]),
) {
    let (mut random, mut now, mut last_request_id) = (TestRandom(seed * 2 + 1), START, 1);
    let (mut attempts, mut probes): (Vec<(RequestId, MemberId, Micros)>, Vec<MemberId>) = Default::default();
    let first_list = random_list(&mut TestRandom(1));
    let mut next_list = Some((ListKind::Cached, first_list));
    for _ in 0..3_000 {
        now += random.below(8) * MS;
        let (entries, kind);
        let event = if let Some((k, e)) = next_list.take() {
            (kind, entries) = (k, e);
            Event::List(kind, &entries)
        } else {
            match random.below(10) {
                0..=3 => {
                    last_request_id += 1;
                    Event::Request(Request {
                        id: RequestId(last_request_id),
                        class: random.below(3) as usize,
                        group: GroupId(random.below(2) as u32),
                        session: None,
                        budget: 1_000 * MS,
                        is_repeat: random.below(4) == 0,
                        last_write_ago: None,
                    })
                }
                4..=6 if !attempts.is_empty() => {
                    let (request, member, sent) =
                        attempts.swap_remove(random.below(attempts.len() as u64) as usize);
                    let outcomes = [
                        Outcome::Served,
                        Outcome::Served,
                        Outcome::Reset,
                        Outcome::TimedOut,
                        Outcome::Misdirected,
                        Outcome::Unreachable,
                    ];
                    let outcome = outcomes[random.below(6) as usize];
                    let role = if member.0 < 2 { Role::Primary } else { Role::Replica };
                    Event::AttemptEnded(AttemptResult {
                        request,
                        member,
                        outcome,
                        status: ReplyStatus {
                            position: Some(now - random.below(300) * MS),
                            role: Some(role),
                        },
                        duration: now - sent,
                        request_finished: outcome == Outcome::Served,
                        report: Report::default(),
                    })
                }
                7 if !probes.is_empty() => {
                    let outcome = if random.below(5) == 0 { Outcome::TimedOut } else { Outcome::Served };
                    let report = Report { position: Some(now - random.below(300) * MS), ..Report::default() };
                    Event::ProbeEnded { member: probes.swap_remove(0), outcome, report }
                }
                8 if random.below(20) == 0 => {
                    next_list = Some((ListKind::Full, self::random_list(&mut random)));
                    continue;
                }
                _ => Event::Timer,
            }
        };
        let actions = handle(now, &event);
        check(now, &event, &actions);
        for action in actions {
            match action {
                Action::Send { request, member, .. } => attempts.push((request, member, now)),
                Action::Probe(member) => probes.push(member),
                _ => {}
            }
        }
    }
}

/// Guards against a composition that changes decisions though operators have stated nothing to plan by.
#[test]
fn composition_without_planners_acts_like_the_module_alone() {
    for seed in 0..20 {
        let mut router = Router::new(settings(), seed, START);
        let mut steering = Steering::new(settings(), PlannerPolicies::default(), seed, START);
        let module_alone = |now: Micros, event: &Event| {
            let mut actions = Vec::new();
            router.handle(now, event, &mut actions);
            actions
        };
        let mut compared = 0;
        run_random_events(seed, module_alone, |now, event, expected| {
            let mut actions = Vec::new();
            steering.handle(now, event, &mut actions);
            assert_eq!(actions, expected, "seed {seed}, {event:?}");
            compared += actions.len();
        });
        assert!(compared > 1_000, "{compared} actions");
        assert!(steering.zone_status(START).is_empty());
    }
}

/// Guards against a leak: the zone planner must not keep requests that the decision module has finished.
#[test]
fn zone_planner_keeps_no_more_requests_than_the_module() {
    for seed in 0..10 {
        let mut steering = Steering::new(
            settings(),
            PlannerPolicies { zones: Some(Policy::default()), ..PlannerPolicies::default() },
            seed,
            START,
        );
        let mut last_event_at = START;
        let mut max_requests = 0;
        let handle = |now: Micros, event: &Event| {
            let mut actions = Vec::new();
            steering.handle(now, event, &mut actions);
            last_event_at = now;
            max_requests = max_requests.max(steering.sizes().requests);
            actions
        };
        run_random_events(seed, handle, |_, _, _| {});
        // Time passes until the budget of every request is over, which ends its attempts too.
        let mut actions = Vec::new();
        for _ in 0..300 {
            last_event_at += 10 * MS;
            steering.handle(last_event_at, &Event::Timer, &mut actions);
        }
        assert!(max_requests > 0);
        let (_, groups, requests) = steering.zone_table_sizes().unwrap();
        assert!(groups <= 2 && requests <= steering.sizes().requests, "{groups} groups, {requests} requests");
    }
}
