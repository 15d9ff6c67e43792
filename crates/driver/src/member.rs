//! Members: one actor for each, with its connections, its attempts and its probes.
//!
//! An attempt ends with the outcome that the protocol gives for what was seen, and its end is told only once
//! it is off the wire. Nothing is sent again here.

use std::collections::{HashMap, VecDeque};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_executor::Task;
use async_io::Async;
use beaconshore::interface::{MemberId, Micros, Note, Outcome, Report, RequestId, Role};
use beaconshore_settings::ReportField;
use futures_lite::{future, AsyncWriteExt};

use crate::buffer::Buffer;
use crate::client::Served;
use crate::clock::{until, within};
use crate::descriptors::{Permit, Rank, Rest};
use crate::listing::{FOLLOWER, LEADER};
use crate::module::{Mail, ModuleHandle, Statement};
use crate::pg::{self, sqlstate, Backend, Severity};
use crate::stats::Counter;
use crate::Node;

/// Once its value is whole, the rest of an answer has so long to come.
const READY_WAIT: Duration = Duration::from_millis(100);
/// A message that has begun goes on within this: members send an answer at once.
const MESSAGE_GAP: Duration = Duration::from_millis(50);

const PROBE_REPORT: &[u8] = b"SHOW server_load";
const PROBE_ALIVE: &[u8] = b"SELECT 1";

/// What reaches a member's actor.
pub enum MemberMail {
    /// Send a request.
    Attempt(Attempt),
    /// Give an attempt up: its client is gone.
    Cancel(RequestId),
    /// Probe the member.
    Probe,
    /// It listens here now.
    Address(SocketAddr),
    /// Its member left for good: close all, and end.
    End,
    /// Close the connections that carry nothing.
    CloseIdle,
    /// Close the one that is idle for the longest.
    CloseOldest,
    /// An attempt is off the wire; its connection comes back if it can be used again.
    Ended(AttemptEnd, Option<Connection>),
    /// So is a probe.
    Probed(Outcome, Report, Option<Connection>),
}

/// A request to be sent.
pub struct Attempt {
    /// Which request.
    pub request: RequestId,
    /// What is sent.
    pub statement: Rc<Statement>,
    /// When its client gives up.
    pub ends: Micros,
    /// When it was decided.
    pub sent: Micros,
}

impl Attempt {
    /// Whether the module still wants this sent, asked after a wait.
    async fn confirm(&self, module: &ModuleHandle, to: MemberId) -> bool {
        module.confirm(self.request, to).await
    }

    /// Writes the query. Where the connection takes only part of it, the rest goes out only if the module still
    /// wants it once there is room; a query that is cut short never runs.
    async fn write(
        &self,
        module: &ModuleHandle,
        to: MemberId,
        stream: &Async<TcpStream>,
        mut query: &[u8],
    ) -> Result<(), Outcome> {
        while !query.is_empty() {
            let mut socket = stream.get_ref();
            match socket.write(query) {
                Ok(count) => query = &query[count..],
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    stream.writable().await.map_err(|_| Outcome::Unreachable)?;
                    if !self.confirm(module, to).await {
                        return Err(Outcome::Moot);
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return Err(Outcome::Unreachable),
            }
        }
        Ok(())
    }
}

/// The end of an attempt.
pub struct AttemptEnd {
    /// Which request.
    pub request: RequestId,
    /// At which member.
    pub member: MemberId,
    /// How it ended.
    pub outcome: Outcome,
    /// What is for the client, if it was served.
    pub served: Served,
    /// What the member said of itself.
    pub told: Told,
    /// Time since it was decided.
    pub took: Micros,
}

/// What a member said of itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct Told {
    /// With the answer.
    pub note: Note,
    /// In a load report.
    pub report: Report,
}

impl Told {
    /// Takes a value that the member told; junk and other names are passed over.
    fn take(&mut self, name: &[u8], value: &[u8]) {
        let Ok(value) = std::str::from_utf8(value) else { return };
        match name {
            b"replay_position" => {
                self.note.position = value.parse::<Micros>().ok().and_then(|ms| ms.checked_mul(1000))
            }
            b"node_role" if value == LEADER => self.note.role = Some(Role::Primary),
            b"node_role" if value == FOLLOWER => self.note.role = Some(Role::Replica),
            b"server_load" => self.report = report(value).unwrap_or_default(),
            _ => {}
        }
    }

