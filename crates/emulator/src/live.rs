//! A day whose routers are processes outside: the same members, logs, list, clients and faults, on a clock that is
//! not its own.
//!
//! Owns the day; what it wants done outside it says as orders, and what happened there it is told. It opens no socket and
//! reads no clock: whoever hosts it does. The audit goes by what members and clients saw, never by what a router says.

use beaconshore::interface::{ListEntry, Micros, Outcome, Report, RequestId};

use crate::audit::Audit;
use crate::baseline::Brains;
use crate::client::Answer;
use crate::member::Job;
use crate::network::Way;
use crate::plan::Plan;
use crate::router::{Open, Out};
use crate::tally::Day;
use crate::world::{Ev, Told, World, CONNECT};

/// Slack of drains and bounds where processes share a machine with all that surrounds them.
const SLACK: Micros = 150_000;
/// An answer later than its request's time by this is lost; before, it only earns nothing.
pub(crate) const GRACE: Micros = 500_000;

/// What is to be done outside.
#[derive(Clone, Debug)]
pub enum Order {
    /// Start a router's process.
    Start(usize),
    /// Kill it.
    Kill(usize),
    /// Tell it to end.
    SendOff(usize),
    /// Tell a router to end by signals in series: SIGTERM, then SIGHUP and SIGTERM by turns.
    SignalInSeries(usize),
    /// Stop it, and let it go on after this time.
    Still(usize, Micros),
    /// A client asks.
    Ask(Box<Ask>),
    /// A member answers an attempt.
    Say(u64, Box<Said>),
    /// It answers a probe.
    Probed(u64, Report),
    /// All connections between a router and a member are reset.
    Reset(usize, usize),
    /// A router's agent learns of a member.
    News(usize, Box<ListEntry>),
}

/// A client's request.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Its id.
    pub id: RequestId,
    /// Its client: the key of all its tries.
    pub key: u64,
    /// The router that it goes to.
    pub router: usize,
    /// Class.
    pub class: usize,
    /// Group.
    pub group: usize,
    /// Session.
    pub session: usize,
    /// Time that is left.
    pub budget: Micros,
    /// Whether the client asked before.
    pub repeat: bool,
    /// Its session's last commit.
    pub after: Option<Micros>,
}

/// A member's answer.
#[derive(Clone, Debug)]
pub struct Said {
    /// How the attempt ended.
    pub outcome: Outcome,
    /// What its note says.
    pub note: beaconshore::interface::ReplyStatus,
    /// What its report says.
    pub report: Report,
}

/// What becomes of a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Welcome {
    /// It is up after this time, at this start of the member.
    After(Micros, u32),
    /// It is refused after this time.
    Refused(Micros),
    /// Nothing ever comes back.
    Silence,
}

/// The day.
pub struct Live<'p> {
    world: World<'p>,
}

impl<'p> Live<'p> {
    /// A day that has not begun.
    pub fn new(plan: &'p Plan, seed: u64) -> Self {
        let mut world = World::new(plan, Brains::Plain, seed);
        world.outside = Some(Vec::new());
        world.audit = Audit::with_slack(SLACK, GRACE);
        Live { world }
    }

    /// It begins.
    pub fn begin(&mut self) {
        self.world.begin();
    }

    /// All that is due until then happens; the present is that time.
    pub fn advance(&mut self, now: Micros) {
        while let Some(event) = self.world.queue.advance_to(now) {
            self.world.happen(event);
        }
    }

    /// When something is due next.
    pub fn due(&self) -> Option<Micros> {
        self.world.queue.due()
    }

    /// What is to be done outside, in order.
    pub fn orders(&mut self) -> Vec<Order> {
        self.world.outside.as_mut().map(std::mem::take).unwrap_or_default()
    }

    /// The list as a router last had it.
    pub fn known(&self, router: usize) -> &[ListEntry] {
        &self.world.routers[router].known
    }

    /// Zone of a router.
    pub fn zone(&self, router: usize) -> usize {
        self.world.routers[router].zone
    }

    /// How many routers there are.
    pub fn routers(&self) -> usize {
        self.world.routers.len()
    }

    /// A router's process opens a connection to a member.
    pub fn connects(&mut self, router: usize, member: usize) -> Welcome {
        match self.world.welcome(router, member) {
            Welcome::After(trip, epoch) => Welcome::After(trip.min(CONNECT), epoch),
            other => other,
        }
    }

    /// A connection that was up is closed; it belonged to this start of its member.
    pub fn disconnects(&mut self, member: usize, epoch: u32) {
        let m = &mut self.world.members[member];
        if m.epoch == epoch {
            m.connections = m.connections.saturating_sub(1);
        }
    }

    /// The last byte of a request came on a connection of that start of a member; `first` on this connection.
    pub fn came(
        &mut self,
        request: RequestId,
        token: u64,
        (router, member): (usize, usize),
        epoch: u32,
        first: bool,
    ) {
        let world = &mut self.world;
        let now = world.now();
        world.day.second(now).attempts += 1;
        world.audit.sent(world.plan, request, token, (router, member), now);
        let process = (router, world.routers[router].epoch);
        let Some(open) = world.routers[router].open.get_mut(&request) else { return };
        open.tries += 1;
        open.out = Some(Out { member, token, began: now, sent: Some(now) });
        let story = open.story;
        let Some(story) = world.stories.get(&story) else { return };
        let work = story.work + if first { world.plan.members.handshake } else { 0.0 };
        let job = Job { request, token, router, epoch: process.1, class: story.class, work, sent: now };
        world.count_spill(router, request, member);
        let (zone, to) = (world.routers[router].zone, world.members[member].zone);
        if world.network.passes(zone, to, Way::Out) {
            let delay = world.network.delay(zone, to);
            world.queue.after(delay, Ev::AtMember(job, epoch));
        }
    }

