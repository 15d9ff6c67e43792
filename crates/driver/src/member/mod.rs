//! Members of the store: one actor for each, which holds its idle connections, its attempts and its probes.
//!
//! An attempt ends with the outcome that the wire protocol gives for what was received, and its end is
//! reported only when nothing more of it can be sent or received. Retries are not made here.

pub mod connection;
pub mod reply;
pub mod self_report;
pub mod send_state;

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_executor::Task;
use beaconshore::interface::{MemberId, Micros, Outcome, Report, RequestId};

use crate::client::{CancelFlag, MemberAnswer};
use crate::clock::with_deadline;
use crate::control::MemberTransport;
use crate::decision::{DecisionHandle, DecisionMessage, Statement};
use crate::permit_pool::{IdleRank, IdleRegistration};
use crate::stats::Counter;
use crate::Node;

use connection::{probe, run_attempt, Connection};
use reply::Reply;
pub use self_report::{parse_load_report, SelfReport};

/// A message to a member's actor.
pub enum MemberMessage {
    /// Send a request to the member.
    Attempt(Attempt),
    /// Cancel an attempt, since its client has left.
    Cancel(RequestId),
    /// Probe the member.
    Probe,
    /// The member listens at this address now.
    AddressChanged(SocketAddr),
    /// The member has left for good: close all connections and stop.
    Stop,
    /// Close the idle connections.
    CloseIdle,
    /// Close the connection that has been idle for the longest time.
    CloseLongestIdle,
    /// An attempt has ended. Its connection is returned if it can be used again.
    AttemptEnded(AttemptEnd, Option<Connection>),
    /// A probe has ended, with the same return of its connection.
    ProbeEnded(Outcome, Report, Option<Connection>),
}

/// A request to be sent to a member.
pub struct Attempt {
    /// The request that it belongs to.
    pub request: RequestId,
    /// The statement to send.
    pub statement: Rc<Statement>,
    /// The attempt's deadline.
    pub deadline: Micros,
    /// When the attempt was decided on.
    pub decided_at: Micros,
    /// The version of the membership list that it was decided on.
    pub list_version: u64,
    /// Tells whether the client still waits.
    pub cancel_flag: CancelFlag,
}

/// The end of an attempt.
pub struct AttemptEnd {
    /// The request that it belonged to.
    pub request: RequestId,
    /// The member that it was made at.
    pub member: MemberId,
    /// Its outcome.
    pub outcome: Outcome,
    /// The answer for the client, if the member served the request.
    pub answer: MemberAnswer,
    /// What the member reported of itself.
    pub self_report: SelfReport,
    /// The time since the attempt was decided on, in microseconds.
    pub duration: Micros,
    /// When the attempt was decided on.
    pub sent_at: Micros,
    /// The earliest time to which a position in the answer may apply.
    pub stated_after: Micros,
}

/// A connection that carries nothing.
struct IdleConnection {
    connection: Connection,
    since: Instant,
    _idle_registration: IdleRegistration,
}

/// Reaches members over TCP.
pub struct SocketTransport;

impl MemberTransport for SocketTransport {
    fn start(
        &self,
        node: &Rc<Node>,
        decision: &DecisionHandle,
        id: MemberId,
        address: SocketAddr,
    ) -> Sender<MemberMessage> {
        MemberActor::start(node, decision, id, address)
    }
}

/// The actor of one member.
pub struct MemberActor {
    node: Rc<Node>,
    decision: DecisionHandle,
    id: MemberId,
    address: SocketAddr,
    mailbox: Receiver<MemberMessage>,
    /// For tasks that report back to this actor.
    sender: Sender<MemberMessage>,
    /// Ordered by the time since when they are idle, the oldest first.
    idle_connections: VecDeque<IdleConnection>,
    running_attempts: HashMap<RequestId, Task<()>>,
}

impl MemberActor {
    /// Starts the actor of a member and returns the sender of its mailbox.
    pub fn start(
        node: &Rc<Node>,
        decision: &DecisionHandle,
        id: MemberId,
        address: SocketAddr,
    ) -> Sender<MemberMessage> {
        // The mailbox has no capacity of its own. Its messages belong to open requests, a probe, and
        // connections, and the descriptors for connections bound the number of these.
        let (sender, mailbox) = async_channel::unbounded();
        let (idle_connections, running_attempts) = Default::default();
        let (node, decision) = (node.clone(), decision.clone());
        let member = MemberActor {
            node,
            decision,
            id,
            address,
            mailbox,
            sender: sender.clone(),
            idle_connections,
            running_attempts,
        };
        member.node.clone().spawn(member.run());
        sender
    }

