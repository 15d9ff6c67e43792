//! Decides which calls to make to discovery and when, without I/O. Its inputs are the results of calls, the updates of the
//! watch, and the time; its outputs are the calls to make and whether a received list is applied.
//!
//! Keeps the version in force and the schedule of calls. It makes no calls itself and decides nothing about members.
//!
//! A watch alone is not reliable: it may fall silent, lag behind, or report no change although there was one. The full list
//! is therefore also fetched at a regular interval ([`RESYNC`]), and at once when a watch ends. Neither source undoes a
//! newer state of the other: a full list is discarded if the watch delivered an update while it was being fetched, and the
//! watch is reopened from the version of a full list that the watch had not delivered.

use std::time::Instant;

use super::pace::{Pace, RESYNC};

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
    AskWhole,
    /// Open a watch for the changes after this version.
    Watch(u64),
    /// Close the open watch; anything that it still delivers is ignored.
    DropWatch,
}

/// Whether a received full list is to be applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is to be applied.
    Applies,
    /// It is the list in force, unchanged.
    Known,
    /// The watch delivered an update while it was being fetched; it is fetched again.
    Overtaken,
}

/// Keeps the membership list in step with discovery at one address.
#[derive(Debug)]
pub struct Follower {
    pace: Pace,
    watch_pace: Pace,
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

impl Follower {
    /// Starts the schedule now. `version` is the version of the full list if this address has just delivered one.
    pub fn new(pace: Pace, version: Option<u64>, now: Instant) -> Self {
        let full_list = Call::Due(if version.is_some() { now + RESYNC } else { now });
        let (watch, watch_pace, has_full_list) = (Call::Due(now), pace, version.is_some());
        Follower {
            pace,
            watch_pace,
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
    pub fn next(&mut self, now: Instant) -> Option<Action> {
        if std::mem::take(&mut self.close_watch) {
            return Some(Action::DropWatch);
        }
        if matches!(self.full_list, Call::Due(due) if due <= now) {
            self.full_list = Call::Running(self.update_count);
            return Some(Action::AskWhole);
        }
        let from = self.version.filter(|_| self.has_full_list)?;
        if matches!(self.watch, Call::Due(due) if due <= now) {
            self.watch = Call::Running(self.update_count);
            return Some(Action::Watch(from));
        }
        None
    }

    /// Records a received full list, and returns whether to apply it.
    pub fn whole_came(&mut self, version: u64, digest: u64, now: Instant) -> Verdict {
        let started_at_count =
            if let Call::Running(update_count) = self.full_list { update_count } else { self.update_count };
        self.pace.answered();
        if started_at_count != self.update_count && self.version.is_some_and(|known| version < known) {
            self.full_list = Call::Due(now);
            return Verdict::Overtaken;
        }
        (self.full_list, self.has_full_list) = (Call::Due(now + RESYNC), true);
        let version_changed = self.version != Some(version);
        if !version_changed && self.digest == Some(digest) {
            return Verdict::Known;
        }
        if let (true, Call::Running(_)) = (version_changed, self.watch) {
            (self.close_watch, self.watch) = (true, Call::Due(now));
        }
        (self.version, self.digest) = (Some(version), Some(digest));
        Verdict::Applies
    }

    /// Records that a call for the full list failed; it is repeated after a pause.
    pub fn whole_failed(&mut self, now: Instant) {
        self.full_list = Call::Due(now + self.pace.pause());
    }

    /// Records an update from the open watch. It is always applied.
    pub fn changed(&mut self, version: u64) {
        (self.version, self.update_count) = (Some(version), self.update_count + 1);
        self.watch_pace.answered();
    }

    /// Records that the watch ended or could not be opened. Updates may have been missed, and the next watch may fall
    /// silent too, so the full list is fetched at once, unless a call for it is already running.
    pub fn watch_ended(&mut self, now: Instant) {
        self.watch = Call::Due(now + self.watch_pace.pause());
        self.has_full_list = false;
        if let Call::Due(due) = self.full_list {
            self.full_list = Call::Due(due.min(now));
        }
    }
}
