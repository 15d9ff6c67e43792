//! Encoding of the messages between drivers as datagrams, and decoding. Pure functions, without I/O.
//!
//! All numbers are big-endian. Every datagram begins with a version (1 byte), which tells the kind of message, and a base time
//! (Unix time in milliseconds, 6 bytes). The items that follow depend on the version:
//!
//! - Member states, 8 bytes each: the tag of the member's name (4), then the time by which its position precedes the base, in
//!   milliseconds and times 4, plus the code of its role (4).
//! - Loans, 12 bytes each: a zone (2), the number of a driver or none (2), work in microseconds (4), and the time from the base
//!   to the end of the loan in milliseconds (4).
//! - A digest: one sum of 4 bytes for each bucket. The base time is unused.
//!
//! A datagram with any malformed part is dropped as a whole.

use beaconshore::interface::{Micros, Role, SpillLoan, ZoneId};
use beaconshore_gossip::{Digest, MemberState, MemberTag, BUCKETS};

/// Longest datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// Version byte of a datagram with member states.
const STATES_VERSION: u8 = 1;
/// Version byte of a datagram with loans.
const LOANS_VERSION: u8 = 2;
/// Version byte of a datagram with a digest.
const DIGEST_VERSION: u8 = 3;
/// Length of a header, in bytes: version and base time.
const HEADER_BYTES: usize = 7;
/// Length of one member state, in bytes.
const STATE_BYTES: usize = 8;
/// Length of one loan, in bytes.
const LOAN_BYTES: usize = 12;
/// Stands for the number of a driver in a loan that is addressed to all drivers, which makes it a request for a loan.
const ALL_DRIVERS: u16 = u16::MAX;

/// A message from one driver to others.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerMessage {
    /// States that members reported about themselves.
    MemberStates(Vec<MemberState>),
    /// Loans between the zone planners of drivers, out of the limits that they share.
    Loans(Vec<SpillLoan>),
    /// A digest of the roles that the sender knows, for comparison with the receiver's.
    Digest(Digest),
}

/// A message to send, with its destination.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingMessage {
    /// Number of the driver that it is for; `None` for all other drivers.
    pub to: Option<u32>,
    /// The message.
    pub message: PeerMessage,
}

impl PeerMessage {
    /// Encodes the message as one or more datagrams.
    pub fn encode(&self) -> Vec<Vec<u8>> {
        match self {
            PeerMessage::MemberStates(states) => encode_states(states),
            PeerMessage::Loans(loans) => encode_loans(loans),
            PeerMessage::Digest(digest) => vec![encode_digest(digest)],
        }
    }

    /// Decodes a datagram; `None` if any part of it is malformed.
    pub fn decode(bytes: &[u8]) -> Option<PeerMessage> {
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return None;
        }
        let (&version, rest) = bytes.split_first()?;
        match version {
            STATES_VERSION => decode_states(rest).map(PeerMessage::MemberStates),
            LOANS_VERSION => decode_loans(rest).map(PeerMessage::Loans),
            DIGEST_VERSION => decode_digest(rest).map(PeerMessage::Digest),
            _ => None,
        }
    }
}

/// The tag by which drivers refer to a member: the 32-bit FNV-1a hash of its name.
pub fn member_tag(name: &str) -> MemberTag {
    let hash = |hash: u32, b: u8| (hash ^ u32::from(b)).wrapping_mul(0x0100_0193);
    MemberTag(name.bytes().fold(0x811c_9dc5, hash))
}

/// Encodes a header: the version, and the low six bytes of the base time.
fn header(version: u8, base: Micros) -> Vec<u8> {
    let mut bytes = vec![version];
    bytes.extend_from_slice(&base.to_be_bytes()[2..]);
    bytes
}

/// Splits a datagram without its version byte into the base time and the items after it.
fn split_base(rest: &[u8]) -> Option<(Micros, &[u8])> {
    let (base, items) = rest.split_at_checked(HEADER_BYTES - 1)?;
    Some((base.iter().fold(0, |sum, &b| sum << 8 | Micros::from(b)), items))
}

