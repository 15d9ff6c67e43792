//! The world of one day: takes what happens next, and lets members, routers, clients and the list act on it.

use std::collections::BTreeMap;

use beaconshore::interface::{
    ListEntry, ListedState, MemberUpdate, Micros, Outcome, ReplyStatus, Report, RequestId, SpillLoan,
};

use crate::audit::Audit;
use crate::baseline::Brains;
use crate::client::{Answer, Arrivals, Story};
use crate::discovery::Discovery;
use crate::draws::{Draws, Purpose};
use crate::live::Order;
use crate::log::{Applied, Log};
use crate::member::{Job, Member};
use crate::network::Network;
use crate::plan::{Plan, DAWN, SECOND};
use crate::queue::Queue;
use crate::router::Router;
use crate::tally::Day;

/// A connection that is not up after this never comes up.
pub(crate) const CONNECT: Micros = 250_000;
/// A probe without an answer for this long has failed.
pub(crate) const PROBE: Micros = 250_000;
/// Attempts of a baseline for one request.
pub(crate) const BASELINE_TRIES: u32 = 3;
/// An election that finds nobody is held again after this.
pub(crate) const ELECT_AGAIN: Micros = 500_000;
/// A router that starts anew has the whole list after this.
pub(crate) const RELIST: Micros = 100_000;
/// A router that is told to end has this long to finish what it has.
pub(crate) const PARTING: Micros = SECOND;
/// Time until a router is killed whose clients go on using it: the longest deadline, three seconds at most, and this.
pub(crate) const PARTING_IN_USE: Micros = 700_000;
pub(crate) const LONGEST_DEADLINE: Micros = 3 * SECOND;
/// Time beyond a request's end after which an answer is owed no more.
pub(crate) const OWED: Micros = 60_000;

/// A router's process: which, and which start of it.
pub(crate) type Process = (usize, u32);

/// An answer of a member on its way.
pub(crate) struct Told {
    pub(crate) request: RequestId,
    pub(crate) token: u64,
    pub(crate) member: usize,
    pub(crate) member_epoch: u32,
    pub(crate) outcome: Outcome,
    pub(crate) note: ReplyStatus,
    pub(crate) report: Report,
    /// Position that the data had, and whether its member has been primary.
    pub(crate) data: (Micros, bool),
}

impl Told {
    /// The same answer lost on its way: its connection breaks.
    pub(crate) fn lost(self) -> Told {
        let (note, report) = Default::default();
        Told { outcome: Outcome::Reset, note, report, ..self }
    }
}

/// What happens.
pub(crate) enum Ev {
    Arrive,
    Ask(u64),
    AskRouter(u64, RequestId, Process),
    Timer(Process),
    Connected(Process, RequestId, u64, Option<u32>),
    AtMember(Job, u32),
    Done(usize, u32, usize),
    Told(Process, Box<Told>),
    AttemptOver(Process, RequestId, u64),
    AtClient(u64, Answer),
    Over(RequestId, Process),
    ProbeAt(Process, usize),
    Probed(Process, usize, Option<Box<Report>>),
    News(Process, Box<ListEntry>, u64),
    Relist(Process),
    Leave(Process),
    Words(Process, Vec<MemberUpdate>),
    SpillLoans(Process, u32, Vec<SpillLoan>),
    Reset(Process, usize, u32),
    Strike(usize),
    Heal(usize, Vec<usize>),
    GiveUp(usize, u64),
    Elect(usize, u64),
    Notice(usize, u32, ListedState),
    NoticeRole(usize, usize),
    Outside(Box<Order>),
    Second,
}

/// The world.
pub(crate) struct World<'p> {
    pub(crate) plan: &'p Plan,
    pub(crate) brains: Brains,
    pub(crate) queue: Queue<Ev>,
    pub(crate) network: Network,
    pub(crate) members: Vec<Member>,
    pub(crate) groups: Vec<Vec<usize>>,
    pub(crate) logs: Vec<Log>,
    /// The true primary of each group, and a count of its changes.
    pub(crate) primaries: Vec<(Option<usize>, u64)>,
    pub(crate) discovery: Discovery,
    pub(crate) routers: Vec<Router>,
    pub(crate) arrivals: Arrivals,
    pub(crate) faults: Draws,
    pub(crate) member_draws: Draws,
    pub(crate) choices: Draws,
    pub(crate) stories: BTreeMap<u64, Story>,
    /// Last commit that each session knows of.
    pub(crate) sessions: Vec<Vec<Option<Micros>>>,
    pub(crate) next: u64,
    pub(crate) audit: Audit,
    pub(crate) day: Day,
    /// Work that spilled of late: by zone, the sends of the last second.
    pub(crate) spills: Vec<std::collections::VecDeque<(Micros, f64)>>,
    pub(crate) spill_sums: Vec<f64>,
    pub(crate) busy: Vec<f64>,
    pub(crate) seed: u64,
    /// Where the routers are processes: what is to be done there.
    pub(crate) outside: Option<Vec<Order>>,
}

/// Plays a day with routers of one kind; the same seed gives the same day.
pub fn play(plan: &Plan, brains: Brains, seed: u64) -> Day {
    let mut world = World::new(plan, brains, seed);
    world.begin();
    let end = DAWN + plan.length;
    while let Some(event) = world.queue.advance() {
        if world.queue.now() > end {
            break;
        }
        world.happen(event);
    }
    world.finish()
}

