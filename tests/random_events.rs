//! Checks the rules that bind a single router over many short random histories. The test does not model load
//! and checks no performance figures.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use beaconshore::interface::*;
use beaconshore::Router;
use common::*;

/// A small pseudorandom generator (xorshift).
struct TestRng(u64);

impl TestRng {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % limit
    }
}

/// A request without a final answer, or with an attempt that is still open.
struct OpenRequest {
    class: usize,
    group: GroupId,
    expires_at: Micros,
    /// Member and start of the open attempt.
    attempt: Option<(MemberId, Micros)>,
    /// First send after which the request may have been executed.
    first_possible_run: Option<Micros>,
    answered: bool,
}

/// What the router has been told about members.
#[derive(Default)]
struct KnownState {
    /// Members that drain or are gone.
    excluded: BTreeSet<MemberId>,
    position: BTreeMap<MemberId, Micros>,
    /// Members that may be primary, for which no staleness bound holds.
    possible_primaries: BTreeSet<MemberId>,
}

/// A router, the events sent to it and the checks on its actions.
struct Simulation {
    router: Router,
    rng: TestRng,
    now: Micros,
    known_state: KnownState,
    open: BTreeMap<RequestId, OpenRequest>,
    probes: Vec<MemberId>,
    next: u64,
}

fn group_of(member: MemberId) -> GroupId {
    GroupId(member.0 % 2)
}

