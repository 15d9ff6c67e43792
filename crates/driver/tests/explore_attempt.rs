//! An attempt before its last byte, stepped through every order of what may happen beside it: a list, a departure, a full
//! socket, time, a module that says no.

use beaconshore::interface::{Micros, Outcome};
use beaconshore_driver::buffer::Buffer;
use beaconshore_driver::member::reply::{Reply, ReplyEnd};
use beaconshore_driver::member::send_state::{SendConditions, SendState, SendStep};
use beaconshore_rig::wire::{put, put_error, put_row};
use futures_lite::future::block_on;

const ENDS: Micros = 1_000_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Event {
    /// A list comes in force, by which the module says no from now on.
    Drain,
    /// A list comes that changes nothing here.
    List,
    /// The client goes.
    Leave,
    /// Time passes: a moment, or more than a decision stands.
    Time(Micros),
    /// The socket has no room.
    Block,
    /// The attempt does what it is told to.
    Step,
}

const EVENTS: [Event; 7] = [
    Event::Drain,
    Event::List,
    Event::Leave,
    Event::Time(100),
    Event::Time(400_000),
    Event::Block,
    Event::Step,
];

/// Plays a series of events; how many bytes of three were written.
fn play(connected: bool, events: &[Event]) -> u32 {
    let mut attempt = SendState::new(0, 0, ENDS, connected);
    let (mut present, mut drained, mut bytes) =
        (SendConditions { now: 0, list_version: 0, is_cancelled: false }, false, 0);
    for event in events.iter().copied().chain([Event::Step; 8]) {
        match event {
            Event::Drain => (present.list_version, drained) = (present.list_version + 1, true),
            Event::List => present.list_version += 1,
            Event::Leave => present.is_cancelled = true,
            Event::Time(passed) => present.now += passed,
            Event::Block => attempt.on_blocked(),
            Event::Step => match attempt.next_step(present) {
                SendStep::Connect => attempt.on_connected(),
                SendStep::Confirm => {
                    let allowed = !drained && !present.is_cancelled;
                    attempt.on_confirmation(allowed, present.now, present.list_version);
                }
                SendStep::Write if bytes < 3 => {
                    assert!(!drained, "{events:?}: no byte to a member that is known to drain");
                    assert!(!present.is_cancelled, "{events:?}: no byte for a client that has gone");
                    assert!(present.now < ENDS, "{events:?}: no byte after its time");
                    bytes += 1;
                }
                SendStep::Write | SendStep::GiveUp => {}
            },
        }
    }
    bytes
}

#[test]
fn no_byte_goes_out_on_a_decision_that_something_has_changed() {
    let (mut orders, mut whole) = (0, 0);
    for connected in [false, true] {
        for number in 0..EVENTS.len().pow(6) {
            let place = |place| EVENTS[number / EVENTS.len().pow(place) % EVENTS.len()];
            let events: Vec<Event> = (0..6).map(place).collect();
            let bytes = play(connected, &events);
            let harmless =
                |e: &Event| matches!(e, Event::List | Event::Time(100) | Event::Block | Event::Step);
            assert!(bytes == 3 || !events.iter().all(harmless), "{events:?}: what may go out does");
            (orders, whole) = (orders + 1, whole + u32::from(bytes == 3));
        }
    }
    assert_eq!(orders, 2 * 117_649);
    assert!(whole > 0 && whole < orders);
}

/// Feeds an answer cut at a byte; then the connection ends, falls silent, or the attempt's time is over.
fn outcome_of(answer: &[u8], cut: usize, then: usize) -> (Outcome, Vec<u8>) {
    let (mut buffer, mut reply) = (Buffer::default(), Reply::awaited());
    let mut rest = &answer[..cut];
    let mut ended = None;
    while ended.is_none() && !rest.is_empty() {
        block_on(buffer.fill(answer.len(), &mut rest)).unwrap();
        ended = reply.read_messages(&mut buffer);
    }
    match (ended, then) {
        (Some(_), _) => {}
        (None, 0) => {}
        (None, 1) if reply.read_timeout(!buffer.filled().is_empty()).is_some() => drop(reply.abort()),
        (None, _) => reply.time_out(),
    }
    (reply.outcome, reply.answer.messages)
}

