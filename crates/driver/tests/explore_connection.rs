//! A client's connection, stepped through every order of what may happen to it: bytes, answers, its client's departure, the
//! driver's end, a wish for room, time. No sockets and no sleeping: its state is fed by hand.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use beaconshore::interface::RequestId;
use beaconshore_driver::client::connection::{
    ConnectionState, Input, NextStep, Phase, ReadMode, SkipReply, DISCONNECT_CHECK_INTERVAL, LINGER_TIMEOUT,
    MAX_LINGER_BYTES, MAX_OPEN_REQUESTS, OUTPUT_STALL_TIMEOUT,
};
use beaconshore_driver::client::{Answer, CancelFlag, MemberAnswer};
use beaconshore_driver::pg;
use beaconshore_rig::wire::{put, query, startup};

/// Bytes of a message's type and length.
const HEADER: usize = 5;

/// What may happen, each once and those of one source in their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// The next piece of what the client sends arrives at this machine.
    Bytes,
    /// The client ends its side.
    Fin,
    /// The decision module answers the oldest open request that it still knows.
    Answer,
    /// The connection is asked to make room.
    Room,
    /// The memory for the message in the buffer is taken back.
    Skip,
    /// The driver is asked to end; then all is closed.
    Leave,
    Close,
    /// The socket takes nothing for now, and takes on again.
    Block,
    Flow,
    /// What was waited for does not come in time.
    Time,
}

/// What the client saw, and what was done for it.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Seen {
    taken: usize,
    answered: usize,
    /// Skipped messages that came whole.
    skipped: usize,
    left: usize,
    /// Bytes that reached the client, and whether the sending side was shut.
    written: Vec<u8>,
    shut: bool,
    closed: bool,
    /// Its client's departure was noticed.
    departed: bool,
}

/// An actor that only carries bytes, as the real one does.
struct Rig {
    connection: ConnectionState,
    now: Instant,
    phase: Phase,
    /// Arrived at this machine and not read; read and not looked at.
    arrived: Vec<u8>,
    buffer: Vec<u8>,
    fin: bool,
    blocked: bool,
    /// Open requests: of the connection, and of the decision module.
    open: Vec<RequestId>,
    cancel_flag: Vec<(RequestId, CancelFlag)>,
    next_id: u64,
    seen: Seen,
    wait_until: Option<Instant>,
}

impl Rig {
    fn new() -> Rig {
        let now = Instant::now();
        Rig {
            connection: ConnectionState::new(7, now),
            now,
            phase: Phase::Serving,
            arrived: Vec::new(),
            buffer: Vec::new(),
            fin: false,
            blocked: false,
            open: Vec::new(),
            cancel_flag: Vec::new(),
            next_id: 0,
            seen: Seen::default(),
            wait_until: None,
        }
    }

    fn leave(&mut self, left: Vec<beaconshore_driver::client::connection::AbandonedRequest>) {
        for left in left {
            self.seen.left += 1;
            self.open.retain(|id| *id != left.id);
            let cancel_flag = self.cancel_flag.iter().find(|(id, _)| *id == left.id).unwrap();
            assert!(cancel_flag.1.is_cancelled(), "whoever works on it sees at once that it is left");
        }
    }

    /// Whether part of a message has been read.
    fn begun(&self) -> bool {
        !self.buffer.is_empty() || self.connection.is_skipping()
    }

    /// The client has gone, as far as this side can tell.
    fn gone(&mut self) {
        let left = self.connection.disconnected();
        self.leave(left);
        self.seen.departed = true;
    }

    fn read(&mut self, discards: bool) {
        let was_empty = !self.begun();
        let count = self.arrived.len();
        self.buffer.append(&mut self.arrived);
        if discards {
            self.buffer.clear();
        }
        self.connection.on_read(count, was_empty, self.now);
    }

