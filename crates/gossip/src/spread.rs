//! One router's part in spreading: what it sends to whom in each round.

use std::collections::BTreeMap;

use beaconshore::interface::Micros;
use rand::seq::index;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::budget::ByteBudget;
use crate::digest::{Digest, BUCKETS};
use crate::policy::Policy;
use crate::state::{MemberState, MemberTag, StateTable, Update};

/// States in one message: with its header a datagram of at most 256 bytes.
pub const MOST_STATES: usize = 31;
/// Bytes of a message before its states, and of IP and UDP headers before that.
const HEADER_BYTES: usize = 7 + 28;
/// Bytes of a state.
const STATE_BYTES: usize = 8;
/// Bytes of a digest in a message.
const DIGEST_BYTES: usize = 4 * BUCKETS;
/// A change of role is sent in this many rounds for each doubling of the fleet (SWIM's lambda).
const ROUNDS_PER_DOUBLING: u32 = 2;
/// Answers to digests and digests leave this part of the bucket to changes of role, in percent.
const SYNC_RESERVE: u64 = 25;
/// First roles and positions leave this part of it to all of these.
const LATER_RESERVE: u64 = 50;
/// Digests are compared with one peer this often.
const SYNC_PERIOD: Micros = 10_000_000;
/// Answers to digests that may wait; further ones are left to the next comparison.
const MOST_REPLIES: usize = 8;

/// A router by its place in the list that all of them share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PeerNumber(pub u32);

/// What routers send each other.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// States that may be new to the receiver.
    States(Vec<MemberState>),
    /// A digest of the roles that the sender knows.
    Digest(Digest),
}

/// A message to send.
#[derive(Clone, Debug, PartialEq)]
pub struct Send {
    /// Where to.
    pub to: PeerNumber,
    /// What.
    pub message: Message,
}

impl Message {
    /// Its bytes on the wire, headers included.
    pub fn bytes(&self) -> usize {
        HEADER_BYTES
            + match self {
                Message::States(states) => states.len() * STATE_BYTES,
                Message::Digest(_) => DIGEST_BYTES,
            }
    }
}

/// A role that is still spread.
#[derive(Clone, Copy, Debug)]
struct Rumour {
    /// Whether it was the member's first role that was heard of here: nobody is misled without it.
    first: bool,
    /// Rounds in which it went out, and times that a peer told it though it was known.
    rounds: u32,
}

/// One router's part in spreading.
#[derive(Clone, Debug)]
pub struct Gossip {
    policy: Policy,
    own: Option<PeerNumber>,
    peers: u32,
    table: StateTable,
    /// Roles that are still spread.
    roles: BTreeMap<MemberTag, Rumour>,
    /// Positions that were not sent yet, by when they were learnt.
    positions: BTreeMap<MemberTag, Micros>,
    /// Buckets that a peer lacks something in, the oldest question first.
    replies: Vec<(PeerNumber, Vec<usize>)>,
    budget: ByteBudget,
    round_at: Micros,
    sync_at: Micros,
    random: ChaCha8Rng,
}

