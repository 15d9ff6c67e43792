//! The measures of a day: spill between zones, and the load of members.

use beaconshore::interface::{Consistency, RequestId};
use beaconshore::sizes::TableSizes;

use crate::plan::SECOND;
use crate::world::*;

impl World<'_> {
    /// A read sent away from a router's zone though its group has a replica there is spilled.
    pub(crate) fn count_spill(&mut self, router: usize, request: RequestId, member: usize) {
        let now = self.now();
        let (from, to) = (self.routers[router].zone, self.members[member].zone);
        let open = self.routers[router].open.get(&request);
        let Some(story) = open.and_then(|open| self.stories.get(&open.story)) else { return };
        let class = &self.plan.classes[story.class];
        let bound = matches!(class.class.consistency, Consistency::Write | Consistency::Fresh);
        // Reads have their home with replicas: a router beside the primary alone sends them elsewhere as usual.
        let primary = self.primaries[story.group].0;
        let replica = |m: &&usize| self.members[**m].zone == from && Some(**m) != primary;
        let at_home = self.groups[story.group].iter().any(|m| replica(&m));
        if bound || from == to || !at_home {
            return;
        }
        let work = class.work;
        self.day.second(now).spilled[to] += work;
        self.spills[to].push_back((now, work));
        self.spill_sums[to] += work;
        while self.spills[to].front().is_some_and(|(at, _)| at + SECOND <= now) {
            self.spill_sums[to] -= self.spills[to].pop_front().map_or(0.0, |(_, work)| work);
        }
        let sum = self.spill_sums[to];
        self.day.most_spilled[to] = self.day.most_spilled[to].max(sum);
        let over = self.plan.spill_limit(to).is_some_and(|limit| sum > limit + work);
        self.day.over_limit += u64::from(over);
    }

    pub(crate) fn second(&mut self) {
        let now = self.now();
        let cores = self.plan.members.cores as f64 * SECOND as f64;
        let mut load = Vec::with_capacity(self.members.len());
        for (member, before) in self.members.iter_mut().zip(&mut self.busy) {
            let busy = member.busy_time(now);
            load.push(((busy - *before) / cores) as f32);
            *before = busy;
        }
        self.day.second(now - 1).load = load;
        let kept = self.routers.iter().filter_map(|r| Some(r.steering.as_ref()?.sizes()));
        self.day.second(now - 1).kept = kept.fold(TableSizes::default(), |most, sizes| TableSizes {
            members: most.members.max(sizes.members),
            groups: most.groups.max(sizes.groups),
            requests: most.requests.max(sizes.requests),
            sessions: most.sessions.max(sizes.sessions),
        });
        self.queue.after(SECOND, Ev::Second);
    }
}