/// Wherever an answer is cut: nothing but a whole value is served, and "never ran" is said only by a member that said so.
#[test]
fn an_answer_that_is_cut_anywhere_is_never_taken_for_a_whole_one_or_for_none_at_all() {
    let mut good = Vec::new();
    put_row(&mut good, b"a value");
    let value_ends = good.len();
    put(&mut good, b'Z', b"I");
    let mut refusal = Vec::new();
    put_error(&mut refusal, "ERROR", "53300");
    let told = refusal.len();
    put(&mut refusal, b'Z', b"I");
    for then in 0..3 {
        for cut in 0..=good.len() {
            let (outcome, messages) = outcome_of(&good, cut, then);
            assert!(!outcome.never_ran(), "cut at {cut}: {outcome:?}");
            assert_eq!(outcome == Outcome::Served, cut >= value_ends, "cut at {cut}: {outcome:?}");
            assert!(outcome != Outcome::Served || messages == good[..value_ends]);
        }
        for cut in 0..=refusal.len() {
            let (outcome, _) = outcome_of(&refusal, cut, then);
            assert_eq!(outcome == Outcome::Rejected, cut >= told, "cut at {cut}: {outcome:?}");
            assert!(cut >= told || !outcome.never_ran(), "cut at {cut}: {outcome:?}");
        }
    }
}

/// Bytes behind a whole answer leave a connection that is not used again.
#[test]
fn what_follows_an_answer_spoils_its_connection_only() {
    let mut answer = Vec::new();
    put_row(&mut answer, b"a value");
    put(&mut answer, b'Z', b"I");
    let whole = answer.len();
    answer.extend(b"E\0\0");
    let (mut buffer, mut reply) = (Buffer::default(), Reply::awaited());
    block_on(buffer.fill(answer.len(), &mut &answer[..])).unwrap();
    assert_eq!(reply.read_messages(&mut buffer), Some(ReplyEnd::Ready));
    assert_eq!((reply.outcome, buffer.filled().len()), (Outcome::Served, answer.len() - whole));
}

/// A reader that has nothing at first, then a part, then nothing again.
struct Halting<'b> {
    parts: Vec<Option<&'b [u8]>>,
}

impl futures_lite::AsyncRead for Halting<'_> {
    fn poll_read(
        mut self: std::pin::Pin<&mut Self>,
        _: &mut std::task::Context,
        into: &mut [u8],
    ) -> std::task::Poll<std::io::Result<usize>> {
        match self.parts.pop() {
            Some(Some(part)) => {
                into[..part.len()].copy_from_slice(part);
                std::task::Poll::Ready(Ok(part.len()))
            }
            _ => std::task::Poll::Pending,
        }
    }
}

/// What waits beside a read may win at any time: the read is dropped then, and has taken nothing with it.
#[test]
fn a_read_that_is_dropped_while_it_waits_loses_no_byte() {
    let mut answer = Vec::new();
    put_row(&mut answer, b"a value");
    put(&mut answer, b'Z', b"I");
    for cut in 1..answer.len() {
        let (first, second) = answer.split_at(cut);
        let mut reader = Halting { parts: vec![Some(second), None, None, Some(first), None] };
        let (mut buffer, mut reply) = (Buffer::default(), Reply::awaited());
        let mut dropped = 0;
        while reply.read_messages(&mut buffer).is_none() {
            let length = beaconshore_driver::pg::message_length(buffer.filled());
            match block_on(futures_lite::future::poll_once(buffer.fill(length, &mut reader))) {
                Some(count) => assert!(count.unwrap() > 0),
                None => dropped += 1,
            }
        }
        assert_eq!((reply.outcome, dropped), (Outcome::Served, 3), "cut at {cut}");
    }
}
