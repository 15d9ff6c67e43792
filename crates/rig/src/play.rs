//! The actor that owns the day: it turns what happens on sockets into the day's events, and the day's orders into what
//! happens on sockets.

use std::cell::Cell;
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use beaconshore::interface::{Micros, Outcome as Ended, RequestId};
use beaconshore_emulator::live::{Live, Order, Welcome};
use beaconshore_emulator::plan::{DAWN, SECOND};
use beaconshore_emulator::queue::Queue;
use beaconshore_emulator::{Day, Plan};
use futures_lite::future;

use crate::agent::Agent;
use crate::clients::Clients;
use crate::config::{config, entry, Ways};
use crate::embedded::{Embedded, Event, FromRouter, Reply};
use crate::hub::Hub;
use crate::mail::{Back, Link, Mail, Under};
use crate::process::{Process, Program};
use crate::spawner::Spawner;
use crate::store::Store;

/// The day's clock is looked at this often at least.
const TICK: Duration = Duration::from_millis(20);
/// Progress is told this often.
const REPORT: Duration = Duration::from_secs(1);
/// Ended processes are looked for this often.
const WATCH: Duration = Duration::from_millis(100);
/// Time for so many processes to start before what counts begins.
const STARTS_IN_A_SECOND: u64 = 40;
const LEAST_LEAD: Micros = 2 * SECOND;
/// Time after the day in which what was asked is still answered.
const TAIL: Micros = 6 * SECOND;
/// Most mail that is taken between two looks at the clock.
const ROUND: usize = 256;

/// What a day on processes came to.
pub struct Outcome {
    /// The plan as it was played, with the time for starts before it.
    pub plan: Plan,
    /// The day.
    pub day: Day,
    /// Requests that reached each member.
    pub came: Vec<u64>,
    /// Datagrams that passed between processes, and those that were lost.
    pub passed: u64,
    /// Lost on their way.
    pub lost: u64,
    /// Connections that processes opened to members.
    pub connections: u64,
    /// Longest time by which the rig itself was late for an event of the day: above some tens of milliseconds a verdict on
    /// times is worth nothing.
    pub behind: Duration,
    /// Whether the day was broken off.
    pub broken_off: bool,
    /// When it began.
    pub began: Instant,
}

/// What the rig itself is to do at a time.
enum Later {
    /// Hand a datagram over.
    Pass { from: usize, to: usize, bytes: Rc<[u8]> },
    /// Let a process that stands still go on.
    GoOn(usize),
    /// Signal a process that was told to end once more.
    Signal(usize, FurtherSignal),
}

/// A signal to a process that was told to end already.
#[derive(Clone, Copy)]
enum FurtherSignal {
    Reload,
    Terminate,
}

/// When further signals follow the one that tells a process to end.
const FURTHER_SIGNALS: [(Micros, FurtherSignal); 4] = [
    (20_000, FurtherSignal::Reload),
    (60_000, FurtherSignal::Terminate),
    (300_000, FurtherSignal::Reload),
    (1_200_000, FurtherSignal::Terminate),
];

/// Who plays a day's routers.
pub struct Fleet<'f> {
    /// The program, for those that are processes.
    pub program: &'f Program,
    /// So many routers of each zone are processes, the others are embedded.
    pub processes_per_zone: usize,
    /// Where the others run, and what they say.
    pub embedded: Option<(&'f dyn Embedded, Receiver<FromRouter>)>,
    /// Whether there is an address that reaches all routers; else each message is sent to each of the others.
    pub broadcast: bool,
    /// Called about once a second.
    pub progress: &'f dyn Fn(Progress),
}

/// How far a day has come.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    /// Seconds of the day, the time for starts before it included.
    pub seconds: f64,
    /// Of so many.
    pub of: f64,
    /// How late the rig was for its own day since the last time this was called.
    pub late: Duration,
}

/// An attempt or a probe of an embedded router that waits for its reply.
struct Waits {
    router: usize,
    member: usize,
    /// The start of the member that its connection belongs to; none: a probe, or nothing came up.
    epoch: Option<u32>,
    request: Option<RequestId>,
}

