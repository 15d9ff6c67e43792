//! One hollow driver: its control plane, the members that its attempts and probes reach, and its clients.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use async_io::Timer;
use beaconshore::interface::{MemberId, Micros, Outcome, ReplyStatus, Report, RequestId};
use beaconshore_driver::client::{Answer as ClientAnswer, CancelFlag, ClientMessage, MemberAnswer};
use beaconshore_driver::control::MemberTransport;
use beaconshore_driver::decision::{
    ClientIdentity, ClientRequest, DecisionHandle, DecisionMessage, Statement,
};
use beaconshore_driver::member::{AttemptEnd, MemberMessage, SelfReport};
use beaconshore_driver::stats::Counter;
use beaconshore_driver::{Config, ControlPlane, Node};
use beaconshore_emulator::client::Answer;
use beaconshore_emulator::live::Ask;
use beaconshore_gossip::Policy;
use beaconshore_rig::embedded::{Event, FromRouter, Reply};
use futures_lite::{future, stream};

use crate::sample::Costs;

/// A probe without an answer is given up after this, like a connection that does not come up.
const PROBE_TIME: Duration = Duration::from_millis(250);
/// Time in which a driver that leaves answers what it took.
const LEAVING: Duration = Duration::from_secs(2);
/// Tokens of one router, of all its starts.
const TOKENS: u64 = 1 << 40;

/// Where a hollow driver's events go.
#[derive(Clone)]
struct Events {
    router: usize,
    start: u64,
    sender: Sender<FromRouter>,
}

impl Events {
    fn send(&self, event: Event) {
        let _ = self.sender.try_send(FromRouter { router: self.router, start: self.start, event });
    }
}

/// An attempt or a probe that is out.
enum Waiting {
    Attempt { request: RequestId, member: MemberId, sent: Micros },
    Probe { member: MemberId },
}

/// What is out, by token.
#[derive(Clone)]
struct Outstanding {
    waiting: Rc<RefCell<HashMap<u64, Waiting>>>,
    next: Rc<Cell<u64>>,
    events: Events,
    /// Turns a time of the day into Unix time: told with each request.
    offset: Rc<Cell<Micros>>,
}

/// Reaches members by way of events.
struct HollowTransport(Outstanding);

/// A hollow driver that runs.
pub struct Hollow {
    control: ControlPlane,
    outstanding: Outstanding,
    answers: Sender<ClientMessage>,
    pauses: Sender<Duration>,
    last: Costs,
    /// Ends the driver when it is dropped.
    _run: Task<()>,
}

impl Hollow {
    /// Starts a driver from the configuration that a process would get.
    pub fn start(
        on: &Rc<LocalExecutor<'static>>,
        (router, start): (usize, u64),
        config: &[u8],
        gossip: Option<Policy>,
        sender: Sender<FromRouter>,
    ) -> Result<Hollow, String> {
        let mut config = Config::parse(config)?;
        (config.accounting, config.gossip) = (true, gossip);
        let events = Events { router, start, sender };
        let next = (router as u64 + 1) * TOKENS + start * (TOKENS >> 8);
        let outstanding = Outstanding {
            waiting: Rc::default(),
            next: Rc::new(Cell::new(next)),
            events: events.clone(),
            offset: Rc::default(),
        };
        let transport = Rc::new(HollowTransport(outstanding.clone()));
        let control = ControlPlane::start(config, transport, stream::pending())?;
        let (answers, answered) = async_channel::unbounded();
        control.node().spawn(tell_answers(answered, events.clone()));
        let (pauses, paused) = async_channel::unbounded();
        let run = on.spawn(run(control.executor(), paused));
        events.send(Event::Ready);
        Ok(Hollow { control, outstanding, answers, pauses, last: Costs::default(), _run: run })
    }

