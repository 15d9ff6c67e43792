//! Messages between drivers and their datagrams: typed values on one side, bytes on the other. Pure.
//!
//! A datagram of member states holds a version, a base time (Unix ms, 6 bytes), and states of 8 bytes: the tag of a member's
//! name, then how many milliseconds its position is before the base, times 4, plus its role. One of loans holds another
//! version, a base time, and loans of 12 bytes: a zone, the number of a driver (or none), work in microseconds, and how many
//! milliseconds after the base it ends. One of a digest holds a third version and a sum of 4 bytes for each bucket. What does
//! not read as such is dropped whole.

use beaconshore::interface::{Micros, Role, SpillLoan, ZoneId};
use beaconshore_gossip::{Digest, MemberState, MemberTag, BUCKETS};

/// Longest datagram.
pub const MAX_DATAGRAM: usize = 256;
const STATES_VERSION: u8 = 1;
const LOANS_VERSION: u8 = 2;
const DIGEST_VERSION: u8 = 3;
const HEADER: usize = 7;
const STATE: usize = 8;
const LOAN: usize = 12;
/// In the place of a driver's number: to all, an ask.
const NOBODY: u16 = u16::MAX;

/// What drivers tell each other.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerMessage {
    /// What members said of themselves.
    MemberStates(Vec<MemberState>),
    /// What planners lend each other of the limits that they share.
    Loans(Vec<SpillLoan>),
    /// A digest of the roles that the sender knows.
    Digest(Digest),
}

/// A message to send.
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing {
    /// The driver that it is for, by its number; none: all others.
    pub to: Option<u32>,
    /// What is sent.
    pub message: PeerMessage,
}

impl PeerMessage {
    /// Writes it to datagrams.
    pub fn encode(&self) -> Vec<Vec<u8>> {
        match self {
            PeerMessage::MemberStates(states) => encode_states(states),
            PeerMessage::Loans(loans) => encode_loans(loans),
            PeerMessage::Digest(digest) => vec![encode_digest(digest)],
        }
    }

    /// Reads a datagram; none if any of it is malformed.
    pub fn decode(bytes: &[u8]) -> Option<PeerMessage> {
        if bytes.len() > MAX_DATAGRAM {
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

/// The tag of a member's name (FNV-1a).
pub fn tag(name: &str) -> MemberTag {
    let hash = |hash: u32, b: u8| (hash ^ u32::from(b)).wrapping_mul(0x0100_0193);
    MemberTag(name.bytes().fold(0x811c_9dc5, hash))
}

/// A header: the version, and the base in its last six bytes.
fn header(version: u8, base: Micros) -> Vec<u8> {
    let mut bytes = vec![version];
    bytes.extend_from_slice(&base.to_be_bytes()[2..]);
    bytes
}

/// The base time, and what follows it.
fn base_of(rest: &[u8]) -> Option<(Micros, &[u8])> {
    let (base, items) = rest.split_at_checked(HEADER - 1)?;
    Some((base.iter().fold(0, |sum, &b| sum << 8 | Micros::from(b)), items))
}

fn encode_states(states: &[MemberState]) -> Vec<Vec<u8>> {
    let base = states.iter().map(|s| s.position / 1000).max().unwrap_or(0);
    let datagram = |states: &[MemberState]| {
        let mut bytes = header(STATES_VERSION, base);
        for state in states {
            let before = (base - state.position / 1000) as u32;
            let role = match state.role {
                None => 0,
                Some(Role::Primary) => 1,
                Some(Role::Replica) => 2,
            };
            bytes.extend_from_slice(&state.member.0.to_be_bytes());
            bytes.extend_from_slice(&(before << 2 | role).to_be_bytes());
        }
        bytes
    };
    // Of what is much older than the newest there is no news.
    let near = |s: &&MemberState| base - s.position / 1000 <= u64::from(u32::MAX >> 2);
    let states: Vec<MemberState> = states.iter().filter(near).copied().collect();
    states.chunks((MAX_DATAGRAM - HEADER) / STATE).map(datagram).collect()
}

fn decode_states(rest: &[u8]) -> Option<Vec<MemberState>> {
    let (base, states) = base_of(rest)?;
    if states.len() % STATE != 0 {
        return None;
    }
    let read = |state: &[u8]| {
        let tag = u32::from_be_bytes(*state.first_chunk()?);
        let said = u32::from_be_bytes(*state.last_chunk()?);
        let role = match said & 3 {
            0 => None,
            1 => Some(Role::Primary),
            2 => Some(Role::Replica),
            _ => return None,
        };
        let position = base.checked_sub(Micros::from(said >> 2))?.checked_mul(1000)?;
        Some(MemberState { member: MemberTag(tag), position, role })
    };
    states.chunks_exact(STATE).map(read).collect()
}

fn encode_loans(loans: &[SpillLoan]) -> Vec<Vec<u8>> {
    let base = loans.iter().map(|l| l.until / 1000).min().unwrap_or(0);
    let datagram = |loans: &[SpillLoan]| {
        let mut bytes = header(LOANS_VERSION, base);
        for loan in loans {
            let to = loan.to.and_then(|to| u16::try_from(to).ok()).unwrap_or(NOBODY);
            let after = u32::try_from(loan.until / 1000 - base).unwrap_or(u32::MAX);
            bytes.extend_from_slice(&loan.zone.0.to_be_bytes());
            bytes.extend_from_slice(&to.to_be_bytes());
            // A number that does not fit is cut to what does.
            bytes.extend_from_slice(&(loan.work as u32).to_be_bytes());
            bytes.extend_from_slice(&after.to_be_bytes());
        }
        bytes
    };
    // What is lent to a driver whose number does not fit would read as an ask.
    let fits = |l: &&SpillLoan| l.to.is_none_or(|to| to < u32::from(NOBODY));
    let loans: Vec<SpillLoan> = loans.iter().filter(fits).cloned().collect();
    loans.chunks((MAX_DATAGRAM - HEADER) / LOAN).map(datagram).collect()
}

fn decode_loans(rest: &[u8]) -> Option<Vec<SpillLoan>> {
    let (base, loans) = base_of(rest)?;
    if loans.len() % LOAN != 0 {
        return None;
    }
    let read = |loan: &[u8]| {
        let short = |at: usize| Some(u16::from_be_bytes(*loan.get(at..)?.first_chunk()?));
        let long = |at: usize| Some(u32::from_be_bytes(*loan.get(at..)?.first_chunk()?));
        let to = Some(short(2)?).filter(|to| *to != NOBODY).map(u32::from);
        let until = base.checked_add(Micros::from(long(8)?))?.checked_mul(1000)?;
        Some(SpillLoan { zone: ZoneId(short(0)?), to, work: f64::from(long(4)?), until })
    };
    loans.chunks_exact(LOAN).map(read).collect()
}

fn encode_digest(digest: &Digest) -> Vec<u8> {
    // Its base is not used: all messages have the same head.
    let mut bytes = header(DIGEST_VERSION, 0);
    digest.0.iter().for_each(|sum| bytes.extend_from_slice(&sum.to_be_bytes()));
    bytes
}

fn decode_digest(rest: &[u8]) -> Option<Digest> {
    let (_, sums) = base_of(rest)?;
    if sums.len() != 4 * BUCKETS {
        return None;
    }
    let mut digest = Digest::default();
    for (sum, bytes) in digest.0.iter_mut().zip(sums.chunks_exact(4)) {
        *sum = u32::from_be_bytes(*bytes.first_chunk()?);
    }
    Some(digest)
}
