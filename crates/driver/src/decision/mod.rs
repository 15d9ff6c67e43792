//! The actor around the decision module. It owns the decision module with its planners and the table of open
//! requests (`open_requests`, which does no I/O), and is the only place where messages from other actors
//! become events of the decision module and its actions become messages to other actors.

mod clocks;
mod held_probes;
pub mod message;
pub mod open_requests;
mod primary_log;

use std::collections::hash_map::Entry::Occupied;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use async_channel::{Receiver, Sender};
use async_io::Timer;
use beaconshore::interface::{
    Action, AttemptResult, Event, GroupId, ListEntry, ListKind, ListedState, MemberId, MemberUpdate, Micros,
    Outcome, PrimaryEvent, Request, RequestId, Role, SpillLoan, ZoneId,
};
use beaconshore_steering::{ConnectionInfo, Steering};
use futures_lite::future;
use log::{debug, info, warn};

use crate::client::{Answer, ClientMessage};
use crate::config::Config;
use crate::control::MemberTransport;
use crate::member::{Attempt, AttemptEnd, MemberMessage};
use crate::membership::{Lifecycle, MemberEntry, MembershipUpdate, LEADER};
use crate::meter::Work;
use crate::peers::{self, MemberState, MemberTag, OutgoingMessage, PeerMessage, Peers};
use crate::pg;
use crate::skew::Exchange;
use crate::stats::Counter;
use crate::Node;

use clocks::MemberStart;
use held_probes::{HeldProbes, ProbeAnswer, Usable};
pub use message::{ClientIdentity, ClientRequest, Confirmation, DecisionHandle, DecisionMessage, Statement};
use open_requests::{AddResult, AttemptStart, OpenRequest, OpenRequests};

/// Membership lists that the mailbox holds. Discovery waits when it is full, so that the decision module
/// never waits for discovery.
const LIST_MAILBOX_CAPACITY: usize = 4;
/// Messages from other drivers that the mailbox holds. Further ones are dropped, which datagrams tolerate.
const PEER_MAILBOX_CAPACITY: usize = 64;
/// Messages that are handled before other actors get their turn.
const MAX_MESSAGES_PER_TURN: u32 = 64;
/// Interval in microseconds at which overdue requests are looked for.
const SWEEP_INTERVAL_US: Micros = 100_000;

/// A member that the membership list has named.
struct KnownMember {
    /// Its name in the membership list.
    name: Rc<str>,
    /// The tag by which drivers refer to it in messages to each other.
    tag: MemberTag,
    address: SocketAddr,
    /// Its last start, if the membership list states one.
    start: Option<MemberStart>,
    /// Its actor, which is started by the first message to it.
    actor: Option<Sender<MemberMessage>>,
}

/// The actor that runs the decision module.
pub struct DecisionActor {
    node: Rc<Node>,
    router: Steering,
    mailbox: Receiver<DecisionMessage>,
    list_updates: Receiver<MembershipUpdate>,
    /// Messages from other drivers, each with the number of the driver that sent it.
    peer_messages: Receiver<(u32, PeerMessage)>,
    handle: DecisionHandle,
    peers: Option<Sender<OutgoingMessage>>,
    transport: Rc<dyn MemberTransport>,
    requests: OpenRequests<Sender<ClientMessage>>,
    /// Members by the id that this driver gave them, until the decision module forgets them.
    members: HashMap<MemberId, KnownMember>,
    /// Ids by the members' names in the membership list.
    ids: HashMap<Rc<str>, MemberId>,
    /// Members by tag. Hundreds of drivers may send a thousand states of one member in a second, so that the
    /// lookup has to be cheap. Tags are hashes of names: two members may share one.
    tags: HashMap<MemberTag, Vec<MemberId>>,
    /// How many ids were given to members. No id is given twice.
    ids_assigned: u32,
    /// When the decision module's timer is due.
    timer_at: Option<Instant>,
    /// When overdue requests were looked for last.
    last_sweep: Micros,
    /// Answers to the first probes, which wait for the comparison of the clocks.
    held_probes: HeldProbes,
}