    /// What a probe learnt: a note counts as a report, which speaks of the time of its position.
    fn as_report(&self) -> Report {
        let position = self.report.position.max(self.note.position);
        Report { position, role: self.note.role.or(self.report.role), ..self.report }
    }
}

/// A load report, as `name=value,...`; none if any of it can't be read.
pub fn report(text: &str) -> Option<Report> {
    let mut report = Report::default();
    for pair in text.split(',') {
        let (name, value) =
            pair.split_once('=').filter(|(name, value)| !name.is_empty() && !value.is_empty())?;
        let field = ReportField::named(name.trim());
        if field == ReportField::Other {
            continue;
        }
        let millionths = pg::micro_units(value.trim())?;
        match field {
            // Seconds of Unix time.
            ReportField::Position => report.position = Some(millionths).filter(|&p| p > 0),
            ReportField::Role if millionths == 1_000_000 => report.role = Some(Role::Primary),
            ReportField::Role => report.role = Some(Role::Replica),
            ReportField::Utilization => report.utilization = Some(millionths as f64 / 1e6),
            ReportField::Backlog => report.backlog = Some(millionths as f64 / 1e6),
            ReportField::Other => {}
        }
    }
    Some(report)
}

/// A connection to a member that is up.
pub struct Connection {
    stream: Async<TcpStream>,
    buffer: Buffer,
    address: SocketAddr,
    _place: Permit,
}

struct Idle {
    connection: Connection,
    since: Instant,
    _rest: Rest,
}

/// The actor of one member.
pub struct Member {
    node: Rc<Node>,
    module: ModuleHandle,
    id: MemberId,
    address: SocketAddr,
    mailbox: Receiver<MemberMail>,
    /// For those that report to this actor.
    sender: Sender<MemberMail>,
    /// The longest idle first.
    idle: VecDeque<Idle>,
    running: HashMap<RequestId, Task<()>>,
}

impl Member {
    /// Starts the actor of a member; this is the way to its mailbox.
    pub fn start(
        node: &Rc<Node>,
        module: &ModuleHandle,
        id: MemberId,
        address: SocketAddr,
    ) -> Sender<MemberMail> {
        // Its mail belongs to open requests, to a probe, and to connections: their places bound it.
        let (sender, mailbox) = async_channel::unbounded();
        let (idle, running) = Default::default();
        let (node, module) = (node.clone(), module.clone());
        let member = Member { node, module, id, address, mailbox, sender: sender.clone(), idle, running };
        member.node.clone().spawn(member.run());
        sender
    }

    async fn run(mut self) {
        loop {
            let fresh_for = Duration::from_micros(self.node.site.dialect.conn_idle).mul_f64(0.9);
            while self.idle.front().is_some_and(|idle| idle.since.elapsed() >= fresh_for) {
                self.idle.pop_front();
            }
            let mail = match self.idle.front() {
                Some(idle) => until(idle.since + fresh_for, self.mailbox.recv()).await,
                None => Some(self.mailbox.recv().await),
            };
            match mail {
                None => {}
                Some(Err(_) | Ok(MemberMail::End)) => return,
                Some(Ok(MemberMail::Attempt(attempt))) => self.attempt(attempt),
                Some(Ok(MemberMail::Cancel(request))) => self.cancel(request).await,
                Some(Ok(MemberMail::Probe)) => self.probe(),
                Some(Ok(MemberMail::Address(address))) => {
                    self.address = address;
                    self.idle.clear();
                }
                Some(Ok(MemberMail::CloseIdle)) => self.idle.clear(),
                Some(Ok(MemberMail::CloseOldest)) => match self.idle.pop_front() {
                    Some(oldest) => drop(oldest),
                    None => self.node.descriptors.members.asked_in_vain(),
                },
                Some(Ok(MemberMail::Ended(end, connection))) => {
                    self.running.remove(&end.request);
                    self.rest(connection);
                    self.module.send(Mail::AttemptEnded(Box::new(end)));
                }
                Some(Ok(MemberMail::Probed(outcome, report, connection))) => {
                    self.rest(connection);
                    self.module.send(Mail::ProbeEnded(self.id, outcome, report));
                }
            }
        }
    }