    async fn run(mut self) {
        loop {
            // Idle connections are closed a tenth earlier than the member may close them.
            let reuse_limit = Duration::from_micros(self.node.settings.protocol.idle_timeout).mul_f64(0.9);
            while self.idle_connections.front().is_some_and(|idle| idle.since.elapsed() >= reuse_limit) {
                self.idle_connections.pop_front();
            }
            let message = match self.idle_connections.front() {
                Some(idle) => with_deadline(idle.since + reuse_limit, self.mailbox.recv()).await,
                None => Some(self.mailbox.recv().await),
            };
            match message {
                None => {}
                Some(Err(_) | Ok(MemberMessage::Stop)) => return,
                Some(Ok(MemberMessage::Attempt(attempt))) => self.start_attempt(attempt),
                Some(Ok(MemberMessage::Cancel(request))) => self.cancel_attempt(request).await,
                Some(Ok(MemberMessage::Probe)) => self.start_probe(),
                Some(Ok(MemberMessage::AddressChanged(address))) => {
                    self.address = address;
                    self.idle_connections.clear();
                }
                Some(Ok(MemberMessage::CloseIdle)) => self.idle_connections.clear(),
                Some(Ok(MemberMessage::CloseLongestIdle)) => match self.idle_connections.pop_front() {
                    Some(oldest) => drop(oldest),
                    None => self.node.descriptors.members.on_declined(),
                },
                Some(Ok(MemberMessage::AttemptEnded(end, connection))) => {
                    self.running_attempts.remove(&end.request);
                    self.return_connection(connection);
                    self.decision.send(DecisionMessage::AttemptEnded(Box::new(end)));
                }
                Some(Ok(MemberMessage::ProbeEnded(outcome, report, connection))) => {
                    self.return_connection(connection);
                    self.decision.send(DecisionMessage::ProbeEnded(self.id, outcome, report));
                }
            }
        }
    }

    /// Starts a task that runs an attempt.
    fn start_attempt(&mut self, attempt: Attempt) {
        self.node.stats.count(Counter::Attempts);
        let (node, id, address, sender) = (self.node.clone(), self.id, self.address, self.sender.clone());
        let (decision, idle, request) = (self.decision.clone(), self.take_idle(), attempt.request);
        let task = self.node.spawn_cancellable(async move {
            let (reply, connection) = run_attempt(&node, &decision, id, address, idle, &attempt).await;
            let sent_at = attempt.decided_at;
            let duration = node.clock.now().saturating_sub(sent_at);
            let stated_after = sent_at.saturating_sub(attempt.statement.repeats_dropped_for);
            let Reply { outcome, answer, self_report, .. } = reply;
            let end = AttemptEnd {
                request,
                member: id,
                outcome,
                answer,
                self_report,
                duration,
                sent_at,
                stated_after,
            };
            let _ = sender.try_send(MemberMessage::AttemptEnded(end, connection));
        });
        let Some(task) = task else { return };
        let earlier = self.running_attempts.insert(request, task);
        self.node.stats.check_invariant(earlier.is_none(), "a request has at most one attempt in flight");
    }

    /// Ends an attempt by closing its connection, unless it has just ended by itself.
    async fn cancel_attempt(&mut self, request: RequestId) {
        let Some(task) = self.running_attempts.remove(&request) else { return };
        if task.cancel().await.is_none() {
            let (answer, self_report) = Default::default();
            let end = AttemptEnd {
                request,
                member: self.id,
                outcome: Outcome::Cancelled,
                answer,
                self_report,
                duration: 0,
                sent_at: 0,
                stated_after: 0,
            };
            self.decision.send(DecisionMessage::AttemptEnded(Box::new(end)));
        }
    }

    /// Starts a task that runs a probe.
    fn start_probe(&mut self) {
        self.node.stats.count(Counter::Probes);
        let (node, address, sender) = (self.node.clone(), self.address, self.sender.clone());
        let idle = self.take_idle();
        self.node.spawn(async move {
            let (outcome, report, connection) = probe(&node, address, idle).await;
            let _ = sender.try_send(MemberMessage::ProbeEnded(outcome, report, connection));
        });
    }

    /// Takes the most recently used connection that is still open and has nothing to read.
    fn take_idle(&mut self) -> Option<Connection> {
        while let Some(idle) = self.idle_connections.pop_back() {
            if idle.connection.is_open_and_silent() {
                self.node.stats.count(Counter::MemberConnectionsReused);
                return Some(idle.connection);
            }
        }
        None
    }

    /// Keeps a connection for later use, if it can be used again.
    fn return_connection(&mut self, connection: Option<Connection>) {
        // Bytes that follow an answer belong to no request. The next request on this connection would take
        // them for its own answer.
        let is_reusable = |c: &Connection| c.has_empty_buffer() && c.address() == self.address;
        let Some(connection) = connection.filter(is_reusable) else { return };
        let sender = self.sender.clone();
        let close = move || drop(sender.try_send(MemberMessage::CloseLongestIdle));
        let registration = self.node.descriptors.members.register_idle(IdleRank::BetweenRequests, close);
        self.idle_connections.push_back(IdleConnection {
            connection,
            since: Instant::now(),
            _idle_registration: registration,
        });
    }
}