fn list_entry(member: u32, listed: ListedState, primary: bool) -> ListEntry {
    ListEntry { listed, group: group_of(MemberId(member)), ..entry(member, (member / 2 % 3) as u16, primary) }
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        let mut simulation = Simulation {
            router: Router::new(settings(), seed, START),
            rng: TestRng(seed * 2 + 1),
            now: START,
            known_state: KnownState::default(),
            open: BTreeMap::new(),
            probes: Vec::new(),
            next: 1,
        };
        let all: Vec<ListEntry> = (0..8).map(|m| list_entry(m, ListedState::Ready, m < 2)).collect();
        simulation.known_state.possible_primaries = [MemberId(0), MemberId(1)].into();
        simulation.event(Event::List(ListKind::Cached, &all));
        simulation
    }

    fn event(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.router.handle(self.now, &event, &mut actions);
        for action in actions {
            self.check_action(action);
        }
    }

    fn check_action(&mut self, action: Action) {
        match action {
            Action::Send { request, member, .. } => {
                let open = self.open.get_mut(&request).expect("a send for a request that is not open");
                assert!(!open.answered, "sent after its final answer");
                assert!(open.attempt.is_none(), "two attempts open");
                assert_eq!(open.group, group_of(member), "sent to another group");
                assert!(!self.known_state.excluded.contains(&member), "sent to a drained or gone member");
                let class = &settings().classes[open.class];
                match (class.effect, open.first_possible_run) {
                    (Effect::Unsafe, Some(_)) => panic!("unsafe request sent again"),
                    (Effect::Keyed(_, window), Some(first)) => {
                        assert!(self.now <= first + window, "sent again after the dedup window")
                    }
                    _ => {}
                }
                let position = self.known_state.position.get(&member).copied().unwrap_or(0);
                let possible_primaries = self.known_state.possible_primaries.contains(&member);
                match class.consistency {
                    Consistency::Bounded(bound) => {
                        assert!(
                            possible_primaries || self.now <= position + bound,
                            "a member past the staleness bound"
                        )
                    }
                    Consistency::Write => {
                        assert!(possible_primaries, "a write to a member that cannot be primary")
                    }
                    _ => {}
                }
                open.attempt = Some((member, self.now));
            }
            Action::Refuse { request, .. } => {
                let open = self.open.get_mut(&request).expect("a refusal of a request that is not open");
                let safe = settings().classes[open.class].effect == Effect::Safe;
                assert!(
                    safe || (open.first_possible_run.is_none() && open.attempt.is_none()),
                    "refused though it may have been executed"
                );
                assert!(!std::mem::replace(&mut open.answered, true), "two final answers");
            }
            Action::Fail(request) => {
                let open = self.open.get_mut(&request).expect("a failure of a request that is not open");
                assert!(!std::mem::replace(&mut open.answered, true), "two final answers");
            }
            Action::Probe(member) => {
                assert!(!self.known_state.excluded.contains(&member), "probed a drained or gone member");
                self.probes.push(member);
            }
            _ => {}
        }
    }

    fn step(&mut self) {
        self.now += 5 * MS;
        if self.now.is_multiple_of(10 * MS) {
            self.event(Event::Timer);
        }
        match self.rng.below(10) {
            0..=3 => self.send_request(),
            4..=6 => self.end_attempt(None),
            7 | 8 => self.end_probe(),
            _ if self.rng.below(6) == 0 => self.change_list(),
            _ => self.disconnect_client(),
        }
        self.expire_requests();
    }

    fn send_request(&mut self) {
        let (class, group) = (self.rng.below(5) as usize, GroupId(self.rng.below(2) as u32));
        let (id, budget) = (RequestId(self.next), (100 + self.rng.below(3_000)) * MS);
        self.next += 1;
        let open = OpenRequest {
            class,
            group,
            expires_at: self.now + budget,
            attempt: None,
            first_possible_run: None,
            answered: false,
        };
        self.open.insert(id, open);
        let ago = self.rng.below(300) * MS;
        let request =
            Request { id, class, group, session: None, budget, is_repeat: false, last_write_ago: Some(ago) };
        self.event(Event::Request(request));
    }

    fn end_attempt(&mut self, only: Option<RequestId>) {
        let open_attempts: Vec<RequestId> =
            self.open.iter().filter(|(_, o)| o.attempt.is_some()).map(|(id, _)| *id).collect();
        if open_attempts.is_empty() {
            return;
        }
        let id = only.unwrap_or(open_attempts[self.rng.below(open_attempts.len() as u64) as usize]);
        let outcomes = [
            Outcome::Served,
            Outcome::Served,
            Outcome::Error,
            Outcome::Rejected,
            Outcome::TimedOut,
            Outcome::Unreachable,
            Outcome::Reset,
            Outcome::Misdirected,
        ];
        let random_outcome = outcomes[self.rng.below(8) as usize];
        let outcome = if only.is_some() { Outcome::TimedOut } else { random_outcome };
        let has_status =
            matches!(outcome, Outcome::Served | Outcome::Error | Outcome::Rejected | Outcome::Misdirected);
        let role = if self.rng.below(3) == 0 { Role::Primary } else { Role::Replica };
        let position = self.now - self.rng.below(400) * MS;
        let open = self.open.get_mut(&id).unwrap();
        let (member, sent) = open.attempt.take().unwrap();
        let write = settings().classes[open.class].consistency == Consistency::Write;
        if !outcome.never_ran() && open.first_possible_run.is_none() {
            open.first_possible_run = Some(sent);
        }
        let status = if has_status {
            ReplyStatus { position: Some(position), role: Some(role) }
        } else {
            ReplyStatus::default()
        };
        let request_finished = open.answered || outcome == Outcome::Served;
        if open.answered {
            self.open.remove(&id);
        } else {
            open.answered = request_finished;
        }
        if has_status {
            self.record_statement(member, position, role, !(write && outcome == Outcome::Served));
        }
        let (duration, report) = (self.now - sent, Report::default());
        self.event(Event::AttemptEnded(AttemptResult {
            request: id,
            member,
            outcome,
            status,
            duration,
            request_finished,
            report,
        }));
        self.open.retain(|_, o| !o.answered || o.attempt.is_some());
    }

    fn record_statement(&mut self, member: MemberId, position: Micros, role: Role, is_position: bool) {
        if is_position {
            let known = self.known_state.position.entry(member).or_insert(0);
            *known = position.max(*known);
        }
        match role {
            Role::Primary => drop(self.known_state.possible_primaries.insert(member)),
            Role::Replica => drop(self.known_state.possible_primaries.remove(&member)),
        }
    }

    fn end_probe(&mut self) {
        let Some(member) = self.probes.pop() else { return };
        if self.rng.below(4) == 0 {
            let (outcome, report) = (Outcome::TimedOut, Report::default());
            return self.event(Event::ProbeEnded { member, outcome, report });
        }
        let position = self.now - self.rng.below(300) * MS;
        let role = if self.rng.below(4) == 0 { Role::Primary } else { Role::Replica };
        let known = self.known_state.position.entry(member).or_insert(0);
        *known = position.max(*known);
        if role == Role::Primary {
            self.known_state.possible_primaries.insert(member);
        }
        let report = Report { position: Some(position), role: Some(role), ..Report::default() };
        self.event(Event::ProbeEnded { member, outcome: Outcome::Served, report });
    }

    fn change_list(&mut self) {
        let member = self.rng.below(8) as u32;
        let state = [ListedState::Ready, ListedState::Ready, ListedState::Draining, ListedState::Gone]
            [self.rng.below(4) as usize];
        let primary = self.rng.below(3) == 0;
        match state {
            ListedState::Ready => drop(self.known_state.excluded.remove(&MemberId(member))),
            _ => drop(self.known_state.excluded.insert(MemberId(member))),
        }
        if primary {
            self.known_state.possible_primaries.insert(MemberId(member));
        }
        let started_at = (self.rng.below(2) == 0).then_some(self.now);
        let change = [ListEntry { started_at, ..list_entry(member, state, primary) }];
        self.event(Event::List(ListKind::Delta, &change));
    }

    fn disconnect_client(&mut self) {
        let open: Vec<RequestId> = self.open.iter().filter(|(_, o)| !o.answered).map(|(id, _)| *id).collect();
        if open.is_empty() {
            return;
        }
        let id = open[self.rng.below(open.len() as u64) as usize];
        let request = self.open.get_mut(&id).unwrap();
        request.answered = true;
        self.event(Event::ClientDisconnected(id));
        self.open.retain(|_, o| !o.answered || o.attempt.is_some());
    }

    /// Times out the attempts of requests that expire, and checks that these got their final answer.
    fn expire_requests(&mut self) {
        let due: Vec<RequestId> =
            self.open.iter().filter(|(_, o)| o.expires_at <= self.now).map(|(id, _)| *id).collect();
        for id in due {
            if self.open.get(&id).is_some_and(|o| o.attempt.is_some()) {
                self.end_attempt(Some(id));
            }
            let answered = self.open.remove(&id).is_none_or(|o| o.answered);
            assert!(answered, "no final answer in time");
        }
    }
}

#[test]
fn random_histories_keep_the_rules() {
    let mut request_count = 0;
    for seed in 1..=150 {
        let mut simulation = Simulation::new(seed);
        for _ in 0..600 {
            simulation.step();
        }
        request_count += simulation.next;
    }
    assert!(request_count > 10_000, "the histories contain too few requests: {request_count}");
}

#[test]
fn equal_events_give_equal_actions() {
    let run = || {
        let mut fixture = Fixture::new();
        let mut all = Vec::new();
        for class in [READ, WRITE, ANY, SESSION, ANY, READ, WRITE, ANY] {
            all.extend(fixture.request(class).1);
            all.extend(fixture.advance(30 * MS));
        }
        all.extend(fixture.update_list(ListKind::Failed, &[]));
        all.extend(fixture.advance(3_000 * MS));
        all
    };
    assert_eq!(run(), run());
}