    /// Goes on until there is nothing to do but to wait.
    fn run(&mut self) {
        for _ in 0..10_000 {
            if self.seen.closed {
                return;
            }
            self.look();
            let wrote = self.flush();
            if wrote && self.begun() {
                continue;
            }
            match self.connection.next_step(self.phase, self.begun(), self.now) {
                NextStep::Close => return self.close(),
                NextStep::Write => {}
                NextStep::ShutdownWrite => {
                    assert!(!self.seen.shut, "sending is shut once");
                    assert!(self.open.is_empty(), "sending is shut while an answer is owed");
                    self.seen.shut = true;
                    self.connection.on_write_shutdown(self.now);
                }
                NextStep::CheckInput if self.arrived.is_empty() && self.fin => self.gone(),
                NextStep::CheckInput if self.arrived.is_empty() => self.connection.on_no_input(),
                NextStep::CheckInput => self.read(false),
                NextStep::Wait(wait) => {
                    let reads = wait.read_mode != ReadMode::Paused;
                    match (reads, self.arrived.is_empty(), self.fin) {
                        (true, false, _) => self.read(wait.read_mode == ReadMode::Discard),
                        (true, true, true) => self.gone(),
                        // Where the input stays unread, the end behind it is looked for.
                        (false, _, true) if wait.watches_disconnect => self.gone(),
                        _ => {
                            self.wait_until = wait.deadline;
                            assert!(
                                wait.deadline.is_some() || wait.watches_disconnect || reads,
                                "it waits for something"
                            );
                            return;
                        }
                    }
                }
            }
        }
        let next = self.connection.next_step(self.phase, self.begun(), self.now);
        panic!("it never comes to rest: {next:?}, {:?}", self.seen);
    }

    fn look(&mut self) {
        loop {
            let was_skipping = self.connection.is_skipping();
            let input = self.connection.next_input(&self.buffer, self.now);
            self.seen.skipped += usize::from(was_skipping && !self.connection.is_skipping());
            match input {
                Input::NotReady => return,
                Input::Consume(length) => drop(self.buffer.drain(..length)),
                Input::Startup(startup) => {
                    let length = startup.len();
                    self.buffer.drain(..length);
                }
                Input::Cancel(_, length) => drop(self.buffer.drain(..length)),
                Input::Request(_, length) => {
                    assert!(!self.seen.shut, "nothing is taken after the shutdown");
                    assert!(!self.seen.departed, "nothing is taken from a client that has gone");
                    self.buffer.drain(..length);
                    self.next_id += 1;
                    let (id, cancel_flag) = (RequestId(self.next_id), CancelFlag::default());
                    self.open.push(id);
                    self.cancel_flag.push((id, cancel_flag.clone()));
                    self.seen.taken += 1;
                    self.connection.request_accepted(id, Rc::from(&b"x"[..]), cancel_flag, None, self.now);
                }
            }
        }
    }

    fn flush(&mut self) -> bool {
        let mut wrote = false;
        while let Some(bytes) = self.connection.pending_output(self.now) {
            if self.blocked {
                break;
            }
            assert!(!self.seen.shut, "nothing is written after the shutdown");
            // A part at a time: the state keeps track of what is left.
            let count = bytes.len().min(5);
            self.seen.written.extend_from_slice(&bytes[..count]);
            self.connection.on_written(count, self.now);
            wrote = true;
        }
        wrote
    }

    fn close(&mut self) {
        let left = self.connection.disconnected();
        self.leave(left);
        self.seen.closed = true;
    }

    /// Whether the event makes any difference now; it has then happened.
    fn happen(&mut self, event: Event, pieces: &mut Vec<Vec<u8>>) {
        match event {
            Event::Bytes => self.arrived.extend(pieces.remove(0)),
            Event::Fin => self.fin = true,
            Event::Answer => {
                let Some(id) = (!self.open.is_empty()).then(|| self.open.remove(0)) else { return };
                let mut messages = Vec::new();
                beaconshore_rig::wire::put_row(&mut messages, b"value");
                let served = MemberAnswer { messages, large_permit: None };
                assert!(self.connection.queue_answer(id, Answer::Served(served)).is_some());
                self.seen.answered += 1;
            }
            Event::Room => drop(self.connection.evict(self.phase, self.begun(), self.now)),
            Event::Skip => {
                // Only a message whose header has come is skipped, and none twice.
                if self.buffer.len() >= HEADER && !self.connection.is_skipping() {
                    let (reply, now) = (SkipReply::Refused(0), self.now);
                    let count = self.connection.skip_message(&self.buffer, reply, now);
                    self.buffer.drain(..count);
                }
            }
            Event::Leave => self.phase = Phase::ShuttingDown,
            Event::Close => {
                self.phase = Phase::Closing;
                // The module fails what is open.
                for id in std::mem::take(&mut self.open) {
                    assert!(self.connection.queue_answer(id, Answer::Failed).is_some());
                    self.seen.answered += 1;
                }
            }
            Event::Block => self.blocked = true,
            Event::Flow => self.blocked = false,
            Event::Time => {
                if let Some(until) = self.wait_until.filter(|_| !self.seen.closed) {
                    self.now = self.now.max(until);
                }
            }
        }
        if !self.seen.closed {
            self.run();
        }
    }
}

