//! The state of one client's connection, without I/O: bytes, answers, departures and time come in; requests, bytes to
//! write and the way to its end come out.
//!
//! Owns what the connection owes and how it ends. Never reads, writes, waits, or decides about a request.
//!
//! There is one way to an end, whatever its cause: nothing more is taken, what is owed is written, sending is shut, and
//! what the client still sends is discarded up to its own end. Nothing that is read after the shutdown is ever taken.

mod incoming;
mod limits;
mod schedule;
mod steps;

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Instant;

use beaconshore::interface::RequestId;

use super::message::{Answer, CancelFlag};
use crate::budget::Share;
use crate::pg::{self, sqlstate, Severity};

use limits::LEAVING_IDLE_WAIT;
pub use limits::{DEPARTURE_CHECK, LINGER, LINGER_BYTES, MAX_OPEN, MESSAGE_WAIT, SPARED, WRITE_WAIT};
pub use steps::{Fault, Left, Look, Phase, Reading, Room, Todo, Wait};

/// How a connection ends.
#[derive(Clone, Debug, PartialEq, Eq)]
enum End {
    /// Between requests, or as its client said.
    Quiet,
    /// With an error: its code and text.
    Fatal(&'static str, String),
}

/// How far a connection is.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Stage {
    /// Its startup message has not come.
    Opening,
    /// It takes requests.
    Serving,
    /// Nothing more is taken; what is owed is written.
    Ending(End),
    /// Sending is shut; what comes is discarded.
    Draining,
    /// Nothing is left to do.
    Over,
}

/// An idle connection is about to end: what has come meanwhile is still taken, else it ends in this way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Parting {
    /// Without a word.
    Quiet,
    /// Told why: its first request may be on the way.
    Told(Fault, &'static str, &'static str),
}

/// What a connection was good for so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Use {
    /// No request has come yet.
    New,
    /// One has.
    Used,
}

/// An answer that is owed.
enum Due {
    /// To a request that is open.
    Open { id: RequestId, name: Rc<[u8]>, cancel_flag: CancelFlag, _large: Option<Share> },
    /// Ready to be written.
    Ready { bytes: Vec<u8>, _large: Option<Share> },
}

/// An answer that is being written.
struct Output {
    bytes: Vec<u8>,
    written: usize,
    /// Its client asked for it, after the startup.
    is_answer: bool,
    _large: Option<Share>,
}

/// The state of a client's connection.
pub struct Connection {
    stage: Stage,
    parting: Option<Parting>,
    used: Use,
    /// When the connection began or, once it was of use, its message at hand, its rest, or its draining.
    since: Instant,
    /// When its client took some of the output last.
    moved: Instant,
    /// Messages in a row that were no requests.
    useless: u32,
    /// After an error in the extended protocol, all is passed over up to the next Sync.
    skipping: bool,
    /// What is owed, in the order of the messages that asked for it.
    queue: VecDeque<Due>,
    output: Option<Output>,
    /// Bytes that were thrown away.
    discarded: usize,
    /// Whether any answer was written whole.
    answered: bool,
    /// Whether requests were cancelled: their answers may still come.
    cancelled: bool,
    fault: Option<Fault>,
    /// What its client may cancel its requests by.
    key: u64,
}

impl Connection {
    /// A connection that has just come up.
    pub fn new(key: u64, now: Instant) -> Self {
        Connection {
            stage: Stage::Opening,
            parting: None,
            used: Use::New,
            since: now,
            moved: now,
            useless: 0,
            skipping: false,
            queue: VecDeque::new(),
            output: None,
            discarded: 0,
            answered: false,
            cancelled: false,
            fault: None,
            key,
        }
    }

    /// Notes the answer of an open request, which is written once all before it are; its name, or none if it is not
    /// open here.
    pub fn answered(&mut self, of: RequestId, answer: Answer) -> Option<Rc<[u8]>> {
        let due = self.queue.iter_mut().find(|due| matches!(due, Due::Open { id, .. } if *id == of))?;
        let (mut bytes, mut large) = (Vec::new(), None);
        match answer {
            Answer::Served(served) => (bytes, large) = (served.messages, served.large),
            Answer::Refused(pause) => {
                let detail = (pause > 0).then(|| pause.div_ceil(1000).to_string());
                let (code, text) = (sqlstate::TOO_MANY_CONNECTIONS, "refused; trying again is harmless");
                pg::put_error(&mut bytes, Severity::Error, code, text, detail.as_deref());
            }
            Answer::Failed => {
                let (code, text) = (sqlstate::COMPLETION_UNKNOWN, "failed; the statement may have run");
                pg::put_error(&mut bytes, Severity::Error, code, text, None);
            }
        }
        pg::put_ready(&mut bytes);
        match std::mem::replace(due, Due::Ready { bytes, _large: large }) {
            Due::Open { name, .. } => Some(name),
            Due::Ready { .. } => None,
        }
    }

