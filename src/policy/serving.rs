//! Which queued requests are looked at when, and in which order. The work of an event does not grow with the
//! number of requests that wait.

use super::request_queue::ServingOrder;
use super::{Router, LATE_REPEAT_SHARE, PROBE_PERIOD};
use crate::interface::{Action, GroupId, Micros, RequestId};
use crate::records::{Group, PendingRequest};

/// Greatest number of requests in a queue of which all are looked at for each event.
const MAX_SERVED_WHOLE: usize = 64;
/// Requests of each class, on time and late, that are looked at for each event in a longer queue.
const SERVED_OF_EACH: usize = 8;
/// Requests of a longer queue that are looked at in rotation, by each round of timer work.
const SERVED_IN_ROTATION: usize = 64;

impl Router {
    /// Queues a request at its group.
    pub(super) fn enqueue(&mut self, group: GroupId, id: RequestId) {
        let Some(pending) = self.pending.get(&id) else { return };
        self.groups.entry(group).or_default().queue.insert(id, pending);
        self.active_groups.insert(group);
    }

    /// Queues a request that has just arrived, and serves it. In a long queue the others have no more room
    /// than before.
    pub(super) fn serve_new_request(&mut self, group: GroupId, id: RequestId, actions: &mut Vec<Action>) {
        self.enqueue(group, id);
        if self.is_served_whole(group) {
            self.serve_queue(group, actions);
        } else {
            self.serve_request(id, actions);
        }
    }

    /// Removes a request, and its place in the queue if it has one.
    pub(super) fn forget_request(&mut self, id: RequestId) {
        let Some(pending) = self.pending.remove(&id) else { return };
        if let Some(group) = self.groups.get_mut(&pending.group) {
            group.queue.remove(id, &pending);
        }
    }

    /// Serves the queue of a group, or the first requests of a long one. Requests are ordered by the value
    /// that they can still earn per service time, then by age.
    pub(super) fn serve_queue(&mut self, group: GroupId, actions: &mut Vec<Action>) {
        if self.is_served_whole(group) {
            for id in self.first_in_queue(group, usize::MAX) {
                self.serve_request(id, actions);
            }
            return;
        }
        self.serve_expiring(group, actions);
        loop {
            let first = self.first_in_queue(group, SERVED_OF_EACH);
            let served = first.iter().filter(|id| self.serve_request(**id, actions)).count();
            // Each request is served only a few times, so that this is no work for those that go on waiting.
            if served == 0 || 2 * served < first.len() {
                return;
            }
        }
    }

    /// Serves the requests of a group whose time is nearly over, which are refused at the latest.
    fn serve_expiring(&mut self, group: GroupId, actions: &mut Vec<Action>) {
        let soon = self.now + 2 * self.tick;
        let first_expired =
            |router: &Self| router.groups.get(&group).and_then(|g| g.queue.first_expired(soon));
        while let Some(id) = first_expired(self) {
            if !self.serve_request(id, actions) {
                return;
            }
        }
    }

    /// Serves some requests of each long queue in turn, wherever they stand.
    pub(super) fn serve_in_rotation(&mut self, actions: &mut Vec<Action>) {
        for group in self.active_groups.iter().copied().collect::<Vec<_>>() {
            if self.is_served_whole(group) {
                continue;
            }
            let queue = self.groups.get_mut(&group).map(|g| &mut g.queue);
            let next = queue.map_or_else(Vec::new, |queue| queue.next_in_rotation(SERVED_IN_ROTATION));
            for id in next {
                self.serve_request(id, actions);
            }
        }
    }

    /// Sends a queued request, or answers it if waiting is pointless. Returns whether it left the queue.
    fn serve_request(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(pending) = self.pending.get(&id) else { return false };
        let lapsed = pending.arrived_at < self.now && self.must_give_up(pending);
        let chosen = if lapsed || self.now < pending.not_before { None } else { self.choose_member(pending) };
        if let Some(member) = chosen {
            if let Some(group) = self.groups.get_mut(&pending.group) {
                group.queue.remove(id, pending);
            }
            self.send_attempt(id, member, actions);
            return true;
        }
        let finished = lapsed || pending.likely_late || self.is_blocked_by_zones(pending);
        if finished {
            self.refuse_or_fail(id, actions);
        }
        finished
    }

    /// Probes and serves the groups that have queued requests or had one recently. All other groups cost
    /// nothing.
    pub(super) fn serve_active_groups(&mut self, actions: &mut Vec<Action>) {
        self.drop_inactive_groups();
        for id in self.active_groups.iter().copied().collect::<Vec<_>>() {
            self.probe_unhealthy_members(id, actions);
            self.probe_for_queue(id, actions);
            self.serve_queue(id, actions);
        }
    }

    /// Forgets which groups were active, and at once those that only requests have named.
    fn drop_inactive_groups(&mut self) {
        let now = self.now;
        let is_recent = |g: &Group| !g.members.is_empty() && now < g.last_request_at + PROBE_PERIOD;
        let is_active = |g: &Group| !g.queue.is_empty() || is_recent(g);
        let groups = &mut self.groups;
        self.active_groups.retain(|id| {
            let active = groups.get(id).is_some_and(is_active);
            if !active && groups.get(id).is_some_and(|g| g.members.is_empty()) {
                groups.remove(id);
            }
            active
        });
    }

    /// Returns whether all requests in the queue of a group are looked at for each event.
    fn is_served_whole(&self, group: GroupId) -> bool {
        self.groups.get(&group).is_none_or(|g| g.queue.len() <= MAX_SERVED_WHOLE)
    }

    /// Returns the first requests of each class in the queue of a group, in the order of serving.
    fn first_in_queue(&self, group: GroupId, count: usize) -> Vec<RequestId> {
        let late_before = |class: usize| {
            let usual_end = self.now + self.services[class].mean as Micros;
            usual_end.saturating_sub(self.settings.classes[class].latency_target)
        };
        let order = ServingOrder { rank: |class, is_late| self.queue_rank(class, is_late), late_before };
        self.groups.get(&group).map_or_else(Vec::new, |g| g.queue.first_of_each(count, &order))
    }

    /// Returns the rank of a class in the queue; the lowest is served first.
    fn queue_rank(&self, class: usize, is_late: bool) -> i64 {
        let value = self.settings.classes[class].value * self.value_share_of(class, is_late);
        -(value / self.services[class].unloaded_mean * 1e9) as i64
    }

    /// Returns the fraction of its value that a request can still earn, which is never 0.
    pub(super) fn value_share(&self, pending: &PendingRequest) -> f64 {
        let class = &self.settings.classes[pending.class];
        let late = self.now + self.services[pending.class].mean as Micros
            > pending.arrived_at + class.latency_target;
        self.value_share_of(pending.class, late || pending.likely_late)
    }

    /// Returns that fraction for a class, on time or late.
    fn value_share_of(&self, class: usize, is_late: bool) -> f64 {
        let late_share = self.settings.classes[class].late_value_share.max(LATE_REPEAT_SHARE);
        [1.0, late_share][usize::from(is_late)]
    }
}
