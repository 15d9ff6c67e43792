//! A digest of all roles that a router knows, by which two routers find what one of them lacks.

use beaconshore::interface::Role;

use crate::state::MemberTag;

/// Buckets of a digest: a difference costs the states of one bucket, not of all members.
pub const BUCKETS: usize = 32;

/// One sum for each bucket of members; equal where both know the same roles.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Digest(pub [u32; BUCKETS]);

impl Digest {
    /// The bucket of a member.
    pub fn bucket(member: MemberTag) -> usize {
        (mix(member.0) >> 8) as usize % BUCKETS
    }

    /// Adds a member with a role; the order doesn't matter.
    pub fn add(&mut self, member: MemberTag, role: Role) {
        let role = match role {
            Role::Primary => 0x9e37_79b9,
            Role::Replica => 0x85eb_ca6b,
        };
        let sum = &mut self.0[Digest::bucket(member)];
        *sum = sum.wrapping_add(mix(member.0 ^ role));
    }

    /// Buckets in which two digests differ.
    pub fn differing(&self, other: &Digest) -> impl Iterator<Item = usize> {
        let (own, other) = (self.0, other.0);
        (0..BUCKETS).filter(move |bucket| own[*bucket] != other[*bucket])
    }
}

/// The finalizer of MurmurHash3: spreads neighbouring numbers over all bits.
fn mix(number: u32) -> u32 {
    let number = (number ^ number >> 16).wrapping_mul(0x85eb_ca6b);
    let number = (number ^ number >> 13).wrapping_mul(0xc2b2_ae35);
    number ^ number >> 16
}
