//! What is asked of discovery and when, without I/O: the ends of calls, what a watch says, and time come in; calls to make
//! and whether a list counts come out.
//!
//! Owns the version in force and the pace of calls. Never calls anybody, and decides nothing about members.
//!
//! A watch alone may fall silent, lag, or say that nothing has changed when something has. So the whole list is asked for
//! beside it, at the latest so long after the last one came (`pace` says how long), and at once when a watch ends. The two
//! never overtake each other: a whole list counts unless news came while it was on its way, and one that a watch has not
//! told has the watch opened anew behind it.

use std::time::Instant;

use super::pace::{Pace, RESYNC};

/// A call of discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Call {
    /// To be made then.
    Due(Instant),
    /// Under way since this many news.
    Open(u64),
}

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Ask for the whole list.
    AskWhole,
    /// Watch the changes after this version.
    Watch(u64),
    /// Give up the watch that is open: what it says no longer counts.
    DropWatch,
}

/// Whether a whole list is to be put in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is.
    Applies,
    /// Nothing in it is new.
    Known,
    /// News came while it was on its way; it is asked for again.
    Overtaken,
}

/// Follows the list at one address.
#[derive(Debug)]
pub struct Follower {
    pace: Pace,
    watch_pace: Pace,
    version: Option<u64>,
    /// Digest of the whole list that came last.
    digest: Option<u64>,
    /// How many changes a watch told.
    news: u64,
    whole: Call,
    watch: Call,
    drops_watch: bool,
    /// Whether a whole list has come since a watch ended last.
    is_whole: bool,
}

impl Follower {
    /// Begins now; `version`: of the whole list, where this address has just given it.
    pub fn new(pace: Pace, version: Option<u64>, now: Instant) -> Self {
        let whole = Call::Due(if version.is_some() { now + RESYNC } else { now });
        let (watch, watch_pace, is_whole) = (Call::Due(now), pace, version.is_some());
        Follower {
            pace,
            watch_pace,
            version,
            digest: None,
            news: 0,
            whole,
            watch,
            drops_watch: false,
            is_whole,
        }
    }

    /// Version of the list in force.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// When there is something to do next, if nothing comes before.
    pub fn due(&self) -> Option<Instant> {
        let whole = if let Call::Due(at) = self.whole { Some(at) } else { None };
        let watch = if let Call::Due(at) = self.watch { Some(at).filter(|_| self.is_whole) } else { None };
        [whole, watch].into_iter().flatten().min()
    }

    /// What to do now, until there is nothing.
    pub fn next(&mut self, now: Instant) -> Option<Action> {
        if std::mem::take(&mut self.drops_watch) {
            return Some(Action::DropWatch);
        }
        if matches!(self.whole, Call::Due(at) if at <= now) {
            self.whole = Call::Open(self.news);
            return Some(Action::AskWhole);
        }
        let from = self.version.filter(|_| self.is_whole)?;
        if matches!(self.watch, Call::Due(at) if at <= now) {
            self.watch = Call::Open(self.news);
            return Some(Action::Watch(from));
        }
        None
    }

    /// The whole list came.
    pub fn whole_came(&mut self, version: u64, digest: u64, now: Instant) -> Verdict {
        let began = if let Call::Open(news) = self.whole { news } else { self.news };
        self.pace.answered();
        if began != self.news && self.version.is_some_and(|known| version < known) {
            self.whole = Call::Due(now);
            return Verdict::Overtaken;
        }
        (self.whole, self.is_whole) = (Call::Due(now + RESYNC), true);
        let behind = self.version != Some(version);
        if !behind && self.digest == Some(digest) {
            return Verdict::Known;
        }
        if let (true, Call::Open(_)) = (behind, self.watch) {
            (self.drops_watch, self.watch) = (true, Call::Due(now));
        }
        (self.version, self.digest) = (Some(version), Some(digest));
        Verdict::Applies
    }

    /// A call of the whole list brought nothing.
    pub fn whole_failed(&mut self, now: Instant) {
        self.whole = Call::Due(now + self.pace.pause());
    }

    /// The watch that is open told a change, which counts.
    pub fn changed(&mut self, version: u64) {
        (self.version, self.news) = (Some(version), self.news + 1);
        self.watch_pace.answered();
    }

    /// The watch ended, or could not be opened. Changes may have been missed, and another one may fall silent too: the
    /// whole list tells, and comes at once or not at all.
    pub fn watch_ended(&mut self, now: Instant) {
        self.watch = Call::Due(now + self.watch_pace.pause());
        self.is_whole = false;
        if let Call::Due(at) = self.whole {
            self.whole = Call::Due(at.min(now));
        }
    }
}
