//! Connections to members: opening them, sending one statement at a time, and reading the answer.
//!
//! Owns the socket and its file descriptor. `send_state` says what may be written, and `reply` what an answer
//! means.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use async_io::Async;
use beaconshore::interface::{MemberId, Outcome, Report};
use futures_lite::{future, AsyncWriteExt};

use super::reply::{Reply, ReplyEnd};
use super::send_state::{SendConditions, SendState, SendStep};
use super::Attempt;
use crate::buffer::Buffer;
use crate::clock::{with_deadline, with_timeout};
use crate::decision::DecisionHandle;
use crate::permit_pool::Permit;
use crate::pg::{self, sqlstate, BackendMessage};
use crate::stats::Counter;
use crate::Node;

/// The query of a probe where members give load reports.
const LOAD_REPORT_QUERY: &[u8] = b"SHOW server_load";
/// The query of a probe where they don't.
const LIVENESS_QUERY: &[u8] = b"SELECT 1";

/// An open connection to a member.
pub struct Connection {
    stream: Async<TcpStream>,
    buffer: Buffer,
    address: SocketAddr,
    _permit: Permit,
}

/// Runs an attempt from its connection to its outcome. Returns the connection if it can be used again.
pub async fn run_attempt(
    node: &Node,
    decision: &DecisionHandle,
    id: MemberId,
    address: SocketAddr,
    idle: Option<Connection>,
    attempt: &Attempt,
) -> (Reply, Option<Connection>) {
    let deadline = node.clock.instant(attempt.deadline);
    let mut connection = match send_query(node, decision, id, address, idle, attempt).await {
        Ok(connection) => connection,
        Err((outcome, unused)) => return (Reply::without_answer(outcome), unused),
    };
    let mut reply = Reply::awaited();
    match with_deadline(deadline, connection.read_reply(node, &mut reply)).await {
        Some(ReplyEnd::Ready) => return (reply, Some(connection)),
        Some(ReplyEnd::Unusable | ReplyEnd::Malformed) => {}
        None => reply.time_out(),
    }
    reply.self_report = reply.self_report.denial();
    (reply, None)
}

