//! The gossip protocol of one router: which messages it sends to which peers in each round.

use std::collections::BTreeMap;

use beaconshore::interface::Micros;
use rand::seq::index;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::budget::ByteBudget;
use crate::digest::{Digest, BUCKETS};
use crate::policy::Policy;
use crate::state::{MemberState, MemberTag, StateTable, Update};

/// Maximum number of states in one message. With its header such a message is a datagram of at most 256 bytes.
pub const MAX_STATES_PER_MESSAGE: usize = 31;
/// Bytes of the header of a message, plus the IP and UDP headers before it.
const HEADER_BYTES: usize = 7 + 28;
/// Bytes of one state in a message.
const STATE_BYTES: usize = 8;
/// Bytes of a digest in a message.
const DIGEST_BYTES: usize = 4 * BUCKETS;
/// A change of role is sent in this many rounds for each doubling of the number of routers (lambda in SWIM).
const ROUNDS_PER_DOUBLING: u32 = 2;
/// Share of the byte budget that digests and answers to digests leave to changes of role, in percent.
const SYNC_RESERVE_PERCENT: u64 = 25;
/// Share of the byte budget that first roles and positions leave to changes of role and digests, in percent.
const LOW_PRIORITY_RESERVE_PERCENT: u64 = 50;
/// Time between two digests that a router sends, in microseconds.
const DIGEST_PERIOD_US: Micros = 10_000_000;
/// Maximum number of answers to digests that wait to be sent. Further digests are not answered: the next comparison
/// finds the same difference.
const MAX_PENDING_REPLIES: usize = 8;

/// A router, identified by its index in the list of peers. The list is the same for all routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PeerIndex(pub u32);

/// A message between two routers.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// States that may be new to the receiver.
    States(Vec<MemberState>),
    /// A digest of the roles that the sender knows. The receiver answers with what the sender lacks.
    Digest(Digest),
}

/// A message with its receiver.
#[derive(Clone, Debug, PartialEq)]
pub struct AddressedMessage {
    /// The receiver.
    pub to: PeerIndex,
    /// The message.
    pub message: Message,
}

impl Message {
    /// Size of the message on the wire, in bytes, headers included.
    pub fn bytes(&self) -> usize {
        HEADER_BYTES
            + match self {
                Message::States(states) => states.len() * STATE_BYTES,
                Message::Digest(_) => DIGEST_BYTES,
            }
    }
}

/// A role that is still being spread (a "hot rumour" in the terms of Demers et al.).
#[derive(Clone, Copy, Debug)]
struct Rumour {
    /// Whether this is the first role that this router learnt of the member. Such a rumour has a lower priority than a
    /// change of role: routers that lack it hold no wrong role.
    is_first_role: bool,
    /// Number of rounds in which the rumour was sent, plus the number of times that a peer sent it when it was known
    /// here already. The rumour is dropped when this number is high enough.
    age: u32,
}

/// The gossip protocol of one router.
#[derive(Clone, Debug)]
pub struct Gossip {
    policy: Policy,
    /// This router's index in the list of peers, if it is in the list.
    own: Option<PeerIndex>,
    router_count: u32,
    table: StateTable,
    /// Roles that are still being spread.
    rumours: BTreeMap<MemberTag, Rumour>,
    /// Members whose position has not been sent yet, with the time at which it was learnt.
    unsent_positions: BTreeMap<MemberTag, Micros>,
    /// Answers to digests that wait to be sent, the oldest first: the peer, and the buckets that differ.
    pending_replies: Vec<(PeerIndex, Vec<usize>)>,
    budget: ByteBudget,
    next_round_at: Micros,
    next_digest_at: Micros,
    random: ChaCha8Rng,
}