    fn attempt(&mut self, attempt: Attempt) {
        self.node.stats.count(Counter::Attempts);
        let (node, id, address, sender) = (self.node.clone(), self.id, self.address, self.sender.clone());
        let (module, idle, request) = (self.module.clone(), self.take_idle(), attempt.request);
        let task = self.node.executor.spawn(async move {
            let (reply, connection) = carry(&node, &module, id, address, idle, &attempt).await;
            let took = node.clock.now().saturating_sub(attempt.sent);
            let Reply { outcome, served, told } = reply;
            let end = AttemptEnd { request, member: id, outcome, served, told, took };
            let _ = sender.try_send(MemberMail::Ended(end, connection));
        });
        let earlier = self.running.insert(request, task);
        self.node.stats.check(earlier.is_none(), "a request has one attempt out");
    }

    /// Ends an attempt by closing its connection, unless it has just ended by itself.
    async fn cancel(&mut self, request: RequestId) {
        let Some(task) = self.running.remove(&request) else { return };
        if task.cancel().await.is_none() {
            let (served, told) = Default::default();
            let end =
                AttemptEnd { request, member: self.id, outcome: Outcome::Cancelled, served, told, took: 0 };
            self.module.send(Mail::AttemptEnded(Box::new(end)));
        }
    }

    fn probe(&mut self) {
        self.node.stats.count(Counter::Probes);
        let (node, address, sender) = (self.node.clone(), self.address, self.sender.clone());
        let idle = self.take_idle();
        self.node.spawn(async move {
            let (outcome, report, connection) = probe(&node, address, idle).await;
            let _ = sender.try_send(MemberMail::Probed(outcome, report, connection));
        });
    }

    /// The connection used last that is still open and quiet.
    fn take_idle(&mut self) -> Option<Connection> {
        while let Some(idle) = self.idle.pop_back() {
            let quiet = idle.connection.stream.get_ref().peek(&mut [0]);
            if quiet.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock) {
                self.node.stats.count(Counter::Reused);
                return Some(idle.connection);
            }
        }
        None
    }

    fn rest(&mut self, connection: Option<Connection>) {
        // What was said after an answer belongs to no request: the next one on it would take it for its own.
        let fit = |c: &Connection| c.address == self.address && c.buffer.filled().is_empty();
        let Some(connection) = connection.filter(fit) else { return };
        let sender = self.sender.clone();
        let close = move || drop(sender.try_send(MemberMail::CloseOldest));
        let rest = self.node.descriptors.members.rest(Rank::Used, close);
        self.idle.push_back(Idle { connection, since: Instant::now(), _rest: rest });
    }
}

/// What came of a statement; a broken connection, as long as its end has not come.
struct Reply {
    outcome: Outcome,
    served: Served,
    told: Told,
}

impl Reply {
    fn without_answer(outcome: Outcome) -> Self {
        Reply { outcome, served: Served::default(), told: Told::default() }
    }
}

/// Carries an attempt from its connection to its outcome.
async fn carry(
    node: &Node,
    module: &ModuleHandle,
    id: MemberId,
    address: SocketAddr,
    idle: Option<Connection>,
    attempt: &Attempt,
) -> (Reply, Option<Connection>) {
    let ends = node.clock.instant(attempt.ends);
    let mut connection = match idle {
        Some(connection) => connection,
        None => match until(ends, open(node, address)).await {
            Some(Ok(connection)) if attempt.confirm(module, id).await => connection,
            Some(Ok(connection)) => return (Reply::without_answer(Outcome::Moot), Some(connection)),
            Some(Err(outcome)) => return (Reply::without_answer(outcome), None),
            // Its own time ran out: that says nothing of the member.
            None => return (Reply::without_answer(Outcome::Moot), None),
        },
    };
    // The member need not hear of the last part of a millisecond.
    let wait_ms = attempt.ends.saturating_sub(node.clock.now()).div_ceil(1000);
    let query = attempt.statement.query(wait_ms);
    match until(ends, attempt.write(module, id, &connection.stream, &query)).await {
        Some(Ok(())) => {}
        Some(Err(outcome)) => return (Reply::without_answer(outcome), None),
        None => return (Reply::without_answer(Outcome::Moot), None),
    }
    drop(query);
    let mut reply = Reply::without_answer(Outcome::Reset);
    match until(ends, connection.reply(node, &mut reply)).await {
        Some(End::Ready) => (reply, Some(connection)),
        Some(End::Broken | End::Spoilt) => (reply, None),
        // Where all but the last message has come, that is the outcome.
        None if reply.outcome != Outcome::Reset => (reply, None),
        None => (Reply { outcome: Outcome::TimedOut, ..reply }, None),
    }
}

