//! The rules' local parts over many short random histories: a check of rules, without figures or a model of load.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use beaconshore::interface::*;
use beaconshore::Router;
use common::*;

struct Dice(u64);

impl Dice {
    fn roll(&mut self, below: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % below
    }
}

struct Open {
    class: usize,
    group: GroupId,
    ends: Micros,
    /// The attempt that is out: member, when sent.
    out: Option<(MemberId, Micros)>,
    /// First send that may have run.
    risk: Option<Micros>,
    answered: bool,
}

#[derive(Default)]
struct Told {
    barred: BTreeSet<MemberId>,
    position: BTreeMap<MemberId, Micros>,
    excused: BTreeSet<MemberId>,
}

struct World {
    router: Router,
    dice: Dice,
    now: Micros,
    told: Told,
    open: BTreeMap<RequestId, Open>,
    probes: Vec<MemberId>,
    next: u64,
}

fn group_of(member: MemberId) -> GroupId {
    GroupId(member.0 % 2)
}

fn listed(member: u32, listed: ListedState, primary: bool) -> ListEntry {
    ListEntry { listed, group: group_of(MemberId(member)), ..entry(member, (member / 2 % 3) as u16, primary) }
}

impl World {
    fn new(seed: u64) -> World {
        let mut world = World {
            router: Router::new(settings(), seed, START),
            dice: Dice(seed * 2 + 1),
            now: START,
            told: Told::default(),
            open: BTreeMap::new(),
            probes: Vec::new(),
            next: 1,
        };
        let all: Vec<ListEntry> = (0..8).map(|m| listed(m, ListedState::Ready, m < 2)).collect();
        world.told.excused = [MemberId(0), MemberId(1)].into();
        world.event(Event::List(ListKind::Cached, &all));
        world
    }

    fn event(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.router.handle(self.now, &event, &mut actions);
        for action in actions {
            self.check(action);
        }
    }

