//! The known roles and positions of members. For each member only the newest evidence is kept.

use std::collections::BTreeMap;

use beaconshore::interface::{Micros, Role};

use crate::digest::Digest;

/// Maximum number of members in the table. States of further members are ignored, and not spread.
const MAX_MEMBERS: usize = 8_192;
/// Time without news after which a member is removed from the table, in microseconds: it is gone, or nobody uses it.
const EXPIRY_US: Micros = 600_000_000;

/// Identifies a member among all routers: a hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberTag(pub u32);

/// The state that a member reported of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberState {
    /// Which member.
    pub member: MemberTag,
    /// Position that the member had reached. The role is evidence as of this time.
    pub position: Micros,
    /// The role that the member reported, if any.
    pub role: Option<Role>,
}

/// How a state changed the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Update {
    /// Not at all: evidence at least as new was known.
    Known,
    /// The member has a newer position; its role did not change.
    Position,
    /// The first known role of a member: the member was unknown, or had reported no role.
    FirstRole,
    /// The role of the member changed.
    RoleChange,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    position: Micros,
    role: Option<Role>,
    /// Time of the evidence for the role.
    role_evidence_at: Micros,
    heard_at: Micros,
}

/// The newest state of each member.
#[derive(Clone, Debug, Default)]
pub struct StateTable {
    entries: BTreeMap<MemberTag, Entry>,
}

impl StateTable {
    /// Merges a state into the table. Older evidence changes nothing.
    pub fn update(&mut self, state: MemberState, now: Micros) -> Update {
        let MemberState { member, position, role } = state;
        if let Some(entry) = self.entries.get_mut(&member) {
            return entry.update(position, role, now);
        }
        if self.entries.len() >= MAX_MEMBERS {
            return Update::Known;
        }
        self.entries.insert(member, Entry { position, role, role_evidence_at: position, heard_at: now });
        if role.is_some() {
            Update::FirstRole
        } else {
            Update::Position
        }
    }

    /// Whether a member is in the table.
    pub fn contains(&self, member: MemberTag) -> bool {
        self.entries.contains_key(&member)
    }

    /// The newest state of a member, as it is sent to peers.
    pub fn state(&self, member: MemberTag) -> Option<MemberState> {
        let entry = self.entries.get(&member)?;
        // Receivers date a claim to be the primary by the position that comes with it. A position that was
        // learnt later, without a role, would make it look newer than it is.
        let position = match entry.role {
            Some(Role::Primary) => entry.role_evidence_at,
            _ => entry.position,
        };
        Some(MemberState { member, position, role: entry.role })
    }

    /// The members in a bucket of the digest whose role is known.
    pub fn members_with_role(&self, bucket: usize) -> impl Iterator<Item = MemberTag> + '_ {
        let known =
            self.entries.iter().filter(move |(tag, e)| Digest::bucket(**tag) == bucket && e.role.is_some());
        known.map(|(tag, _)| *tag)
    }

    /// The digest of all known roles.
    pub fn digest(&self) -> Digest {
        let mut digest = Digest::default();
        for (tag, entry) in &self.entries {
            entry.role.into_iter().for_each(|role| digest.add(*tag, role));
        }
        digest
    }

    /// Removes members of which nothing was heard for a long time.
    pub fn expire(&mut self, now: Micros) {
        self.entries.retain(|_, entry| now <= entry.heard_at.saturating_add(EXPIRY_US));
    }

    /// Number of members in the table.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the table has no members.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

impl Entry {
    fn update(&mut self, position: Micros, role: Option<Role>, now: Micros) -> Update {
        self.heard_at = now;
        let is_newer = position > self.position;
        self.position = self.position.max(position);
        let Some(role) = role.filter(|_| position > self.role_evidence_at || self.role.is_none()) else {
            return if is_newer { Update::Position } else { Update::Known };
        };
        self.role_evidence_at = position;
        match self.role.replace(role) {
            None => Update::FirstRole,
            Some(previous) if previous != role => Update::RoleChange,
            Some(_) if is_newer => Update::Position,
            Some(_) => Update::Known,
        }
    }
}
