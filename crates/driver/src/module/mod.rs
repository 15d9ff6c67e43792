//! The module's actor: it owns the decision module with its planners and the table of open requests. Here alone messages become
//! events and actions become messages. What is open is kept by `requests`, without I/O.

pub mod mail;
pub mod requests;

use std::collections::hash_map::Entry::Occupied;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use async_channel::{Receiver, Sender};
use async_io::Timer;
use beaconshore::interface::{
    Action, AttemptResult, Event, GroupId, ListEntry, ListKind, ListedState, MemberId, MemberUpdate, Micros,
    Outcome, Request, RequestId, Role, SpillLoan, ZoneId,
};
use beaconshore_steering::{Connection, Steering};
use futures_lite::future;
use log::{info, warn};

use crate::client::{Answer, ClientMail};
use crate::config::Config;
use crate::control::MemberTransport;
use crate::listing::{Instance, Lifecycle, Listing, LEADER};
use crate::member::{Attempt, AttemptEnd, MemberMail};
use crate::meter::Work;
use crate::peers::{self, MemberState, MemberTag, Outgoing, PeerMessage, Peers};
use crate::pg;
use crate::stats::Counter;
use crate::Node;

pub use mail::{Arrival, Confirmed, Login, Mail, ModuleHandle, Statement};
use requests::{Arrived, Open, Requests, Sending};

/// Lists that may wait; discovery waits with more, the module never waits for discovery.
const LISTS: usize = 4;
/// Datagrams that may wait; further ones are dropped, as datagrams may be.
const DATAGRAMS: usize = 64;
/// Overdue requests are looked for this often.
const SWEEP: Micros = 100_000;
struct Known {
    /// What the list calls it.
    name: Rc<str>,
    /// What drivers call it among each other.
    tag: MemberTag,
    address: SocketAddr,
    /// Its actor, once there was mail for it.
    actor: Option<Sender<MemberMail>>,
}

/// The module's actor.
pub struct Module {
    node: Rc<Node>,
    router: Steering,
    mail: Receiver<Mail>,
    lists: Receiver<Listing>,
    words: Receiver<(u32, PeerMessage)>,
    handle: ModuleHandle,
    peers: Option<Sender<Outgoing>>,
    transport: Rc<dyn MemberTransport>,
    open: Requests<Sender<ClientMail>>,
    /// Members by their ids here, until the decision module forgets them.
    members: HashMap<MemberId, Known>,
    ids: HashMap<Rc<str>, MemberId>,
    /// Members by what drivers call them among each other: hundreds of drivers tell of one a thousand times a second.
    tags: HashMap<MemberTag, Vec<MemberId>>,
    /// How many members were ever listed: no id is given twice.
    listed: u32,
    due: Option<Instant>,
    swept: Micros,
}

impl Module {
    /// The actor, and the way to it.
    pub fn new(
        node: Rc<Node>,
        config: &Config,
        peers: Option<&Peers>,
        transport: Rc<dyn MemberTransport>,
    ) -> (Self, ModuleHandle) {
        let (mail_sender, mail) = async_channel::unbounded();
        let (list_sender, lists) = async_channel::bounded(LISTS);
        let (word_sender, words) = async_channel::bounded(DATAGRAMS);
        let handle = ModuleHandle { mail: mail_sender, lists: list_sender, words: word_sender };
        let router = {
            let (settings, plans) = (node.site.settings.clone(), config.plans.clone());
            Steering::new(settings, plans, config.seed, node.clock.now())
        };
        let (open, members, ids, tags, listed, due, swept) = Default::default();
        let (peers, given) = (peers.map(Peers::mailbox), handle.clone());
        let module = Module {
            node,
            router,
            mail,
            lists,
            words,
            handle,
            peers,
            transport,
            open,
            members,
            ids,
            tags,
            listed,
            due,
            swept,
        };
        (module, given)
    }