fn encode_states(states: &[MemberState]) -> Vec<Vec<u8>> {
    let base = states.iter().map(|s| s.position / 1000).max().unwrap_or(0);
    let datagram = |states: &[MemberState]| {
        let mut bytes = header(STATES_VERSION, base);
        for state in states {
            let age_ms = (base - state.position / 1000) as u32;
            let role = match state.role {
                None => 0,
                Some(Role::Primary) => 1,
                Some(Role::Replica) => 2,
            };
            bytes.extend_from_slice(&state.member.0.to_be_bytes());
            bytes.extend_from_slice(&(age_ms << 2 | role).to_be_bytes());
        }
        bytes
    };
    // A position that precedes the newest by more than its field can express is of no use to others, and is left out.
    let fits = |s: &&MemberState| base - s.position / 1000 <= u64::from(u32::MAX >> 2);
    let states: Vec<MemberState> = states.iter().filter(fits).copied().collect();
    states.chunks((MAX_DATAGRAM_BYTES - HEADER_BYTES) / STATE_BYTES).map(datagram).collect()
}

fn decode_states(rest: &[u8]) -> Option<Vec<MemberState>> {
    let (base, states) = split_base(rest)?;
    if states.len() % STATE_BYTES != 0 {
        return None;
    }
    let decode = |state: &[u8]| {
        let tag = u32::from_be_bytes(*state.first_chunk()?);
        let age_and_role = u32::from_be_bytes(*state.last_chunk()?);
        let role = match age_and_role & 3 {
            0 => None,
            1 => Some(Role::Primary),
            2 => Some(Role::Replica),
            _ => return None,
        };
        let position = base.checked_sub(Micros::from(age_and_role >> 2))?.checked_mul(1000)?;
        Some(MemberState { member: MemberTag(tag), position, role })
    };
    states.chunks_exact(STATE_BYTES).map(decode).collect()
}

fn encode_loans(loans: &[SpillLoan]) -> Vec<Vec<u8>> {
    let base = loans.iter().map(|l| l.until / 1000).min().unwrap_or(0);
    let datagram = |loans: &[SpillLoan]| {
        let mut bytes = header(LOANS_VERSION, base);
        for loan in loans {
            let to = loan.to.and_then(|to| u16::try_from(to).ok()).unwrap_or(ALL_DRIVERS);
            let ends_after_ms = u32::try_from(loan.until / 1000 - base).unwrap_or(u32::MAX);
            bytes.extend_from_slice(&loan.zone.0.to_be_bytes());
            bytes.extend_from_slice(&to.to_be_bytes());
            // Work that exceeds its field saturates at the greatest value.
            bytes.extend_from_slice(&(loan.work as u32).to_be_bytes());
            bytes.extend_from_slice(&ends_after_ms.to_be_bytes());
        }
        bytes
    };
    // A loan to a driver whose number does not fit its field would decode as a request, so it is left out.
    let fits = |l: &&SpillLoan| l.to.is_none_or(|to| to < u32::from(ALL_DRIVERS));
    let loans: Vec<SpillLoan> = loans.iter().filter(fits).cloned().collect();
    loans.chunks((MAX_DATAGRAM_BYTES - HEADER_BYTES) / LOAN_BYTES).map(datagram).collect()
}

fn decode_loans(rest: &[u8]) -> Option<Vec<SpillLoan>> {
    let (base, loans) = split_base(rest)?;
    if loans.len() % LOAN_BYTES != 0 {
        return None;
    }
    let decode = |loan: &[u8]| {
        let read_u16 = |at: usize| Some(u16::from_be_bytes(*loan.get(at..)?.first_chunk()?));
        let read_u32 = |at: usize| Some(u32::from_be_bytes(*loan.get(at..)?.first_chunk()?));
        let to = Some(read_u16(2)?).filter(|to| *to != ALL_DRIVERS).map(u32::from);
        let until = base.checked_add(Micros::from(read_u32(8)?))?.checked_mul(1000)?;
        Some(SpillLoan { zone: ZoneId(read_u16(0)?), to, work: f64::from(read_u32(4)?), until })
    };
    loans.chunks_exact(LOAN_BYTES).map(decode).collect()
}

fn encode_digest(digest: &Digest) -> Vec<u8> {
    // The base time is unused, but all messages have the same header.
    let mut bytes = header(DIGEST_VERSION, 0);
    digest.0.iter().for_each(|sum| bytes.extend_from_slice(&sum.to_be_bytes()));
    bytes
}

fn decode_digest(rest: &[u8]) -> Option<Digest> {
    let (_, sums) = split_base(rest)?;
    if sums.len() != 4 * BUCKETS {
        return None;
    }
    let mut digest = Digest::default();
    for (sum, bytes) in digest.0.iter_mut().zip(sums.chunks_exact(4)) {
        *sum = u32::from_be_bytes(*bytes.first_chunk()?);
    }
    Some(digest)
}