/// Probes a member, within the time that a connection may take to come up.
async fn probe(
    node: &Node,
    address: SocketAddr,
    idle: Option<Connection>,
) -> (Outcome, Report, Option<Connection>) {
    let dialect = &node.site.dialect;
    let limit = Duration::from_micros(dialect.connect_timeout);
    let probe = async {
        let mut connection = match idle {
            Some(connection) => connection,
            None => open(node, address).await?,
        };
        let mut query = Vec::new();
        let has_report = !dialect.report.is_empty();
        pg::put_query(&mut query, &[if has_report { PROBE_REPORT } else { PROBE_ALIVE }]);
        connection.stream.write_all(&query).await.map_err(|_| Outcome::Unreachable)?;
        let mut reply = Reply::without_answer(Outcome::Reset);
        let end = connection.reply(node, &mut reply).await;
        let mut told = reply.told;
        if let Some(value) = pg::single_value(&reply.served.messages).filter(|_| has_report) {
            told.take(b"server_load", value);
        }
        // An answer that can't be read tells that the member is up, and nothing else.
        let outcome = if end == End::Spoilt { Outcome::Served } else { reply.outcome };
        Ok((outcome, told.as_report(), (end == End::Ready).then_some(connection)))
    };
    match within(limit, probe).await {
        Some(Ok(end)) => end,
        Some(Err(outcome)) => (outcome, Report::default(), None),
        None => (Outcome::TimedOut, Report::default(), None),
    }
}

/// Opens a connection, up to the member's welcome; the outcome otherwise.
async fn open(node: &Node, address: SocketAddr) -> Result<Connection, Outcome> {
    // Waiting for a place is no fault of the member.
    let place = node.place(&node.descriptors.members).await;
    let limit = Duration::from_micros(node.site.dialect.connect_timeout);
    let open = async {
        node.stats.count(Counter::Connects);
        let stream = Async::<TcpStream>::connect(address).await.map_err(|_| Outcome::Unreachable)?;
        let _ = stream.get_ref().set_nodelay(true);
        let mut connection = Connection { stream, buffer: Buffer::default(), address, _place: place };
        let mut startup = Vec::new();
        pg::put_startup(&mut startup);
        connection.stream.write_all(&startup).await.map_err(|_| Outcome::Unreachable)?;
        connection.welcome().await.map(|()| connection)
    };
    within(limit, open).await.unwrap_or(Err(Outcome::Unreachable))
}

impl Connection {
    /// Reads the member's welcome, up to its first ReadyForQuery.
    async fn welcome(&mut self) -> Result<(), Outcome> {
        loop {
            while let Some((message, length)) =
                pg::backend(self.buffer.filled()).map_err(|_| Outcome::Unreachable)?
            {
                let ready = match message {
                    Backend::Error(code, _) => {
                        let full = code == sqlstate::TOO_MANY_CONNECTIONS.as_bytes();
                        return Err(if full { Outcome::Full } else { Outcome::Unreachable });
                    }
                    Backend::Authentication(1..) => return Err(Outcome::Unreachable),
                    message => message == Backend::Ready,
                };
                self.buffer.consume(length);
                if ready {
                    return Ok(());
                }
            }
            future::yield_now().await;
            let length = pg::length(self.buffer.filled());
            if self.fill(length).await.map_or(true, |count| count == 0) {
                return Err(Outcome::Unreachable);
            }
        }
    }