struct Play<'p> {
    plan: &'p Plan,
    live: Live<'p>,
    seed: u64,
    began: Instant,
    offset: Micros,
    fleet: Fleet<'p>,
    folder: &'p Path,
    mail: Receiver<Mail>,
    hub: Hub,
    ways: Vec<Ways>,
    agents: Vec<Agent>,
    clients: Vec<Clients>,
    embedded_waits: HashMap<u64, Waits>,
    processes: Vec<Option<Process>>,
    /// Starts of each, to tell the word of an earlier one.
    starts: Vec<u64>,
    /// Connections that are up, by number, with the start of their process; and what each attempt or probe waits on.
    links: HashMap<u64, (Link, u64)>,
    waiting: HashMap<u64, Link>,
    later: Queue<Later>,
    outcome: Counts,
    /// How late it was since the last report.
    late: Micros,
}

#[derive(Default)]
struct Counts {
    came: Vec<u64>,
    passed: u64,
    lost: u64,
    connections: u64,
    behind: Micros,
}

impl Fleet<'_> {
    /// Whether a router of the day is embedded: routers of a zone have neighbouring numbers.
    fn embeds(&self, plan: &Plan, router: usize) -> bool {
        self.embedded.is_some() && router % plan.routers.per_zone >= self.processes_per_zone
    }
}

/// What came while the day waited.
enum Came {
    Time,
    Mail(Mail),
    FromRouter(FromRouter),
}

/// The address by which an embedded router names a member; nobody connects to it.
fn stand_in(member: usize) -> SocketAddr {
    ([127, 0, 0, 1], (member + 1) as u16).into()
}

static RUNS: AtomicU32 = AtomicU32::new(0);

/// An address for each process, of its own in this run: a port tried beforehand could be taken by another.
fn address(run: u32, number: usize, port: u16) -> SocketAddr {
    let id = process::id().wrapping_add(run.wrapping_mul(7919));
    let (a, b) = ((1 + id % 250) as u8, (1 + id / 250 % 250) as u8);
    ([127, a, b, (1 + number % 250) as u8], port + (number / 250) as u16).into()
}

/// Plays a day on processes of a program; it is broken off when `stop` is set.
pub fn run(plan: &Plan, seed: u64, program: &Program, stop: &AtomicBool) -> io::Result<Outcome> {
    let processes_per_zone = plan.routers.per_zone;
    let fleet = Fleet { program, processes_per_zone, embedded: None, broadcast: true, progress: &|_| {} };
    run_fleet(plan, seed, fleet, stop)
}

/// Plays a day on processes and embedded routers; it is broken off when `stop` is set.
pub fn run_fleet(plan: &Plan, seed: u64, fleet: Fleet, stop: &AtomicBool) -> io::Result<Outcome> {
    let lead =
        (plan.router_count() as u64 * SECOND / STARTS_IN_A_SECOND).max(LEAST_LEAD) / SECOND * SECOND + SECOND;
    let played = plan.clone().after(lead);
    let folder = tempfile::tempdir()?;
    let executor = Rc::new(LocalExecutor::new());
    let (sender, mail) = async_channel::unbounded();
    let spawner = Spawner::new(&executor);
    let mut play = Play::new(&played, seed, fleet, folder.path(), &spawner, (sender, mail))?;
    future::block_on(executor.run(play.all(stop)));
    let Counts { came, passed, lost, connections, behind, .. } = std::mem::take(&mut play.outcome);
    // All processes end here, before their files go.
    play.processes.clear();
    let began = play.began;
    let (day, broken_off) = (play.live.finish(), stop.load(Ordering::Relaxed));
    let behind = Duration::from_micros(behind);
    Ok(Outcome { plan: played, day, came, passed, lost, connections, behind, broken_off, began })
}

