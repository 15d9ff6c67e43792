//! What a router tells the others of what members said, and when: words spare others their probes and change
//! no rule, for a router that hears nothing finds out by itself (`docs/design/probe-sharing.md`).

use crate::interface::{MemberUpdate, Micros, Settings};
use crate::policy::probe_share::{lagging_replica_pause, PROBE_PERIOD};

/// Positions are told once in this part of the tightest bound.
const NEWS: u64 = 2;
/// Others that talk are heard within this; after it a router takes itself for cut off, in microseconds.
const DEAF: Micros = 1_000_000;
/// A router that hears nobody gathers its words for this long, in microseconds: the others may hear it.
const GATHER: Micros = 500_000;

/// A router's part in broadcast.
#[derive(Clone, Debug, Default)]
pub struct Broadcast {
    /// Whether the site permits messages.
    allowed: bool,
    bound: Micros,
    words: Vec<MemberUpdate>,
    told_at: Micros,
    heard_at: Micros,
}

impl Broadcast {
    /// The part of a router with these settings and this tightest bound.
    pub fn new(settings: &Settings, bound: Micros, now: Micros) -> Self {
        let allowed = settings.limits.peer_messages;
        Broadcast { allowed, bound, heard_at: now, ..Broadcast::default() }
    }

    /// Others told something.
    pub fn on_heard(&mut self, now: Micros) {
        self.heard_at = now;
    }

    /// Whether a member's word, last told of at `shared`, is news; of a `known` primary only its being there.
    pub fn is_news(&self, position: Micros, known: bool, shared: Micros, now: Micros) -> bool {
        let lag = now.saturating_sub(position);
        let period = match known {
            true => self.bound.max(PROBE_PERIOD) / NEWS,
            false if lag > self.bound => lagging_replica_pause(lag).max(self.bound / NEWS),
            false => self.bound / NEWS,
        };
        self.allowed && now > shared.saturating_add(period)
    }

    /// Takes a word that is news.
    pub fn add(&mut self, word: MemberUpdate) {
        self.words.push(word);
    }

    /// What is to be told now; nothing while a router that hears nobody gathers.
    pub fn due(&mut self, now: Micros) -> Option<Vec<MemberUpdate>> {
        let deaf = now > self.heard_at.saturating_add(DEAF);
        let gathers = deaf && now < self.told_at.saturating_add(GATHER);
        if self.words.is_empty() || gathers {
            return None;
        }
        self.told_at = now;
        Some(std::mem::take(&mut self.words))
    }
}
