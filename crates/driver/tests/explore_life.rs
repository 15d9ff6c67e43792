//! Whole lives of requests, stepped through every order of what may happen and of who gets to run in between: a client's
//! connection, the open requests, the decision module and its attempts, as they are in the program; only the mailboxes
//! between them are the test's own, so that what waits in one can be overtaken by anything.

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use beaconshore::interface::*;
use beaconshore::Router;
use beaconshore_driver::client::connection::{ConnectionState, Input, NextStep, Phase, ReadMode};
use beaconshore_driver::client::{Answer, CancelFlag, MemberAnswer};
use beaconshore_driver::decision::open_requests::{AddResult, OpenRequests};
use beaconshore_driver::decision::Statement;
use beaconshore_driver::member::send_state::{SendConditions, SendState, SendStep};
use beaconshore_rig::wire::{query, startup};

const MS: Micros = 1_000;
const START: Micros = 1_000_000_000;
const WINDOW: Micros = 300 * MS;
const CLASSES: [&str; 3] = ["any", "keyed", "unsafe"];

fn settings() -> Settings {
    let class = |consistency, effect, deadline| {
        let (latency_target, value, late_value_share) = (deadline / 2, 1.0, 0.5);
        Class { consistency, effect, latency_target, deadline, value, late_value_share }
    };
    Settings {
        routers: 1,
        step: 5 * MS,
        classes: vec![
            class(Consistency::Any, Effect::Safe, 1_000 * MS),
            class(Consistency::Write, Effect::Keyed(DedupScope::Group, WINDOW), 2_000 * MS),
            class(Consistency::Write, Effect::Unsafe, 2_000 * MS),
        ],
        limits: Limits { max_attempts: 4, connect_timeout: 250 * MS, ..Limits::default() },
        ..Settings::default()
    }
}

fn entry(member: u32, listed: ListedState) -> ListEntry {
    let (group, zone, started) = (GroupId(0), ZoneId(0), None);
    ListEntry { member: MemberId(member), group, zone, listed, started_at: started, primary: member == 1 }
}

/// What may happen from outside, each once, in any order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Event {
    /// A request of this class arrives.
    Ask(usize),
    /// The client closes.
    Fin,
    /// The list says that the primary drains.
    Drain,
    /// A member serves, or resets, the oldest attempt that reached it.
    Serve,
    Reset,
    /// More time passes than a decision stands, and more than a key's window.
    Wait,
    /// The driver's time is over: all that is open is failed.
    Finish,
}

/// Who runs after an event, until it has nothing to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Turn {
    Nobody,
    Client,
    Module,
    Attempts,
}

const TURNS: [Turn; 4] = [Turn::Nobody, Turn::Client, Turn::Module, Turn::Attempts];

enum Mail {
    Request(RequestId, usize, CancelFlag),
    HungUp(RequestId),
    Ended(RequestId, MemberId, Outcome, bool),
    Confirm(RequestId, MemberId),
    Finish,
}

#[derive(PartialEq)]
enum State {
    Leaving,
    Asking,
    Written,
}

struct Attempt {
    member: MemberId,
    departure: SendState,
    ends: Micros,
    cancel_flag: CancelFlag,
    state: State,
}

struct Life {
    now: Micros,
    start: Instant,
    connected: bool,
    // The client's side, and its actor.
    connection: ConnectionState,
    arrived: Vec<u8>,
    buffer: Vec<u8>,
    fin: bool,
    closed: bool,
    ids: u64,
    answers: VecDeque<(RequestId, Answer)>,
    // The module's.
    router: Router,
    open: OpenRequests<()>,
    mail: VecDeque<Mail>,
    lists: VecDeque<ListEntry>,
    taken_in: u64,
    drained: bool,
    // The attempts'.
    attempts: BTreeMap<RequestId, Attempt>,
    replies: VecDeque<(RequestId, bool, Micros, u64)>,
    // What was seen.
    taken: BTreeMap<RequestId, usize>,
    ends: BTreeMap<RequestId, usize>,
    written: BTreeMap<RequestId, Vec<(Micros, MemberId)>>,
    left: Vec<RequestId>,
}

