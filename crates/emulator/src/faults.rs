//! What strikes a day: faults begin and end by the experiment's timeline, members die and return, groups elect.

use beaconshore::interface::{ListedState, Micros};

use crate::member::Health;
use crate::plan::{Fault, GroupPlan, Leave, Struck, DAWN};
use crate::world::{Ev, World, ELECT_AGAIN};

impl World<'_> {
    pub(crate) fn strike(&mut self, index: usize) {
        let plan = self.plan;
        let strike = &plan.strikes[index];
        let now = self.queue.now();
        let struck = match &strike.fault {
            Fault::ZoneLoss { struck, primaries_only, routers, silent, .. } => {
                let primary = |w: &Self, m: usize| w.primaries[w.members[m].group].0 == Some(m);
                let mut victims = self.victims(struck);
                victims.retain(|m| !primaries_only || primary(self, *m));
                let health = if *silent { Health::Silent } else { Health::Refusing };
                victims.iter().for_each(|m| self.die(*m, health));
                if *routers {
                    let hit = |r: &usize| struck.zones.contains(&self.routers[*r].zone);
                    let all: Vec<usize> = (0..self.routers.len()).filter(hit).collect();
                    all.into_iter().for_each(|r| self.stop_router(r));
                }
                victims
            }
            Fault::Cut { from, to, answers_only } => {
                self.network.cut(index, from.clone(), to.clone(), *answers_only);
                Vec::new()
            }
            Fault::Lag(struck, times) => self.each(struck, |w, m| {
                w.advance(m);
                w.members[m].applied.slower *= times;
            }),
            Fault::Slow(struck, times) => self.each(struck, |w, m| w.members[m].slow *= times),
            Fault::Hang(struck) => self.each(struck, |w, m| {
                w.advance(m);
                w.members[m].health = Health::Hung;
                w.bereave(m);
            }),
            Fault::Drain(struck) => self.each(struck, |w, m| w.drain(m)),
            Fault::Burst(times) => {
                self.arrivals.burst(index, *times);
                Vec::new()
            }
            Fault::RouterLoss(struck, leave) => {
                let mut hit = self.struck_routers(struck);
                hit.retain(|r| {
                    let router = &self.routers[*r];
                    router.alive && !router.leaving && !router.told_to_end
                });
                match leave {
                    Leave::Killed => hit.iter().for_each(|r| self.stop_router(*r)),
                    Leave::Planned => hit.iter().for_each(|r| self.send_off(*r, false)),
                    Leave::PlannedInUse => hit.iter().for_each(|r| self.send_off(*r, true)),
                }
                hit
            }
            Fault::Standstill(struck) => {
                let until = now + strike.lasts.unwrap_or(0);
                for router in self.struck_routers(struck) {
                    self.stand_still(router, until);
                }
                Vec::new()
            }
            Fault::Silence => {
                self.discovery.silence(index);
                Vec::new()
            }
            Fault::Loss(share) => {
                self.network.lose(index, *share);
                Vec::new()
            }
            Fault::AnswerLoss(share) => {
                self.network.lose_answers(index, *share);
                Vec::new()
            }
            Fault::PeerLoss(share) => {
                self.network.lose_words(index, *share);
                Vec::new()
            }
        };
        if let Some(lasts) = strike.lasts {
            self.queue.after(lasts, Ev::Heal(index, struck));
        }
        if let Some(every) = strike.every.filter(|every| now + every < DAWN + plan.length) {
            self.queue.after(every, Ev::Strike(index));
        }
    }

    pub(crate) fn heal(&mut self, index: usize, struck: &[usize]) {
        let plan = self.plan;
        match &plan.strikes[index].fault {
            Fault::ZoneLoss { behind, routers, struck: who, .. } => {
                struck.iter().for_each(|m| self.come_back(*m, *behind));
                if *routers {
                    let back =
                        |r: &usize| !self.routers[*r].alive && who.zones.contains(&self.routers[*r].zone);
                    let back: Vec<usize> = (0..self.routers.len()).filter(back).collect();
                    back.into_iter().for_each(|r| self.start_router(r));
                }
            }
            Fault::Cut { .. } | Fault::Loss(_) | Fault::AnswerLoss(_) | Fault::PeerLoss(_) => {
                self.network.heal(index)
            }
            Fault::Lag(_, times) => struck.iter().for_each(|m| {
                self.advance(*m);
                self.members[*m].applied.slower /= times;
            }),
            Fault::Slow(_, times) => struck.iter().for_each(|m| self.members[*m].slow /= times),
            Fault::Hang(_) => struck.iter().for_each(|m| {
                if self.members[*m].health == Health::Hung {
                    self.members[*m].health = Health::Up;
                    self.resume(*m, 0);
                }
            }),
            Fault::Drain(_) => struck.iter().for_each(|m| {
                self.die(*m, Health::Refusing);
                self.come_back(*m, 0);
            }),
            Fault::Burst(_) => self.arrivals.heal(index),
            Fault::RouterLoss(..) => {
                let back: Vec<usize> = struck.iter().copied().filter(|r| !self.routers[*r].alive).collect();
                back.into_iter().for_each(|r| self.start_router(r));
            }
            Fault::Standstill(_) => {}
            Fault::Silence => {
                let changed = self.discovery.heal(index);
                changed.into_iter().for_each(|m| self.announce(m));
            }
        }
    }

    /// Members of the struck zones, by lot where not all are struck.
    fn victims(&mut self, struck: &Struck) -> Vec<usize> {
        let all = (0..self.members.len()).filter(|m| struck.zones.contains(&self.members[*m].zone));
        let all: Vec<usize> = all.collect();
        all.into_iter().filter(|_| struck.share >= 1.0 || self.faults.chance(struck.share)).collect()
    }

    /// Routers of the struck zones, by lot where not all are struck.
    fn struck_routers(&mut self, struck: &Struck) -> Vec<usize> {
        let all = (0..self.routers.len()).filter(|r| struck.zones.contains(&self.routers[*r].zone));
        let all: Vec<usize> = all.collect();
        all.into_iter().filter(|_| struck.share >= 1.0 || self.faults.chance(struck.share)).collect()
    }

    fn each(&mut self, struck: &Struck, mut strike: impl FnMut(&mut Self, usize)) -> Vec<usize> {
        let victims = self.victims(struck);
        victims.iter().for_each(|m| strike(self, *m));
        victims
    }

    // ---- Members die and return ----

    fn die(&mut self, member: usize, health: Health) {
        let now = self.queue.now();
        if self.members[member].fallen {
            return;
        }
        self.advance(member);
        self.members[member].stop(health, now);
        self.bereave(member);
        if health == Health::Refusing {
            self.lost(member);
        }
        let (epoch, silent) = (self.members[member].epoch, self.discovery.silent());
        self.queue.after(silent, Ev::Notice(member, epoch, ListedState::Gone));
    }

    /// Connections to a process that is gone are reset.
    pub(crate) fn lost(&mut self, member: usize) {
        let epoch = self.members[member].epoch;
        for router in 0..self.routers.len() {
            let (zone, from) = (self.routers[router].zone, self.members[member].zone);
            if self.network.passes(zone, from, crate::network::Way::Back) {
                let delay = self.network.delay(from, zone);
                let process = (router, self.routers[router].epoch);
                self.queue.after(delay, Ev::Reset(process, member, epoch - 1));
            }
        }
    }

    /// Its group may have lost its primary.
    fn bereave(&mut self, member: usize) {
        let (now, group) = (self.queue.now(), self.members[member].group);
        if self.primaries[group].0 != Some(member) || self.logs[group].ends.is_some() {
            return;
        }
        self.logs[group].cut_off(now, self.plan.groups.ship);
        let wait = self.plan.groups.detect + self.plan.groups.elect;
        let wait = self.member_draws.around(wait, 0.2);
        let number = self.primaries[group].1;
        let GroupPlan { detect, elect, .. } = &self.plan.groups;
        let given_up = wait as f64 * detect / (detect + elect).max(1.0);
        self.queue.after(given_up as Micros, Ev::GiveUp(group, number));
        self.queue.after(wait, Ev::Elect(group, number));
    }

    /// A lost primary is given up: should it be back before the election, then as a replica.
    pub(crate) fn give_up(&mut self, group: usize, number: u64) {
        if self.primaries[group].1 == number && self.logs[group].ends.is_some() {
            self.primaries[group].0 = None;
        }
    }

    fn come_back(&mut self, member: usize, behind: Micros) {
        let now = self.queue.now();
        if self.members[member].fallen || self.members[member].is_up() {
            return;
        }
        self.members[member].start(now);
        self.resume(member, behind);
        let (notice, epoch) = (self.discovery.notice() / 2, self.members[member].epoch);
        self.queue.after(notice, Ev::Notice(member, epoch, ListedState::Ready));
    }

    /// A member goes on from where it stood, or further back.
    fn resume(&mut self, member: usize, behind: Micros) {
        let (now, group) = (self.queue.now(), self.members[member].group);
        let log = &mut self.logs[group];
        if self.primaries[group].0 == Some(member) && log.ends.is_some() {
            // Nobody took over: it is the primary still.
            log.ends = None;
            self.primaries[group].1 += 1;
            self.members[member].applied.lead(&self.logs[group], now);
            return;
        }
        self.members[member].applied.resume(log, now, behind);
    }

    pub(crate) fn elect(&mut self, group: usize, number: u64) {
        let now = self.queue.now();
        if self.primaries[group].1 != number || self.logs[group].ends.is_none() {
            return;
        }
        let members = self.groups[group].clone();
        members.iter().for_each(|m| self.advance(*m));
        let fit = |m: &usize| self.members[*m].is_up() && !self.members[*m].draining;
        let best = members.iter().copied().filter(fit).max_by_key(|m| self.members[*m].applied.rank());
        let Some(best) = best else {
            return self.queue.after(ELECT_AGAIN, Ev::Elect(group, number));
        };
        self.enthrone(group, best, now);
    }

    fn enthrone(&mut self, group: usize, member: usize, now: Micros) {
        self.primaries[group] = (Some(member), self.primaries[group].1 + 1);
        self.logs[group].ends = None;
        // It takes over with what it has: the rest of the log is not in it.
        self.members[member].applied.lead(&self.logs[group], now);
        self.members[member].was_primary = true;
        let role = self.discovery.role();
        self.queue.after(role, Ev::NoticeRole(group, member));
    }

    fn drain(&mut self, member: usize) {
        let group = self.members[member].group;
        self.members[member].draining = true;
        let epoch = self.members[member].epoch;
        self.queue.after(0, Ev::Notice(member, epoch, ListedState::Draining));
        if self.primaries[group].0 == Some(member) {
            let now = self.queue.now();
            self.advance(member);
            self.logs[group].cut_off(now, 0);
            let number = self.primaries[group].1;
            let switch = self.member_draws.around(self.plan.groups.switch, 0.1);
            self.queue.after(switch, Ev::Elect(group, number));
        }
    }

    // ---- The list ----

    pub(crate) fn notice(&mut self, member: usize, epoch: u32, listed: ListedState) {
        if self.members[member].epoch != epoch {
            return;
        }
        let started = self.members[member].started;
        let tell = self.discovery.change(member, |entry| {
            entry.listed = listed;
            entry.started_at = started;
            if listed == ListedState::Gone {
                entry.primary = false;
            }
        });
        if tell {
            self.announce(member);
        }
    }

    /// The list names the member that took over some time ago.
    pub(crate) fn notice_role(&mut self, group: usize, primary: usize) {
        for member in self.groups[group].clone() {
            if self.discovery.change(member, |entry| entry.primary = member == primary) {
                self.announce(member);
            }
        }
    }

    /// Tells every router of a member, each in its own time.
    fn announce(&mut self, member: usize) {
        let (entry, version) = self.discovery.entry(member);
        let entry = Box::new(entry.clone());
        for router in 0..self.routers.len() {
            let process = (router, self.routers[router].epoch);
            let notice = self.discovery.notice();
            self.queue.after(notice, Ev::News(process, entry.clone(), version));
        }
    }
}
