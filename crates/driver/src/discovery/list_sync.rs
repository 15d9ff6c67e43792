//! Decides which calls to make to discovery and when, without I/O. Its inputs are the results of calls, the updates of the
//! watch, and the time; its outputs are the calls to make and whether a received list is applied.
//!
//! Keeps the version in force and the schedule of calls. It makes no calls itself and decides nothing about members.
//!
//! A watch alone is not reliable: it may fall silent, lag behind, or report no change although there was one. The full list
//! is therefore also fetched at a regular interval ([`RESYNC_INTERVAL`]), and at once when a watch ends. Neither source undoes a
//! newer state of the other: a full list is discarded if a newer state was received while it was being fetched, and the
//! watch is reopened from the version of a full list that the watch had not delivered.
//!
//! A call that is not answered is repeated, and stays open beside its repeat: discovery may be out of reach, or may serve
//! calls slowly and in turn. Whichever is answered first ends the fetch; a later answer still counts if it is newer.

use std::time::{Duration, Instant};

use super::call_timing::{CallTiming, MAX_CALL_TIME, RESYNC_INTERVAL};
use super::running_calls::{CallId, RunningCall, RunningCalls};

/// Most calls for the full list that run at the same time.
pub const MAX_LIST_CALLS: usize = 6;
/// Most calls that open a watch at the same time.
pub const MAX_WATCH_CALLS: usize = 2;

/// A call to make or to abandon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Fetch the full list.
    FetchList(CallId),
    /// Open a watch for the changes after this version.
    OpenWatch(CallId, u64),
    /// Abandon this call; it brought nothing.
    Abandon(CallId),
    /// Close the open watch and abandon the calls that open one; anything that they still deliver is ignored.
    CloseWatch,
}

/// Whether a received full list is to be applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FullListVerdict {
    /// It is to be applied.
    Apply,
    /// It is the list in force, unchanged.
    Unchanged,
    /// A newer state was received while it was being fetched.
    Outdated,
}

/// Keeps the membership list in step with discovery at one address.
#[derive(Debug)]
pub struct ListSync {
    list_timing: CallTiming,
    watch_timing: CallTiming,
    version: Option<u64>,
    /// Digest of the full list received last.
    digest: Option<u64>,
    /// Number of full lists and updates received.
    received: u64,
    /// Id of the next call.
    next_call: u64,
    /// Time that discovery took to answer last.
    last_latency: Duration,
    list_calls: RunningCalls,
    /// When the next call for the full list is to be made, if no running one is answered before.
    list_due: Instant,
    /// Number of fetches begun so far.
    fetch: u64,
    /// Whether the last fetch has not ended yet.
    is_fetching: bool,
    /// Calls in a row that were repeated because they were not answered.
    unanswered: u32,
    /// The pause after a failure of the last call for the full list.
    list_pause: Duration,
    watch_calls: RunningCalls,
    is_watch_open: bool,
    /// When the next watch is to be opened, if no running call opens one before.
    watch_due: Instant,
    /// Whether a full list has been received since the last watch ended. Without one no watch is opened.
    has_full_list: bool,
    abandoned: Vec<CallId>,
    close_watch: bool,
}

impl ListSync {
    /// Starts the schedule now.
    pub fn new(timing: CallTiming, now: Instant) -> Self {
        ListSync {
            list_timing: timing,
            watch_timing: timing,
            version: None,
            digest: None,
            received: 0,
            next_call: 0,
            last_latency: Duration::ZERO,
            list_calls: RunningCalls::new(MAX_LIST_CALLS),
            list_due: now,
            fetch: 0,
            is_fetching: false,
            unanswered: 0,
            list_pause: Duration::ZERO,
            watch_calls: RunningCalls::new(MAX_WATCH_CALLS),
            is_watch_open: false,
            watch_due: now,
            has_full_list: false,
            abandoned: Vec::new(),
            close_watch: false,
        }
    }

    /// Version of the list in force; `None` before the first list.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// Whether discovery seems to be out of reach: the repeat of an unanswered call was not answered either.
    pub fn is_unanswered(&self) -> bool {
        self.unanswered > 1
    }

    /// When the next action is due, if no result arrives before that.
    pub fn due(&self) -> Instant {
        if self.may_open_watch() {
            self.list_due.min(self.watch_due)
        } else {
            self.list_due
        }
    }

    /// The next action to take now. To be called until it returns `None`.
    pub fn next_action(&mut self, now: Instant) -> Option<Action> {
        if let Some(call) = self.abandoned.pop() {
            return Some(Action::Abandon(call));
        }
        if std::mem::take(&mut self.close_watch) {
            return Some(Action::CloseWatch);
        }
        if self.list_due <= now {
            return Some(self.start_list_call(now));
        }
        let version = self.version?;
        (self.may_open_watch() && self.watch_due <= now).then(|| self.start_watch_call(version, now))
    }

    /// Has the full list fetched now, unless a call for it is already running.
    pub fn fetch_now(&mut self, now: Instant) {
        if !self.is_fetching {
            self.list_due = self.list_due.min(now);
        }
    }