/// Messages of the kind that answers a request: ReadyForQuery behind a value or an error.
fn whole_answers(bytes: &[u8]) -> usize {
    let (mut rest, mut answers, mut value) = (bytes, 0, false);
    while let Ok(Some((message, length))) = pg::parse_backend(rest) {
        match message {
            pg::BackendMessage::CommandComplete | pg::BackendMessage::Error(..) => value = true,
            pg::BackendMessage::Ready if std::mem::take(&mut value) => answers += 1,
            _ => {}
        }
        rest = &rest[length..];
    }
    answers
}

/// Steps through every order of these events, and holds what must hold at each end; how many orders there were.
fn explore(pieces: &[Vec<u8>], events: &[Event]) -> usize {
    let mut orders = BTreeSet::new();
    let mut order = Vec::new();
    permute(events, &mut vec![false; events.len()], &mut order, &mut orders);
    for order in &orders {
        let (mut rig, mut pieces) = (Rig::new(), pieces.to_vec());
        rig.run();
        order.iter().for_each(|event| rig.happen(*event, &mut pieces));
        // Then the driver ends whatever is left: all comes to its end by itself, in bounded time.
        rig.happen(Event::Flow, &mut pieces);
        rig.happen(Event::Close, &mut pieces);
        let start = rig.now;
        for _ in 0..8 {
            rig.happen(Event::Time, &mut pieces);
        }
        let seen = &rig.seen;
        assert!(seen.closed, "{order:?}: it ends");
        assert!(rig.now - start <= LINGER_TIMEOUT + OUTPUT_STALL_TIMEOUT, "{order:?}");
        assert_eq!(seen.taken, seen.answered + seen.left, "{order:?}: one end for each request: {seen:?}");
        // Nothing is left open but by its client's departure.
        assert!(seen.left == 0 || seen.departed, "{order:?}: {seen:?}");
        if !seen.departed {
            let owed = seen.answered + seen.skipped;
            assert_eq!(whole_answers(&seen.written), owed, "{order:?}: all answers are whole");
            assert!(seen.shut, "{order:?}: it is shut before it is closed");
        }
    }
    orders.len()
}

fn permute(
    events: &[Event],
    used: &mut Vec<bool>,
    order: &mut Vec<Event>,
    orders: &mut BTreeSet<Vec<Event>>,
) {
    if order.len() == events.len() {
        orders.insert(order.clone());
        return;
    }
    for i in 0..events.len() {
        // Alike ones are taken in their order; Leave comes before Close, Block before Flow.
        let earlier = (0..i).any(|j| !used[j] && (events[j] == events[i]));
        let pair = |first, second| events[i] == second && events.contains(&first) && !order.contains(&first);
        if used[i] || earlier || pair(Event::Leave, Event::Close) || pair(Event::Block, Event::Flow) {
            continue;
        }
        used[i] = true;
        order.push(events[i]);
        permute(events, used, order, orders);
        order.pop();
        used[i] = false;
    }
}

fn read(id: u32) -> Vec<u8> {
    query(&format!("/* id={id:016x},c=view,d=500,cluster=0 */ SELECT payload FROM entries WHERE ref = 'a'"))
}

#[test]
fn two_requests_a_departure_and_the_drivers_end_in_every_order() {
    use Event::*;
    let half = read(2).len() / 2;
    let pieces =
        [[startup(), read(1)].concat(), read(2)[..half].to_vec(), read(2)[half..].to_vec()].map(Vec::from);
    let orders = explore(&pieces, &[Bytes, Bytes, Bytes, Answer, Answer, Fin, Leave, Close]);
    assert_eq!(orders, 1_680);
}

#[test]
fn two_requests_a_wish_for_room_and_a_client_that_stops_reading_in_every_order() {
    use Event::*;
    let pieces = [[startup(), read(1)].concat(), read(2)];
    let orders = explore(&pieces, &[Bytes, Bytes, Answer, Answer, Room, Block, Flow, Close]);
    assert_eq!(orders, 5_040);
}