/// Writes the whole query, as long as the attempt stays allowed. Otherwise returns the outcome, with the
/// connection if nothing was written on it. A member never runs a query that is cut short.
async fn send_query(
    node: &Node,
    decision: &DecisionHandle,
    id: MemberId,
    address: SocketAddr,
    idle: Option<Connection>,
    attempt: &Attempt,
) -> Result<Connection, (Outcome, Option<Connection>)> {
    let deadline = node.clock.instant(attempt.deadline);
    let mut send_state =
        SendState::new(attempt.decided_at, attempt.list_version, attempt.deadline, idle.is_some());
    let (mut connection, mut query, mut written) = (idle, Vec::new(), 0);
    loop {
        let (list_version, is_cancelled) = (node.lists_applied.get(), attempt.cancel_flag.is_cancelled());
        let conditions = SendConditions { now: node.clock.now(), list_version, is_cancelled };
        let step = send_state.next_step(conditions);
        match (step, &mut connection) {
            (SendStep::GiveUp, _) => return Err((Outcome::NeverSent, connection.filter(|_| written == 0))),
            (SendStep::Connect, _) | (SendStep::Write, None) => {
                match with_deadline(deadline, connect(node, address)).await {
                    Some(Ok(connected)) => {
                        connection = Some(connected);
                        send_state.on_connected();
                    }
                    Some(Err(outcome)) => return Err((outcome, None)),
                    // The attempt's own time ran out, which says nothing about the member.
                    None => return Err((Outcome::NeverSent, None)),
                }
            }
            (SendStep::Confirm, _) => {
                let confirmation = decision.confirm(attempt.request, id).await;
                send_state.on_confirmation(
                    confirmation.is_allowed,
                    confirmation.decided_at,
                    confirmation.list_version,
                );
            }
            (SendStep::Write, Some(connected)) => {
                if query.is_empty() {
                    // The time left is rounded up to whole milliseconds, the unit that members read.
                    query = attempt.statement.to_query((attempt.deadline - conditions.now).div_ceil(1000));
                }
                let mut socket = connected.stream.get_ref();
                match socket.write(&query[written..]) {
                    Ok(count) => written += count,
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                        send_state.on_blocked();
                        match with_deadline(deadline, connected.stream.writable()).await {
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

/// Probes a member, within the time limit for opening a connection.
pub async fn probe(
    node: &Node,
    address: SocketAddr,
    idle: Option<Connection>,
) -> (Outcome, Report, Option<Connection>) {
    let protocol = &node.settings.protocol;
    let limit = Duration::from_micros(protocol.connect_timeout);
    let probe = async {
        let mut connection = match idle {
            Some(connection) => connection,
            None => connect(node, address).await?,
        };
        let mut query = Vec::new();
        let has_report = !protocol.report_fields.is_empty();
        pg::put_query(&mut query, &[if has_report { LOAD_REPORT_QUERY } else { LIVENESS_QUERY }]);
        connection.stream.write_all(&query).await.map_err(|_| Outcome::Unreachable)?;
        let mut reply = Reply::awaited();
        let end = connection.read_reply(node, &mut reply).await;
        let mut self_report = reply.self_report;
        if let Some(value) = pg::find_single_value(&reply.answer.messages).filter(|_| has_report) {
            self_report.record_value(b"server_load", value);
        }
        if end != ReplyEnd::Ready {
            self_report = self_report.denial();
        }
        // A malformed answer shows that the member is up, and nothing else.
        let outcome = if end == ReplyEnd::Malformed { Outcome::Served } else { reply.outcome };
        Ok((outcome, self_report.to_report(), (end == ReplyEnd::Ready).then_some(connection)))
    };
    match with_timeout(limit, probe).await {
        Some(Ok(end)) => end,
        Some(Err(outcome)) => (outcome, Report::default(), None),
        None => (Outcome::TimedOut, Report::default(), None),
    }
}

/// Opens a connection to a member and reads its startup response. Otherwise returns the outcome.
async fn connect(node: &Node, address: SocketAddr) -> Result<Connection, Outcome> {
    // The wait for a free descriptor is not held against the member.
    let permit = node.acquire_permit(&node.descriptors.members).await;
    let limit = Duration::from_micros(node.settings.protocol.connect_timeout);
    let connecting = async {
        node.stats.count(Counter::MemberConnects);
        let stream = Async::<TcpStream>::connect(address).await.map_err(|_| Outcome::Unreachable)?;
        let _ = stream.get_ref().set_nodelay(true);
        let mut connection = Connection { stream, buffer: Buffer::default(), address, _permit: permit };
        let mut startup = Vec::new();
        pg::put_startup(&mut startup);
        connection.stream.write_all(&startup).await.map_err(|_| Outcome::Unreachable)?;
        connection.read_startup_response().await.map(|()| connection)
    };
    with_timeout(limit, connecting).await.unwrap_or(Err(Outcome::Unreachable))
}

impl Connection {
    /// The address that it is connected to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether no bytes are left in the buffer. Bytes that belong to no request would be taken for the answer
    /// to the next one.
    pub fn has_empty_buffer(&self) -> bool {
        self.buffer.filled().is_empty()
    }

    /// Whether the connection is open and has nothing to read.
    pub fn is_open_and_silent(&self) -> bool {
        let peeked = self.stream.get_ref().peek(&mut [0]);
        peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Reads the member's startup response, up to its first ReadyForQuery.
    async fn read_startup_response(&mut self) -> Result<(), Outcome> {
        loop {
            while let Some((message, length)) =
                pg::parse_backend(self.buffer.filled()).map_err(|_| Outcome::Unreachable)?
            {
                let is_ready = match message {
                    BackendMessage::Error(code, _) => {
                        let is_full = code == sqlstate::TOO_MANY_CONNECTIONS.as_bytes();
                        return Err(if is_full { Outcome::Rejected } else { Outcome::Unreachable });
                    }
                    BackendMessage::Authentication(1..) => return Err(Outcome::Unreachable),
                    message => message == BackendMessage::Ready,
                };
                self.buffer.consume(length);
                if is_ready {
                    return Ok(());
                }
            }
            future::yield_now().await;
            let length = pg::message_length(self.buffer.filled());
            if self.read_some(length).await.map_or(true, |count| count == 0) {
                return Err(Outcome::Unreachable);
            }
        }
    }

    /// Reads the answer to a statement that was written whole, and returns how the reading ended.
    async fn read_reply(&mut self, node: &Node, reply: &mut Reply) -> ReplyEnd {
        loop {
            if let Some(end) = reply.read_messages(&mut self.buffer) {
                return end;
            }
            // Yields, so that a member that sends without pause does not hold up the other actors.
            future::yield_now().await;
            let length = pg::message_length(self.buffer.filled());
            if self.buffer.needs_permit(length) {
                self.buffer.grant(node.memory_budget.answers.acquire().await);
            }
            let read_timeout = reply.read_timeout(!self.buffer.filled().is_empty());
            let read = self.read_some(length);
            let count = match read_timeout {
                Some(read_timeout) => match with_timeout(read_timeout, read).await {
                    Some(count) => count,
                    None => return reply.abort(),
                },
                None => read.await,
            };
            // If only the last message is missing, the outcome is known and stays.
            if count.map_or(true, |count| count == 0) {
                return ReplyEnd::Unusable;
            }
        }
    }

    /// Reads once, towards a message of this length. No memory is taken until its first byte arrives.
    async fn read_some(&mut self, length: usize) -> io::Result<usize> {
        if self.buffer.filled().is_empty() {
            self.stream.readable().await?;
        }
        self.buffer.fill(length, &mut self.stream).await
    }
}
