//! What baselines do in the place of a router.

use beaconshore::interface::{Consistency, ListedState, Outcome, RequestId};

use crate::baseline::{choose, Sight};
use crate::client::Answer;
use crate::network::Way;
use crate::plan::SECOND;
use crate::world::*;

impl World<'_> {
    pub(crate) fn decide(&mut self, router: usize, request: RequestId) {
        let now = self.now();
        let Some(open) = self.routers[router].open.get(&request).copied() else { return };
        let Some(story) = self.stories.get(&open.story).cloned() else { return };
        let plan = &self.plan.classes[story.class];
        let members = self.groups[story.group].clone();
        members.iter().for_each(|m| self.advance(*m));
        let (zone, rules) = (self.routers[router].zone, self.plan.rules());
        let mut sights: Vec<Sight> = Vec::with_capacity(members.len());
        for member in &members {
            let full = self.members[*member].is_full_while_cold(rules, now);
            let m = &self.members[*member];
            let position = m.applied.position();
            let trip = 2.0 * self.network.mean(zone, m.zone);
            let capacity = m.capacity(rules, now);
            let reachable =
                self.network.passes(zone, m.zone, Way::Out) && self.network.passes(zone, m.zone, Way::Back);
            let known = self.routers[router].known.get(*member);
            let listed = known.is_some_and(|e| e.listed == ListedState::Ready);
            let alone = plan.work * self.plan.members.cores as f64;
            sights.push(Sight {
                member: *member,
                primary: self.primaries[m.group].0 == Some(*member),
                near: m.zone == zone,
                usable: reachable && m.is_up() && !m.draining && listed,
                fresh: match plan.class.consistency {
                    Consistency::Bounded(bound) => position + bound > now,
                    Consistency::Session => position >= open.floor,
                    _ => true,
                },
                takes: trip + (m.work_ahead() + alone) / capacity,
                full,
            });
        }
        let last = if plan.class.late_value_share > 0.0 {
            open.ends
        } else {
            story.asked + plan.class.latency_target
        };
        let wait = last.saturating_sub(now) as f64;
        match choose(self.brains, plan.class.consistency, &sights, wait, &mut self.choices) {
            Some(member) => self.attempt(router, request, member, 0),
            None => self.answer(router, request, Answer::Refused(SECOND / 4)),
        }
    }

    pub(crate) fn baseline_again(&mut self, router: usize, request: RequestId, outcome: Outcome) {
        let now = self.now();
        let Some(open) = self.routers[router].open.get(&request).copied() else { return };
        let class = self.stories.get(&open.story).map(|s| self.plan.classes[s.class].class.effect);
        let safe = class == Some(beaconshore::interface::Effect::Safe) || outcome.never_ran();
        if safe && open.tries < BASELINE_TRIES && now + 20_000 < open.ends {
            return self.decide(router, request);
        }
        self.answer(router, request, Answer::Failed);
    }
}