impl<'p> World<'p> {
    pub(crate) fn new(plan: &'p Plan, brains: Brains, seed: u64) -> Self {
        let mut member_draws = Draws::new(seed, Purpose::Members);
        let mut discovery = Discovery::new(plan.discovery.clone(), Draws::new(seed, Purpose::Discovery));
        let (mut members, mut groups, mut logs, mut primaries) =
            (Vec::new(), Vec::new(), Vec::new(), Vec::new());
        for (group, zones) in plan.groups.members.iter().enumerate() {
            let log = Log::default();
            let first = members.len();
            groups.push((first..first + zones.len()).collect::<Vec<_>>());
            for (i, zone) in zones.iter().enumerate() {
                let speed = member_draws.around(1e6, plan.members.speed_spread) as f64 / 1e6;
                let applied = match i {
                    0 => Applied::all(&log, DAWN),
                    _ => Applied::replica(DAWN, plan.groups.ship),
                };
                let mut member = Member::new(group, *zone, speed, &plan.members, applied, DAWN);
                member.was_primary = i == 0;
                members.push(member);
                discovery.add(group, *zone, i == 0);
            }
            logs.push(log);
            primaries.push((Some(first), 0));
        }
        let count = members.len();
        let arrivals = Arrivals::new(plan, seed);
        let sessions = vec![vec![None; arrivals.sessions()]; groups.len()];
        let zones = plan.zones.len();
        World {
            plan,
            brains,
            queue: Queue::new(DAWN),
            network: Network::new(plan.delays.clone(), plan.jitter, Draws::new(seed, Purpose::Network)),
            members,
            groups,
            logs,
            primaries,
            discovery,
            routers: Vec::new(),
            arrivals,
            faults: Draws::new(seed, Purpose::Faults),
            member_draws,
            choices: Draws::new(seed, Purpose::Baselines),
            stories: BTreeMap::new(),
            sessions,
            next: 1,
            audit: Audit::default(),
            day: Day::new(plan),
            spills: vec![Default::default(); zones],
            spill_sums: vec![0.0; zones],
            busy: vec![0.0; count],
            seed,
            outside: None,
        }
    }

    pub(crate) fn begin(&mut self) {
        for zone in 0..self.plan.zones.len() {
            for _ in 0..self.plan.routers.per_zone {
                let idle = vec![Vec::new(); self.members.len()];
                let known = self.discovery.entries().to_vec();
                self.routers.push(Router {
                    zone,
                    alive: false,
                    leaving: false,
                    told_to_end: false,
                    epoch: 0,
                    still_until: 0,
                    steering: None,
                    open: BTreeMap::new(),
                    idle,
                    known,
                    versions: vec![0; self.members.len()],
                });
            }
        }
        (0..self.routers.len()).for_each(|router| self.start_router(router));
        for i in 0..self.plan.strikes.len() {
            self.queue.at(DAWN + self.plan.strikes[i].at, Ev::Strike(i));
        }
        let first = self.arrivals.wait();
        self.queue.after(first, Ev::Arrive);
        self.queue.after(SECOND, Ev::Second);
    }

    pub(crate) fn finish(mut self) -> Day {
        let now = self.queue.now();
        for router in &mut self.routers {
            let zones = router.steering.as_mut().map(|s| s.zone_status(now)).unwrap_or_default();
            self.day.turns += zones.iter().map(|z| z.preference_changes).sum::<u64>();
        }
        // What is still open at the end has earned nothing, and is not counted against anyone.
        let open = std::mem::take(&mut self.stories);
        for story in open.into_values().filter(|s| s.counts) {
            let second = self.day.second(story.asked);
            second.asked -= self.plan.classes[story.class].class.value;
            second.stories -= 1;
        }
        self.day.breaches = self.audit.breaches();
        self.day
    }

    pub(crate) fn now(&self) -> Micros {
        self.queue.now()
    }

    pub(crate) fn happen(&mut self, event: Ev) {
        match event {
            Ev::Arrive => self.arrive(),
            Ev::Ask(story) => self.ask(story),
            Ev::AskRouter(story, id, to) => self.at_router(to, Ev::AskRouter(story, id, to)),
            Ev::Timer(p) => self.at_router(p, Ev::Timer(p)),
            Ev::Connected(p, r, t, e) => self.at_router(p, Ev::Connected(p, r, t, e)),
            Ev::Told(p, told) => self.at_router(p, Ev::Told(p, told)),
            Ev::AttemptOver(p, r, t) => self.at_router(p, Ev::AttemptOver(p, r, t)),
            Ev::Probed(p, m, report) => self.at_router(p, Ev::Probed(p, m, report)),
            Ev::News(p, entry, version) => self.at_router(p, Ev::News(p, entry, version)),
            Ev::Relist(p) => self.at_router(p, Ev::Relist(p)),
            Ev::Leave((router, epoch)) => self.leave(router, epoch),
            Ev::Words(p, words) => self.at_router(p, Ev::Words(p, words)),
            Ev::SpillLoans(p, from, talks) => self.at_router(p, Ev::SpillLoans(p, from, talks)),
            Ev::Reset(p, m, e) => self.at_router(p, Ev::Reset(p, m, e)),
            Ev::AtMember(job, epoch) => self.at_member(job, epoch),
            Ev::Done(member, epoch, slot) => self.done(member, epoch, slot),
            Ev::AtClient(story, answer) => self.at_client(story, answer),
            Ev::Over(request, process) => self.over(request, process),
            Ev::ProbeAt(process, member) => self.probe_at(process, member),
            Ev::Strike(strike) => self.strike(strike),
            Ev::Heal(strike, struck) => self.heal(strike, &struck),
            Ev::GiveUp(group, number) => self.give_up(group, number),
            Ev::Elect(group, number) => self.elect(group, number),
            Ev::Notice(member, epoch, listed) => self.notice(member, epoch, listed),
            Ev::NoticeRole(group, primary) => self.notice_role(group, primary),
            Ev::Outside(order) => self.order(|| *order),
            Ev::Second => self.second(),
        }
    }
}