    /// Starts from the list last known, and handles all that comes.
    pub async fn run(mut self, known: Listing) {
        enum Next {
            List(Listing),
            Mail(Mail),
            Words(u32, PeerMessage),
            Timer,
        }
        self.on_list(ListKind::Cached, known);
        let (lists, mail, words) = (self.lists.clone(), self.mail.clone(), self.words.clone());
        let node = self.node.clone();
        let mut timer = Timer::never();
        let mut set = None;
        loop {
            if set != self.due {
                set = self.due;
                match set {
                    Some(at) => timer.set_at(at),
                    None => timer = Timer::never(),
                }
            }
            let list = async { lists.recv().await.map(Next::List) };
            let due = async {
                (&mut timer).await;
                Ok(Next::Timer)
            };
            let mail = async { mail.recv().await.map(Next::Mail) };
            let words = async { words.recv().await.map(|(from, mail)| Next::Words(from, mail)) };
            // What binds goes first; a timer that is due is not to wait for an empty mailbox.
            match future::or(list, future::or(due, future::or(mail, words))).await {
                Err(_) => return,
                Ok(Next::List(listing)) => {
                    let kind = if listing.reset { ListKind::Full } else { ListKind::Delta };
                    node.meter.measure(Work::List, || self.on_list(kind, listing));
                }
                Ok(Next::Mail(mail)) => node.meter.measure(Work::Traffic, || self.on_mail(mail)),
                Ok(Next::Words(from, mail)) => {
                    node.meter.measure(Work::PeerMessages, || self.on_peer(from, mail));
                }
                Ok(Next::Timer) => {
                    (self.due, set) = (None, None);
                    if self.node.stalls.beat(self.node.clock.now()) {
                        self.node.stats.count(Counter::Standstills);
                    }
                    node.meter.measure(Work::Timer, || {
                        self.handle(&Event::Timer);
                        self.sweep();
                    });
                }
            }
        }
    }

    fn on_mail(&mut self, mail: Mail) {
        match mail {
            Mail::Request(arrival) => self.on_request(*arrival),
            Mail::HungUp(id) => self.on_hang_up(id),
            Mail::AttemptEnded(end) => self.on_end(*end),
            Mail::ProbeEnded(member, outcome, mut report) => {
                report.position = report.position.map(|p| self.node.skew.ours(p));
                self.handle(&Event::ProbeEnded { member, outcome, report });
            }
            Mail::Finish => self.finish(),
            Mail::Routes(policy) => self.router.reload_routes(policy, self.node.clock.now()),
            Mail::Confirm(request, member, reply) => {
                let (at, lists) = (self.node.clock.now(), self.node.lists.get());
                // A client that has gone may not have been heard of here yet.
                let allowed = self.open.is_wanted(request) && self.router.confirm(at, request, member);
                let _ = reply.try_send(Confirmed { allowed, at, lists });
            }
        }
    }

    fn on_peer(&mut self, from: u32, mail: PeerMessage) {
        match mail {
            PeerMessage::MemberStates(words) => {
                let words: Vec<MemberUpdate> = words.iter().filter_map(|w| self.word(w)).collect();
                self.handle(&Event::PeerUpdates(words));
            }
            PeerMessage::Loans(mut loans) => {
                loans.iter_mut().for_each(|loan| loan.until = self.node.skew.ours(loan.until));
                self.handle(&Event::SpillLoans(from, loans));
            }
            // Compared by the peers' actor.
            PeerMessage::Digest(_) => {}
        }
    }

    // ---- Messages to events ----

    fn on_list(&mut self, kind: ListKind, listing: Listing) {
        self.node.stats.count(Counter::Lists);
        self.node.lists.set(self.node.lists.get() + 1);
        // What is gone and not known tells nothing.
        let says =
            |i: &Instance| i.lifecycle != Lifecycle::Gone || self.ids.contains_key(i.instance_id.as_str());
        let instances: Vec<Instance> = listing.instances.into_iter().filter(says).collect();
        let entries: Vec<ListEntry> = instances.into_iter().map(|i| self.entry(i)).collect();
        self.handle(&Event::List(kind, &entries));
    }

    fn entry(&mut self, instance: Instance) -> ListEntry {
        let address = instance.host_port;
        let member = match self.ids.get(instance.instance_id.as_str()) {
            Some(&id) => id,
            None => {
                let (id, name) = (MemberId(self.listed), Rc::<str>::from(instance.instance_id));
                self.listed += 1;
                let tag = peers::tag(&name);
                self.members.insert(id, Known { name: name.clone(), tag, address, actor: None });
                self.ids.insert(name, id);
                self.tags.entry(tag).or_default().push(id);
                id
            }
        };
        if let Some(known) = self.members.get_mut(&member).filter(|known| known.address != address) {
            known.address = address;
            known.actor.iter().for_each(|actor| drop(actor.try_send(MemberMail::Address(address))));
        }
        let zone = self.node.site.dialect.zones.iter().position(|name| *name == instance.zone);
        ListEntry {
            member,
            group: GroupId(instance.cell),
            zone: ZoneId(zone.map_or(u16::MAX, |index| index as u16)),
            listed: match instance.lifecycle {
                Lifecycle::Ready => ListedState::Ready,
                Lifecycle::Draining => ListedState::Draining,
                Lifecycle::Gone => ListedState::Gone,
            },
            started: Some(instance.started_at_ms.saturating_mul(1000))
                .filter(|&at| at > 0)
                .map(|at| self.node.skew.ours(at)),
            primary: instance.role.as_deref() == Some(LEADER),
        }
    }