impl<'p> Play<'p> {
    fn new(
        plan: &'p Plan,
        seed: u64,
        fleet: Fleet<'p>,
        folder: &'p Path,
        spawner: &Spawner,
        (sender, mail): (Sender<Mail>, Receiver<Mail>),
    ) -> io::Result<Self> {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_err(io::Error::other)?;
        let offset = unix.as_micros() as Micros - DAWN;
        let routers = plan.router_count();
        let run = RUNS.fetch_add(1, Ordering::Relaxed);
        let listens: Vec<SocketAddr> = (0..routers).map(|n| address(run, n, 7946)).collect();
        let hub = Hub::new(listens.clone())?;
        hub.serve(spawner, &sender);
        let store =
            Store { spawner: spawner.clone(), mail: sender.clone(), next: Rc::new(Cell::new(0)), offset };
        let (mut ways, mut agents, mut clients) = (Vec::new(), Vec::new(), Vec::new());
        let listen = || Async::<TcpListener>::bind(([127, 0, 0, 1], 0));
        for (router, peer_listen) in listens.into_iter().enumerate() {
            let mut members = Vec::with_capacity(plan.member_count());
            for member in 0..plan.member_count() {
                if fleet.embeds(plan, router) {
                    members.push(stand_in(member));
                    continue;
                }
                let listener = listen()?;
                members.push(listener.get_ref().local_addr()?);
                store.serve(listener, router, member);
            }
            let (agent, listener) = (Agent::default(), listen()?);
            let at = listener.get_ref().local_addr()?;
            agent.serve(spawner, listener);
            agents.push(agent);
            let listen = address(run, router, 5432);
            let peers_all = if fleet.broadcast { Some(hub.all()?) } else { None };
            let peers = hub.peers_of(router)?;
            ways.push(Ways { listen, peer_listen, agent: at, members, peers, peers_all });
            clients.push(Clients::new(router, listen, spawner.clone(), sender.clone()));
        }
        Ok(Play {
            plan,
            live: Live::new(plan, seed),
            seed,
            began: Instant::now(),
            offset,
            fleet,
            folder,
            mail,
            hub,
            ways,
            agents,
            clients,
            embedded_waits: HashMap::new(),
            processes: (0..routers).map(|_| None).collect(),
            starts: vec![0; routers],
            links: HashMap::new(),
            waiting: HashMap::new(),
            later: Queue::new(DAWN),
            outcome: Counts { came: vec![0; plan.member_count()], ..Counts::default() },
            late: 0,
        })
    }

    fn now(&self) -> Micros {
        DAWN + self.began.elapsed().as_micros() as Micros
    }

    /// The whole day.
    async fn all(&mut self, stop: &AtomicBool) {
        // Sockets of a large fleet take their time: the day begins after that.
        self.began = Instant::now();
        self.live.begin();
        for router in 0..self.agents.len() {
            let entries = self.live.known(router).to_vec();
            entries.iter().for_each(|e| self.news(router, e));
        }
        let end = DAWN + self.plan.length + TAIL;
        let (mut watched, mail) = (Instant::now(), self.mail.clone());
        let never = async_channel::bounded(1);
        let embedded = self.fleet.embedded.as_ref().map_or(never.1, |(_, events)| events.clone());
        let mut reported = Instant::now();
        while self.now() < end && !stop.load(Ordering::Relaxed) {
            self.advance();
            if watched.elapsed() >= WATCH {
                watched = Instant::now();
                self.watch();
            }
            let next = [self.live.due(), self.later.due()].into_iter().flatten().min();
            let wait = next.map_or(TICK, |at| Duration::from_micros(at.saturating_sub(self.now())).min(TICK));
            if reported.elapsed() >= REPORT {
                reported = Instant::now();
                self.report();
            }
            let tick = async {
                Timer::after(wait).await;
                Came::Time
            };
            let from_mail = async { mail.recv().await.map_or(Came::Time, Came::Mail) };
            let from_router = async { embedded.recv().await.map_or(Came::Time, Came::FromRouter) };
            match future::or(from_mail, future::or(from_router, tick)).await {
                Came::Time => continue,
                // What came while the day's clock stood still came now.
                Came::Mail(mail) => {
                    self.live.advance(self.now());
                    self.take(mail);
                }
                Came::FromRouter(event) => {
                    self.live.advance(self.now());
                    self.take_embedded(event);
                }
            }
            for _ in 0..ROUND {
                match (mail.try_recv(), embedded.try_recv()) {
                    (Err(_), Err(_)) => break,
                    (mail, event) => {
                        mail.into_iter().for_each(|mail| self.take(mail));
                        event.into_iter().for_each(|event| self.take_embedded(event));
                    }
                }
            }
        }
    }