impl DecisionActor {
    /// Creates the actor and the handle that reaches it.
    pub fn new(
        node: Rc<Node>,
        config: &Config,
        peers: Option<&Peers>,
        transport: Rc<dyn MemberTransport>,
    ) -> (Self, DecisionHandle) {
        let (mailbox_sender, mailbox) = async_channel::unbounded();
        let (list_sender, list_updates) = async_channel::bounded(LIST_MAILBOX_CAPACITY);
        let (peer_message_sender, peer_messages) = async_channel::bounded(PEER_MAILBOX_CAPACITY);
        let handle = DecisionHandle {
            mailbox: mailbox_sender,
            list_updates: list_sender,
            peer_messages: peer_message_sender,
        };
        let router = {
            let (settings, plans) = (node.settings.module.clone(), config.plans.clone());
            Steering::new(settings, plans, config.seed, node.clock.now())
        };
        let (requests, members, ids, tags, ids_assigned, timer_at, last_sweep, held_probes) =
            Default::default();
        let (peers, returned_handle) = (peers.map(Peers::mailbox), handle.clone());
        let actor = DecisionActor {
            node,
            router,
            mailbox,
            list_updates,
            peer_messages,
            handle,
            peers,
            transport,
            requests,
            members,
            ids,
            tags,
            ids_assigned,
            timer_at,
            last_sweep,
            held_probes,
        };
        (actor, returned_handle)
    }

    /// Runs the actor, starting from the cached membership list.
    pub async fn run(mut self, cached: MembershipUpdate) {
        enum Wake {
            List(MembershipUpdate),
            Message(DecisionMessage),
            PeerMessage(u32, PeerMessage),
            Timer,
        }
        self.on_list(ListKind::Cached, cached);
        let (list_updates, mailbox, peer_messages) =
            (self.list_updates.clone(), self.mailbox.clone(), self.peer_messages.clone());
        let node = self.node.clone();
        let mut timer = Timer::never();
        let mut armed_at = None;
        let mut messages_in_turn = 0;
        loop {
            messages_in_turn += 1;
            if messages_in_turn > MAX_MESSAGES_PER_TURN {
                messages_in_turn = 0;
                future::yield_now().await;
            }
            if armed_at != self.timer_at {
                armed_at = self.timer_at;
                match armed_at {
                    Some(at) => timer.set_at(at),
                    None => timer = Timer::never(),
                }
            }
            let list = async { list_updates.recv().await.map(Wake::List) };
            let timer_due = async {
                (&mut timer).await;
                Ok(Wake::Timer)
            };
            let next_message = async { mailbox.recv().await.map(Wake::Message) };
            let peer_message =
                async { peer_messages.recv().await.map(|(from, message)| Wake::PeerMessage(from, message)) };
            // A membership list goes first, since it may forbid sends; a timer that is due does not wait
            // until the mailbox is empty.
            match future::or(list, future::or(timer_due, future::or(next_message, peer_message))).await {
                Err(_) => return,
                Ok(Wake::List(update)) => {
                    let kind = if update.reset { ListKind::Full } else { ListKind::Delta };
                    node.meter.measure(Work::List, || self.on_list(kind, update));
                }
                Ok(Wake::Message(message)) => node.meter.measure(Work::Traffic, || {
                    self.on_message(message);
                    self.release_held_probes();
                }),
                Ok(Wake::PeerMessage(from, message)) => {
                    node.meter.measure(Work::PeerMessages, || self.on_peer_message(from, message));
                }
                Ok(Wake::Timer) => {
                    (self.timer_at, armed_at) = (None, None);
                    if self.node.stall_detector.on_timer_fired(self.node.clock.now()) {
                        self.node.stats.count(Counter::Stalls);
                    }
                    node.meter.measure(Work::Timer, || {
                        self.release_held_probes();
                        self.handle(&Event::Timer);
                        self.sweep_overdue();
                    });
                }
            }
        }
    }