    /// It is asked to make room for others; `begun`: part of a message is at hand.
    pub fn make_room(&mut self, phase: Phase, begun: bool, now: Instant) -> Room {
        match self.stage {
            Stage::Draining => self.stage = Stage::Over,
            Stage::Opening | Stage::Serving if !self.owes() && phase == Phase::Closing => {
                self.expire(phase, begun);
            }
            Stage::Opening | Stage::Serving if !self.owes() => {
                if phase == Phase::Leaving && now < self.since + LEAVING_IDLE_WAIT {
                    return Room::InUse;
                }
                let at_work = begun || self.used == Use::New;
                let text = "no room for a connection without a request";
                let told = Parting::Told(Fault::Room, sqlstate::TOO_MANY_CONNECTIONS, text);
                self.parting = Some(if at_work { told } else { Parting::Quiet });
            }
            _ => return Room::InUse,
        }
        Room::Made
    }

    /// The bytes to write now; none: nothing is ready.
    pub fn output(&mut self, now: Instant) -> Option<&[u8]> {
        if self.output.is_none() {
            if let Some(Due::Ready { .. }) = self.queue.front() {
                if let Some(Due::Ready { bytes, _large }) = self.queue.pop_front() {
                    self.write(bytes, true, _large, now);
                }
            } else if let (true, Stage::Ending(End::Fatal(code, text))) = (self.queue.is_empty(), &self.stage)
            {
                let mut bytes = Vec::new();
                pg::put_error(&mut bytes, Severity::Fatal, code, text, None);
                self.stage = Stage::Ending(End::Quiet);
                self.write(bytes, true, None, now);
            }
        }
        self.output.as_ref().map(|output| &output.bytes[output.written..])
    }

    /// So many of these were written.
    pub fn wrote(&mut self, count: usize, now: Instant) {
        let Some(output) = &mut self.output else { return };
        output.written += count;
        self.moved = now;
        if output.written >= output.bytes.len() {
            if output.is_answer {
                (self.answered, self.since) = (true, now);
            }
            self.output = None;
        }
    }

    /// The sending side is shut.
    pub fn shut(&mut self, now: Instant) {
        (self.stage, self.since) = (Stage::Draining, now);
    }

    /// The last look found nothing.
    pub fn nothing_came(&mut self) {
        match self.parting.take() {
            None => {}
            Some(Parting::Quiet) => self.stage = Stage::Ending(End::Quiet),
            Some(Parting::Told(fault, code, text)) => self.end(fault, code, text.into()),
        }
    }

    /// Whether it ends before anything was answered on it.
    pub fn is_unanswered(&self) -> bool {
        !self.answered
    }

    /// How many answers are owed.
    pub fn owed(&self) -> usize {
        self.queue.len()
    }

    /// Whether requests of it were cancelled: answers to these are for nobody.
    pub fn has_cancelled(&self) -> bool {
        self.cancelled
    }

    /// Why it ended with an error, if so.
    pub fn fault(&self) -> Option<Fault> {
        self.fault
    }

    /// Whole length of the message at hand; 0 as long as it is not known.
    pub fn length(&self, bytes: &[u8]) -> usize {
        match self.stage {
            Stage::Opening => pg::opening_length(bytes),
            _ => pg::length(bytes),
        }
    }

    fn owes(&self) -> bool {
        let tells = matches!(self.stage, Stage::Ending(End::Fatal(..)));
        !self.queue.is_empty() || self.output.is_some() || tells
    }

    fn owe(&mut self, bytes: Vec<u8>) {
        self.queue.push_back(Due::Ready { bytes, _large: None });
    }

    fn write(&mut self, bytes: Vec<u8>, is_answer: bool, _large: Option<Share>, now: Instant) {
        (self.output, self.moved) = (Some(Output { bytes, written: 0, is_answer, _large }), now);
    }

    fn end(&mut self, fault: Fault, code: &'static str, text: String) {
        self.fault = Some(fault);
        self.stage = Stage::Ending(End::Fatal(code, text));
    }
}