    fn on_request(&mut self, arrival: Arrival) {
        let now = self.node.clock.now();
        let Arrival { id, class, session, ends, repeat, statement, client, login, cancel_flag, .. } = arrival;
        let text = self.router.is_routed().then(|| statement.clone());
        match self.open.arrive(id, client, statement, ends, cancel_flag) {
            Arrived::Taken => {}
            Arrived::Left => return self.node.stats.count(Counter::HungUp),
            Arrived::Twice => self.node.stats.check(false, "a request is taken once"),
        }
        let request = Request {
            id,
            class,
            group: GroupId(arrival.group),
            session,
            budget: ends.saturating_sub(now),
            repeat,
            last_write_ago: arrival
                .after
                .map(|ms| now.saturating_sub(self.node.skew.ours(ms.saturating_mul(1000)))),
        };
        let Some(text) = text else { return self.handle_at(now, &Event::Request(request)) };
        let connection = Connection { client: login.address, user: &login.user, database: &login.database };
        let mut actions = Vec::new();
        self.router.request(now, &request, connection, pg::statement(&text.text), &mut actions);
        actions.into_iter().for_each(|action| self.perform(now, action));
    }

    fn on_hang_up(&mut self, id: RequestId) {
        // Its answer may have been on the way.
        let Some(out) = self.open.leave(id) else { return };
        self.node.stats.count(Counter::HungUp);
        if let Some(member) = out {
            self.mail_member(member, MemberMail::Cancel(id));
        }
        self.handle(&Event::ClientDisconnected(id));
    }

    /// Fails what is open: nothing is promised of it.
    fn finish(&mut self) {
        for (id, open) in self.open.finish() {
            open.out.into_iter().for_each(|member| self.mail_member(member, MemberMail::Cancel(id)));
            self.handle(&Event::ClientDisconnected(id));
            self.node.stats.count(Counter::Failed);
            if !open.tried {
                self.node.stats.count(Counter::Untried);
            }
            let _ = open.client.try_send(ClientMail::Answer(id, Answer::Failed));
        }
    }

    fn on_end(&mut self, end: AttemptEnd) {
        let AttemptEnd { request, member, outcome, served, told, took } = end;
        self.node.stats.check(self.open.ended(request, member), "an attempt that ends was out");
        let counter = match outcome {
            Outcome::Error => Some(Counter::Errors),
            Outcome::Rejected => Some(Counter::TurnedAway),
            Outcome::Misdirected => Some(Counter::Misplaced),
            Outcome::Unreachable => Some(Counter::Unreachable),
            Outcome::Reset => Some(Counter::Resets),
            Outcome::TimedOut => Some(Counter::TimedOut),
            Outcome::NeverSent => Some(Counter::Unsent),
            // Counted with the request.
            Outcome::Served | Outcome::Cancelled => None,
        };
        counter.into_iter().for_each(|counter| self.node.stats.count(counter));
        if outcome == Outcome::Served {
            self.answer(request, Answer::Served(served));
        }
        let finished = !self.open.is_open(request);
        let (mut note, mut report) = (told.note, told.report);
        if let Some(at) = note.position.filter(|_| note.role == Some(Role::Primary)) {
            self.compare_clocks(at);
        }
        for position in [&mut note.position, &mut report.position] {
            *position = position.map(|p| self.node.skew.ours(p));
        }
        self.handle(&Event::AttemptEnded(AttemptResult {
            request,
            member,
            outcome,
            note,
            took,
            finished,
            report,
        }));
    }

    /// A primary said that it was this time just now.
    fn compare_clocks(&self, at: Micros) {
        if self.node.skew.sample(at, self.node.clock.now()) {
            warn!("this machine's clock is {} ms ahead of the members'", self.node.skew.difference() / 1000);
        }
    }

    /// What a peer said, if it is plain of which member.
    fn word(&self, word: &MemberState) -> Option<MemberUpdate> {
        let [member] = self.tags.get(&word.member)?[..] else { return None };
        Some(MemberUpdate { member, position: self.node.skew.ours(word.position), role: word.role })
    }

    // ---- Actions to messages ----

    fn handle(&mut self, event: &Event) {
        self.handle_at(self.node.clock.now(), event);
    }

    fn handle_at(&mut self, now: Micros, event: &Event) {
        let mut actions = Vec::new();
        self.router.handle(now, event, &mut actions);
        actions.into_iter().for_each(|action| self.perform(now, action));
    }