impl Life {
    fn new(connected: bool) -> Life {
        let mut router = Router::new(settings(), 7, START);
        let list = [entry(1, ListedState::Ready), entry(2, ListedState::Ready)];
        router.handle(START, &beaconshore::interface::Event::List(ListKind::Cached, &list), &mut Vec::new());
        let start = Instant::now();
        let mut life = Life {
            now: START,
            start,
            connected,
            connection: ConnectionState::new(1, start),
            arrived: startup(),
            buffer: Vec::new(),
            fin: false,
            closed: false,
            ids: 0,
            answers: VecDeque::new(),
            router,
            open: OpenRequests::default(),
            mail: VecDeque::new(),
            lists: VecDeque::new(),
            taken_in: 0,
            drained: false,
            attempts: BTreeMap::new(),
            replies: VecDeque::new(),
            taken: BTreeMap::new(),
            ends: BTreeMap::new(),
            written: BTreeMap::new(),
            left: Vec::new(),
        };
        life.client();
        life
    }

    fn instant(&self) -> Instant {
        self.start + Duration::from_micros(self.now - START)
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Ask(class) => {
                let number = self.arrived.len();
                let text = format!("/* id={number:016x},c={},d=2000,cluster=0 */ SELECT 'a'", CLASSES[class]);
                self.arrived.extend(query(&text));
            }
            Event::Fin => self.fin = true,
            Event::Drain => self.lists.push_back(entry(1, ListedState::Draining)),
            Event::Serve => self.member(Outcome::Served),
            Event::Reset => self.member(Outcome::Reset),
            Event::Wait => self.now += WINDOW + 10 * MS,
            Event::Finish => self.mail.push_back(Mail::Finish),
        }
    }

    /// The oldest attempt that was written comes to this end.
    fn member(&mut self, outcome: Outcome) {
        let written = self.attempts.iter().find(|(_, attempt)| attempt.state == State::Written);
        let Some(id) = written.map(|(id, _)| *id) else { return };
        let attempt = self.attempts.remove(&id).unwrap();
        self.mail.push_back(Mail::Ended(id, attempt.member, outcome, outcome == Outcome::Served));
    }

    fn turn(&mut self, turn: Turn) {
        match turn {
            Turn::Nobody => {}
            Turn::Client => self.client(),
            Turn::Module => self.module(),
            Turn::Attempts => self.attempts(),
        }
    }

    // ---- The actors: they only carry what the machines say ----

    fn client(&mut self) {
        while let Some((id, answer)) = self.answers.pop_front() {
            if self.connection.queue_answer(id, answer).is_some() {
                *self.ends.entry(id).or_default() += 1;
            }
        }
        while !self.closed {
            let now = self.instant();
            match self.connection.next_input(&self.buffer, now) {
                Input::NotReady => {}
                Input::Consume(length) => drop(self.buffer.drain(..length)),
                Input::Startup(startup) => {
                    let length = startup.len();
                    self.buffer.drain(..length);
                }
                Input::Request(text, length) => {
                    let text = String::from_utf8_lossy(text).into_owned();
                    let class = CLASSES.iter().position(|c| text.contains(&format!("c={c},"))).unwrap();
                    self.buffer.drain(..length);
                    self.ids += 1;
                    let (id, cancel_flag) = (RequestId(self.ids), CancelFlag::default());
                    self.connection.request_accepted(
                        id,
                        Rc::from(text.as_bytes()),
                        cancel_flag.clone(),
                        None,
                        now,
                    );
                    self.taken.insert(id, class);
                    self.mail.push_back(Mail::Request(id, class, cancel_flag));
                    continue;
                }
                Input::Cancel(..) => unreachable!("nobody cancels here"),
            }
            while let Some(length) = self.connection.pending_output(now).map(<[u8]>::len) {
                self.connection.on_written(length, now);
            }
            let end = match self.connection.next_step(Phase::Serving, !self.buffer.is_empty(), now) {
                NextStep::Wait(wait) if wait.read_mode != ReadMode::Paused && !self.arrived.is_empty() => {
                    let (count, was_empty) = (self.arrived.len(), self.buffer.is_empty());
                    self.buffer.append(&mut self.arrived);
                    self.connection.on_read(count, was_empty, now);
                    continue;
                }
                NextStep::Wait(_) => self.fin,
                NextStep::Close => true,
                NextStep::ShutdownWrite => {
                    self.connection.on_write_shutdown(now);
                    continue;
                }
                NextStep::CheckInput if self.fin => true,
                NextStep::CheckInput => {
                    self.connection.on_no_input();
                    continue;
                }
                NextStep::Write => continue,
            };
            if !end {
                return;
            }
            self.closed = true;
            for left in self.connection.disconnected() {
                *self.ends.entry(left.id).or_default() += 1;
                self.left.push(left.id);
                self.mail.push_back(Mail::HungUp(left.id));
            }
        }
    }

    fn module(&mut self) {
        loop {
            if let Some(entry) = self.lists.pop_front() {
                (self.taken_in, self.drained) = (self.taken_in + 1, true);
                self.handle(beaconshore::interface::Event::List(ListKind::Delta, &[entry]));
                continue;
            }
            match self.mail.pop_front() {
                None => return self.handle(beaconshore::interface::Event::Timer),
                Some(Mail::Request(id, class, cancel_flag)) => {
                    let budget = settings().classes[class].deadline;
                    let statement =
                        Statement { text: Box::default(), wait_range: 0..0, repeats_dropped_for: 0 };
                    let ends = self.now + budget;
                    if self.open.add(id, (), Rc::new(statement), ends, cancel_flag) == AddResult::ClientGone {
                        continue;
                    }
                    let (group, session, repeat, last_write_ago) = (GroupId(0), None, false, None);
                    let request =
                        Request { id, class, group, session, budget, is_repeat: repeat, last_write_ago };
                    self.handle(beaconshore::interface::Event::Request(request));
                }
                Some(Mail::HungUp(id)) => {
                    let Some(out) = self.open.abandon(id) else { continue };
                    out.into_iter().for_each(|_| self.cancel(id));
                    self.handle(beaconshore::interface::Event::ClientDisconnected(id));
                }
                Some(Mail::Finish) => {
                    for (id, open) in self.open.drain() {
                        open.in_flight_at.into_iter().for_each(|_| self.cancel(id));
                        self.handle(beaconshore::interface::Event::ClientDisconnected(id));
                        self.answers.push_back((id, Answer::Failed));
                    }
                }
                Some(Mail::Confirm(id, member)) => {
                    let allowed = self.open.is_awaited(id) && self.router.confirm(self.now, id, member);
                    self.replies.push_back((id, allowed, self.now, self.taken_in));
                }
                Some(Mail::Ended(request, member, outcome, served)) => {
                    assert!(self.open.end_attempt(request, member), "an attempt that ends was out");
                    if served {
                        self.answer(request, Answer::Served(MemberAnswer::default()));
                    }
                    let finished = !self.open.is_open(request);
                    let (note, took, report) = (ReplyStatus::default(), 5 * MS, Report::default());
                    let ended = AttemptResult {
                        request,
                        member,
                        outcome,
                        status: note,
                        duration: took,
                        request_finished: finished,
                        report,
                    };
                    self.handle(beaconshore::interface::Event::AttemptEnded(ended));
                }
            }
        }
    }

    fn cancel(&mut self, id: RequestId) {
        // One that has just ended by itself has told so.
        if let Some(attempt) = self.attempts.remove(&id) {
            self.mail.push_back(Mail::Ended(id, attempt.member, Outcome::Cancelled, false));
        }
    }

    fn answer(&mut self, id: RequestId, answer: Answer) {
        let Some(open) = self.open.end(id) else { return };
        assert!(open.in_flight_at.is_none(), "no attempt is out when its request is answered");
        self.answers.push_back((id, answer));
    }

    fn handle(&mut self, event: beaconshore::interface::Event) {
        let mut actions = Vec::new();
        self.router.handle(self.now, &event, &mut actions);
        for action in actions {
            match action {
                Action::Send { request, member, timeout: wait } => {
                    let sending =
                        self.open.start_attempt(request, member, wait, self.now).expect("it is open");
                    assert!(sending.is_only_attempt, "a request has one attempt out");
                    let departure = SendState::new(self.now, self.taken_in, sending.deadline, self.connected);
                    let (ends, cancel_flag, state) = (sending.deadline, sending.cancel_flag, State::Leaving);
                    let attempt = Attempt { member, departure, ends, cancel_flag, state };
                    assert!(self.attempts.insert(request, attempt).is_none(), "one at a time");
                }
                Action::Refuse { request, .. } => self.answer(request, Answer::Refused(0)),
                Action::Fail(request) => self.answer(request, Answer::Failed),
                _ => {}
            }
        }
    }

    fn attempts(&mut self) {
        while let Some((id, allowed, at, lists)) = self.replies.pop_front() {
            if let Some(attempt) = self.attempts.get_mut(&id).filter(|a| a.state == State::Asking) {
                attempt.departure.on_confirmation(allowed, at, lists);
                attempt.state = State::Leaving;
            }
        }
        for id in self.attempts.keys().copied().collect::<Vec<_>>() {
            while let Some(attempt) = self.attempts.get_mut(&id) {
                if attempt.state == State::Written && self.now >= attempt.ends {
                    let member = self.attempts.remove(&id).unwrap().member;
                    self.mail.push_back(Mail::Ended(id, member, Outcome::TimedOut, false));
                    break;
                }
                if attempt.state != State::Leaving {
                    break;
                }
                let (list_version, is_cancelled) = (self.taken_in, attempt.cancel_flag.is_cancelled());
                match attempt.departure.next_step(SendConditions {
                    now: self.now,
                    list_version,
                    is_cancelled,
                }) {
                    SendStep::Connect => attempt.departure.on_connected(),
                    SendStep::Confirm => {
                        attempt.state = State::Asking;
                        self.mail.push_back(Mail::Confirm(id, attempt.member));
                    }
                    SendStep::GiveUp => {
                        let member = self.attempts.remove(&id).unwrap().member;
                        self.mail.push_back(Mail::Ended(id, member, Outcome::NeverSent, false));
                        break;
                    }
                    SendStep::Write => {
                        attempt.state = State::Written;
                        let member = attempt.member;
                        self.write(id, member);
                    }
                }
            }
        }
    }

    /// The last byte of an attempt goes out.
    fn write(&mut self, id: RequestId, member: MemberId) {
        assert!(!self.left.contains(&id), "nothing goes out for a client that has gone");
        assert!(!(self.drained && member == MemberId(1)), "nothing goes to a member that is known to drain");
        let before = self.written.entry(id).or_default();
        match self.taken[&id] {
            1 => assert!(before.iter().all(|(at, _)| self.now <= at + WINDOW), "a repeat outside its window"),
            2 => assert!(before.is_empty(), "what must never run twice is sent twice"),
            _ => {}
        }
        before.push((self.now, member));
    }

    /// Everything runs on until nothing is left to do; members answer nothing more.
    fn finish(&mut self) {
        // A request lives for 2 s at the most.
        for _ in 0..45 {
            for turn in [Turn::Attempts, Turn::Module, Turn::Client].repeat(2) {
                self.turn(turn);
            }
            self.now += 50 * MS;
        }
    }
}

