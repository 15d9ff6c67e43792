//! The calls of one kind that run at the same time at one address of discovery, without I/O. Their number is bounded.

use std::time::Instant;

/// Identifies a call to one address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallId(pub u64);

/// A call that has not ended yet.
#[derive(Clone, Copy, Debug)]
pub struct RunningCall {
    /// Identifies the call.
    pub id: CallId,
    /// When it was made.
    pub started_at: Instant,
    /// Number of lists and updates that had been received when it was made.
    pub received_before: u64,
    /// Number of the fetch that it belongs to. Calls that repeat an unanswered one belong to the same fetch.
    pub fetch: u64,
}

/// Calls that run at the same time, the oldest first.
#[derive(Debug)]
pub struct RunningCalls {
    calls: Vec<RunningCall>,
    limit: usize,
}

impl RunningCalls {
    /// No calls yet; at most `limit` at the same time.
    pub fn new(limit: usize) -> Self {
        RunningCalls { calls: Vec::new(), limit }
    }

    /// Adds a call. Returns one that is to be abandoned for it if there are too many.
    pub fn start(&mut self, call: RunningCall) -> Option<CallId> {
        self.calls.push(call);
        (self.calls.len() > self.limit).then(|| {
            let abandoned = self.most_dispensable();
            self.calls.remove(abandoned).id
        })
    }

    /// Removes a call that has ended; `None` if it had been abandoned.
    pub fn end(&mut self, id: CallId) -> Option<RunningCall> {
        let index = self.calls.iter().position(|call| call.id == id)?;
        Some(self.calls.remove(index))
    }

    /// Removes all calls, and returns their ids.
    pub fn abandon_all(&mut self) -> impl Iterator<Item = CallId> + '_ {
        self.calls.drain(..).map(|call| call.id)
    }

    /// Whether no call runs.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Whether a further call would exceed the limit.
    pub fn is_full(&self) -> bool {
        self.calls.len() >= self.limit
    }

    /// Index of the call between two others that leaves the shortest gap between their starts. What remains is spread over
    /// all ages: a new call finds out that discovery is back, an old one gets its turn at a busy discovery.
    fn most_dispensable(&self) -> usize {
        let gap = |index: usize| {
            self.calls[index + 1].started_at.saturating_duration_since(self.calls[index - 1].started_at)
        };
        (1..self.calls.len() - 1).min_by_key(|&index| gap(index)).unwrap_or(0)
    }
}
