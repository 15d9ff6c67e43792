//! The state of one client's connection, without I/O: bytes, answers, departures and time come in; requests, bytes to
//! write and the way to its end come out.
//!
//! Owns what the connection owes and how it ends. Never reads, writes, waits, or decides about a request.
//!
//! There is one way to an end, whatever its cause: nothing more is taken, what is owed is written, sending is shut, and
//! what the client still sends is discarded up to its own end. Nothing that is read after the shutdown is ever taken.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};

use beaconshore::interface::RequestId;

use super::message::{Answer, Wanted};
use crate::budget::Share;
use crate::descriptors::Rank;
use crate::pg::{self, sqlstate, BadRequest, Frontend, Opening, Severity};

/// A client that takes nothing of its answer for so long is gone.
pub const WRITE_WAIT: Duration = Duration::from_secs(5);
/// A new connection's first request is whole within this, as is any message once it has begun.
pub const MESSAGE_WAIT: Duration = Duration::from_secs(2);
/// A connection without a request for so long ends.
const IDLE_WAIT: Duration = Duration::from_secs(20);
/// The same once the driver is asked to end: who asks again sooner keeps being served.
const LEAVING_IDLE_WAIT: Duration = Duration::from_secs(1);
/// What has just begun, a connection or a message, is not asked to make room for so long.
pub const SPARED: Duration = Duration::from_millis(100);
/// Messages in a row that are no requests end a connection.
const MAX_USELESS: u32 = 16;
/// Requests of one connection that may be open at once; further ones wait to be read.
pub const MAX_OPEN: usize = 64;
/// After its own shutdown a connection takes in so much for so long, until its client ends it: closing over unread
/// input resets the connection, which may destroy what the client was told.
pub const LINGER: Duration = Duration::from_millis(500);
/// The bytes of that.
pub const LINGER_BYTES: usize = 256 * 1024;
/// Where its input is not read, a client's departure is looked for this often.
pub const DEPARTURE_CHECK: Duration = Duration::from_millis(25);

/// How long connections stay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// As long as they are of use.
    Serving,
    /// The driver was asked to end: as long as they are in use.
    Leaving,
    /// Until they have no open request.
    Closing,
}

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

/// Why a connection ended with an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Its stream could not be followed.
    Stream,
    /// There was no room for it.
    Room,
    /// The driver ended.
    Ending,
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
    Open { id: RequestId, name: Rc<[u8]>, wanted: Wanted, _large: Option<Share> },
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

/// What a look at the bytes at hand found.
#[derive(Debug, PartialEq, Eq)]
pub enum Look<'b> {
    /// Nothing more can be taken: no message is whole, or none may be looked at now.
    Nothing,
    /// So many bytes are done with.
    Passed(usize),
    /// The startup message, of this length: who its client says to be.
    Login(&'b [u8]),
    /// A wish to give up what is under way on the connection of this key.
    Cancel(u64, usize),
    /// A statement, and the length of its message. `took` or `declined` tells what became of it.
    Request(&'b [u8], usize),
}

/// What is to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reading {
    /// Messages.
    Messages,
    /// Messages that can't be looked at yet: only as many as take usual room.
    Ahead,
    /// Whatever comes, to be thrown away.
    Discard,
    /// Nothing for now.
    Nothing,
}

/// What a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Wait {
    /// What is read meanwhile.
    pub reading: Reading,
    /// Something can be written.
    pub writing: bool,
    /// When to look again, whatever comes.
    pub until: Option<Instant>,
    /// From when it may be asked to make room, and its rank among those.
    pub rest: Option<(Instant, Rank)>,
    /// Requests are open: a departure has to be seen though nothing is read.
    pub watches: bool,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Todo {
    /// Wait.
    Wait(Wait),
    /// Write what is ready, then ask again.
    Write,
    /// Look once, without waiting, whether anything has come; `read` or `nothing_came` tells.
    LastLook,
    /// Shut the sending side; `shut` tells that it is done.
    Shut,
    /// Close the socket: nothing is owed to anybody.
    Close,
}

/// What a wish to make room comes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Room {
    /// It goes.
    Made,
    /// It is in use: another one is to be asked.
    InUse,
}

/// A request that its client has left.
pub struct Left {
    /// Which.
    pub id: RequestId,
    /// What its client called it.
    pub name: Rc<[u8]>,
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

    // ---- What comes from the client ----

    /// Notes that bytes came; `was_empty`: none were at hand before.
    pub fn read(&mut self, count: usize, was_empty: bool, now: Instant) {
        self.parting = None;
        match self.stage {
            Stage::Ending(_) | Stage::Draining => self.discarded += count,
            _ if was_empty && self.used == Use::Used => self.since = now,
            _ => {}
        }
    }

