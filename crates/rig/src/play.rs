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
use crate::hub::Hub;
use crate::mail::{Back, Link, Mail, Under};
use crate::process::{Process, Program};
use crate::store::Store;

/// The day's clock is looked at this often at least.
const TICK: Duration = Duration::from_millis(20);
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
}

/// What the rig itself is to do at a time.
enum Later {
    /// Hand a datagram over.
    Pass { from: usize, to: usize, bytes: Rc<[u8]> },
    /// Let a process that stands still go on.
    GoOn(usize),
}

struct Play<'p> {
    plan: &'p Plan,
    live: Live<'p>,
    seed: u64,
    began: Instant,
    offset: Micros,
    program: &'p Program,
    folder: &'p Path,
    mail: Receiver<Mail>,
    hub: Hub,
    ways: Vec<Ways>,
    agents: Vec<Agent>,
    clients: Vec<Clients>,
    processes: Vec<Option<Process>>,
    /// Starts of each, to tell the word of an earlier one.
    starts: Vec<u64>,
    /// Connections that are up, by number, with the start of their process; and what each attempt or probe waits on.
    links: HashMap<u64, (Link, u64)>,
    waiting: HashMap<u64, Link>,
    later: Queue<Later>,
    outcome: Counts,
}

#[derive(Default)]
struct Counts {
    came: Vec<u64>,
    passed: u64,
    lost: u64,
    connections: u64,
    behind: Micros,
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
    let lead =
        (plan.router_count() as u64 * SECOND / STARTS_IN_A_SECOND).max(LEAST_LEAD) / SECOND * SECOND + SECOND;
    let played = plan.clone().after(lead);
    let folder = tempfile::tempdir()?;
    let executor = Rc::new(LocalExecutor::new());
    let (sender, mail) = async_channel::unbounded();
    let mut play = Play::new(&played, seed, program, folder.path(), &executor, (sender, mail))?;
    future::block_on(executor.run(play.all(stop)));
    let Counts { came, passed, lost, connections, behind, .. } = std::mem::take(&mut play.outcome);
    // All processes end here, before their files go.
    play.processes.clear();
    let (day, broken_off) = (play.live.finish(), stop.load(Ordering::Relaxed));
    let behind = Duration::from_micros(behind);
    Ok(Outcome { plan: played, day, came, passed, lost, connections, behind, broken_off })
}

impl<'p> Play<'p> {
    fn new(
        plan: &'p Plan,
        seed: u64,
        program: &'p Program,
        folder: &'p Path,
        executor: &Rc<LocalExecutor<'static>>,
        (sender, mail): (Sender<Mail>, Receiver<Mail>),
    ) -> io::Result<Self> {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_err(io::Error::other)?;
        let offset = unix.as_micros() as Micros - DAWN;
        let routers = plan.router_count();
        let run = RUNS.fetch_add(1, Ordering::Relaxed);
        let listens: Vec<SocketAddr> = (0..routers).map(|n| address(run, n, 7946)).collect();
        let hub = Hub::new(listens.clone())?;
        hub.serve(executor, &sender);
        let store =
            Store { executor: executor.clone(), mail: sender.clone(), next: Rc::new(Cell::new(0)), offset };
        let (mut ways, mut agents, mut clients) = (Vec::new(), Vec::new(), Vec::new());
        let listen = || Async::<TcpListener>::bind(([127, 0, 0, 1], 0));
        for (router, peer_listen) in listens.into_iter().enumerate() {
            let mut members = Vec::with_capacity(plan.member_count());
            for member in 0..plan.member_count() {
                let listener = listen()?;
                members.push(listener.get_ref().local_addr()?);
                store.serve(listener, router, member);
            }
            let (agent, listener) = (Agent::default(), listen()?);
            let at = listener.get_ref().local_addr()?;
            agent.serve(executor, listener);
            agents.push(agent);
            let listen = address(run, router, 5432);
            let (peers, peers_all) = (hub.peers_of(router)?, hub.all()?);
            ways.push(Ways { listen, peer_listen, agent: at, members, peers, peers_all });
            clients.push(Clients::new(router, listen, executor.clone(), sender.clone()));
        }
        Ok(Play {
            plan,
            live: Live::new(plan, seed),
            seed,
            began: Instant::now(),
            offset,
            program,
            folder,
            mail,
            hub,
            ways,
            agents,
            clients,
            processes: (0..routers).map(|_| None).collect(),
            starts: vec![0; routers],
            links: HashMap::new(),
            waiting: HashMap::new(),
            later: Queue::new(DAWN),
            outcome: Counts { came: vec![0; plan.member_count()], ..Counts::default() },
        })
    }

    fn now(&self) -> Micros {
        DAWN + self.began.elapsed().as_micros() as Micros
    }

    /// The whole day.
    async fn all(&mut self, stop: &AtomicBool) {
        self.live.begin();
        for router in 0..self.agents.len() {
            let entries = self.live.known(router).to_vec();
            entries.iter().for_each(|e| self.news(router, e));
        }
        let end = DAWN + self.plan.length + TAIL;
        let (mut watched, mail) = (Instant::now(), self.mail.clone());
        while self.now() < end && !stop.load(Ordering::Relaxed) {
            self.advance();
            if watched.elapsed() >= WATCH {
                watched = Instant::now();
                self.watch();
            }
            let next = [self.live.due(), self.later.due()].into_iter().flatten().min();
            let wait = next.map_or(TICK, |at| Duration::from_micros(at.saturating_sub(self.now())).min(TICK));
            let tick = async {
                Timer::after(wait).await;
                None
            };
            if let Some(first) = future::or(async { mail.recv().await.ok() }, tick).await {
                // What came while the day's clock stood still came now.
                self.live.advance(self.now());
                self.take(first);
                for _ in 0..ROUND {
                    let Ok(more) = mail.try_recv() else { break };
                    self.take(more);
                }
            }
        }
    }

    fn advance(&mut self) {
        let now = self.now();
        if let Some(at) = self.live.due() {
            self.outcome.behind = self.outcome.behind.max(now.saturating_sub(at));
        }
        self.live.advance(now);
        while let Some(later) = self.later.advance_to(now) {
            match later {
                Later::Pass { from, to, bytes } => self.hub.pass(from, to, &bytes),
                Later::GoOn(router) => self.processes[router].iter().for_each(Process::go_on),
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
                Order::Kill(router) => {
                    self.processes[router] = None;
                    self.clients[router].forget();
                }
                Order::SendOff(router) => self.processes[router].iter_mut().for_each(Process::send_off),
                Order::Still(router, after) => {
                    self.processes[router].iter().for_each(Process::stop);
                    self.later.at(self.now() + after, Later::GoOn(router));
                }
                Order::Ask(ask) => self.clients[ask.router].ask(self.plan, &ask, self.offset),
                Order::Say(token, said) => {
                    let reset = said.outcome == Ended::Reset;
                    self.back(token, if reset { Back::Reset } else { Back::Say(said) });
                }
                Order::Probed(token, report) => {
                    self.back(token, Back::Probed(report));
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

    fn back(&mut self, token: u64, back: Back) {
        if let Some(link) = self.waiting.remove(&token) {
            let _ = link.back.try_send(back);
        }
    }

    fn news(&mut self, router: usize, of: &beaconshore::interface::Entry) {
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
        match self.program.start(&config, router, self.folder) {
            Ok(process) => {
                self.processes[router] = Some(process);
                self.clients[router].await_ready(self.starts[router]);
            }
            Err(e) => {
                eprintln!("process {router} of {} could not be started: {e}", self.program.path.display());
                self.live.ended(router, false);
            }
        }
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
