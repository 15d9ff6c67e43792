//! The composition beside the module alone, over the same random events.

use beaconshore::interface::*;
use beaconshore::Router;
use beaconshore_steering::{Plans, Steering};
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

struct Dice(u64);

impl Dice {
    fn roll(&mut self, below: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % below
    }
}

/// Members of two groups in three zones.
fn entries(dice: &mut Dice) -> Vec<ListEntry> {
    let listed = |dice: &mut Dice| match dice.roll(12) {
        0 => ListedState::Draining,
        1 => ListedState::Gone,
        _ => ListedState::Ready,
    };
    (0..8)
        .map(|m| ListEntry {
            member: MemberId(m),
            group: GroupId(m % 2),
            zone: ZoneId((m / 2 % 3) as u16),
            listed: listed(dice),
            started: None,
            primary: m < 2,
        })
        .collect()
}

/// Plays random events on the first, and each of them on the second as well; yields both's actions.
fn play(
    seed: u64,
    mut first: impl FnMut(Micros, &Event) -> Vec<Action>,
    mut each: impl FnMut(Micros, &Event, &[Action]),
) {
    let (mut dice, mut now, mut next) = (Dice(seed * 2 + 1), START, 1);
    let (mut out, mut probes): (Vec<(RequestId, MemberId, Micros)>, Vec<MemberId>) = Default::default();
    let first_list = entries(&mut Dice(1));
    let mut list = Some((ListKind::Cached, first_list));
    for _ in 0..3_000 {
        now += dice.roll(8) * MS;
        let (entries, kind);
        let event = if let Some((k, e)) = list.take() {
            (kind, entries) = (k, e);
            Event::List(kind, &entries)
        } else {
            match dice.roll(10) {
                0..=3 => {
                    next += 1;
                    Event::Request(Request {
                        id: RequestId(next),
                        class: dice.roll(3) as usize,
                        group: GroupId(dice.roll(2) as u32),
                        session: None,
                        budget: 1_000 * MS,
                        repeat: dice.roll(4) == 0,
                        last_write_ago: None,
                    })
                }
                4..=6 if !out.is_empty() => {
                    let (request, member, sent) = out.swap_remove(dice.roll(out.len() as u64) as usize);
                    let outcomes = [
                        Outcome::Served,
                        Outcome::Served,
                        Outcome::Reset,
                        Outcome::TimedOut,
                        Outcome::Misdirected,
                        Outcome::Unreachable,
                    ];
                    let outcome = outcomes[dice.roll(6) as usize];
                    let role = if member.0 < 2 { Role::Primary } else { Role::Replica };
                    Event::AttemptEnded(AttemptResult {
                        request,
                        member,
                        outcome,
                        note: ReplyStatus { position: Some(now - dice.roll(300) * MS), role: Some(role) },
                        took: now - sent,
                        finished: outcome == Outcome::Served,
                        report: Report::default(),
                    })
                }
                7 if !probes.is_empty() => {
                    let outcome = if dice.roll(5) == 0 { Outcome::TimedOut } else { Outcome::Served };
                    let report = Report { position: Some(now - dice.roll(300) * MS), ..Report::default() };
                    Event::ProbeEnded { member: probes.swap_remove(0), outcome, report }
                }
                8 if dice.roll(20) == 0 => {
                    list = Some((ListKind::Full, self::entries(&mut dice)));
                    continue;
                }
                _ => Event::Timer,
            }
        };
        let actions = first(now, &event);
        each(now, &event, &actions);
        for action in actions {
            match action {
                Action::Send { request, member, .. } => out.push((request, member, now)),
                Action::Probe(member) => probes.push(member),
                _ => {}
            }
        }
    }
}

#[test]
fn without_planners_it_acts_as_the_module_alone() {
    for seed in 0..20 {
        let mut router = Router::new(settings(), seed, START);
        let mut steering = Steering::new(settings(), Plans::default(), seed, START);
        let alone = |now: Micros, event: &Event| {
            let mut actions = Vec::new();
            router.handle(now, event, &mut actions);
            actions
        };
        let mut compared = 0;
        play(seed, alone, |now, event, expected| {
            let mut actions = Vec::new();
            steering.handle(now, event, &mut actions);
            assert_eq!(actions, expected, "seed {seed}, {event:?}");
            compared += actions.len();
        });
        assert!(compared > 1_000, "{compared} actions");
        assert!(steering.zones(START).is_empty());
    }
}

#[test]
fn planners_give_back_what_they_hold() {
    for seed in 0..10 {
        let mut steering = Steering::new(
            settings(),
            Plans { zones: Some(Policy::default()), ..Plans::default() },
            seed,
            START,
        );
        let mut last = START;
        let mut held = 0;
        let first = |now: Micros, event: &Event| {
            let mut actions = Vec::new();
            steering.handle(now, event, &mut actions);
            last = now;
            held = held.max(steering.sizes().requests);
            actions
        };
        play(seed, first, |_, _, _| {});
        // Every request's time passes; attempts that are out end with it.
        let mut actions = Vec::new();
        for _ in 0..300 {
            last += 10 * MS;
            steering.handle(last, &Event::Timer, &mut actions);
        }
        assert!(held > 0);
        let (_, groups, requests) = steering.planned().unwrap();
        assert!(groups <= 2 && requests <= steering.sizes().requests, "{groups} groups, {requests} requests");
    }
}