    /// Looks at the first message at hand.
    pub fn look<'b>(&mut self, bytes: &'b [u8], now: Instant) -> Look<'b> {
        match self.stage {
            // What answers the opening is written before the next message is looked at.
            Stage::Opening if self.output.is_none() => self.look_at_opening(bytes, now),
            Stage::Serving if self.queue.len() < MAX_OPEN => self.look_at_message(bytes, now),
            // Nothing that comes after the end is decided is ever taken.
            Stage::Ending(_) | Stage::Draining if !bytes.is_empty() => Look::Passed(bytes.len()),
            _ => Look::Nothing,
        }
    }

    fn look_at_opening<'b>(&mut self, bytes: &'b [u8], now: Instant) -> Look<'b> {
        match pg::opening(bytes) {
            Ok(None) => Look::Nothing,
            Ok(Some((Opening::Startup, length))) => {
                self.stage = Stage::Serving;
                let mut out = Vec::new();
                pg::put_welcome(&mut out, self.key);
                self.write(out, false, None, now);
                Look::Login(&bytes[..length])
            }
            Ok(Some((Opening::Encryption, length))) => {
                match self.note_useless(None) {
                    true => self.write(vec![pg::NO_ENCRYPTION], false, None, now),
                    false => self.stage = Stage::Ending(End::Quiet),
                }
                Look::Passed(length)
            }
            // Its connection carries nothing else, and no answer.
            Ok(Some((Opening::Cancel(key), length))) => {
                self.stage = Stage::Ending(End::Quiet);
                Look::Cancel(key, length)
            }
            Err(broken) => {
                self.end(Fault::Stream, broken.sqlstate(), broken.to_string());
                Look::Passed(bytes.len())
            }
        }
    }

    fn look_at_message<'b>(&mut self, bytes: &'b [u8], now: Instant) -> Look<'b> {
        let (message, length) = match pg::frontend(bytes) {
            Ok(Some(parsed)) => parsed,
            Ok(None) => return Look::Nothing,
            Err(broken) => {
                self.end(Fault::Stream, broken.sqlstate(), broken.to_string());
                return Look::Passed(bytes.len());
            }
        };
        let mut out = Vec::new();
        match message {
            Frontend::Terminate => {
                self.stage = Stage::Ending(End::Quiet);
                return Look::Passed(length);
            }
            Frontend::Ignored => {}
            Frontend::Sync => {
                self.skipping = false;
                pg::put_ready(&mut out);
            }
            Frontend::Extended if self.skipping => {}
            Frontend::Extended => {
                self.skipping = true;
                let code = sqlstate::FEATURE_NOT_SUPPORTED;
                pg::put_error(&mut out, Severity::Error, code, "only simple queries are taken", None);
            }
            Frontend::Query(query) if query.trim_ascii().is_empty() => {
                pg::put_empty(&mut out);
                pg::put_ready(&mut out);
                self.owe(out);
                self.note_use(now);
                return Look::Passed(length);
            }
            Frontend::Query(query) => return Look::Request(query, length),
        }
        if !out.is_empty() {
            self.owe(out);
        }
        self.pass_useless(now);
        Look::Passed(length)
    }

    /// The request that was just looked at is taken.
    pub fn took(
        &mut self,
        id: RequestId,
        name: Rc<[u8]>,
        wanted: Wanted,
        large: Option<Share>,
        now: Instant,
    ) {
        self.queue.push_back(Due::Open { id, name, wanted, _large: large });
        self.note_use(now);
    }

    /// The request that was just looked at is none that can be taken.
    pub fn declined(&mut self, (code, text): BadRequest, now: Instant) {
        let mut out = Vec::new();
        pg::put_error(&mut out, Severity::Error, code, text, None);
        pg::put_ready(&mut out);
        self.owe(out);
        self.pass_useless(now);
    }

    /// The client has closed, or its connection broke: what is open is left by it, and nothing is owed any more.
    pub fn gone(&mut self) -> Vec<Left> {
        self.stage = Stage::Over;
        self.output = None;
        let open = self.queue.drain(..).filter_map(|due| match due {
            Due::Open { id, name, wanted, .. } => {
                wanted.withdraw();
                Some(Left { id, name })
            }
            Due::Ready { .. } => None,
        });
        open.collect()
    }

    /// The client cancelled what is under way: each open request is answered with that, and left.
    pub fn cancelled(&mut self) -> Vec<Left> {
        let mut left = Vec::new();
        self.cancelled = true;
        for due in &mut self.queue {
            if matches!(due, Due::Ready { .. }) {
                continue;
            }
            let mut bytes = Vec::new();
            let text = "cancelled as its client asked; the statement may have run";
            pg::put_error(&mut bytes, Severity::Error, sqlstate::QUERY_CANCELED, text, None);
            pg::put_ready(&mut bytes);
            if let Due::Open { id, name, wanted, .. } =
                std::mem::replace(due, Due::Ready { bytes, _large: None })
            {
                wanted.withdraw();
                left.push(Left { id, name });
            }
        }
        left
    }

    // ---- What comes from this side ----

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

    // ---- What is next ----

    /// What to do; `begun`: part of a message is at hand.
    pub fn next(&mut self, phase: Phase, begun: bool, now: Instant) -> Todo {
        let idle = matches!(self.stage, Stage::Opening | Stage::Serving) && !self.owes();
        if idle && self.parting.is_none() && now >= self.idle_deadline(phase, begun) {
            self.expire(phase, begun);
        }
        match &self.stage {
            Stage::Over => Todo::Close,
            Stage::Ending(End::Fatal(..)) if self.queue.is_empty() && self.output.is_none() => Todo::Write,
            _ if self.output.is_some() && now >= self.moved + WRITE_WAIT => Todo::Close,
            _ if self.parting.is_some() => Todo::LastLook,
            Stage::Ending(_) if !self.owes() => Todo::Shut,
            Stage::Draining if now >= self.since + LINGER || self.discarded >= LINGER_BYTES => Todo::Close,
            _ => Todo::Wait(self.wait(phase, begun, idle)),
        }
    }

    fn wait(&self, phase: Phase, begun: bool, idle: bool) -> Wait {
        let at_work = begun || self.used == Use::New;
        let reading = match &self.stage {
            Stage::Draining => Reading::Discard,
            Stage::Ending(_) if self.discarded < LINGER_BYTES => Reading::Discard,
            Stage::Opening if self.output.is_none() => Reading::Messages,
            Stage::Serving if self.queue.len() < MAX_OPEN => Reading::Messages,
            Stage::Opening | Stage::Serving => Reading::Ahead,
            _ => Reading::Nothing,
        };
        let until = match &self.stage {
            _ if self.output.is_some() => Some(self.moved + WRITE_WAIT),
            Stage::Draining => Some(self.since + LINGER),
            _ if idle => Some(self.idle_deadline(phase, begun)),
            _ => None,
        };
        let rest = match &self.stage {
            Stage::Draining => Some((self.since, Rank::Useless)),
            _ if idle && at_work => Some((self.since + SPARED, Rank::Useless)),
            _ if idle => Some((self.since, Rank::Used)),
            _ => None,
        };
        let watches = self.queue.iter().any(|due| matches!(due, Due::Open { .. }));
        Wait { reading, writing: self.output.is_some(), until, rest, watches }
    }

    /// Until when a connection may rest that owes nothing.
    fn idle_deadline(&self, phase: Phase, begun: bool) -> Instant {
        self.since
            + match phase {
                // What has just come up may have its request right behind it.
                Phase::Closing if self.used == Use::New && !begun => SPARED,
                Phase::Closing => Duration::ZERO,
                _ if begun || self.used == Use::New => MESSAGE_WAIT,
                Phase::Serving => IDLE_WAIT,
                Phase::Leaving => LEAVING_IDLE_WAIT,
            }
    }

    /// That time is over.
    fn expire(&mut self, phase: Phase, begun: bool) {
        // What has begun is never sent on: its client may ask elsewhere at once.
        let ending = (Fault::Ending, sqlstate::CANNOT_CONNECT_NOW, "this router ends");
        match phase {
            Phase::Closing if begun => self.end(ending.0, ending.1, ending.2.into()),
            Phase::Closing if self.used == Use::New => {
                self.parting = Some(Parting::Told(ending.0, ending.1, ending.2))
            }
            _ if !begun => self.parting = Some(Parting::Quiet),
            _ => {
                let text = "the message has not come whole in time";
                self.end(Fault::Stream, sqlstate::PROTOCOL_VIOLATION, text.into());
            }
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

    /// Notes a request: what comes next begins now.
    fn note_use(&mut self, now: Instant) {
        (self.used, self.since, self.useless) = (Use::Used, now, 0);
    }

    /// Notes a message that was no request; false if there were too many.
    fn note_useless(&mut self, now: Option<Instant>) -> bool {
        self.useless += 1;
        if let (Use::Used, Some(now)) = (self.used, now) {
            self.since = now;
        }
        self.useless < MAX_USELESS
    }

    fn pass_useless(&mut self, now: Instant) {
        if !self.note_useless(Some(now)) {
            let text = "too many messages in a row were no requests";
            self.end(Fault::Stream, sqlstate::PROTOCOL_VIOLATION, text.into());
        }
    }
}
