//! Members: one actor for each, with its idle connections, its attempts and its probes.
//!
//! An attempt ends with the outcome that the protocol gives for what was seen, and its end is told only once
//! it is off the wire. Nothing is sent again here.

pub mod attempt;
pub mod connection;
pub mod reply;
pub mod told;

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_executor::Task;
use beaconshore::interface::{MemberId, Micros, Outcome, Report, RequestId};

use crate::client::{CancelFlag, Served};
use crate::clock::until;
use crate::control::MemberTransport;
use crate::descriptors::{Rank, Rest};
use crate::module::{Mail, ModuleHandle, Statement};
use crate::stats::Counter;
use crate::Node;

use connection::{carry, probe, Connection};
use reply::Reply;
pub use told::{report, Told};

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
    /// On how many lists.
    pub lists: u64,
    /// Whether its client still waits.
    pub cancel_flag: CancelFlag,
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

struct Idle {
    connection: Connection,
    since: Instant,
    _rest: Rest,
}

/// Members on sockets.
pub struct SocketTransport;

impl MemberTransport for SocketTransport {
    fn start(
        &self,
        node: &Rc<Node>,
        module: &ModuleHandle,
        id: MemberId,
        address: SocketAddr,
    ) -> Sender<MemberMail> {
        Member::start(node, module, id, address)
    }
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
        let task = self.node.start(async move {
            let (reply, connection) = carry(&node, &module, id, address, idle, &attempt).await;
            let took = node.clock.now().saturating_sub(attempt.sent);
            let Reply { outcome, served, told, .. } = reply;
            let end = AttemptEnd { request, member: id, outcome, served, told, took };
            let _ = sender.try_send(MemberMail::Ended(end, connection));
        });
        let Some(task) = task else { return };
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
            if idle.connection.is_quiet() {
                self.node.stats.count(Counter::Reused);
                return Some(idle.connection);
            }
        }
        None
    }

    fn rest(&mut self, connection: Option<Connection>) {
        // What was said after an answer belongs to no request: the next one on it would take it for its own.
        let fit = |c: &Connection| c.is_spent() && c.address() == self.address;
        let Some(connection) = connection.filter(fit) else { return };
        let sender = self.sender.clone();
        let close = move || drop(sender.try_send(MemberMail::CloseOldest));
        let rest = self.node.descriptors.members.rest(Rank::Used, close);
        self.idle.push_back(Idle { connection, since: Instant::now(), _rest: rest });
    }
}
