//! What routers do in a day: they start, stop, hear of the list, take requests and answer them.

use beaconshore::interface::{
    Action, Consistency, Event, GroupId, ListEntry, ListKind, MemberId, Micros, Outcome, Report, Request,
    RequestId, SessionId, Settings, SpillLoan, ZoneId,
};
use beaconshore_steering::{PlannerPolicies, Steering};
use beaconshore_zones::Policy;

use crate::baseline::Brains;
use crate::client::Answer;
use crate::live::{Order, GRACE};
use crate::plan::DAWN;
use crate::router::Open;
use crate::world::*;

impl World<'_> {
    /// What reaches a router waits while it stands still, and is lost with its process.
    pub(crate) fn at_router(&mut self, (router, epoch): Process, event: Ev) {
        let now = self.now();
        let process = &self.routers[router];
        if !process.alive || process.epoch != epoch {
            if let Ev::AskRouter(story, ..) = event {
                // The front has not noticed: the client learns only by its own patience.
                let notice = self.plan.clients.notice;
                self.queue.after(notice, Ev::AtClient(story, Answer::Failed));
            }
            return;
        }
        if process.still_until > now && self.outside.is_none() {
            let until = process.still_until;
            return self.queue.at(until, event);
        }
        match event {
            Ev::AskRouter(story, request, to) => self.take(story, request, to),
            Ev::Timer(_) => self.tell(router, &Event::Timer),
            Ev::Connected(_, request, token, member) => self.connected(router, request, token, member),
            Ev::Told(_, told) if self.outside.is_some() => self.say_outside(router, *told),
            Ev::Told(_, told) => self.told(router, *told),
            Ev::AttemptOver(_, request, token) => self.attempt_over(router, request, token),
            Ev::Probed(_, member, report) => {
                let outcome = if report.is_some() { Outcome::Served } else { Outcome::TimedOut };
                let report = report.map_or_else(Report::default, |r| *r);
                if let Some(role) = report.role {
                    self.audit.role(router, member, role, now);
                }
                let member = MemberId(member as u32);
                self.tell(router, &Event::ProbeEnded { member, outcome, report });
            }
            Ev::News(_, entry, version) => {
                let had = &mut self.routers[router].versions[entry.member.0 as usize];
                // A watch tells in order: what is older than what was told is not told any more.
                if *had < version {
                    *had = version;
                    self.news(router, ListKind::Delta, &[*entry]);
                }
            }
            Ev::Relist(_) => {
                self.routers[router].versions.copy_from_slice(self.discovery.versions());
                let entries = self.discovery.entries().to_vec();
                self.news(router, ListKind::Full, &entries);
            }
            Ev::Words(_, words) => {
                for word in &words {
                    self.audit.heard(router, word.member.0 as usize, word.role, word.position);
                }
                self.tell(router, &Event::PeerUpdates(words));
            }
            Ev::SpillLoans(_, from, talks) => self.tell(router, &Event::SpillLoans(from, talks)),
            Ev::Reset(_, member, _) if self.outside.is_some() => self.reset_outside(router, member),
            Ev::Reset(_, member, epoch) => self.reset(router, member, epoch),
            _ => {}
        }
    }

    pub(crate) fn start_router(&mut self, router: usize) {
        let now = self.now();
        let process = &mut self.routers[router];
        (process.alive, process.leaving, process.told_to_end) = (true, false, false);
        process.epoch += 1;
        let epoch = process.epoch;
        process.idle.iter_mut().for_each(Vec::clear);
        process.open.clear();
        if self.outside.is_some() {
            // Clients find it once it answers.
            self.routers[router].leaving = true;
            self.audit.restarted(router);
            return self.order(|| Order::Start(router));
        }
        let settings = Settings { zone: ZoneId(process.zone as u16), ..self.plan.settings.clone() };
        let number = Some(router as u32);
        let plans = match self.brains {
            Brains::Planned => Some(PlannerPolicies {
                zones: self.plan.policy.clone().map(|p| Policy { router_number: number, ..p }),
                routes: self.plan.routes.clone(),
                classes: self.plan.classes.iter().map(|c| c.name.clone()).collect(),
            }),
            Brains::Plain => Some(PlannerPolicies::default()),
            _ => None,
        };
        let seed = self.seed ^ ((router as u64) << 32 | u64::from(epoch)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        process.steering = plans.map(|plans| Box::new(Steering::new(settings, plans, seed, now)));
        self.audit.restarted(router);
        let known = std::mem::take(&mut self.routers[router].known);
        self.news(router, ListKind::Cached, &known);
        self.queue.after(RELIST, Ev::Relist((router, epoch)));
    }

    /// A router is told to end: clients find others, unless they go on using it, and it goes once it had time to
    /// finish.
    pub(crate) fn send_off(&mut self, router: usize, in_use: bool) {
        self.routers[router].told_to_end = true;
        self.routers[router].leaving = !in_use;
        self.order(|| if in_use { Order::SignalInSeries(router) } else { Order::SendOff(router) });
        let process = (router, self.routers[router].epoch);
        let longest = self.plan.classes.iter().map(|c| c.class.deadline).max().unwrap_or(0);
        let parting = if in_use { longest.min(LONGEST_DEADLINE) + PARTING_IN_USE } else { PARTING };
        self.queue.after(parting, Ev::Leave(process));
    }

    pub(crate) fn leave(&mut self, router: usize, epoch: u32) {
        if self.routers[router].epoch == epoch && self.routers[router].alive {
            self.stop_router(router);
        }
    }

    pub(crate) fn stand_still(&mut self, router: usize, until: Micros) {
        self.routers[router].still_until = until;
        let after = until.saturating_sub(self.now());
        self.order(|| Order::Still(router, after));
    }

    pub(crate) fn stop_router(&mut self, router: usize) {
        let process = &mut self.routers[router];
        process.alive = false;
        process.steering = None;
        let open = std::mem::take(&mut process.open);
        for (request, open) in open {
            self.audit.released(request);
            let notice = self.plan.clients.notice.min(open.ends.saturating_sub(self.queue.now()));
            self.queue.after(notice, Ev::AtClient(open.story, Answer::Failed));
        }
        self.order(|| Order::Kill(router));
        for member in 0..self.members.len() {
            let closed = self.routers[router].idle[member].len();
            let m = &mut self.members[member];
            m.connections = m.connections.saturating_sub(closed);
            self.routers[router].idle[member].clear();
        }
    }

    pub(crate) fn news(&mut self, router: usize, kind: ListKind, entries: &[ListEntry]) {
        let now = self.now();
        for entry in entries {
            let member = entry.member.0 as usize;
            self.audit.told(router, member, entry.listed, now);
            match self.routers[router].known.iter_mut().find(|e| e.member == entry.member) {
                Some(known) => *known = entry.clone(),
                None => self.routers[router].known.push(entry.clone()),
            }
            self.order(|| Order::News(router, Box::new(entry.clone())));
        }
        self.tell(router, &Event::List(kind, entries));
    }

    /// Hands an event to a router's composition and does what that says.
    pub(crate) fn tell(&mut self, router: usize, event: &Event) {
        let now = self.now();
        let mut actions = Vec::new();
        let Some(steering) = &mut self.routers[router].steering else { return };
        steering.handle(now, event, &mut actions);
        actions.into_iter().for_each(|action| self.perform(router, action));
    }

    pub(crate) fn perform(&mut self, router: usize, action: Action) {
        let now = self.now();
        let process = (router, self.routers[router].epoch);
        match action {
            Action::Send { request, member, timeout: wait } => {
                self.attempt(router, request, member.0 as usize, wait)
            }
            Action::Refuse { request, retry_after } => {
                self.answer(router, request, Answer::Refused(retry_after))
            }
            Action::Fail(request) => self.answer(router, request, Answer::Failed),
            Action::CloseIdle(member) => {
                let member = member.0 as usize;
                let closed = std::mem::take(&mut self.routers[router].idle[member]).len();
                let m = &mut self.members[member];
                m.connections = m.connections.saturating_sub(closed);
            }
            Action::Probe(member) => self.probe(process, member.0 as usize),
            Action::Forget(_) | Action::Subscribe | Action::ReportPrimary(_) => {}
            Action::SendPeerUpdates(words) => {
                self.day.second(now).told += 1;
                self.tell_peers(router, |p| Some(Ev::Words(p, words.clone())));
            }
            Action::SpillLoans(talks) => self.tell_peers(router, |p| {
                // What is lent goes to its borrower only.
                let own = talks.iter().filter(|t| t.to.is_none_or(|to| to as usize == p.0));
                let own: Vec<SpillLoan> = own.cloned().collect();
                (!own.is_empty()).then_some(Ev::SpillLoans(p, router as u32, own))
            }),
            Action::SetTimer(after) => self.queue.after(after, Ev::Timer(process)),
            Action::Log(line) => self.day.lines.push((now - DAWN, router, line)),
        }
    }

    pub(crate) fn take(&mut self, story_id: u64, request: RequestId, to: Process) {
        let now = self.now();
        let Some(story) = self.stories.get(&story_id).cloned() else { return };
        let class = &self.plan.classes[story.class].class;
        let ends = story.asked + class.deadline;
        if ends <= now {
            return self.at_client(story_id, Answer::Failed);
        }
        let commit = self.sessions[story.group][story.session];
        let floor = commit.filter(|_| class.consistency == Consistency::Session).unwrap_or(0);
        self.day.taken += 1;
        self.audit.taken(request, story.class, floor, ends);
        let owed = if self.outside.is_some() { GRACE } else { OWED };
        self.queue.at(ends + owed, Ev::Over(request, to));
        let open = Open { story: story_id, ends, floor, tries: 0, out: None, commit: None };
        self.routers[to.0].open.insert(request, open);
        if self.outside.is_some() {
            return self.hand_out(story_id, request, to.0);
        }
        if self.routers[to.0].steering.is_none() {
            return self.decide(to.0, request);
        }
        let session = (story.group * 1_000_000 + story.session) as u64;
        let event = Event::Request(Request {
            id: request,
            class: story.class,
            group: GroupId(story.group as u32),
            session: Some(SessionId(session)),
            budget: ends - now,
            is_repeat: story.left < self.plan.clients.retries,
            last_write_ago: commit.map(|at| now.saturating_sub(at)),
        });
        self.tell(to.0, &event);
    }

    /// A router's final answer is audited and counted; its request, if it was open.
    pub(crate) fn settle(&mut self, router: usize, request: RequestId, answer: Answer) -> Option<Open> {
        let now = self.now();
        let refused = matches!(answer, Answer::Refused(_));
        self.audit.answered(self.plan, request, refused, now);
        let open = self.routers[router].open.remove(&request)?;
        let second = self.day.second(now);
        match answer {
            Answer::Served(_) => {}
            Answer::Refused(_) => second.refused += 1,
            Answer::Failed => second.failed += 1,
        }
        Some(open)
    }

    pub(crate) fn answer(&mut self, router: usize, request: RequestId, answer: Answer) {
        let Some(open) = self.settle(router, request, answer) else { return };
        let Some(story) = self.stories.get(&open.story) else { return };
        let delay = self.network.delay(self.routers[router].zone, story.zone);
        self.queue.after(delay, Ev::AtClient(open.story, answer));
    }
}