    fn on_message(&mut self, message: DecisionMessage) {
        match message {
            DecisionMessage::Request(client_request) => self.on_request(*client_request),
            DecisionMessage::RequestAbandoned(id) => self.on_request_abandoned(id),
            DecisionMessage::AttemptEnded(end) => self.on_attempt_end(*end),
            DecisionMessage::ProbeEnded(member, outcome, report) => {
                let awaits_comparison = self.awaits_comparison();
                match self.held_probes.take(ProbeAnswer { member, outcome, report }, awaits_comparison) {
                    Usable::Whole(answer) => self.on_probe_ended(answer),
                    Usable::Role(role) => self.handle(&Event::ProbeAnswered { member, role }),
                }
            }
            DecisionMessage::FailOpenRequests => self.fail_open_requests(),
            DecisionMessage::ReplaceRoutes(policy) => {
                self.router.reload_routes(policy, self.node.clock.now())
            }
            DecisionMessage::ConfirmAttempt(request, member, reply) => {
                let (decided_at, list_version) = (self.node.clock.now(), self.node.lists_applied.get());
                // The client may have left without the message about it being read yet: the cancel flag
                // tells.
                let is_allowed =
                    self.requests.is_awaited(request) && self.router.confirm(decided_at, request, member);
                let _ = reply.try_send(Confirmation { is_allowed, decided_at, list_version });
            }
        }
    }

    fn on_probe_ended(&mut self, ProbeAnswer { member, outcome, mut report }: ProbeAnswer) {
        report.position = self.to_local_position(report.position, report.role);
        self.handle(&Event::ProbeEnded { member, outcome, report });
    }

    /// Whether a replica's position can't be judged yet, but soon can.
    fn awaits_comparison(&self) -> bool {
        self.node.clock_skew.awaits_comparison(self.node.clock.uptime())
    }

    /// Passes held answers on once the clocks are compared, or that was waited for long enough.
    fn release_held_probes(&mut self) {
        if self.held_probes.is_empty() || self.awaits_comparison() {
            return;
        }
        self.held_probes.release().into_iter().for_each(|answer| self.on_probe_ended(answer));
    }

    fn on_peer_message(&mut self, from: u32, message: PeerMessage) {
        match message {
            PeerMessage::MemberStates(states) => {
                let updates: Vec<MemberUpdate> =
                    states.iter().filter_map(|state| self.to_member_update(state)).collect();
                self.handle(&Event::PeerUpdates(updates));
            }
            PeerMessage::Loans(mut loans) => {
                loans.iter_mut().for_each(|loan| loan.until = self.node.clock_skew.to_local(loan.until));
                self.handle(&Event::SpillLoans(from, loans));
            }
            // The peers' actor compares digests itself.
            PeerMessage::Digest(_) => {}
        }
    }

    // ---- Turning messages into events ----

    /// Passes a membership list or a change of it to the decision module.
    fn on_list(&mut self, kind: ListKind, update: MembershipUpdate) {
        self.node.stats.count(Counter::ListUpdates);
        self.node.lists_applied.set(self.node.lists_applied.get() + 1);
        // An instance that is gone and was never known is skipped.
        let is_relevant =
            |i: &MemberEntry| i.lifecycle != Lifecycle::Gone || self.ids.contains_key(i.instance_id.as_str());
        let instances: Vec<MemberEntry> = update.instances.into_iter().filter(is_relevant).collect();
        let entries: Vec<ListEntry> = instances.into_iter().map(|i| self.register_instance(i)).collect();
        self.handle(&Event::List(kind, &entries));
    }

    /// Gives the instance's member an id if it has none, notes its address, and builds its entry for the
    /// decision module.
    fn register_instance(&mut self, instance: MemberEntry) -> ListEntry {
        let address = instance.host_port;
        let member = match self.ids.get(instance.instance_id.as_str()) {
            Some(&id) => id,
            None => {
                let (id, name) = (MemberId(self.ids_assigned), Rc::<str>::from(instance.instance_id));
                self.ids_assigned += 1;
                let tag = peers::member_tag(&name);
                let known = KnownMember { name: name.clone(), tag, address, start: None, actor: None };
                self.members.insert(id, known);
                self.ids.insert(name, id);
                self.tags.entry(tag).or_default().push(id);
                id
            }
        };
        if let Some(known) = self.members.get_mut(&member).filter(|known| known.address != address) {
            known.address = address;
            known.actor.iter().for_each(|actor| drop(actor.try_send(MemberMessage::AddressChanged(address))));
        }
        let zone = self.node.settings.protocol.zone_names.iter().position(|name| *name == instance.zone);
        ListEntry {
            member,
            group: GroupId(instance.cell),
            zone: ZoneId(zone.map_or(u16::MAX, |index| index as u16)),
            listed: match instance.lifecycle {
                Lifecycle::Ready => ListedState::Ready,
                Lifecycle::Draining => ListedState::Draining,
                Lifecycle::Gone => ListedState::Gone,
            },
            started_at: self.local_start(member, instance.started_at_ms),
            primary: instance.role.as_deref() == Some(LEADER),
        }
    }

