//! Times what a request costs in the decision module, for fleets of several sizes, on this thread's processor clock.

use std::time::{Duration, Instant};

use beaconshore::interface::{
    Action, AttemptResult, Class, Consistency, DedupScope, Effect, Event, GroupId, Limits, ListEntry,
    ListKind, ListedState, MemberId, Micros, Outcome, ReplyStatus, Report, Request, RequestId, Role,
    RuleParameters, Settings, ZoneId,
};
use beaconshore_capacity::sample::{Axis, Cost, Mechanism, Sample};
use beaconshore_steering::{PlannerPolicies, Steering};

const MILLISECOND: Micros = 1_000;
const START: Micros = 1_000_000_000;
/// Members of a group.
const GROUP: u32 = 5;
/// Fleets that are timed: databases. Far fewer can't serve this rate, and what is timed then is a line that only grows.
const SIZES: [u32; 5] = [120, 250, 400, 770, 1_200];
const SEEDS: u64 = 3;
/// Requests a second: of one driver at the size that decides the design.
const RATE: u64 = 2_600;
/// Requests before the clock is read: every group was asked.
const WARM_UP: usize = 4_000;
/// Requests that are timed.
const TIMED: usize = 26_000;
/// Mean time of an answer.
const ANSWER: Micros = 4 * MILLISECOND;

/// Times all fleets.
pub fn run() -> Vec<Sample> {
    let mut samples = Vec::new();
    for seed in 1..=SEEDS {
        for databases in SIZES {
            let each = time(databases, seed);
            println!("{databases} databases, seed {seed}: {each:.2} us a request");
            // Decisions don't depend on how member state comes: both mechanisms have the same.
            samples.extend([Mechanism::AllToAll, Mechanism::Gossip].map(|mechanism| Sample {
                axis: Axis::Databases,
                mechanism,
                seed,
                at: f64::from(databases),
                cost: Cost::DecisionTime,
                value: each,
            }));
        }
    }
    samples
}

/// Microseconds a request: its arrival, its send, the end of its attempt, and its part of the timer.
fn time(databases: u32, seed: u64) -> f64 {
    let mut driver = Driver::new(databases, seed);
    (0..WARM_UP).for_each(|_| driver.request());
    let began = Instant::now();
    (0..TIMED).for_each(|_| driver.request());
    let spent: Duration = began.elapsed();
    spent.as_secs_f64() * 1e6 / TIMED as f64
}

/// A decision module with members that answer in time.
struct Driver {
    steering: Steering,
    groups: u64,
    now: Micros,
    next: u64,
    timer: Micros,
    actions: Vec<Action>,
    /// Answers that are on their way, the next one first.
    answers: std::collections::VecDeque<(Micros, RequestId, MemberId)>,
}

impl Driver {
    fn new(databases: u32, seed: u64) -> Driver {
        let steering = Steering::new(settings(), PlannerPolicies::default(), seed, START);
        let mut driver = Driver {
            steering,
            groups: u64::from(databases / GROUP),
            now: START,
            next: 0,
            timer: START,
            actions: Vec::new(),
            answers: std::collections::VecDeque::new(),
        };
        let entry = |member: u32| ListEntry {
            member: MemberId(member),
            group: GroupId(member / GROUP),
            zone: ZoneId((member % 7) as u16),
            listed: ListedState::Ready,
            started_at: None,
            primary: is_primary(MemberId(member)),
        };
        let entries: Vec<ListEntry> = (0..databases / GROUP * GROUP).map(entry).collect();
        driver.handle(&Event::List(ListKind::Cached, &entries));
        driver
    }

    fn handle(&mut self, event: &Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.steering.handle(self.now, event, &mut actions);
        for action in actions.drain(..) {
            match action {
                Action::Send { request, member, .. } => {
                    self.answers.push_back((self.now + ANSWER, request, member));
                }
                Action::SetTimer(after) => self.timer = self.now + after,
                _ => {}
            }
        }
        self.actions = actions;
    }

    /// The next request comes, once all that is due before it has happened.
    fn request(&mut self) {
        let at = START + self.next * 1_000_000 / RATE;
        self.next += 1;
        loop {
            let answer = self.answers.front().map(|(due, ..)| *due).filter(|due| *due <= at);
            match answer {
                Some(due) if due <= self.timer => {
                    self.now = self.now.max(due);
                    if let Some((_, request, member)) = self.answers.pop_front() {
                        self.handle(&Event::AttemptEnded(served(self.now, request, member)));
                    }
                }
                _ if self.timer <= at => {
                    self.now = self.now.max(self.timer);
                    self.timer = Micros::MAX;
                    self.handle(&Event::Timer);
                }
                _ => break,
            }
        }
        self.now = at;
        // Knuth's multiplicative hash: groups in no order.
        let group = (self.next.wrapping_mul(2_654_435_761) >> 7) % self.groups;
        self.handle(&Event::Request(Request {
            id: RequestId(self.next),
            class: usize::from(self.next.is_multiple_of(6)),
            group: GroupId(group as u32),
            session: None,
            budget: 2_000 * MILLISECOND,
            is_repeat: false,
            last_write_ago: None,
        }));
    }
}

fn is_primary(member: MemberId) -> bool {
    member.0.is_multiple_of(GROUP)
}

fn served(now: Micros, request: RequestId, member: MemberId) -> AttemptResult {
    let role = Some(if is_primary(member) { Role::Primary } else { Role::Replica });
    let position = Some(now - 5 * MILLISECOND);
    AttemptResult {
        request,
        member,
        outcome: Outcome::Served,
        status: ReplyStatus { position, role },
        duration: ANSWER,
        request_finished: true,
        report: Report { position, role, utilization: Some(0.4), backlog: None },
    }
}

fn settings() -> Settings {
    let class = |consistency, effect, latency_target| Class {
        consistency,
        effect,
        latency_target,
        deadline: 2_000 * MILLISECOND,
        value: 1.0,
        late_value_share: 0.3,
    };
    Settings {
        routers: 420,
        step: 5 * MILLISECOND,
        classes: vec![
            class(Consistency::Bounded(200 * MILLISECOND), Effect::Safe, 250 * MILLISECOND),
            class(
                Consistency::Write,
                Effect::Keyed(DedupScope::Group, 3_000 * MILLISECOND),
                600 * MILLISECOND,
            ),
        ],
        limits: Limits {
            max_attempts: 8,
            connect_timeout: 0,
            max_retry_after: 1_000 * MILLISECOND,
            retry_after: true,
            probes: false,
            peer_messages: true,
        },
        rules: RuleParameters {
            resubscribe_within: 10_000 * MILLISECOND,
            cold_share: 0.2,
            warm_up_time: 16_000 * MILLISECOND,
            overload_multiple: 2.0,
            overload_window: 1_500 * MILLISECOND,
            ..RuleParameters::default()
        },
        ..Settings::default()
    }
}
