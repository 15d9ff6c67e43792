//! Decides which calls to make to discovery and when, without I/O. Its inputs are the results of calls, the updates of the
//! watch, and the time; its outputs are the calls to make and whether a received list is applied.
//!
//! Keeps the version in force and the schedule of calls. It makes no calls itself and decides nothing about members.
//!
//! A watch alone is not reliable: it may fall silent, lag behind, or report no change although there was one. The full list
//! is therefore also fetched at a regular interval ([`RESYNC_INTERVAL`]), and at once when a watch ends. Neither source undoes a
//! newer state of the other: a full list is discarded if the watch delivered an update while it was being fetched, and the
//! watch is reopened from the version of a full list that the watch had not delivered.

use std::time::Instant;

use super::call_timing::{CallTiming, RESYNC_INTERVAL};

/// State of a call to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Call {
    /// Not running; to be made at this time.
    Due(Instant),
    /// Running. Holds the number of watch updates received before its start.
    Running(u64),
}

/// A call to make or to abandon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Fetch the full list.
    FetchList,
    /// Open a watch for the changes after this version.
    OpenWatch(u64),
    /// Close the open watch; anything that it still delivers is ignored.
    CloseWatch,
}

/// Whether a received full list is to be applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FullListVerdict {
    /// It is to be applied.
    Apply,
    /// It is the list in force, unchanged.
    Unchanged,
    /// The watch delivered an update while it was being fetched; it is fetched again.
    Outdated,
}

/// Keeps the membership list in step with discovery at one address.
#[derive(Debug)]
pub struct ListSync {
    timing: CallTiming,
    watch_timing: CallTiming,
    version: Option<u64>,
    /// Digest of the full list received last.
    digest: Option<u64>,
    /// Number of updates received from watches.
    update_count: u64,
    full_list: Call,
    watch: Call,
    close_watch: bool,
    /// Whether a full list has been received since the last watch ended. Without one no watch is opened.
    has_full_list: bool,
}

impl ListSync {
    /// Starts the schedule now. `version` is the version of the full list if this address has just delivered one.
    pub fn new(timing: CallTiming, version: Option<u64>, now: Instant) -> Self {
        let full_list = Call::Due(if version.is_some() { now + RESYNC_INTERVAL } else { now });
        let (watch, watch_timing, has_full_list) = (Call::Due(now), timing, version.is_some());
        ListSync {
            timing,
            watch_timing,
            version,
            digest: None,
            update_count: 0,
            full_list,
            watch,
            close_watch: false,
            has_full_list,
        }
    }

    /// Version of the list in force; `None` before the first list.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// When the next call is due, if no result arrives before that.
    pub fn due(&self) -> Option<Instant> {
        let full_list = if let Call::Due(due) = self.full_list { Some(due) } else { None };
        let watch =
            if let Call::Due(due) = self.watch { Some(due).filter(|_| self.has_full_list) } else { None };
        [full_list, watch].into_iter().flatten().min()
    }

    /// The next action to take now. To be called until it returns `None`.
    pub fn next_action(&mut self, now: Instant) -> Option<Action> {
        if std::mem::take(&mut self.close_watch) {
            return Some(Action::CloseWatch);
        }
        if matches!(self.full_list, Call::Due(due) if due <= now) {
            self.full_list = Call::Running(self.update_count);
            return Some(Action::FetchList);
        }
        let from = self.version.filter(|_| self.has_full_list)?;
        if matches!(self.watch, Call::Due(due) if due <= now) {
            self.watch = Call::Running(self.update_count);
            return Some(Action::OpenWatch(from));
        }
        None
    }

    /// Records a received full list, and returns whether to apply it.
    pub fn on_full_list(&mut self, version: u64, digest: u64, now: Instant) -> FullListVerdict {
        let started_at_count =
            if let Call::Running(update_count) = self.full_list { update_count } else { self.update_count };
        self.timing.reset();
        if started_at_count != self.update_count && self.version.is_some_and(|known| version < known) {
            self.full_list = Call::Due(now);
            return FullListVerdict::Outdated;
        }
        (self.full_list, self.has_full_list) = (Call::Due(now + RESYNC_INTERVAL), true);
        let version_changed = self.version != Some(version);
        if !version_changed && self.digest == Some(digest) {
            return FullListVerdict::Unchanged;
        }
        if let (true, Call::Running(_)) = (version_changed, self.watch) {
            (self.close_watch, self.watch) = (true, Call::Due(now));
        }
        (self.version, self.digest) = (Some(version), Some(digest));
        FullListVerdict::Apply
    }

    /// Records that a call for the full list failed; it is repeated after a pause.
    pub fn on_full_list_failure(&mut self, now: Instant) {
        self.full_list = Call::Due(now + self.timing.next_pause());
    }

    /// Records an update from the open watch. It is always applied.
    pub fn on_update(&mut self, version: u64) {
        (self.version, self.update_count) = (Some(version), self.update_count + 1);
        self.watch_timing.reset();
    }

    /// Records that the watch ended or could not be opened. Updates may have been missed, and the next watch may fall
    /// silent too, so the full list is fetched at once, unless a call for it is already running.
    pub fn on_watch_end(&mut self, now: Instant) {
        self.watch = Call::Due(now + self.watch_timing.next_pause());
        self.has_full_list = false;
        if let Call::Due(due) = self.full_list {
            self.full_list = Call::Due(due.min(now));
        }
    }
}