    /// Opens a request and passes it to the decision module, by way of the routes if there are any.
    fn on_request(&mut self, client_request: ClientRequest) {
        let now = self.node.clock.now();
        let ClientRequest {
            id,
            class_index,
            session,
            deadline,
            is_repeat,
            statement,
            client,
            identity,
            cancel_flag,
            ..
        } = client_request;
        let routed = self.router.has_routes().then(|| statement.clone());
        match self.requests.add(id, client, statement, deadline, cancel_flag) {
            AddResult::Opened => {}
            AddResult::ClientGone => return self.node.stats.count(Counter::RequestsAbandoned),
            AddResult::DuplicateId => self.node.stats.check_invariant(false, "a request is accepted once"),
        }
        let request = Request {
            id,
            class: class_index,
            group: GroupId(client_request.group),
            session,
            budget: deadline.saturating_sub(now),
            is_repeat,
            last_write_ago: client_request
                .min_position_ms
                .map(|ms| now.saturating_sub(self.node.clock_skew.to_local(ms.saturating_mul(1000)))),
        };
        let Some(routed) = routed else { return self.handle_at(now, &Event::Request(request)) };
        let connection =
            ConnectionInfo { client: identity.address, user: &identity.user, database: &identity.database };
        let mut actions = Vec::new();
        self.router.handle_request(
            now,
            &request,
            connection,
            pg::strip_request_comment(&routed.text),
            &mut actions,
        );
        actions.into_iter().for_each(|action| self.execute(now, action));
    }

    /// Ends the attempt of a request whose client has left, and tells the decision module.
    fn on_request_abandoned(&mut self, id: RequestId) {
        // The request is no longer open if its answer crossed this message.
        let Some(in_flight_at) = self.requests.abandon(id) else { return };
        self.node.stats.count(Counter::RequestsAbandoned);
        if let Some(member) = in_flight_at {
            self.send_to_member(member, MemberMessage::Cancel(id));
        }
        self.handle(&Event::ClientDisconnected(id));
    }

    /// Fails all open requests: whether their statements ran is not known.
    fn fail_open_requests(&mut self) {
        for (id, open_request) in self.requests.drain() {
            open_request
                .in_flight_at
                .into_iter()
                .for_each(|member| self.send_to_member(member, MemberMessage::Cancel(id)));
            self.handle(&Event::ClientDisconnected(id));
            self.node.stats.count(Counter::Failed);
            if !open_request.was_tried {
                self.node.stats.count(Counter::AnsweredWithoutAttempt);
            }
            let _ = open_request.client.try_send(ClientMessage::Answer(id, Answer::Failed));
        }
    }