impl Gossip {
    /// A router that is this one of so many; the seed is its only randomness.
    pub fn new(policy: Policy, own: Option<PeerNumber>, peers: u32, seed: u64, now: Micros) -> Self {
        Gossip {
            policy,
            own,
            peers,
            table: StateTable::default(),
            roles: BTreeMap::new(),
            positions: BTreeMap::new(),
            replies: Vec::new(),
            budget: ByteBudget::new(policy.bytes_per_second, now),
            round_at: now,
            // One that has just started asks at once for what it lacks.
            sync_at: now,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// This router learnt a state by itself.
    pub fn learn(&mut self, state: MemberState, now: Micros) {
        match self.table.update(state, now) {
            Update::Known => {}
            Update::Position => {
                self.positions.insert(state.member, now);
            }
            Update::FirstRole => self.start_rumour(state.member, true),
            Update::RoleChange => self.start_rumour(state.member, false),
        }
    }

    /// A peer sent states: those that are news here. A change of role goes on to others, a position doesn't.
    pub fn on_states(&mut self, states: &[MemberState], now: Micros) -> Vec<MemberState> {
        let mut news = Vec::new();
        for state in states {
            let update = self.table.update(*state, now);
            // Others know the position by now: it is not worth broadcast again.
            self.positions.remove(&state.member);
            match update {
                Update::FirstRole => self.start_rumour(state.member, true),
                Update::RoleChange => self.start_rumour(state.member, false),
                Update::Known | Update::Position => self.cool_rumour(state.member),
            }
            if update != Update::Known {
                news.push(*state);
            }
        }
        news
    }

    fn start_rumour(&mut self, member: MemberTag, first: bool) {
        self.roles.insert(member, Rumour { first, rounds: 0 });
    }

    /// A peer told what was known: the more often, the fewer there are that still lack it.
    fn cool_rumour(&mut self, member: MemberTag) {
        if let Some(rumour) = self.roles.get_mut(&member) {
            rumour.rounds += 1;
        }
    }

    /// A peer sent a digest: what it lacks is sent with the next round.
    pub fn on_digest(&mut self, from: PeerNumber, digest: &Digest) {
        let differing: Vec<usize> = self.table.digest().differing(digest).collect();
        let waits = self.replies.iter().any(|(peer, _)| *peer == from);
        if !differing.is_empty() && !waits && self.replies.len() < MOST_REPLIES {
            self.replies.push((from, differing));
        }
    }

    /// When the next round is due.
    pub fn due(&self) -> Micros {
        self.round_at
    }

    /// What is to be sent now, if a round is due.
    pub fn round(&mut self, now: Micros) -> Vec<Send> {
        if now < self.round_at {
            return Vec::new();
        }
        self.round_at = now + self.policy.round;
        self.budget.refill(now);
        self.expire(now);
        let mut sends = Vec::new();
        self.spread_roles(false, 0, &mut sends);
        self.answer_digests(&mut sends);
        self.compare_digests(now, &mut sends);
        self.spread_roles(true, LATER_RESERVE, &mut sends);
        self.spread_positions(now, &mut sends);
        sends
    }

    /// Members that are kept, and news that waits.
    pub fn sizes(&self) -> (usize, usize) {
        (self.table.len(), self.roles.len() + self.positions.len())
    }

    /// Forgets members that nobody speaks of, and rumours that all have heard.
    fn expire(&mut self, now: Micros) {
        self.table.expire(now);
        let enough = ROUNDS_PER_DOUBLING * self.peers.max(2).next_power_of_two().ilog2();
        let table = &self.table;
        self.roles.retain(|member, rumour| rumour.rounds < enough && table.holds(*member));
        self.positions.retain(|member, _| table.holds(*member));
    }

    /// First roles, or changes of role: those that went out least come first.
    fn spread_roles(&mut self, first: bool, reserve_percent: u64, sends: &mut Vec<Send>) {
        let wanted = self.roles.iter().filter(|(_, rumour)| rumour.first == first);
        let mut order: Vec<(u32, MemberTag)> = wanted.map(|(tag, rumour)| (rumour.rounds, *tag)).collect();
        order.sort_unstable();
        order.truncate(MOST_STATES);
        let tags: Vec<MemberTag> = order.into_iter().map(|(_, tag)| tag).collect();
        if self.push(&tags, reserve_percent, sends) {
            tags.iter().for_each(|tag| self.cool_rumour(*tag));
        }
    }

    /// Positions, the newest first, each to one round's peers. What is too old to serve a read is dropped.
    fn spread_positions(&mut self, now: Micros, sends: &mut Vec<Send>) {
        let fresh = now.saturating_sub(2 * self.policy.round);
        self.positions.retain(|_, learnt| *learnt >= fresh);
        let mut order: Vec<(Micros, MemberTag)> =
            self.positions.iter().map(|(tag, learnt)| (*learnt, *tag)).collect();
        order.sort_unstable_by(|a, b| b.cmp(a));
        order.truncate(MOST_STATES);
        let tags: Vec<MemberTag> = order.into_iter().map(|(_, tag)| tag).collect();
        if self.push(&tags, LATER_RESERVE, sends) {
            self.positions.retain(|tag, _| !tags.contains(tag));
        }
    }

    /// Sends states to this round's peers as far as the budget goes; whether any went out.
    fn push(&mut self, tags: &[MemberTag], reserve_percent: u64, sends: &mut Vec<Send>) -> bool {
        let states: Vec<MemberState> = tags.iter().filter_map(|tag| self.table.state(*tag)).collect();
        if states.is_empty() {
            return false;
        }
        let message = Message::States(states);
        let before = sends.len();
        for to in self.choose(self.policy.fanout as usize) {
            if !self.budget.take(message.bytes(), reserve_percent) {
                break;
            }
            sends.push(Send { to, message: message.clone() });
        }
        sends.len() > before
    }

    fn answer_digests(&mut self, sends: &mut Vec<Send>) {
        for (to, buckets) in std::mem::take(&mut self.replies) {
            let tags = buckets.into_iter().flat_map(|bucket| self.table.with_role(bucket));
            let states: Vec<MemberState> = tags.filter_map(|tag| self.table.state(tag)).collect();
            for part in states.chunks(MOST_STATES) {
                let message = Message::States(part.to_vec());
                if !self.budget.take(message.bytes(), SYNC_RESERVE) {
                    // The rest differs still when digests are compared next.
                    return;
                }
                sends.push(Send { to, message });
            }
        }
    }

    /// Asks one peer for what it knows and this router doesn't.
    fn compare_digests(&mut self, now: Micros, sends: &mut Vec<Send>) {
        if now < self.sync_at {
            return;
        }
        let message = Message::Digest(self.table.digest());
        let Some(to) = self.choose(1).pop() else { return };
        if self.budget.take(message.bytes(), SYNC_RESERVE) {
            self.sync_at = now + SYNC_PERIOD;
            sends.push(Send { to, message });
        }
    }

    /// So many random peers, none of them twice, never this router itself.
    fn choose(&mut self, count: usize) -> Vec<PeerNumber> {
        let others = (self.peers as usize).saturating_sub(usize::from(self.own.is_some()));
        let picked = index::sample(&mut self.random, others, count.min(others));
        let skip_own = |number: usize| match self.own {
            Some(PeerNumber(own)) if number as u32 >= own => PeerNumber(number as u32 + 1),
            _ => PeerNumber(number as u32),
        };
        picked.into_iter().map(skip_own).collect()
    }
}