/// Plays every order of these events, with every choice of who runs after each; how many lives that were.
fn explore(events: &[Event]) -> usize {
    let mut lives = 0;
    let mut orders = Vec::new();
    permute(&mut events.to_vec(), 0, &mut orders);
    for order in orders {
        for number in 0..TURNS.len().pow(order.len() as u32) {
            let turns: Vec<Turn> = (0..order.len() as u32)
                .map(|place| TURNS[number / TURNS.len().pow(place) % TURNS.len()])
                .collect();
            let told = format!("{order:?} with {turns:?}");
            let _told = Told(&told);
            let mut life = Life::new(lives % 2 == 0);
            for (event, turn) in order.iter().zip(&turns) {
                life.happen(*event);
                life.turn(*turn);
            }
            life.finish();
            for id in life.taken.keys() {
                assert_eq!(life.ends.get(id), Some(&1), "one end for each request");
            }
            assert!(life.attempts.is_empty() && life.mail.is_empty(), "nothing is left behind");
            assert!(life.open.drain().is_empty());
            assert_eq!(life.router.sizes().requests, 0, "the module holds nothing");
            lives += 1;
        }
    }
    lives
}

/// Names the life in which a check failed.
struct Told<'t>(&'t str);

impl Drop for Told<'_> {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("in {}", self.0);
        }
    }
}