    /// Counts the end of an attempt, answers its request if a member served it, and tells the decision
    /// module.
    fn on_attempt_end(&mut self, end: AttemptEnd) {
        let AttemptEnd { request, member, outcome, answer, self_report, duration, sent_at, stated_after } =
            end;
        self.node.stats.check_invariant(
            self.requests.end_attempt(request, member),
            "an attempt that ends was in flight",
        );
        let counter = match outcome {
            Outcome::Error => Some(Counter::MemberErrors),
            Outcome::Rejected => Some(Counter::RejectedAsFull),
            Outcome::Misdirected => Some(Counter::RejectedByRoleOrLag),
            Outcome::Unreachable => Some(Counter::Unreachable),
            Outcome::Reset => Some(Counter::Resets),
            Outcome::TimedOut => Some(Counter::TimedOut),
            Outcome::NeverSent => Some(Counter::Unsent),
            // Counted with the request instead.
            Outcome::Served | Outcome::Cancelled => None,
        };
        counter.into_iter().for_each(|counter| self.node.stats.count(counter));
        if outcome == Outcome::Served {
            self.answer(request, Answer::Served(answer));
        }
        let finished = !self.requests.is_open(request);
        let (mut status, mut report) = (self_report.status, self_report.report);
        // A primary that turns requests away may state a time that stands still.
        let is_current = outcome == Outcome::Served && status.role == Some(Role::Primary);
        if let Some(stated) = status.position.filter(|_| is_current) {
            let received_at = self.node.clock.now();
            self.compare_clocks(&Exchange { member, sent_at, stated_after, stated, received_at });
        }
        status.position = self.to_local_position(status.position, status.role);
        report.position = self.to_local_position(report.position, report.role);
        self.handle(&Event::AttemptEnded(AttemptResult {
            request,
            member,
            outcome,
            status,
            duration,
            request_finished: finished,
            report,
        }));
    }

    /// A state that a peer sent, as an update of a member. None if no member, or more than one, has its tag.
    fn to_member_update(&self, state: &MemberState) -> Option<MemberUpdate> {
        let [member] = self.tags.get(&state.member)?[..] else { return None };
        let position = self.to_local_position(Some(state.position), state.role)?;
        Some(MemberUpdate { member, position, role: state.role })
    }

    // ---- Turning actions into messages ----

    /// Passes an event to the decision module and executes the actions that it returns.
    fn handle(&mut self, event: &Event) {
        self.handle_at(self.node.clock.now(), event);
    }

    fn handle_at(&mut self, now: Micros, event: &Event) {
        let mut actions = Vec::new();
        self.router.handle(now, event, &mut actions);
        actions.into_iter().for_each(|action| self.execute(now, action));
    }

    fn execute(&mut self, now: Micros, action: Action) {
        match action {
            Action::Send { request, member, timeout: wait } => self.send(now, request, member, wait),
            Action::Refuse { request, retry_after } => self.answer(request, Answer::Refused(retry_after)),
            Action::Fail(request) => self.answer(request, Answer::Failed),
            Action::CloseIdle(member) => self.send_to_member(member, MemberMessage::CloseIdle),
            Action::Probe(member) => self.send_to_member(member, MemberMessage::Probe),
            Action::Forget(member) => self.forget(member),
            Action::SendPeerUpdates(updates) => self.send_updates(&updates),
            Action::SpillLoans(loans) => self.send_loans(loans),
            Action::SetTimer(after) => {
                self.timer_at = Some(self.node.clock.instant(now + after));
                self.node.stall_detector.on_timer_set(now, now + after);
            }
            // The membership list is watched at all times, so that there is nothing to do.
            Action::Subscribe => {}
            Action::ReportPrimary(event) => self.report_primary(&event),
            Action::Log(line) => info!("{line}"),
        }
    }

    /// The name of a member in the membership list, for the log.
    fn member_name(&self, member: MemberId) -> &str {
        self.members.get(&member).map_or("an unknown member", |known| &known.name)
    }

    /// Logs and counts an event about a group's primary.
    fn report_primary(&self, event: &PrimaryEvent) {
        primary_log::log(event, self.member_name(event.member));
        self.node.stats.count(primary_log::counter(event.kind));
    }

    /// Starts an attempt of a request at a member.
    fn send(&mut self, now: Micros, request: RequestId, member: MemberId, wait: Micros) {
        let Some(start) = self.requests.start_attempt(request, member, wait, now) else {
            return self.node.stats.check_invariant(false, "an attempt is sent only for an open request");
        };
        debug!("request {:016x}: sent to {}", request.0, self.member_name(member));
        self.node.stats.check_invariant(start.is_only_attempt, "a request has at most one attempt in flight");
        let AttemptStart { statement, deadline, cancel_flag, .. } = start;
        let attempt = Attempt {
            request,
            statement,
            deadline,
            decided_at: now,
            list_version: self.node.lists_applied.get(),
            cancel_flag,
        };
        self.send_to_member(member, MemberMessage::Attempt(attempt));
    }