    fn advance(&mut self) {
        let now = self.now();
        if let Some(at) = self.live.due() {
            let late = now.saturating_sub(at);
            self.outcome.behind = self.outcome.behind.max(late);
            self.late = self.late.max(late);
        }
        self.live.advance(now);
        while let Some(later) = self.later.advance_to(now) {
            match later {
                Later::Pass { from, to, bytes } => self.hub.pass(from, to, &bytes),
                Later::GoOn(router) => self.processes[router].iter().for_each(Process::go_on),
                Later::Signal(router, signal) => self.signal_again(router, signal),
            }
        }
        self.obey();
    }

    // ---- What happens on sockets ----

    fn take(&mut self, mail: Mail) {
        match mail {
            Mail::Opened(link, reply) => {
                self.outcome.connections += 1;
                let welcome = self.live.connects(link.router, link.member);
                if matches!(welcome, Welcome::After(..)) {
                    let start = self.starts[link.router];
                    self.links.insert(link.number, (link, start));
                }
                let _ = reply.try_send(welcome);
            }
            Mail::Came { request, token, link, epoch, first } => {
                // What a process sent right before it was killed is lost with its connections, wherever it is by now.
                let alive = self.processes[link.router].is_some();
                let sender = self.links.get(&link.number).map(|(_, start)| *start);
                if !alive || sender != Some(self.starts[link.router]) {
                    let _ = link.back.try_send(Back::Reset);
                    return;
                }
                self.outcome.came[link.member] += 1;
                self.close_earlier(request, link.router);
                let at = (link.router, link.member);
                self.waiting.insert(token, link);
                self.live.came(request, token, at, epoch, first);
            }
            Mail::Probe { token, link } => {
                let (router, member) = (link.router, link.member);
                self.waiting.insert(token, link);
                self.live.probes(token, router, member);
            }
            Mail::Closed { number, router, member, epoch, under } => {
                self.links.remove(&number);
                self.live.disconnects(member, epoch);
                if let Some(Under { request, token }) = under {
                    self.waiting.remove(&token);
                    request.into_iter().for_each(|request| self.live.left(request, token, router));
                }
            }
            Mail::Answered { request, router, answer } => self.live.answered(request, router, answer),
            Mail::Dropped { request, router, taken } => self.live.dropped(request, router, taken),
            Mail::Ready { router, start } if start == self.starts[router] => self.live.ready(router),
            Mail::Ready { .. } => {}
            Mail::Datagram { from, to, bytes } => {
                if to.is_none() {
                    self.live.tells();
                }
                let all = 0..self.agents.len();
                for to in all.filter(|n| *n != from && to.is_none_or(|to| to == *n)) {
                    match self.live.hears(from, to) {
                        Some(after) => {
                            self.outcome.passed += 1;
                            let bytes = bytes.clone();
                            self.later.at(self.now() + after, Later::Pass { from, to, bytes });
                        }
                        None => self.outcome.lost += 1,
                    }
                }
            }
        }
        self.obey();
    }

    /// A process that gave an attempt up has closed its connection before it sent the next; that the socket of the next is
    /// read first is no second attempt.
    fn close_earlier(&mut self, request: RequestId, router: usize) {
        let Some(token) = self.live.attempt(request, router) else { return };
        let Some(link) = self.waiting.get(&token) else { return };
        if link.socket.get_ref().peek(&mut [0]).is_ok_and(|count| count == 0) {
            self.live.left(request, token, router);
            self.waiting.remove(&token);
        }
    }