    fn perform(&mut self, now: Micros, action: Action) {
        match action {
            Action::Send { request, member, wait } => self.send(now, request, member, wait),
            Action::Refuse { request, retry_after } => self.answer(request, Answer::Refused(retry_after)),
            Action::Fail(request) => self.answer(request, Answer::Failed),
            Action::CloseIdle(member) => self.mail_member(member, MemberMail::CloseIdle),
            Action::Probe(member) => self.mail_member(member, MemberMail::Probe),
            Action::Forget(member) => self.forget(member),
            Action::SendPeerUpdates(words) => self.tell(&words),
            Action::SpillLoans(loans) => self.send_loans(loans),
            Action::SetTimer(after) => {
                self.due = Some(self.node.clock.instant(now + after));
                self.node.stalls.expect(now, now + after);
            }
            // The watch is always on.
            Action::Subscribe => {}
            Action::Log(line) => info!("{line}"),
        }
    }

    fn send(&mut self, now: Micros, request: RequestId, member: MemberId, wait: Micros) {
        let Some(sending) = self.open.send(request, member, wait, now) else {
            return self.node.stats.check(false, "what is sent is open");
        };
        self.node.stats.check(sending.alone, "a request has one attempt out");
        let Sending { statement, ends, cancel_flag, .. } = sending;
        let attempt =
            Attempt { request, statement, ends, sent: now, lists: self.node.lists.get(), cancel_flag };
        self.mail_member(member, MemberMail::Attempt(attempt));
    }

    fn answer(&mut self, request: RequestId, answer: Answer) {
        // A hang-up may have crossed an answer.
        let Some(Open { client, tried, out, .. }) = self.open.answer(request) else { return };
        let stats = &self.node.stats;
        if !tried {
            stats.count(Counter::Untried);
        }
        stats.check(out.is_none(), "no attempt is out when its request is answered");
        stats.count(match answer {
            Answer::Served(_) => Counter::Served,
            Answer::Refused(_) => Counter::Refused,
            Answer::Failed => Counter::Failed,
        });
        let _ = client.try_send(ClientMail::Answer(request, answer));
    }

    fn mail_member(&mut self, member: MemberId, mail: MemberMail) {
        let Some(known) = self.members.get_mut(&member) else {
            return self.node.stats.check(false, "a member that gets mail is known");
        };
        let start = || self.transport.start(&self.node, &self.handle, member, known.address);
        let _ = known.actor.get_or_insert_with(start).try_send(mail);
    }

    /// Gives back all that belongs to a member that left for good.
    fn forget(&mut self, member: MemberId) {
        let Some(known) = self.members.remove(&member) else { return };
        self.ids.remove(&known.name);
        if let Occupied(mut named) = self.tags.entry(known.tag) {
            named.get_mut().retain(|id| *id != member);
            if named.get().is_empty() {
                named.remove();
            }
        }
        known.actor.iter().for_each(|actor| drop(actor.try_send(MemberMail::End)));
    }

    fn tell(&mut self, words: &[MemberUpdate]) {
        let Some(peers) = &self.peers else { return };
        let named = words.iter().filter_map(|w| Some((w, self.members.get(&w.member)?)));
        // Drivers tell each other the members' time: their own clocks may differ.
        let theirs = |w: &MemberUpdate| self.node.skew.theirs(w.position);
        let words =
            named.map(|(w, known)| MemberState { member: known.tag, position: theirs(w), role: w.role });
        let message = PeerMessage::MemberStates(words.collect());
        if peers.try_send(Outgoing { to: None, message }).is_err() {
            self.node.stats.count(Counter::Dropped);
        }
    }

    fn send_loans(&mut self, mut loans: Vec<SpillLoan>) {
        let Some(peers) = &self.peers else { return };
        loans.iter_mut().for_each(|loan| loan.until = self.node.skew.theirs(loan.until));
        // What is lent goes to its borrower only.
        let mut by_driver: BTreeMap<Option<u32>, Vec<SpillLoan>> = BTreeMap::new();
        loans.into_iter().for_each(|loan| by_driver.entry(loan.to).or_default().push(loan));
        for (to, loans) in by_driver {
            let message = PeerMessage::Loans(loans);
            if peers.try_send(Outgoing { to, message }).is_err() {
                self.node.stats.count(Counter::Dropped);
            }
        }
    }

    /// The module answers every request before its time; should it ever fail to, the client is still told.
    fn sweep(&mut self) {
        let now = self.node.clock.now();
        if now < self.swept + SWEEP {
            return;
        }
        self.swept = now;
        self.node.stats.note(self.router.sizes());
        self.node.stats.note_zones(self.router.zones(now));
        for id in self.open.overdue(now) {
            warn!("request {} was not decided in time", id.0);
            self.node.stats.check(false, "every request is answered in time");
            self.handle_at(now, &Event::ClientDisconnected(id));
            self.answer(id, Answer::Failed);
        }
    }
}
