//! What is known of members' roles and positions, the newest evidence of each.

use std::collections::BTreeMap;

use beaconshore::interface::{Micros, Role};

use crate::digest::Digest;

/// Members that are kept; of further ones nothing is spread.
const MOST_MEMBERS: usize = 8_192;
/// A member of which nothing was heard for this long is forgotten: it is gone, or nobody uses it.
const MEMORY: Micros = 600_000_000;

/// Names a member among all routers: a hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberTag(pub u32);

/// What a member said of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberState {
    /// Which member.
    pub member: MemberTag,
    /// Position that it had reached; evidence on its role speaks of that time.
    pub position: Micros,
    /// The role that it named.
    pub role: Option<Role>,
}

/// What a state changed in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Update {
    /// Nothing: as new or newer evidence was known.
    Known,
    /// A newer position of a member whose role is as known.
    Position,
    /// The role of a member that was not known, or had told none.
    FirstRole,
    /// Another role than the one that was known.
    RoleChange,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    position: Micros,
    role: Option<Role>,
    /// The time that the evidence on its role speaks of.
    role_at: Micros,
    heard_at: Micros,
}

/// The newest state of each member.
#[derive(Clone, Debug, Default)]
pub struct StateTable {
    entries: BTreeMap<MemberTag, Entry>,
}

impl StateTable {
    /// Takes in a state; older evidence changes nothing.
    pub fn update(&mut self, state: MemberState, now: Micros) -> Update {
        let MemberState { member, position, role } = state;
        if let Some(entry) = self.entries.get_mut(&member) {
            return entry.update(position, role, now);
        }
        if self.entries.len() >= MOST_MEMBERS {
            return Update::Known;
        }
        self.entries.insert(member, Entry { position, role, role_at: position, heard_at: now });
        if role.is_some() {
            Update::FirstRole
        } else {
            Update::Position
        }
    }

    /// Whether a member is kept.
    pub fn holds(&self, member: MemberTag) -> bool {
        self.entries.contains_key(&member)
    }

    /// The state of a member, as it is spread.
    pub fn state(&self, member: MemberTag) -> Option<MemberState> {
        let entry = self.entries.get(&member)?;
        Some(MemberState { member, position: entry.position, role: entry.role })
    }

    /// Members whose role is known, in a bucket of the digest.
    pub fn with_role(&self, bucket: usize) -> impl Iterator<Item = MemberTag> + '_ {
        let known =
            self.entries.iter().filter(move |(tag, e)| Digest::bucket(**tag) == bucket && e.role.is_some());
        known.map(|(tag, _)| *tag)
    }

    /// A digest of all roles.
    pub fn digest(&self) -> Digest {
        let mut digest = Digest::default();
        for (tag, entry) in &self.entries {
            entry.role.into_iter().for_each(|role| digest.add(*tag, role));
        }
        digest
    }

    /// Forgets members that nobody speaks of any more.
    pub fn expire(&mut self, now: Micros) {
        self.entries.retain(|_, entry| now <= entry.heard_at.saturating_add(MEMORY));
    }

    /// Members that are kept.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether none is kept.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

impl Entry {
    fn update(&mut self, position: Micros, role: Option<Role>, now: Micros) -> Update {
        self.heard_at = now;
        let newer = position > self.position;
        self.position = self.position.max(position);
        let Some(role) = role.filter(|_| position > self.role_at || self.role.is_none()) else {
            return if newer { Update::Position } else { Update::Known };
        };
        self.role_at = position;
        match self.role.replace(role) {
            None => Update::FirstRole,
            Some(before) if before != role => Update::RoleChange,
            Some(_) if newer => Update::Position,
            Some(_) => Update::Known,
        }
    }
}