    /// A client asks.
    pub fn ask(&self, ask: &Ask, offset: Micros) {
        self.outstanding.offset.set(offset);
        let node = self.control.node();
        node.stats().count(Counter::Requests);
        let arrival = ClientRequest {
            id: ask.id,
            client_id: Rc::from(&ask.id.0.to_be_bytes()[..]),
            class_index: ask.class,
            group: ask.group as u32,
            session: None,
            deadline: node.now() + ask.budget,
            is_repeat: ask.repeat,
            min_position_ms: ask.after.map(|at| (at + offset).div_ceil(1000)),
            statement: Rc::new(Statement { text: Box::default(), wait_range: 0..0, repeats_dropped_for: 0 }),
            cancel_flag: CancelFlag::default(),
            client: self.answers.clone(),
            identity: Rc::new(ClientIdentity::default()),
        };
        self.control.decision().send(DecisionMessage::Request(Box::new(arrival)));
    }

    /// A member replies.
    pub fn reply(&self, token: u64, reply: Reply) {
        let Some(waiting) = self.outstanding.waiting.borrow_mut().remove(&token) else { return };
        self.outstanding.end(self.control.node(), self.control.decision(), waiting, reply);
    }

    /// It stands still for so long.
    pub fn stand_still(&self, length: Duration) {
        let _ = self.pauses.try_send(length);
    }

    /// It says that it has ended, once what it took is answered.
    pub fn leave(&self) {
        let events = self.outstanding.events.clone();
        self.control.node().spawn(async move {
            Timer::after(LEAVING).await;
            events.send(Event::Ended);
        });
    }

    /// What it spent since this was last called.
    pub fn costs(&mut self) -> Costs {
        let node = self.control.node();
        let now = Costs::read(node.stats(), node.meter());
        let spent = now.combine(&self.last, |now, last| now - last);
        self.last = now;
        spent
    }
}

/// Runs a driver's actors, but for the times at which it stands still.
async fn run(executor: Rc<LocalExecutor<'static>>, pauses: Receiver<Duration>) {
    loop {
        let pause = async { pauses.recv().await.ok() };
        match future::or(pause, executor.run(future::pending())).await {
            Some(length) => drop(Timer::after(length).await),
            None => return,
        }
    }
}

async fn tell_answers(answers: Receiver<ClientMessage>, events: Events) {
    while let Ok(mail) = answers.recv().await {
        let ClientMessage::Answer(request, answer) = mail else { continue };
        let answer = match answer {
            ClientAnswer::Served(_) => Answer::Served(None),
            ClientAnswer::Refused(after) => Answer::Refused(after),
            ClientAnswer::Failed => Answer::Failed,
        };
        events.send(Event::Answered { request, answer });
    }
}

impl MemberTransport for HollowTransport {
    fn start(
        &self,
        node: &Rc<Node>,
        module: &DecisionHandle,
        id: MemberId,
        address: SocketAddr,
    ) -> Sender<MemberMessage> {
        let (sender, mailbox) = async_channel::unbounded();
        // The rig names members by the port of an address to which nobody connects.
        let number = usize::from(address.port()).saturating_sub(1);
        let member = HollowMember {
            id,
            number,
            node: node.clone(),
            module: module.clone(),
            outstanding: self.0.clone(),
        };
        node.spawn(member.run(mailbox));
        sender
    }
}

/// One member, as a hollow driver reaches it.
#[derive(Clone)]
struct HollowMember {
    id: MemberId,
    number: usize,
    node: Rc<Node>,
    module: DecisionHandle,
    outstanding: Outstanding,
}

