//! Probes, and what routers tell each other.

use beaconshore::interface::{Micros, Outcome, RequestId};

use crate::member::Health;
use crate::network::Way;
use crate::world::*;

impl World<'_> {
    pub(crate) fn probe(&mut self, process: Process, member: usize) {
        let now = self.now();
        self.day.second(now).probes += 1;
        let (zone, to) = (self.routers[process.0].zone, self.members[member].zone);
        let delay = self.network.delay(zone, to);
        match self.network.passes(zone, to, Way::Out) {
            true => self.queue.after(delay, Ev::ProbeAt(process, member)),
            false => self.queue.after(PROBE, Ev::Probed(process, member, None)),
        }
    }

    pub(crate) fn probe_at(&mut self, process: Process, member: usize) {
        let (zone, to) = (self.routers[process.0].zone, self.members[member].zone);
        let back = self.network.delay(to, zone);
        let passes = self.network.passes(zone, to, Way::Back);
        let m = &self.members[member];
        if m.health == Health::Refusing || m.fallen {
            return self.queue.after(back, Ev::Probed(process, member, None));
        }
        if !m.is_up() || !passes {
            return self.queue.after(PROBE, Ev::Probed(process, member, None));
        }
        let told = self.say(member, RequestId(0), 0, Outcome::Served, None);
        self.queue.after(back, Ev::Probed(process, member, Some(Box::new(told.report))));
    }

    pub(crate) fn tell_peers(&mut self, router: usize, message: impl Fn(Process) -> Option<Ev>) {
        if !self.plan.routers.peers {
            return;
        }
        for other in 0..self.routers.len() {
            let process = (other, self.routers[other].epoch);
            let Some(message) = message(process).filter(|_| other != router) else { continue };
            let Some(delay) = self.word_delay(router, other) else { continue };
            self.queue.after(delay, message);
        }
    }

    /// Time for a message from one router to another; none: it is lost.
    pub(crate) fn word_delay(&mut self, from: usize, to: usize) -> Option<Micros> {
        let (a, b) = (self.routers[from].zone, self.routers[to].zone);
        let cut = !self.network.passes(a, b, Way::Out) || !self.network.passes(b, a, Way::Out);
        if cut || self.network.loses_word(self.plan.routers.peer_loss) {
            return None;
        }
        Some(self.network.around(self.plan.routers.peer_delay))
    }
}
