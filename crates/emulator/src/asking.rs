//! What clients do in a day: they ask, are answered, ask again or give up.

use beaconshore::interface::RequestId;

use crate::client::{again, Answer};
use crate::plan::{DAWN, SECOND};
use crate::world::*;

impl World<'_> {
    pub(crate) fn arrive(&mut self) {
        let now = self.now();
        let counts = now >= DAWN + self.plan.settle;
        let story = self.arrivals.draw(self.plan, now, counts);
        if counts {
            let second = self.day.second(now);
            second.asked += self.plan.classes[story.class].class.value;
            second.stories += 1;
        }
        let id = self.next_id();
        self.stories.insert(id, story);
        self.ask(id);
        let wait = self.arrivals.wait();
        self.queue.after(wait, Ev::Arrive);
    }

    pub(crate) fn next_id(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    /// A client's try goes to a router of its zone, or of the nearest one with any that lives.
    pub(crate) fn ask(&mut self, id: u64) {
        let Some(story) = self.stories.get(&id) else { return };
        let (zone, pick, per_zone) = (story.zone, story.pick, self.plan.routers.per_zone);
        let mut zones: Vec<usize> = (0..self.plan.zones.len()).collect();
        zones.sort_by(|a, b| {
            let far = |z: usize| if z == zone { 0.0 } else { self.network.mean(zone, z) };
            far(*a).total_cmp(&far(*b))
        });
        let alive = |z: &usize| {
            let all = *z * per_zone..(*z + 1) * per_zone;
            all.filter(|r| self.routers[*r].alive && !self.routers[*r].leaving).collect::<Vec<_>>()
        };
        let Some(routers) = zones.iter().map(alive).find(|r| !r.is_empty()) else {
            return self.at_client(id, Answer::Failed);
        };
        let router = routers[(pick % routers.len() as u64) as usize];
        let to = (router, self.routers[router].epoch);
        let delay = self.network.delay(zone, self.routers[router].zone);
        let request = RequestId(self.next_id());
        self.queue.after(delay, Ev::AskRouter(id, request, to));
    }

    pub(crate) fn at_client(&mut self, id: u64, answer: Answer) {
        let now = self.now();
        let Some(story) = self.stories.get_mut(&id) else { return };
        if let Answer::Served(Some(commit)) = answer {
            let seen = &mut self.sessions[story.group][story.session];
            *seen = (*seen).max(Some(commit));
        }
        if let Some(at) = again(story, self.plan, answer, now) {
            story.left -= 1;
            return self.queue.at(at, Ev::Ask(id));
        }
        let Some(story) = self.stories.remove(&id).filter(|s| s.counts) else { return };
        let class = &self.plan.classes[story.class].class;
        let took = now - story.asked;
        let second = self.day.second(story.asked);
        match answer {
            Answer::Served(_) if took <= class.latency_target => {
                second.in_time += 1;
                second.earned += class.value;
            }
            Answer::Served(_) if took <= class.deadline => {
                second.late += 1;
                second.earned += class.value * class.late_value_share;
            }
            _ => second.lost += 1,
        }
        if let Answer::Served(_) = answer {
            let at = ((story.asked - DAWN) / SECOND) as u16;
            self.day.latencies.push((story.class as u8, at, took.min(u32::MAX.into()) as u32));
        }
    }

    /// A try's time is over, as its client sees it.
    pub(crate) fn over(&mut self, request: RequestId, (router, epoch): Process) {
        let process = &self.routers[router];
        if process.alive && process.epoch == epoch {
            let story = process.open.get(&request).map(|open| open.story);
            let now = self.queue.now();
            let awake_by = process.still_until.saturating_add(self.audit.slack());
            let wakes = self.outside.is_some() && (process.still_until..awake_by).contains(&now);
            if wakes && story.is_some() {
                // A process that has just woken up answers on the machine's clock: it has to do so within the slack.
                self.audit.extended(request, awake_by);
                return self.queue.at(awake_by, Ev::Over(request, (router, epoch)));
            }
            if process.still_until > now {
                self.audit.excused(request);
            } else {
                self.audit.over(request, now);
            }
            if let Some(story) = story {
                self.at_client(story, Answer::Failed);
            }
        } else {
            self.audit.released(request);
        }
    }
}