    // ---- What the day orders ----

    fn obey(&mut self) {
        for order in self.live.orders() {
            match order {
                Order::Start(router) => self.start(router),
                Order::Kill(router) => self.kill(router),
                Order::SendOff(router) | Order::SignalInSeries(router) if self.embeds(router) => {
                    self.host(|host| host.leave(router))
                }
                Order::Still(router, after) if self.embeds(router) => {
                    self.host(|host| host.stand_still(router, after));
                }
                Order::Ask(ask) if self.embeds(ask.router) => {
                    let offset = self.offset;
                    self.host(|host| host.ask(ask, offset));
                }
                Order::SendOff(router) => self.processes[router].iter_mut().for_each(Process::send_off),
                Order::SignalInSeries(router) => {
                    self.processes[router].iter_mut().for_each(Process::send_off);
                    for (after, signal) in FURTHER_SIGNALS {
                        self.later.at(self.now() + after, Later::Signal(router, signal));
                    }
                }
                Order::Still(router, after) => {
                    self.processes[router].iter().for_each(Process::stop);
                    self.later.at(self.now() + after, Later::GoOn(router));
                }
                Order::Ask(ask) => self.clients[ask.router].ask(self.plan, &ask, self.offset),
                Order::Say(token, said) => {
                    let reset = said.outcome == Ended::Reset;
                    if self.embedded_waits.contains_key(&token) {
                        self.reply(token, if reset { Reply::Reset } else { Reply::Said(said) });
                        continue;
                    }
                    self.back(token, if reset { Back::Reset } else { Back::Say(said) });
                }
                Order::Probed(token, report) if self.embedded_waits.contains_key(&token) => {
                    self.reply(token, Reply::Probed(report));
                }
                Order::Probed(token, report) => {
                    self.back(token, Back::Probed(report));
                }
                Order::Reset(router, member) if self.embeds(router) => {
                    let hit = |(_, w): &(&u64, &Waits)| (w.router, w.member) == (router, member);
                    let tokens: Vec<u64> =
                        self.embedded_waits.iter().filter(hit).map(|(token, _)| *token).collect();
                    tokens.into_iter().for_each(|token| self.reply(token, Reply::Reset));
                }
                Order::Reset(router, member) => {
                    let hit = |(link, _): &&(Link, u64)| (link.router, link.member) == (router, member);
                    for (link, _) in self.links.values().filter(hit) {
                        let _ = link.back.try_send(Back::Reset);
                    }
                }
                Order::News(router, entry) => self.news(router, &entry),
            }
        }
    }

    /// A process that has been replaced since gets no signal that was meant for the one before.
    fn signal_again(&mut self, router: usize, signal: FurtherSignal) {
        let Some(process) = self.processes[router].as_mut().filter(|process| process.told) else { return };
        match signal {
            FurtherSignal::Reload => process.reload(),
            FurtherSignal::Terminate => process.send_off(),
        }
    }

    fn back(&mut self, token: u64, back: Back) {
        if let Some(link) = self.waiting.remove(&token) {
            let _ = link.back.try_send(back);
        }
    }

    fn news(&mut self, router: usize, of: &beaconshore::interface::ListEntry) {
        let told = entry(self.plan, &self.ways[router], of, |at| at + self.offset);
        self.agents[router].tell(told);
    }

    fn start(&mut self, router: usize) {
        self.starts[router] += 1;
        let known = self.agents[router].listing(0, true).1;
        let seed =
            (self.seed ^ (router as u64 + 1) << 20 ^ self.starts[router]).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let (zone, ways) = (self.live.zone(router), &self.ways[router]);
        let config = config(self.plan, router, zone, ways, known, seed);
        if self.embeds(router) {
            return self.host(|host| host.start(router, self.starts[router], &config));
        }
        match self.fleet.program.start(&config, router, self.folder) {
            Ok(process) => {
                self.processes[router] = Some(process);
                self.clients[router].await_ready(self.starts[router]);
                self.clients[router].rest(self.plan.clients.resting);
            }
            Err(e) => {
                eprintln!(
                    "process {router} of {} could not be started: {e}",
                    self.fleet.program.path.display()
                );
                self.live.ended(router, false);
            }
        }
    }

