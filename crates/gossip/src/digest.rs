//! A digest of all member roles that a router knows. Two routers compare digests to find what one of them lacks.

use beaconshore::interface::Role;

use crate::state::MemberTag;

/// Number of buckets of a digest. For a difference only the states of its bucket are sent, not those of all members.
pub const BUCKETS: usize = 32;

/// A sum of hashes for each bucket of members. Sums are equal where two routers know the same roles.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Digest(pub [u32; BUCKETS]);

impl Digest {
    /// The bucket that a member belongs to.
    pub fn bucket(member: MemberTag) -> usize {
        (mix(member.0) >> 8) as usize % BUCKETS
    }

    /// Adds a member with its role. The digest does not depend on the order in which members are added.
    pub fn add(&mut self, member: MemberTag, role: Role) {
        let role = match role {
            Role::Primary => 0x9e37_79b9,
            Role::Replica => 0x85eb_ca6b,
        };
        let sum = &mut self.0[Digest::bucket(member)];
        *sum = sum.wrapping_add(mix(member.0 ^ role));
    }

    /// The buckets in which two digests differ.
    pub fn differing(&self, other: &Digest) -> impl Iterator<Item = usize> {
        let (own, other) = (self.0, other.0);
        (0..BUCKETS).filter(move |bucket| own[*bucket] != other[*bucket])
    }
}

/// Hashes a number so that close numbers differ in all bits (the finalizer of MurmurHash3).
fn mix(number: u32) -> u32 {
    let number = (number ^ number >> 16).wrapping_mul(0x85eb_ca6b);
    let number = (number ^ number >> 13).wrapping_mul(0xc2b2_ae35);
    number ^ number >> 16
}