    /// The attempt of a request that is out.
    pub fn attempt(&self, request: RequestId, router: usize) -> Option<u64> {
        Some(self.world.routers[router].open.get(&request)?.out?.token)
    }

    /// The connection of an attempt that is out is gone: its router gave it up, or its process died.
    pub fn left(&mut self, request: RequestId, token: u64, router: usize) {
        let world = &mut self.world;
        let now = world.now();
        let Some(open) = world.routers[router].open.get_mut(&request) else { return };
        let Some(out) = open.out.filter(|out| out.token == token) else { return };
        open.out = None;
        if world.plan.members.drops_cancelled {
            world.members[out.member].cancel(token);
        }
        world.audit.ended(request, token, out.sent.unwrap_or(now), false);
    }

    /// A router's process probes a member.
    pub fn probes(&mut self, token: u64, router: usize, member: usize) {
        let world = &mut self.world;
        let now = world.now();
        world.day.second(now).probes += 1;
        let (zone, to) = (world.routers[router].zone, world.members[member].zone);
        let trip = world.network.delay(zone, to) + world.network.delay(to, zone);
        if !world.network.passes_both(zone, to) || !world.members[member].is_up() {
            return;
        }
        let told = world.say(member, RequestId(0), token, Outcome::Served, None);
        if let Some(role) = told.note.role {
            world.audit.role(router, member, role, now);
        }
        world.queue.after(trip, Ev::Outside(Box::new(Order::Probed(token, told.report))));
    }

    /// A router's process told all others something.
    pub fn tells(&mut self) {
        let now = self.world.now();
        self.world.day.second(now).told += 1;
    }

    /// Time for a message between two routers; none: it is lost.
    pub fn hears(&mut self, from: usize, to: usize) -> Option<Micros> {
        let receiver = &self.world.routers[to];
        let listens = receiver.alive && receiver.still_until <= self.world.now();
        listens.then(|| self.world.word_delay(from, to)).flatten()
    }

    /// A client got its answer.
    pub fn answered(&mut self, request: RequestId, router: usize, answer: Answer) {
        let world = &mut self.world;
        // What its process left behind when it was killed is nobody's answer any more.
        if !world.routers[router].open.contains_key(&request) {
            return;
        }
        let Some(open) = world.settle(router, request, answer) else { return };
        let answer = if let Answer::Served(_) = answer { Answer::Served(open.commit) } else { answer };
        world.at_client(open.story, answer);
    }

    /// A client's connection ended under its request, or never came up. Where its router lives, that loses the
    /// request if the router had taken it.
    pub fn dropped(&mut self, request: RequestId, router: usize, taken: bool) {
        let world = &mut self.world;
        let now = world.now();
        let Some(open) = world.routers[router].open.remove(&request) else { return };
        if taken && world.routers[router].alive {
            world.audit.dropped(request, now);
        } else {
            world.audit.released(request);
        }
        world.at_client(open.story, Answer::Failed);
    }

    /// A router's process answers: clients find it.
    pub fn ready(&mut self, router: usize) {
        self.world.routers[router].leaving = false;
    }

    /// A router's process ended by itself: a crash, unless it was told to.
    pub fn ended(&mut self, router: usize, told: bool) {
        let world = &mut self.world;
        let now = world.now();
        let process = &world.routers[router];
        if process.alive && !told {
            world.audit.crashed(now);
        }
        if process.alive {
            world.stop_router(router);
        }
    }

    /// The day's outcome.
    pub fn finish(self) -> Day {
        self.world.finish()
    }
}

impl World<'_> {
    /// Says what is to be done outside, if the routers are there; in virtual days nothing is made for it.
    pub(crate) fn order(&mut self, order: impl FnOnce() -> Order) {
        if let Some(orders) = &mut self.outside {
            orders.push(order());
        }
    }

    /// A client's request goes to the process of a router.
    pub(crate) fn hand_out(&mut self, story_id: u64, id: RequestId, router: usize) {
        let now = self.now();
        let Some(story) = self.stories.get(&story_id) else { return };
        let Open { ends, .. } = self.routers[router].open[&id];
        let ask = Ask {
            id,
            key: story_id,
            router,
            class: story.class,
            group: story.group,
            session: story.session,
            budget: ends - now,
            repeat: story.left < self.plan.clients.retries,
            after: self.sessions[story.group][story.session],
        };
        self.order(|| Order::Ask(Box::new(ask)));
    }

    /// An answer reaches the process of a router.
    pub(crate) fn say_outside(&mut self, router: usize, told: Told) {
        let now = self.now();
        let Some(out) = self.out(router, told.request, told.token) else { return };
        self.witness(router, &told, out);
        let Told { request, token, outcome, note, report, .. } = told;
        self.audit.ended(request, token, out.sent.unwrap_or(now), outcome.never_ran());
        if let Some(open) = self.routers[router].open.get_mut(&request) {
            open.out = None;
            open.commit = note.position.filter(|_| outcome == Outcome::Served);
        }
        self.order(|| Order::Say(token, Box::new(Said { outcome, note, report })));
    }

    /// All that is out between a router and a member whose process died is reset.
    pub(crate) fn reset_outside(&mut self, router: usize, member: usize) {
        let now = self.now();
        for (request, open) in &mut self.routers[router].open {
            if let Some(out) = open.out.filter(|out| out.member == member) {
                open.out = None;
                self.audit.ended(*request, out.token, out.sent.unwrap_or(now), false);
            }
        }
        self.order(|| Order::Reset(router, member));
    }
}