    fn kill(&mut self, router: usize) {
        if !self.embeds(router) {
            self.processes[router] = None;
            return self.clients[router].forget();
        }
        self.host(|host| host.kill(router));
        let (waits, live) = (&mut self.embedded_waits, &mut self.live);
        waits.retain(|_, w| {
            let over = w.router == router;
            w.epoch.filter(|_| over).into_iter().for_each(|epoch| live.disconnects(w.member, epoch));
            !over
        });
    }

    // ---- Embedded routers ----

    fn embeds(&self, router: usize) -> bool {
        self.fleet.embeds(self.plan, router)
    }

    fn host(&self, order: impl FnOnce(&dyn Embedded)) {
        if let Some((host, _)) = &self.fleet.embedded {
            order(*host);
        }
    }

    fn take_embedded(&mut self, from: FromRouter) {
        let FromRouter { router, start, event } = from;
        if start != self.starts[router] {
            return;
        }
        match event {
            Event::Ready => self.live.ready(router),
            Event::Ended => {
                self.kill(router);
                self.live.ended(router, true);
            }
            Event::Attempt { request, token, member } => self.attempt(router, request, token, member),
            Event::Probe { token, member } => {
                self.embedded_waits.insert(token, Waits { router, member, epoch: None, request: None });
                self.live.probes(token, router, member);
            }
            Event::GaveUp { request, token } => {
                let Some(waits) = self.embedded_waits.remove(&token) else { return };
                waits.epoch.into_iter().for_each(|epoch| self.live.disconnects(waits.member, epoch));
                request.into_iter().for_each(|request| self.live.left(request, token, router));
            }
            Event::Answered { request, answer } => self.live.answered(request, router, answer),
        }
        self.obey();
    }

    fn attempt(&mut self, router: usize, request: RequestId, token: u64, member: usize) {
        self.outcome.came[member] += 1;
        let waits = |epoch| Waits { router, member, epoch, request: Some(request) };
        match self.live.connects(router, member) {
            Welcome::After(_, epoch) => {
                self.embedded_waits.insert(token, waits(Some(epoch)));
                // Idle connections are kept in service: what a new one costs a member is not played.
                self.live.came(request, token, (router, member), epoch, false);
            }
            Welcome::Refused(_) => self.host(|host| host.reply(router, token, Reply::Unreachable)),
            Welcome::Silence => drop(self.embedded_waits.insert(token, waits(None))),
        }
    }

    /// A member replies to an embedded router.
    fn reply(&mut self, token: u64, reply: Reply) {
        let Some(waits) = self.embedded_waits.remove(&token) else { return };
        waits.epoch.into_iter().for_each(|epoch| self.live.disconnects(waits.member, epoch));
        if let (Reply::Reset, Some(request)) = (&reply, waits.request) {
            self.live.left(request, token, waits.router);
        }
        self.host(|host| host.reply(waits.router, token, reply));
    }

    fn report(&mut self) {
        let seconds = self.began.elapsed().as_secs_f64();
        let of = (self.plan.length + TAIL) as f64 / SECOND as f64;
        let late = Duration::from_micros(std::mem::take(&mut self.late));
        (self.fleet.progress)(Progress { seconds, of, late });
    }

    /// Looks for processes that ended by themselves.
    fn watch(&mut self) {
        for router in 0..self.processes.len() {
            let Some(process) = &mut self.processes[router] else { continue };
            if process.ended().is_some() {
                let told = process.told;
                self.processes[router] = None;
                self.live.ended(router, told);
            }
        }
        self.obey();
    }
}
