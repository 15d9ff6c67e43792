//! The list: what it holds of each member, and when routers are told. It is late, each router by its own time.

use beaconshore::interface::{GroupId, ListEntry, ListedState, MemberId, Micros, ZoneId};

use crate::draws::Draws;
use crate::plan::DiscoveryPlan;

/// The list.
pub struct Discovery {
    plan: DiscoveryPlan,
    entries: Vec<ListEntry>,
    versions: Vec<u64>,
    draws: Draws,
    /// Strikes that silence it, and changes that wait for its voice.
    silenced: Vec<usize>,
    waiting: Vec<usize>,
}

impl Discovery {
    /// Knows nobody.
    pub fn new(plan: DiscoveryPlan, draws: Draws) -> Self {
        Discovery {
            plan,
            entries: Vec::new(),
            versions: Vec::new(),
            draws,
            silenced: Vec::new(),
            waiting: Vec::new(),
        }
    }

    /// A member of the first list.
    pub fn add(&mut self, group: usize, zone: usize, primary: bool) {
        self.versions.push(0);
        self.entries.push(ListEntry {
            member: MemberId(self.entries.len() as u32),
            group: GroupId(group as u32),
            zone: ZoneId(zone as u16),
            listed: ListedState::Ready,
            started_at: None,
            primary,
        });
    }

    /// The whole list.
    pub fn entries(&self) -> &[ListEntry] {
        &self.entries
    }

    /// What it says of a member, and how often that changed.
    pub fn entry(&self, member: usize) -> (&ListEntry, u64) {
        (&self.entries[member], self.versions[member])
    }

    /// How often each entry changed.
    pub fn versions(&self) -> &[u64] {
        &self.versions
    }

    /// Time until it notices that a member fell silent or died.
    pub fn silent(&self) -> Micros {
        self.plan.silent
    }

    /// Time until it notices a new role.
    pub fn role(&self) -> Micros {
        self.plan.role
    }

    /// A member's state changed; whether routers are to be told now.
    pub fn change(&mut self, member: usize, change: impl FnOnce(&mut ListEntry)) -> bool {
        change(&mut self.entries[member]);
        self.versions[member] += 1;
        if !self.silenced.is_empty() {
            self.waiting.push(member);
        }
        self.silenced.is_empty()
    }

    /// Time until a router is told of a change.
    pub fn notice(&mut self) -> Micros {
        self.draws.between(self.plan.least, self.plan.most)
    }

    /// It falls silent.
    pub fn silence(&mut self, strike: usize) {
        self.silenced.push(strike);
    }

    /// A strike ends; members of whom routers are to be told now.
    pub fn heal(&mut self, strike: usize) -> Vec<usize> {
        self.silenced.retain(|s| *s != strike);
        if !self.silenced.is_empty() {
            return Vec::new();
        }
        self.waiting.sort_unstable();
        self.waiting.dedup();
        std::mem::take(&mut self.waiting)
    }
}
