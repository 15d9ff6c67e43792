//! Attempts on their way: connections, writes, ends, resets.

use beaconshore::interface::{
    AttemptResult, Consistency, Event, MemberId, Micros, Outcome, ReplyStatus, Report, RequestId,
};

use crate::client::Answer;
use crate::live::Welcome;
use crate::member::{Health, Job};
use crate::network::Way;
use crate::router::{Idle, Open, Out};
use crate::world::*;

impl World<'_> {
    pub(crate) fn attempt(&mut self, router: usize, request: RequestId, member: usize, wait: Micros) {
        let now = self.now();
        let token = self.next_id();
        let process = (router, self.routers[router].epoch);
        let Some(open) = self.routers[router].open.get_mut(&request) else { return };
        open.tries += 1;
        open.out = Some(Out { member, token, began: now, sent: None });
        let ends = if wait == 0 { open.ends } else { open.ends.min(now + wait) };
        self.audit.sent(self.plan, request, token, (router, member), now);
        self.day.second(now).attempts += 1;
        self.count_spill(router, request, member);
        self.queue.at(ends, Ev::AttemptOver(process, request, token));
        let (idle, closed) = self.routers[router].take_idle(member, self.plan.members.idle, now);
        let m = &mut self.members[member];
        m.connections = m.connections.saturating_sub(closed);
        match idle {
            Some(idle) => self.write(router, request, idle.epoch, 0.0),
            None => self.connect(process, request, token, member),
        }
    }

    pub(crate) fn connect(&mut self, process: Process, request: RequestId, token: u64, member: usize) {
        let (after, epoch) = match self.welcome(process.0, member) {
            Welcome::After(after, epoch) => (after, Some(epoch)),
            Welcome::Refused(after) => (after, None),
            Welcome::Silence => (CONNECT, None),
        };
        self.queue.after(after, Ev::Connected(process, request, token, epoch));
    }

    /// What becomes of a new connection; one that is welcome takes its place at the member.
    pub(crate) fn welcome(&mut self, router: usize, member: usize) -> Welcome {
        let (zone, to) = (self.routers[router].zone, self.members[member].zone);
        let trip = self.network.delay(zone, to) + self.network.delay(to, zone);
        let lost = !self.network.passes_both(zone, to) || self.network.loses_connection();
        let most = self.plan.members.connections;
        let m = &mut self.members[member];
        if lost || m.health == Health::Silent {
            return Welcome::Silence;
        }
        if m.health == Health::Refusing || m.fallen || m.connections >= most {
            return Welcome::Refused(trip);
        }
        m.connections += 1;
        Welcome::After(trip, m.epoch)
    }

    pub(crate) fn connected(&mut self, router: usize, request: RequestId, token: u64, epoch: Option<u32>) {
        let now = self.now();
        let Some(out) = self.out(router, request, token) else {
            return;
        };
        let Some(epoch) = epoch else { return self.end(router, request, Outcome::Unreachable) };
        let member = MemberId(out.member as u32);
        let may = self.routers[router].steering.as_mut().is_none_or(|s| s.confirm(now, request, member));
        if !may {
            self.routers[router].idle[out.member].push(Idle { since: now, epoch });
            return self.end(router, request, Outcome::NeverSent);
        }
        self.write(router, request, epoch, self.plan.members.handshake);
    }

    pub(crate) fn out(&self, router: usize, request: RequestId, token: u64) -> Option<Out> {
        let open = self.routers[router].open.get(&request)?;
        open.out.filter(|out| out.token == token)
    }

    /// The bytes of a request go out.
    pub(crate) fn write(&mut self, router: usize, request: RequestId, member_epoch: u32, extra: f64) {
        let now = self.now();
        let epoch = self.routers[router].epoch;
        let zone = self.routers[router].zone;
        let Some(open) = self.routers[router].open.get_mut(&request) else { return };
        let Some(out) = &mut open.out else { return };
        out.sent = Some(now);
        let (member, token) = (out.member, out.token);
        let Some(story) = self.stories.get(&open.story) else { return };
        let job =
            Job { request, token, router, epoch, class: story.class, work: story.work + extra, sent: now };
        let to = self.members[member].zone;
        let delay = self.network.delay(zone, to);
        if self.network.passes(zone, to, Way::Out) {
            // The member is found by the attempt that is out.
            self.queue.after(delay, Ev::AtMember(job, member_epoch));
        }
    }

    pub(crate) fn attempt_over(&mut self, router: usize, request: RequestId, token: u64) {
        let Some(out) = self.out(router, request, token) else { return };
        let m = &mut self.members[out.member];
        m.connections = m.connections.saturating_sub(1);
        if self.plan.members.drops_cancelled {
            m.cancel(token);
        }
        self.end(router, request, Outcome::TimedOut);
    }

    /// An attempt ends without an answer.
    pub(crate) fn end(&mut self, router: usize, request: RequestId, outcome: Outcome) {
        self.ended(router, request, outcome, ReplyStatus::default(), Report::default());
    }

    pub(crate) fn ended(
        &mut self,
        router: usize,
        request: RequestId,
        outcome: Outcome,
        note: ReplyStatus,
        report: Report,
    ) {
        let now = self.now();
        let Some(open) = self.routers[router].open.get_mut(&request) else { return };
        let Some(out) = open.out.take() else { return };
        // Cut off on its way to the wire, it never ran.
        let outcome = match outcome {
            Outcome::TimedOut | Outcome::Reset if out.sent.is_none() => Outcome::Unreachable,
            other => other,
        };
        self.audit.ended(request, out.token, out.sent.unwrap_or(now), outcome.never_ran());
        let finished = outcome == Outcome::Served;
        if finished {
            let story = self.stories.get(&self.routers[router].open[&request].story);
            let write =
                story.is_some_and(|s| self.plan.classes[s.class].class.consistency == Consistency::Write);
            self.answer(router, request, Answer::Served(note.position.filter(|_| write)));
        }
        if self.routers[router].steering.is_none() {
            if !finished {
                self.baseline_again(router, request, outcome);
            }
            return;
        }
        let event = Event::AttemptEnded(AttemptResult {
            request,
            member: MemberId(out.member as u32),
            outcome,
            status: note,
            duration: now - out.began,
            request_finished: finished,
            report,
        });
        self.tell(router, &event);
    }

    /// A member's process died: what was open to it is reset, what was idle is closed.
    pub(crate) fn reset(&mut self, router: usize, member: usize, epoch: u32) {
        self.routers[router].idle[member].retain(|idle| idle.epoch > epoch);
        let hit = |open: &Open| open.out.is_some_and(|out| out.member == member && out.sent.is_some());
        let open = self.routers[router].open.iter().filter(|(_, open)| hit(open));
        for request in open.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.end(router, request, Outcome::Reset);
        }
    }
}