fn permute(events: &mut Vec<Event>, from: usize, orders: &mut Vec<Vec<Event>>) {
    if from == events.len() {
        return orders.push(events.clone());
    }
    for at in from..events.len() {
        events.swap(from, at);
        permute(events, from + 1, orders);
        events.swap(from, at);
    }
}

#[test]
fn a_keyed_write_a_reset_a_drain_a_departure_and_its_window() {
    assert_eq!(explore(&[Event::Ask(1), Event::Reset, Event::Drain, Event::Fin, Event::Wait]), 122_880);
}

#[test]
fn a_write_that_must_never_run_twice() {
    assert_eq!(explore(&[Event::Ask(2), Event::Reset, Event::Drain, Event::Wait]), 6_144);
    assert_eq!(explore(&[Event::Ask(2), Event::Serve, Event::Fin, Event::Finish]), 6_144);
}

#[test]
fn two_requests_an_answer_a_departure_and_a_signal() {
    assert_eq!(explore(&[Event::Ask(0), Event::Ask(1), Event::Serve, Event::Fin, Event::Finish]), 122_880);
}

#[test]
fn two_requests_an_answer_a_reset_and_a_list() {
    assert_eq!(explore(&[Event::Ask(0), Event::Ask(1), Event::Serve, Event::Reset, Event::Drain]), 122_880);
}