    /// Reads the answer to a statement that was written whole, and keeps up what it amounts to so far; tells
    /// how the reading ended.
    async fn reply(&mut self, node: &Node, reply: &mut Reply) -> End {
        let mut row = Row::Nothing;
        loop {
            loop {
                let bytes = self.buffer.filled();
                let (message, length) = match pg::backend(bytes) {
                    Ok(Some(parsed)) => parsed,
                    Ok(None) => break,
                    Err(_) => return reply.spoil(row),
                };
                match message {
                    Backend::ParameterStatus(name, value) => reply.told.take(name, value),
                    // Whatever follows a whole row does not belong to it.
                    Backend::Error(..) | Backend::RowDescription(_) | Backend::DataRow(_)
                        if row == Row::Complete =>
                    {
                        return End::Broken;
                    }
                    Backend::Error(code, severity) => {
                        reply.outcome = outcome_of(code);
                        if severity == Severity::Fatal {
                            return End::Broken;
                        }
                    }
                    Backend::RowDescription(_) | Backend::DataRow(_) | Backend::CommandComplete => {
                        row = row.next(message);
                        if row == Row::Unfit {
                            return reply.spoil(row);
                        }
                        // One of each at most is kept, so the bound on messages bounds the answer.
                        reply.served.messages.extend_from_slice(&bytes[..length]);
                        if row == Row::Complete {
                            reply.outcome = Outcome::Served;
                        }
                    }
                    Backend::Ready if reply.outcome == Outcome::Reset => return reply.spoil(row),
                    Backend::Ready | Backend::Authentication(_) | Backend::Other => {}
                }
                let ready = message == Backend::Ready;
                let large = self.buffer.consume(length);
                reply.served.large = reply.served.large.take().or(large);
                if ready {
                    return End::Ready;
                }
            }
            // One that speaks without end is not to hold up the others.
            future::yield_now().await;
            let length = pg::length(self.buffer.filled());
            if self.buffer.lacks_room(length) {
                self.buffer.grant(node.budget.answers.acquire_arc().await);
            }
            let limit = match row {
                Row::Complete => Some(READY_WAIT),
                _ if !self.buffer.filled().is_empty() => Some(MESSAGE_GAP),
                _ => None,
            };
            let fill = self.fill(length);
            let count = match limit {
                Some(limit) => match within(limit, fill).await {
                    Some(count) => count,
                    None => return reply.spoil(row),
                },
                None => fill.await,
            };
            // With all but the last message there, what has come is the outcome.
            if count.map_or(true, |count| count == 0) {
                return End::Broken;
            }
        }
    }

    /// Reads once, towards a message of this length; waiting for its first byte takes no memory.
    async fn fill(&mut self, length: usize) -> io::Result<usize> {
        if self.buffer.filled().is_empty() {
            self.stream.readable().await?;
        }
        self.buffer.fill(length, &mut self.stream).await
    }
}

/// How the reading of an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// The member is ready for the next statement.
    Ready,
    /// The connection broke, or is of no further use.
    Broken,
    /// The answer can't be read, so its connection is of no further use.
    Spoilt,
}

impl Reply {
    /// What follows can't be read. A row that was whole before stays good, as does an error that was told; else the
    /// member did answer, and may have run the statement, which is what an error of its own would say.
    fn spoil(&mut self, row: Row) -> End {
        if row == Row::Complete || self.outcome != Outcome::Reset {
            return End::Broken;
        }
        *self = Reply::without_answer(Outcome::Error);
        End::Spoilt
    }
}

/// How far an answer's single row has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Row {
    Nothing,
    Described,
    Given,
    Complete,
    /// Not what a request's answer looks like.
    Unfit,
}

impl Row {
    fn next(self, message: Backend) -> Row {
        match (self, message) {
            (Row::Nothing, Backend::RowDescription(1)) => Row::Described,
            (Row::Described, Backend::DataRow(Some(_))) => Row::Given,
            (Row::Given, Backend::CommandComplete) => Row::Complete,
            _ => Row::Unfit,
        }
    }
}

/// The outcome that a member's error stands for.
fn outcome_of(code: &[u8]) -> Outcome {
    match std::str::from_utf8(code) {
        Ok(sqlstate::READ_ONLY | sqlstate::SNAPSHOT_TOO_OLD) => Outcome::Misplaced,
        Ok(sqlstate::TOO_MANY_CONNECTIONS) => Outcome::Full,
        _ => Outcome::Error,
    }
}