    /// Sends a request's final answer to its client.
    fn answer(&mut self, id: RequestId, answer: Answer) {
        // The request is no longer open if its client left meanwhile.
        let Some(OpenRequest { client, was_tried, in_flight_at, .. }) = self.requests.end(id) else { return };
        let stats = &self.node.stats;
        if !was_tried {
            stats.count(Counter::AnsweredWithoutAttempt);
        }
        stats.check_invariant(in_flight_at.is_none(), "no attempt is in flight when its request is answered");
        stats.count(match answer {
            Answer::Served(_) => Counter::Served,
            Answer::Refused(_) => Counter::Refused,
            Answer::Failed => Counter::Failed,
        });
        let _ = client.try_send(ClientMessage::Answer(id, answer));
    }

    /// Sends a message to a member's actor, which is started if it does not run yet.
    fn send_to_member(&mut self, member: MemberId, message: MemberMessage) {
        let Some(known) = self.members.get_mut(&member) else {
            return self.node.stats.check_invariant(false, "a member that is sent a message is known");
        };
        let start_actor = || self.transport.start(&self.node, &self.handle, member, known.address);
        let _ = known.actor.get_or_insert_with(start_actor).try_send(message);
    }

    /// Removes all that is kept for a member that has left for good, and stops its actor.
    fn forget(&mut self, member: MemberId) {
        let Some(known) = self.members.remove(&member) else { return };
        self.node.clock_skew.forget(member);
        self.ids.remove(&known.name);
        if let Occupied(mut same_tag) = self.tags.entry(known.tag) {
            same_tag.get_mut().retain(|id| *id != member);
            if same_tag.get().is_empty() {
                same_tag.remove();
            }
        }
        known.actor.iter().for_each(|actor| drop(actor.try_send(MemberMessage::Stop)));
    }

    /// Sends members' states to the other drivers.
    fn send_updates(&mut self, updates: &[MemberUpdate]) {
        let Some(peers) = &self.peers else { return };
        let known_updates =
            updates.iter().filter_map(|update| Some((update, self.members.get(&update.member)?)));
        // Drivers exchange times of the members' clocks, since their own clocks may differ.
        let theirs = |update: &MemberUpdate| self.node.clock_skew.to_members(update.position);
        let states = known_updates.map(|(update, known)| MemberState {
            member: known.tag,
            position: theirs(update),
            role: update.role,
        });
        let message = PeerMessage::MemberStates(states.collect());
        if peers.try_send(OutgoingMessage { to: None, message }).is_err() {
            self.node.stats.count(Counter::DatagramsDropped);
        }
    }

    /// Sends spill loans to the other drivers.
    fn send_loans(&mut self, mut loans: Vec<SpillLoan>) {
        let Some(peers) = &self.peers else { return };
        loans.iter_mut().for_each(|loan| loan.until = self.node.clock_skew.to_members(loan.until));
        // A loan is sent only to the driver that borrows.
        let mut by_driver: BTreeMap<Option<u32>, Vec<SpillLoan>> = BTreeMap::new();
        loans.into_iter().for_each(|loan| by_driver.entry(loan.to).or_default().push(loan));
        for (to, loans) in by_driver {
            let message = PeerMessage::Loans(loans);
            if peers.try_send(OutgoingMessage { to, message }).is_err() {
                self.node.stats.count(Counter::DatagramsDropped);
            }
        }
    }

    /// Records table sizes and zone states for the log, and fails requests that were not answered by their
    /// deadline. The decision module answers each in time; should it fail to, the client still gets an
    /// answer.
    fn sweep_overdue(&mut self) {
        let now = self.node.clock.now();
        if now < self.last_sweep + SWEEP_INTERVAL_US {
            return;
        }
        self.last_sweep = now;
        self.node.stats.record_sizes(self.router.sizes());
        self.node.stats.record_zones(self.router.zone_status(now));
        for id in self.requests.overdue(now) {
            warn!("request {} got no decision before its deadline; answering it as failed", id.0);
            self.node.stats.check_invariant(false, "every request is answered before its deadline");
            self.handle_at(now, &Event::ClientDisconnected(id));
            self.answer(id, Answer::Failed);
        }
    }
}