impl Gossip {
    /// Creates the protocol of router `own` among `router_count` routers; `own` is `None` if this router is not in
    /// the list of peers. All random choices follow from the seed.
    pub fn new(policy: Policy, own: Option<PeerIndex>, router_count: u32, seed: u64, now: Micros) -> Self {
        Gossip {
            policy,
            own,
            router_count,
            table: StateTable::default(),
            rumours: BTreeMap::new(),
            unsent_positions: BTreeMap::new(),
            pending_replies: Vec::new(),
            budget: ByteBudget::new(policy.bytes_per_second, now),
            next_round_at: now,
            // A router that has just started sends its digest at once, to get what it lacks.
            next_digest_at: now,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Takes a state that this router learnt from the member itself.
    pub fn on_local_state(&mut self, state: MemberState, now: Micros) {
        match self.table.update(state, now) {
            Update::Known => {}
            Update::Position => {
                self.unsent_positions.insert(state.member, now);
            }
            Update::FirstRole => self.start_rumour(state.member, true),
            Update::RoleChange => self.start_rumour(state.member, false),
        }
    }

    /// Takes states from a peer, and returns those that are news to this router. Roles that are news are forwarded to
    /// other peers; positions are not.
    pub fn on_peer_states(&mut self, states: &[MemberState], now: Micros) -> Vec<MemberState> {
        let mut news = Vec::new();
        for state in states {
            let update = self.table.update(*state, now);
            // The peer has sent the position to others already, so it is not worth sending again.
            self.unsent_positions.remove(&state.member);
            match update {
                Update::FirstRole => self.start_rumour(state.member, true),
                Update::RoleChange => self.start_rumour(state.member, false),
                Update::Known | Update::Position => self.age_rumour(state.member),
            }
            if update != Update::Known {
                news.push(*state);
            }
        }
        news
    }

    /// Starts to spread a member's role.
    fn start_rumour(&mut self, member: MemberTag, is_first_role: bool) {
        self.rumours.insert(member, Rumour { is_first_role, age: 0 });
    }

    /// Counts a rumour as sent once more. A peer that sent what was known here counts too: the more often that happens,
    /// the fewer routers still lack it.
    fn age_rumour(&mut self, member: MemberTag) {
        if let Some(rumour) = self.rumours.get_mut(&member) {
            rumour.age += 1;
        }
    }

    /// Takes a digest from a peer. The states of the buckets that differ are sent to the peer in the next round.
    pub fn on_peer_digest(&mut self, from: PeerIndex, digest: &Digest) {
        let differing: Vec<usize> = self.table.digest().differing(digest).collect();
        let is_pending = self.pending_replies.iter().any(|(peer, _)| *peer == from);
        if !differing.is_empty() && !is_pending && self.pending_replies.len() < MAX_PENDING_REPLIES {
            self.pending_replies.push((from, differing));
        }
    }

    /// Time at which the next round is due.
    pub fn next_round_at(&self) -> Micros {
        self.next_round_at
    }

    /// Runs a round if one is due, and returns the messages to send.
    pub fn run_round(&mut self, now: Micros) -> Vec<AddressedMessage> {
        if now < self.next_round_at {
            return Vec::new();
        }
        self.next_round_at = now + self.policy.round_period;
        self.budget.refill(now);
        self.expire(now);
        let mut sends = Vec::new();
        self.send_roles(false, 0, &mut sends);
        self.answer_digests(&mut sends);
        self.send_digest(now, &mut sends);
        self.send_roles(true, LOW_PRIORITY_RESERVE_PERCENT, &mut sends);
        self.send_positions(now, &mut sends);
        sends
    }

    /// Number of members in the table, and number of roles and positions that are still to be sent.
    pub fn sizes(&self) -> (usize, usize) {
        (self.table.len(), self.rumours.len() + self.unsent_positions.len())
    }

    /// Removes members of which nothing was heard for a long time, and rumours that were sent often enough for every
    /// router to have heard them.
    fn expire(&mut self, now: Micros) {
        self.table.expire(now);
        let max_age = ROUNDS_PER_DOUBLING * self.router_count.max(2).next_power_of_two().ilog2();
        let table = &self.table;
        self.rumours.retain(|member, rumour| rumour.age < max_age && table.contains(*member));
        self.unsent_positions.retain(|member, _| table.contains(*member));
    }

    /// Sends either first roles or changes of role; those that were sent least come first.
    fn send_roles(&mut self, first_roles: bool, reserve_percent: u64, sends: &mut Vec<AddressedMessage>) {
        let selected = self.rumours.iter().filter(|(_, rumour)| rumour.is_first_role == first_roles);
        let mut order: Vec<(u32, MemberTag)> = selected.map(|(tag, rumour)| (rumour.age, *tag)).collect();
        order.sort_unstable();
        order.truncate(MAX_STATES_PER_MESSAGE);
        let tags: Vec<MemberTag> = order.into_iter().map(|(_, tag)| tag).collect();
        if self.push(&tags, reserve_percent, sends) {
            tags.iter().for_each(|tag| self.age_rumour(*tag));
        }
    }

    /// Sends positions, the newest first. Each position is sent in one round only, and dropped unsent if it has
    /// become too old to be of use for a read.
    fn send_positions(&mut self, now: Micros, sends: &mut Vec<AddressedMessage>) {
        let oldest_useful = now.saturating_sub(2 * self.policy.round_period);
        self.unsent_positions.retain(|_, learnt| *learnt >= oldest_useful);
        let mut order: Vec<(Micros, MemberTag)> =
            self.unsent_positions.iter().map(|(tag, learnt)| (*learnt, *tag)).collect();
        order.sort_unstable_by(|a, b| b.cmp(a));
        order.truncate(MAX_STATES_PER_MESSAGE);
        let tags: Vec<MemberTag> = order.into_iter().map(|(_, tag)| tag).collect();
        if self.push(&tags, LOW_PRIORITY_RESERVE_PERCENT, sends) {
            self.unsent_positions.retain(|tag, _| !tags.contains(tag));
        }
    }

    /// Sends states to random peers as far as the budget allows, and returns whether any message was sent.
    fn push(&mut self, tags: &[MemberTag], reserve_percent: u64, sends: &mut Vec<AddressedMessage>) -> bool {
        let states: Vec<MemberState> = tags.iter().filter_map(|tag| self.table.state(*tag)).collect();
        if states.is_empty() {
            return false;
        }
        let message = Message::States(states);
        let sent_before = sends.len();
        for to in self.choose_peers(self.policy.fanout as usize) {
            if !self.budget.try_take(message.bytes(), reserve_percent) {
                break;
            }
            sends.push(AddressedMessage { to, message: message.clone() });
        }
        sends.len() > sent_before
    }

    /// Answers digests of peers with the states in the buckets that differ, as far as the budget allows.
    fn answer_digests(&mut self, sends: &mut Vec<AddressedMessage>) {
        for (to, buckets) in std::mem::take(&mut self.pending_replies) {
            let tags = buckets.into_iter().flat_map(|bucket| self.table.members_with_role(bucket));
            let states: Vec<MemberState> = tags.filter_map(|tag| self.table.state(tag)).collect();
            for part in states.chunks(MAX_STATES_PER_MESSAGE) {
                let message = Message::States(part.to_vec());
                if !self.budget.try_take(message.bytes(), SYNC_RESERVE_PERCENT) {
                    // The budget is spent. The next comparison of digests finds the remaining states.
                    return;
                }
                sends.push(AddressedMessage { to, message });
            }
        }
    }

    /// Sends the digest to one random peer if that is due, to get the states that this router lacks.
    fn send_digest(&mut self, now: Micros, sends: &mut Vec<AddressedMessage>) {
        if now < self.next_digest_at {
            return;
        }
        let message = Message::Digest(self.table.digest());
        let Some(to) = self.choose_peers(1).pop() else { return };
        if self.budget.try_take(message.bytes(), SYNC_RESERVE_PERCENT) {
            self.next_digest_at = now + DIGEST_PERIOD_US;
            sends.push(AddressedMessage { to, message });
        }
    }

    /// Chooses random peers: different ones, and never this router itself.
    fn choose_peers(&mut self, count: usize) -> Vec<PeerIndex> {
        let others = (self.router_count as usize).saturating_sub(usize::from(self.own.is_some()));
        let picked = index::sample(&mut self.random, others, count.min(others));
        let skip_own = |number: usize| match self.own {
            Some(PeerIndex(own)) if number as u32 >= own => PeerIndex(number as u32 + 1),
            _ => PeerIndex(number as u32),
        };
        picked.into_iter().map(skip_own).collect()
    }
}
