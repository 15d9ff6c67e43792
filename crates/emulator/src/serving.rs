//! What members do with what reaches them, and what they say of themselves.

use beaconshore::interface::{Consistency, Micros, Outcome, ReplyStatus, Report, RequestId, Role};

use crate::member::{Health, Job, Received};
use crate::network::Way;
use crate::router::{Idle, Out};
use crate::world::*;

impl World<'_> {
    pub(crate) fn at_member(&mut self, job: Job, epoch: u32) {
        let now = self.now();
        let process = (job.router, job.epoch);
        let Some(out) = self.out(job.router, job.request, job.token).filter(|_| {
            let p = &self.routers[job.router];
            p.alive && p.epoch == job.epoch
        }) else {
            return;
        };
        let member = out.member;
        let m = &mut self.members[member];
        let up = m.is_up();
        if m.epoch != epoch && m.health != Health::Silent {
            // Its machine knows nothing of this connection.
            let told = Told {
                request: job.request,
                token: job.token,
                member,
                member_epoch: epoch,
                outcome: Outcome::Reset,
                note: ReplyStatus::default(),
                report: Report::default(),
                data: (0, false),
            };
            return self.tell_router(process, told);
        }
        if !up {
            return;
        }
        let primary = self.primaries[m.group].0 == Some(member);
        let consistency = self.plan.classes[job.class].class.consistency;
        let handing_over = self.logs[m.group].ends.is_some();
        if consistency == Consistency::Write && (!primary || handing_over) {
            return self.turn_away(process, &job, member, Outcome::Misdirected);
        }
        let rules = self.plan.rules();
        self.audit.came(self.plan, job.request, job.class, member, now);
        self.advance(member);
        let received = self.members[member].receive(job.clone(), rules, now);
        if self.members[member].is_pushed_over(rules, now) {
            self.members[member].stop(Health::Refusing, now);
            self.members[member].fallen = true;
            self.audit.fell(member, now);
            self.day.fallen += 1;
            return self.lost(member);
        }
        match received {
            Received::Runs(slot, ends) => {
                let epoch = self.members[member].epoch;
                self.queue.at(ends, Ev::Done(member, epoch, slot));
            }
            Received::Waits => {}
            Received::Full => self.turn_away(process, &job, member, Outcome::Rejected),
        }
    }

    /// Brings a member's log up to the present.
    pub(crate) fn advance(&mut self, member: usize) {
        let now = self.queue.now();
        let m = &mut self.members[member];
        let strain = m.strain();
        if self.primaries[m.group].0 == Some(member) {
            let log = &self.logs[m.group];
            if m.is_up() && log.ends.is_none() {
                m.applied.lead(log, now);
            }
        } else if m.is_up() || m.health == Health::Hung {
            m.applied.advance(&self.logs[m.group], now, self.plan.groups.ship, strain);
        }
    }

    pub(crate) fn turn_away(&mut self, process: Process, job: &Job, member: usize, outcome: Outcome) {
        let told = self.say(member, job.request, job.token, outcome, None);
        self.tell_router(process, told);
    }

    /// What a member says with an answer.
    pub(crate) fn say(
        &mut self,
        member: usize,
        request: RequestId,
        token: u64,
        outcome: Outcome,
        commit: Option<Micros>,
    ) -> Told {
        let now = self.now();
        self.advance(member);
        let every = self.plan.members.report;
        let m = &mut self.members[member];
        let primary = self.primaries[m.group].0 == Some(member);
        let role = Some(if primary { Role::Primary } else { Role::Replica });
        let position = m.applied.position();
        let utilization = Some(m.utilization(every, now));
        Told {
            request,
            token,
            member,
            member_epoch: m.epoch,
            outcome,
            note: ReplyStatus { position: Some(commit.unwrap_or(position)), role },
            report: Report { position: Some(position), role, utilization, backlog: None },
            data: (position, m.was_primary),
        }
    }

    pub(crate) fn tell_router(&mut self, process: Process, told: Told) {
        let (from, to) = (self.members[told.member].zone, self.routers[process.0].zone);
        if self.network.passes(to, from, Way::Back) {
            let delay = self.network.delay(from, to);
            let lost = told.outcome == Outcome::Served && self.network.loses_answer();
            let told = if lost { told.lost() } else { told };
            self.queue.after(delay, Ev::Told(process, Box::new(told)));
        }
    }

    pub(crate) fn done(&mut self, member: usize, epoch: u32, slot: usize) {
        let now = self.now();
        if self.members[member].epoch != epoch || self.members[member].health == Health::Refusing {
            return;
        }
        self.advance(member);
        let (job, next) = self.members[member].finish(slot, self.plan.rules(), now);
        if let Some(ends) = next {
            self.queue.at(ends, Ev::Done(member, epoch, slot));
        }
        let Some(job) = job else { return };
        let group = self.members[member].group;
        let write = self.plan.classes[job.class].class.consistency == Consistency::Write;
        if self.members[member].health != Health::Up {
            return;
        }
        if write && (self.primaries[group].0 != Some(member) || self.logs[group].ends.is_some()) {
            // No primary any more since it began: it has no effect.
            return self.turn_away((job.router, job.epoch), &job, member, Outcome::Misdirected);
        }
        if write {
            self.logs[group].commit(now, self.plan.groups.apply);
            let log = &self.logs[group];
            self.members[member].applied.lead(log, now);
        }
        let told = self.say(member, job.request, job.token, Outcome::Served, write.then_some(now));
        self.tell_router((job.router, job.epoch), told);
    }

    pub(crate) fn told(&mut self, router: usize, told: Told) {
        let now = self.now();
        let Some(out) = self.out(router, told.request, told.token) else { return };
        self.witness(router, &told, out);
        let Told { request, member, member_epoch, outcome, note, report, .. } = told;
        if outcome != Outcome::Reset {
            self.routers[router].idle[member].push(Idle { since: now, epoch: member_epoch });
        }
        self.ended(router, request, outcome, note, report);
    }

    /// What an answer shows the audit: data that was read, and a role. One that was lost shows neither.
    pub(crate) fn witness(&mut self, router: usize, told: &Told, out: Out) {
        let now = self.now();
        if told.outcome == Outcome::Served {
            let at = (router, told.member);
            self.audit.read(self.plan, told.request, at, told.data, (out.sent.unwrap_or(now), now));
        }
        if let Some(role) = told.note.role {
            self.audit.role(router, told.member, role, now);
        }
    }
}