#[test]
fn a_request_half_of_it_and_time_in_every_order() {
    use Event::*;
    let half = read(1).len() / 2;
    let pieces = [startup(), read(1)[..half].to_vec(), read(1)[half..].to_vec()];
    let orders = explore(&pieces, &[Bytes, Bytes, Bytes, Answer, Time, Room, Close]);
    assert_eq!(orders, 840);
}

/// Guards against: a message whose memory was taken back is answered twice, out of order, before it is whole, or not at all.
#[test]
fn a_message_that_is_skipped_behind_an_open_request_in_every_order() {
    use Event::*;
    let half = read(2).len() / 2;
    let rest = [&read(2)[half..], &read(3)[..]].concat();
    let pieces = [[startup(), read(1)].concat(), read(2)[..half].to_vec(), rest];
    let orders = explore(&pieces, &[Bytes, Bytes, Bytes, Skip, Answer, Answer, Fin, Leave]);
    assert_eq!(orders, 3_360);
    explore(&pieces, &[Bytes, Bytes, Bytes, Skip, Answer, Time, Room, Close]);
}

#[test]
fn a_goodbye_behind_an_open_request_in_every_order() {
    use Event::*;
    let mut goodbye = read(2);
    put(&mut goodbye, b'X', b"");
    goodbye.extend(read(3));
    let pieces = [[startup(), read(1)].concat(), goodbye];
    let orders = explore(&pieces, &[Bytes, Bytes, Answer, Answer, Fin, Time, Close]);
    assert_eq!(orders, 1_260);
}

#[test]
fn a_stream_that_can_not_be_read_behind_an_open_request_in_every_order() {
    use Event::*;
    let pieces = [[startup(), read(1)].concat(), b"?????".to_vec(), read(2)];
    let orders = explore(&pieces, &[Bytes, Bytes, Bytes, Answer, Fin, Block, Flow, Close]);
    assert_eq!(orders, 3_360);
}

/// What is read after the shutdown is thrown away, and so much of it ends the connection.
#[test]
fn after_the_shutdown_all_is_discarded_within_a_bound() {
    let mut rig = Rig::new();
    let mut pieces = vec![[startup(), b"?????".to_vec()].concat(), vec![b'x'; MAX_LINGER_BYTES - 1], read(1)];
    rig.happen(Event::Bytes, &mut pieces);
    assert!(rig.seen.shut && !rig.seen.closed);
    rig.happen(Event::Bytes, &mut pieces);
    assert!(!rig.seen.closed);
    rig.happen(Event::Bytes, &mut pieces);
    assert!(rig.seen.closed && rig.seen.taken == 0);
}

/// With as many open requests as a connection may have nothing more is read: its client's end is looked for behind that.
#[test]
fn a_departure_behind_unread_requests_is_seen() {
    let mut rig = Rig::new();
    let all = (0..MAX_OPEN_REQUESTS as u32 + 5).flat_map(read).collect::<Vec<u8>>();
    let mut pieces = vec![[startup(), all].concat()];
    rig.happen(Event::Bytes, &mut pieces);
    assert_eq!(rig.seen.taken, MAX_OPEN_REQUESTS);
    let NextStep::Wait(wait) = rig.connection.next_step(rig.phase, true, rig.now) else { panic!("it waits") };
    assert!(wait.watches_disconnect && wait.read_mode == ReadMode::Ahead);
    assert!(DISCONNECT_CHECK_INTERVAL <= Duration::from_millis(50), "well within a tenth of a second");
    rig.gone();
    assert_eq!((rig.seen.left, rig.open.len()), (MAX_OPEN_REQUESTS, 0));
}

/// A client that cancels has each open request answered with that, and left.
#[test]
fn a_cancelled_request_is_answered_once() {
    let mut rig = Rig::new();
    let mut pieces = vec![[startup(), read(1), read(2)].concat()];
    rig.happen(Event::Bytes, &mut pieces);
    let first = rig.open.remove(0);
    assert!(rig.connection.queue_answer(first, Answer::Failed).is_some());
    let left = rig.connection.cancel_requests();
    assert_eq!(left.len(), 1);
    let second = left[0].id;
    rig.leave(left);
    rig.run();
    assert_eq!(whole_answers(&rig.seen.written), 2);
    assert!(
        rig.connection.queue_answer(second, Answer::Failed).is_none(),
        "its answer crossed the cancellation"
    );
    assert!(rig.connection.has_cancelled_requests());
}