impl HollowMember {
    async fn run(self, mailbox: Receiver<MemberMessage>) {
        while let Ok(mail) = mailbox.recv().await {
            match mail {
                MemberMessage::Attempt(attempt) => {
                    self.node.stats().count(Counter::Attempts);
                    let (request, sent) = (attempt.request, attempt.decided_at);
                    let waiting = Waiting::Attempt { request, member: self.id, sent };
                    let token = self.outstanding.add(waiting);
                    self.outstanding.events.send(Event::Attempt { request, token, member: self.number });
                    let left = Duration::from_micros(attempt.deadline.saturating_sub(self.node.now()));
                    self.give_up_after(token, left);
                }
                MemberMessage::Probe => {
                    self.node.stats().count(Counter::Probes);
                    let token = self.outstanding.add(Waiting::Probe { member: self.id });
                    self.outstanding.events.send(Event::Probe { token, member: self.number });
                    self.give_up_after(token, PROBE_TIME);
                }
                MemberMessage::Cancel(request) => self.cancel(request),
                MemberMessage::Stop => return,
                // It holds no connections.
                _ => {}
            }
        }
    }

    fn give_up_after(&self, token: u64, time: Duration) {
        let (member, at) = (self.clone(), Instant::now() + time);
        self.node.spawn(async move {
            Timer::at(at).await;
            member.give_up(token, Outcome::TimedOut);
        });
    }

    fn cancel(&self, cancelled: RequestId) {
        let is_it = |w: &Waiting| matches!(w, Waiting::Attempt { request, .. } if *request == cancelled);
        let waiting = self.outstanding.waiting.borrow();
        let token = waiting.iter().find(|(_, w)| is_it(w)).map(|(token, _)| *token);
        drop(waiting);
        token.into_iter().for_each(|token| self.give_up(token, Outcome::Cancelled));
    }

    /// Ends what is still out, and tells the member's side.
    fn give_up(&self, token: u64, outcome: Outcome) {
        let Some(waiting) = self.outstanding.waiting.borrow_mut().remove(&token) else { return };
        let request = match waiting {
            Waiting::Attempt { request, .. } => Some(request),
            Waiting::Probe { .. } => None,
        };
        self.outstanding.events.send(Event::GaveUp { request, token });
        end(&self.node, &self.module, waiting, outcome, SelfReport::default());
    }
}

impl Outstanding {
    fn add(&self, waiting: Waiting) -> u64 {
        let token = self.next.get();
        self.next.set(token + 1);
        self.waiting.borrow_mut().insert(token, waiting);
        token
    }

    fn end(&self, node: &Rc<Node>, module: &DecisionHandle, waiting: Waiting, reply: Reply) {
        let (outcome, told) = match reply {
            Reply::Said(said) => {
                let note = ReplyStatus { position: self.unix(said.note.position), ..said.note };
                let report = Report { position: self.unix(said.report.position), ..said.report };
                (said.outcome, SelfReport { status: note, report })
            }
            Reply::Probed(report) => {
                let report = Report { position: self.unix(report.position), ..report };
                (Outcome::Served, SelfReport { report, ..SelfReport::default() })
            }
            Reply::Unreachable => (Outcome::Unreachable, SelfReport::default()),
            Reply::Reset => (Outcome::Reset, SelfReport::default()),
        };
        end(node, module, waiting, outcome, told);
    }

    /// A position of the day as members tell it: Unix time in whole milliseconds.
    fn unix(&self, position: Option<Micros>) -> Option<Micros> {
        position.map(|at| (at + self.offset.get()) / 1000 * 1000)
    }
}

/// Tells the module that an attempt or a probe has ended.
fn end(node: &Rc<Node>, module: &DecisionHandle, waiting: Waiting, outcome: Outcome, told: SelfReport) {
    match waiting {
        Waiting::Attempt { request, member, sent } => {
            let took = node.now().saturating_sub(sent);
            let served = MemberAnswer::default();
            let end = AttemptEnd {
                request,
                member,
                outcome,
                answer: served,
                self_report: told,
                duration: took,
                sent_at: sent,
                stated_after: sent,
            };
            module.send(DecisionMessage::AttemptEnded(Box::new(end)));
        }
        Waiting::Probe { member } => {
            // A probe that nobody answers found no connection.
            let outcome = if outcome == Outcome::TimedOut { Outcome::Unreachable } else { outcome };
            module.send(DecisionMessage::ProbeEnded(member, outcome, told.report));
        }
    }
}
