//! The requests of a group that wait for a member, kept so that the next ones to serve are found without
//! looking at all that wait.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use crate::interface::{Micros, RequestId};
use crate::records::PendingRequest;

/// Requests in the order of a time, then of their ids.
type RequestsByTime = BTreeSet<(Micros, RequestId)>;

/// Requests of one queue that are alike but for their times.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ListKey {
    class: usize,
    likely_late: bool,
}

/// The order in which requests are served.
pub(crate) struct ServingOrder<Rank, LateBefore> {
    /// The rank of a class, on time or late; the lowest is served first, within a rank the oldest request.
    pub(crate) rank: Rank,
    /// Requests of a class that arrived before this time are late.
    pub(crate) late_before: LateBefore,
}

/// The queue.
#[derive(Default)]
pub(crate) struct RequestQueue {
    /// The requests by their arrival.
    lists: BTreeMap<ListKey, RequestsByTime>,
    /// All of them by their expiry.
    by_expiry: RequestsByTime,
    /// The last request that was taken in rotation.
    rotation: (Micros, RequestId),
}

impl RequestQueue {
    /// Returns how many requests wait.
    pub(crate) fn len(&self) -> usize {
        self.by_expiry.len()
    }

    /// Returns whether no request waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.by_expiry.is_empty()
    }

    /// Adds a request.
    pub(crate) fn insert(&mut self, id: RequestId, pending: &PendingRequest) {
        self.lists.entry(list_key(pending)).or_default().insert((pending.arrived_at, id));
        self.by_expiry.insert((pending.expires_at, id));
    }

    /// Removes a request, if it waits here.
    pub(crate) fn remove(&mut self, id: RequestId, pending: &PendingRequest) {
        self.by_expiry.remove(&(pending.expires_at, id));
        let key = list_key(pending);
        let Some(list) = self.lists.get_mut(&key) else { return };
        list.remove(&(pending.arrived_at, id));
        if list.is_empty() {
            self.lists.remove(&key);
        }
    }

    /// Returns the first requests to serve of each class, on time and late, in the order of serving.
    pub(crate) fn first_of_each(
        &self,
        count: usize,
        order: &ServingOrder<impl Fn(usize, bool) -> i64, impl Fn(usize) -> Micros>,
    ) -> Vec<RequestId> {
        let mut first: Vec<(i64, Micros, RequestId)> = Vec::new();
        for (key, list) in &self.lists {
            let late_before = if key.likely_late { Micros::MAX } else { (order.late_before)(key.class) };
            let boundary = (late_before, RequestId(0));
            let (late, on_time) = (list.range(..boundary), list.range(boundary..));
            let ranked = |is_late| move |(at, id): &(Micros, RequestId)| (is_late, *at, *id);
            let both = on_time.take(count).map(ranked(false)).chain(late.take(count).map(ranked(true)));
            first.extend(both.map(|(is_late, at, id)| ((order.rank)(key.class, is_late), at, id)));
        }
        first.sort_unstable();
        first.into_iter().map(|(_, _, id)| id).collect()
    }

    /// Returns the first request that expires by this time.
    pub(crate) fn first_expired(&self, now: Micros) -> Option<RequestId> {
        self.by_expiry.first().filter(|(expires_at, _)| *expires_at <= now).map(|(_, id)| *id)
    }

    /// Returns so many requests in rotation: repeated calls return all that wait.
    pub(crate) fn next_in_rotation(&mut self, count: usize) -> Vec<RequestId> {
        let after = (Bound::Excluded(self.rotation), Bound::Unbounded);
        let next: Vec<(Micros, RequestId)> = self.by_expiry.range(after).take(count).copied().collect();
        self.rotation = if next.len() == count { next.last().copied() } else { None }.unwrap_or_default();
        next.into_iter().map(|(_, id)| id).collect()
    }

    /// Returns the request that arrived first among those of the classes that satisfy the condition.
    pub(crate) fn oldest_of_classes(&self, is_wanted: impl Fn(usize) -> bool) -> Option<RequestId> {
        let wanted = self.lists.iter().filter(|(key, _)| is_wanted(key.class));
        wanted.filter_map(|(_, list)| list.first()).min().map(|(_, id)| *id)
    }
}

/// Returns the list in which a request waits.
fn list_key(pending: &PendingRequest) -> ListKey {
    ListKey { class: pending.class, likely_late: pending.likely_late }
}