    fn check(&mut self, action: Action) {
        match action {
            Action::Send { request, member, .. } => {
                let open = self.open.get_mut(&request).expect("a send for a request that is not open");
                assert!(!open.answered, "sent after its final answer");
                assert!(open.out.is_none(), "two attempts out");
                assert_eq!(open.group, group_of(member), "sent to another group");
                assert!(!self.told.barred.contains(&member), "sent to a drained or gone member");
                let class = &settings().classes[open.class];
                match (class.effect, open.risk) {
                    (Effect::Unsafe, Some(_)) => panic!("unsafe request sent again"),
                    (Effect::Keyed(_, window), Some(first)) => {
                        assert!(self.now <= first + window, "past the window")
                    }
                    _ => {}
                }
                let position = self.told.position.get(&member).copied().unwrap_or(0);
                let excused = self.told.excused.contains(&member);
                match class.consistency {
                    Consistency::Bounded(bound) => assert!(excused || self.now <= position + bound, "stale"),
                    Consistency::Write => assert!(excused, "a write to one that never was primary"),
                    _ => {}
                }
                open.out = Some((member, self.now));
            }
            Action::Refuse { request, .. } => {
                let open = self.open.get_mut(&request).expect("a refusal of a request that is not open");
                let safe = settings().classes[open.class].effect == Effect::Safe;
                assert!(
                    safe || (open.risk.is_none() && open.out.is_none()),
                    "refused though it may have run"
                );
                assert!(!std::mem::replace(&mut open.answered, true), "two final answers");
            }
            Action::Fail(request) => {
                let open = self.open.get_mut(&request).expect("a failure of a request that is not open");
                assert!(!std::mem::replace(&mut open.answered, true), "two final answers");
            }
            Action::Probe(member) => {
                assert!(!self.told.barred.contains(&member), "probed a drained or gone member");
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
        match self.dice.roll(10) {
            0..=3 => self.ask(),
            4..=6 => self.end_attempt(None),
            7 | 8 => self.end_probe(),
            _ if self.dice.roll(6) == 0 => self.change_list(),
            _ => self.hang_up(),
        }
        self.expire();
    }

    fn ask(&mut self) {
        let (class, group) = (self.dice.roll(5) as usize, GroupId(self.dice.roll(2) as u32));
        let (id, budget) = (RequestId(self.next), (100 + self.dice.roll(3_000)) * MS);
        self.next += 1;
        let open = Open { class, group, ends: self.now + budget, out: None, risk: None, answered: false };
        self.open.insert(id, open);
        let ago = self.dice.roll(300) * MS;
        let request =
            Request { id, class, group, session: None, budget, repeat: false, last_write_ago: Some(ago) };
        self.event(Event::Request(request));
    }

    fn end_attempt(&mut self, only: Option<RequestId>) {
        let out: Vec<RequestId> =
            self.open.iter().filter(|(_, o)| o.out.is_some()).map(|(id, _)| *id).collect();
        if out.is_empty() {
            return;
        }
        let id = only.unwrap_or(out[self.dice.roll(out.len() as u64) as usize]);
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
        let drawn = outcomes[self.dice.roll(8) as usize];
        let outcome = if only.is_some() { Outcome::TimedOut } else { drawn };
        let speaks =
            matches!(outcome, Outcome::Served | Outcome::Error | Outcome::Rejected | Outcome::Misdirected);
        let role = if self.dice.roll(3) == 0 { Role::Primary } else { Role::Replica };
        let position = self.now - self.dice.roll(400) * MS;
        let open = self.open.get_mut(&id).unwrap();
        let (member, sent) = open.out.take().unwrap();
        let write = settings().classes[open.class].consistency == Consistency::Write;
        if !outcome.never_ran() && open.risk.is_none() {
            open.risk = Some(sent);
        }
        let note = if speaks {
            ReplyStatus { position: Some(position), role: Some(role) }
        } else {
            ReplyStatus::default()
        };
        let finished = open.answered || outcome == Outcome::Served;
        if open.answered {
            self.open.remove(&id);
        } else {
            open.answered = finished;
        }
        if speaks {
            self.tell(member, position, role, !(write && outcome == Outcome::Served));
        }
        let (took, report) = (self.now - sent, Report::default());
        self.event(Event::AttemptEnded(AttemptResult {
            request: id,
            member,
            outcome,
            note,
            took,
            finished,
            report,
        }));
        self.open.retain(|_, o| !o.answered || o.out.is_some());
    }

    fn tell(&mut self, member: MemberId, position: Micros, role: Role, counts: bool) {
        if counts {
            let known = self.told.position.entry(member).or_insert(0);
            *known = position.max(*known);
        }
        match role {
            Role::Primary => drop(self.told.excused.insert(member)),
            Role::Replica => drop(self.told.excused.remove(&member)),
        }
    }

    fn end_probe(&mut self) {
        let Some(member) = self.probes.pop() else { return };
        if self.dice.roll(4) == 0 {
            let (outcome, report) = (Outcome::TimedOut, Report::default());
            return self.event(Event::ProbeEnded { member, outcome, report });
        }
        let position = self.now - self.dice.roll(300) * MS;
        let role = if self.dice.roll(4) == 0 { Role::Primary } else { Role::Replica };
        let known = self.told.position.entry(member).or_insert(0);
        *known = position.max(*known);
        if role == Role::Primary {
            self.told.excused.insert(member);
        }
        let report = Report { position: Some(position), role: Some(role), ..Report::default() };
        self.event(Event::ProbeEnded { member, outcome: Outcome::Served, report });
    }

    fn change_list(&mut self) {
        let member = self.dice.roll(8) as u32;
        let state = [ListedState::Ready, ListedState::Ready, ListedState::Draining, ListedState::Gone]
            [self.dice.roll(4) as usize];
        let primary = self.dice.roll(3) == 0;
        match state {
            ListedState::Ready => drop(self.told.barred.remove(&MemberId(member))),
            _ => drop(self.told.barred.insert(MemberId(member))),
        }
        if primary {
            self.told.excused.insert(MemberId(member));
        }
        let started = (self.dice.roll(2) == 0).then_some(self.now);
        let change = [ListEntry { started, ..listed(member, state, primary) }];
        self.event(Event::List(ListKind::Delta, &change));
    }

    fn hang_up(&mut self) {
        let open: Vec<RequestId> = self.open.iter().filter(|(_, o)| !o.answered).map(|(id, _)| *id).collect();
        if open.is_empty() {
            return;
        }
        let id = open[self.dice.roll(open.len() as u64) as usize];
        let gone = self.open.get_mut(&id).unwrap();
        gone.answered = true;
        self.event(Event::ClientDisconnected(id));
        self.open.retain(|_, o| !o.answered || o.out.is_some());
    }

    /// At a request's end its attempt times out; the answer is due by then.
    fn expire(&mut self) {
        let due: Vec<RequestId> =
            self.open.iter().filter(|(_, o)| o.ends <= self.now).map(|(id, _)| *id).collect();
        for id in due {
            if self.open.get(&id).is_some_and(|o| o.out.is_some()) {
                self.end_attempt(Some(id));
            }
            let answered = self.open.remove(&id).is_none_or(|o| o.answered);
            assert!(answered, "no final answer in time");
        }
    }
}

#[test]
fn random_histories_keep_the_rules() {
    let mut asked = 0;
    for seed in 1..=150 {
        let mut world = World::new(seed);
        for _ in 0..600 {
            world.step();
        }
        asked += world.next;
    }
    assert!(asked > 10_000, "the histories hold something: {asked} requests");
}

#[test]
fn equal_events_give_equal_actions() {
    let play = || {
        let mut stage = Stage::new();
        let mut all = Vec::new();
        for class in [READ, WRITE, ANY, SESSION, ANY, READ, WRITE, ANY] {
            all.extend(stage.ask(class).1);
            all.extend(stage.pass(30 * MS));
        }
        all.extend(stage.list(ListKind::Failed, &[]));
        all.extend(stage.pass(3_000 * MS));
        all
    };
    assert_eq!(play(), play());
}