    /// Records a received full list, and returns whether to apply it.
    pub fn on_full_list(&mut self, call: CallId, version: u64, digest: u64, now: Instant) -> FullListVerdict {
        let Some(call) = self.list_calls.end(call) else {
            return FullListVerdict::Outdated;
        };
        self.on_answer(&call, now);
        self.list_timing.reset();
        let ends_fetch = self.is_fetching && call.fetch == self.fetch;
        let is_overtaken = call.received_before != self.received;
        if is_overtaken && self.version.is_some_and(|known| version < known) {
            if ends_fetch {
                (self.is_fetching, self.list_due) = (false, now);
            }
            return FullListVerdict::Outdated;
        }
        if ends_fetch {
            (self.is_fetching, self.list_due) = (false, now + RESYNC_INTERVAL);
        }
        (self.has_full_list, self.received) = (true, self.received + 1);
        self.compare_with_list_in_force(version, digest, now)
    }

    /// Records that a call for the full list failed. The next one is made after a pause, or when the calls that still run
    /// have remained unanswered for too long.
    pub fn on_full_list_failure(&mut self, call: CallId, now: Instant) {
        let Some(call) = self.list_calls.end(call) else { return };
        self.on_failure(&call, now);
        if self.is_fetching && self.list_calls.is_empty() {
            self.list_due = self.list_due.min(now + self.list_pause);
        }
    }

    /// Records that a call has opened a watch. Other calls that would open one are abandoned. Returns whether the watch is
    /// wanted.
    pub fn on_watch_opened(&mut self, call: CallId, now: Instant) -> bool {
        let Some(call) = self.watch_calls.end(call) else {
            return false;
        };
        self.on_answer(&call, now);
        self.abandoned.extend(self.watch_calls.abandon_all());
        self.is_watch_open = true;
        true
    }

    /// Records that a call did not open a watch.
    pub fn on_watch_failure(&mut self, call: CallId, now: Instant) {
        let Some(call) = self.watch_calls.end(call) else { return };
        self.on_failure(&call, now);
        if self.watch_calls.is_empty() {
            self.on_watch_end(now);
        }
    }

    /// Records an update from the open watch. It is always applied.
    pub fn on_update(&mut self, version: u64) {
        (self.version, self.received) = (Some(version), self.received + 1);
        self.watch_timing.reset();
    }

    /// Records that the open watch ended. Updates may have been missed, and the next watch may fall silent too, so the full
    /// list is fetched at once, unless a call for it is already running.
    pub fn on_watch_end(&mut self, now: Instant) {
        (self.is_watch_open, self.has_full_list) = (false, false);
        self.watch_due = now + self.watch_timing.next_pause();
        self.fetch_now(now);
    }

    /// Applies a full list that is not outdated if it differs from the one in force.
    fn compare_with_list_in_force(&mut self, version: u64, digest: u64, now: Instant) -> FullListVerdict {
        let version_changed = self.version != Some(version);
        if !version_changed && self.digest == Some(digest) {
            return FullListVerdict::Unchanged;
        }
        if version_changed && (self.is_watch_open || !self.watch_calls.is_empty()) {
            drop(self.watch_calls.abandon_all());
            (self.is_watch_open, self.close_watch, self.watch_due) = (false, true, now);
        }
        (self.version, self.digest) = (Some(version), Some(digest));
        FullListVerdict::Apply
    }

    fn may_open_watch(&self) -> bool {
        self.has_full_list && !self.is_watch_open && !self.watch_calls.is_full()
    }

    /// Makes a call for the full list: the first of a fetch, or one that repeats calls that failed or were not answered.
    fn start_list_call(&mut self, now: Instant) -> Action {
        if !self.is_fetching {
            (self.is_fetching, self.fetch) = (true, self.fetch + 1);
        } else if !self.list_calls.is_empty() {
            self.unanswered += 1;
        }
        self.list_pause = self.list_timing.next_pause();
        let patience = self.list_timing.patience(self.last_latency, self.unanswered);
        self.list_due = now + patience + self.list_pause;
        let call = self.new_call(now);
        self.abandoned.extend(self.list_calls.start(call));
        Action::FetchList(call.id)
    }

    /// Makes a call that opens a watch. If it repeats one that was not answered, the full list is fetched meanwhile.
    fn start_watch_call(&mut self, version: u64, now: Instant) -> Action {
        if !self.watch_calls.is_empty() {
            self.fetch_now(now);
        }
        let patience = self.watch_timing.patience(self.last_latency, 0);
        self.watch_due = now + patience + self.watch_timing.max_pause();
        let call = self.new_call(now);
        self.abandoned.extend(self.watch_calls.start(call));
        Action::OpenWatch(call.id, version)
    }

    fn new_call(&mut self, now: Instant) -> RunningCall {
        let id = CallId(self.next_call);
        self.next_call += 1;
        RunningCall { id, started_at: now, received_before: self.received, fetch: self.fetch }
    }

    /// Notes that discovery answers, and how long it took.
    fn on_answer(&mut self, call: &RunningCall, now: Instant) {
        (self.last_latency, self.unanswered) = (now.saturating_duration_since(call.started_at), 0);
    }

    /// Notes how long a call took to fail: an error is an answer too, but for the end of the time of a call.
    fn on_failure(&mut self, call: &RunningCall, now: Instant) {
        if now < call.started_at + MAX_CALL_TIME {
            self.on_answer(call, now);
        }
    }
}
