//! A connection to a member: it is opened, carries one statement at a time, and its answer is read.
//!
//! Owns the socket and its descriptor. What may be written is told by `attempt`, what an answer amounts to by `reply`.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use async_io::Async;
use beaconshore::interface::{MemberId, Outcome, Report};
use futures_lite::{future, AsyncWriteExt};

use super::attempt::{Departure, Next, Present};
use super::reply::{End, Reply};
use super::Attempt;
use crate::buffer::Buffer;
use crate::clock::{until, within};
use crate::descriptors::Permit;
use crate::module::ModuleHandle;
use crate::pg::{self, sqlstate, Backend};
use crate::stats::Counter;
use crate::Node;

const PROBE_REPORT: &[u8] = b"SHOW server_load";
const PROBE_ALIVE: &[u8] = b"SELECT 1";

/// A connection to a member that is up.
pub struct Connection {
    stream: Async<TcpStream>,
    buffer: Buffer,
    address: SocketAddr,
    _place: Permit,
}

/// Carries an attempt from its connection to its outcome.
pub async fn carry(
    node: &Node,
    module: &ModuleHandle,
    id: MemberId,
    address: SocketAddr,
    idle: Option<Connection>,
    attempt: &Attempt,
) -> (Reply, Option<Connection>) {
    let ends = node.clock.instant(attempt.ends);
    let mut connection = match send(node, module, id, address, idle, attempt).await {
        Ok(connection) => connection,
        Err((outcome, unused)) => return (Reply::without_answer(outcome), unused),
    };
    let mut reply = Reply::awaited();
    match until(ends, connection.reply(node, &mut reply)).await {
        Some(End::Ready) => (reply, Some(connection)),
        Some(End::Broken | End::Spoilt) => (reply, None),
        None => {
            reply.time_out();
            (reply, None)
        }
    }
}

/// Writes the whole query, as long as nothing that has changed speaks against it; else the outcome, and the connection
/// if it is as good as new. A query that is cut short never runs.
async fn send(
    node: &Node,
    module: &ModuleHandle,
    id: MemberId,
    address: SocketAddr,
    idle: Option<Connection>,
    attempt: &Attempt,
) -> Result<Connection, (Outcome, Option<Connection>)> {
    let ends = node.clock.instant(attempt.ends);
    let mut departure = Departure::new(attempt.sent, attempt.lists, attempt.ends, idle.is_some());
    let (mut connection, mut query, mut written) = (idle, Vec::new(), 0);
    loop {
        let (lists, withdrawn) = (node.lists.get(), attempt.cancel_flag.is_cancelled());
        let present = Present { now: node.clock.now(), lists, withdrawn };
        let step = departure.next(present);
        match (step, &mut connection) {
            (Next::GiveUp, _) => return Err((Outcome::NeverSent, connection.filter(|_| written == 0))),
            (Next::Connect, _) | (Next::Write, None) => match until(ends, open(node, address)).await {
                Some(Ok(up)) => {
                    connection = Some(up);
                    departure.connected();
                }
                Some(Err(outcome)) => return Err((outcome, None)),
                // Its own time ran out: that says nothing of the member.
                None => return Err((Outcome::NeverSent, None)),
            },
            (Next::Ask, _) => {
                let told = module.confirm(attempt.request, id).await;
                departure.answered(told.allowed, told.at, told.lists);
            }
            (Next::Write, Some(up)) => {
                if query.is_empty() {
                    // The member need not hear of the last part of a millisecond.
                    query = attempt.statement.query((attempt.ends - present.now).div_ceil(1000));
                }
                let mut socket = up.stream.get_ref();
                match socket.write(&query[written..]) {
                    Ok(count) => written += count,
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                        departure.blocked();
                        match until(ends, up.stream.writable()).await {
                            Some(Ok(())) => {}
                            Some(Err(_)) => return Err((Outcome::Unreachable, None)),
                            None => return Err((Outcome::NeverSent, None)),
                        }
                    }
                    Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                    Err(_) => return Err((Outcome::Unreachable, None)),
                }
                if written == query.len() {
                    return connection.ok_or((Outcome::NeverSent, None));
                }
            }
        }
    }
}

/// Probes a member, within the time that a connection may take to come up.
pub async fn probe(
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
        let mut reply = Reply::awaited();
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
    /// Where it leads.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether nothing was said on it that belongs to no request: the next one would take it for its own answer.
    pub fn is_spent(&self) -> bool {
        self.buffer.filled().is_empty()
    }

    /// Whether it is open and nothing waits to be read.
    pub fn is_quiet(&self) -> bool {
        let look = self.stream.get_ref().peek(&mut [0]);
        look.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Reads the member's welcome, up to its first ReadyForQuery.
    async fn welcome(&mut self) -> Result<(), Outcome> {
        loop {
            while let Some((message, length)) =
                pg::backend(self.buffer.filled()).map_err(|_| Outcome::Unreachable)?
            {
                let ready = match message {
                    Backend::Error(code, _) => {
                        let full = code == sqlstate::TOO_MANY_CONNECTIONS.as_bytes();
                        return Err(if full { Outcome::Rejected } else { Outcome::Unreachable });
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

    /// Reads the answer to a statement that was written whole; tells how the reading ended.
    async fn reply(&mut self, node: &Node, reply: &mut Reply) -> End {
        loop {
            if let Some(end) = reply.take(&mut self.buffer) {
                return end;
            }
            // One that speaks without end is not to hold up the others.
            future::yield_now().await;
            let length = pg::length(self.buffer.filled());
            if self.buffer.lacks_room(length) {
                self.buffer.grant(node.budget.answers.acquire_arc().await);
            }
            let patience = reply.patience(!self.buffer.filled().is_empty());
            let fill = self.fill(length);
            let count = match patience {
                Some(patience) => match within(patience, fill).await {
                    Some(count) => count,
                    None => return reply.spoil(),
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
