//! Decides what a router tells the other routers about members, and when. These updates save the others
//! probes and change no rule, because a router that receives none finds out by itself
//! (`docs/design/probe-sharing.md`).

use crate::interface::{MemberUpdate, Micros, Settings};
use crate::policy::probe_share::{lagging_replica_pause, PROBE_PERIOD};

/// How often the position of a member is sent within the tightest staleness bound.
const UPDATES_PER_BOUND: u64 = 2;
/// Time without messages from other routers after which a router takes itself to be cut off, in microseconds.
const PEER_SILENCE_TIMEOUT: Micros = 1_000_000;
/// Pause between messages of a router that seems cut off, in microseconds. It keeps sending, since the others
/// may still receive its messages.
const ISOLATED_SEND_PERIOD: Micros = 500_000;

/// The updates that a router has yet to send to the others, and when it last exchanged messages with them.
#[derive(Clone, Debug, Default)]
pub struct Broadcast {
    /// Whether the site permits messages between routers.
    allowed: bool,
    /// Tightest staleness bound of all classes.
    tightest_bound: Micros,
    /// Updates that are still to be sent.
    updates: Vec<MemberUpdate>,
    /// When updates were last sent.
    last_sent_at: Micros,
    /// When the last message from another router arrived.
    last_heard_at: Micros,
}

impl Broadcast {
    /// Creates the state for a router with these settings and this tightest staleness bound.
    pub fn new(settings: &Settings, tightest_bound: Micros, now: Micros) -> Self {
        let allowed = settings.limits.peer_messages;
        Broadcast { allowed, tightest_bound, last_heard_at: now, ..Broadcast::default() }
    }

    /// Records that a message from another router arrived.
    pub fn on_peer_message(&mut self, now: Micros) {
        self.last_heard_at = now;
    }

    /// Returns whether a member's position should be sent to the others, given that routers last told each
    /// other about the member at `shared_at`. For a member that is the `confirmed_primary`, the others only
    /// need to know that it is still there, so it is told more rarely.
    pub fn is_news(&self, position: Micros, confirmed_primary: bool, shared_at: Micros, now: Micros) -> bool {
        let lag = now.saturating_sub(position);
        let period = match confirmed_primary {
            true => self.tightest_bound.max(PROBE_PERIOD) / UPDATES_PER_BOUND,
            false if lag > self.tightest_bound => {
                lagging_replica_pause(lag).max(self.tightest_bound / UPDATES_PER_BOUND)
            }
            false => self.tightest_bound / UPDATES_PER_BOUND,
        };
        self.allowed && now > shared_at.saturating_add(period)
    }

    /// Adds an update that is to be sent.
    pub fn add(&mut self, update: MemberUpdate) {
        self.updates.push(update);
    }

    /// Discards the updates that are still to be sent.
    pub fn discard(&mut self) {
        self.updates.clear();
    }

    /// Returns the updates that are to be sent now. A router that seems cut off collects them between
    /// messages.
    pub fn take_due(&mut self, now: Micros) -> Option<Vec<MemberUpdate>> {
        let isolated = now > self.last_heard_at.saturating_add(PEER_SILENCE_TIMEOUT);
        let collecting = isolated && now < self.last_sent_at.saturating_add(ISOLATED_SEND_PERIOD);
        if self.updates.is_empty() || collecting {
            return None;
        }
        self.last_sent_at = now;
        Some(std::mem::take(&mut self.updates))
    }
}
