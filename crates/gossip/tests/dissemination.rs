//! Simulates fleets of routers that gossip, in virtual time, with messages lost or blocked by a partition.

use beaconshore::interface::{Micros, Role};
use beaconshore_gossip::{
    AddressedMessage, Digest, Gossip, MemberState, MemberTag, Message, PeerIndex, Policy,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SECOND: Micros = 1_000_000;
/// Step of the simulation, in microseconds.
const TICK: Micros = 50_000;
/// Tag of a member whose role every router knows from the start, and which changes later.
const CHANGING_MEMBER: u32 = 9_999;
/// Time at which every simulation starts, in microseconds.
const START: Micros = 1_000 * SECOND;

fn state(member: u32, position: Micros, role: Role) -> MemberState {
    MemberState { member: MemberTag(member), position, role: Some(role) }
}

struct Fleet {
    routers: Vec<Gossip>,
    /// For each router the time at which it first heard of the watched change.
    heard: Vec<Option<Micros>>,
    /// The change of role whose spread is measured.
    watched: MemberState,
    sent_bytes: Vec<usize>,
    received_bytes: Vec<usize>,
    now: Micros,
    /// Probability that a message is lost.
    loss: f64,
    random: ChaCha8Rng,
    /// Whether messages pass from one router to another.
    is_connected: fn(u32, u32) -> bool,
}

impl Fleet {
    fn new(count: u32, loss: f64, seed: u64) -> Fleet {
        let router = |n| {
            let seed = seed << 16 | u64::from(n);
            let mut router = Gossip::new(Policy::default(), Some(PeerIndex(n)), count, seed, START);
            router.on_local_state(state(CHANGING_MEMBER, START, Role::Replica), START);
            router
        };
        Fleet {
            routers: (0..count).map(router).collect(),
            heard: vec![None; count as usize],
            watched: state(u32::MAX, 0, Role::Primary),
            sent_bytes: vec![0; count as usize],
            received_bytes: vec![0; count as usize],
            now: START,
            loss,
            random: ChaCha8Rng::seed_from_u64(seed),
            is_connected: |_, _| true,
        }
    }

    /// Simulates `length` microseconds; `news` is called for each router in each tick and may tell it what it learnt.
    fn simulate(&mut self, length: Micros, mut news: impl FnMut(&mut Gossip, u32, Micros, &mut ChaCha8Rng)) {
        let end = self.now + length;
        while self.now < end {
            self.now += TICK;
            for from in 0..self.routers.len() {
                news(&mut self.routers[from], from as u32, self.now, &mut self.random);
                for AddressedMessage { to, message } in self.routers[from].run_round(self.now) {
                    self.deliver(from as u32, to.0, &message);
                }
            }
        }
    }

    fn deliver(&mut self, from: u32, to: u32, message: &Message) {
        assert_ne!(from, to, "a router must not send to itself");
        self.sent_bytes[from as usize] += message.bytes();
        if !(self.is_connected)(from, to) || self.random.random_bool(self.loss) {
            return;
        }
        self.received_bytes[to as usize] += message.bytes();
        match message {
            Message::Digest(digest) => self.routers[to as usize].on_peer_digest(PeerIndex(from), digest),
            Message::States(states) => {
                assert!(states.len() <= 31, "{} states do not fit in a datagram", states.len());
                let news = self.routers[to as usize].on_peer_states(states, self.now);
                if news.contains(&self.watched) {
                    self.heard[to as usize].get_or_insert(self.now);
                }
            }
        }
    }

    /// Lets one router alone learn of a change of role, which is watched from then on.
    fn change_role(&mut self, at: u32) {
        self.watched = state(CHANGING_MEMBER, self.now, Role::Primary);
        self.heard = vec![None; self.routers.len()];
        self.heard[at as usize] = Some(self.now);
        self.routers[at as usize].on_local_state(self.watched, self.now);
    }

    /// Time within which this share of the routers heard of the watched change. `None` if fewer of them did.
    fn heard_within(&self, share: f64) -> Option<Micros> {
        let mut times: Vec<Micros> =
            self.heard.iter().flatten().map(|at| at - self.watched.position).collect();
        times.sort_unstable();
        let required = (self.heard.len() as f64 * share).ceil() as usize;
        times.get(required - 1).copied()
    }

    /// Mean bytes a second of one router.
    fn mean_per_second(bytes: &[usize], seconds: usize) -> f64 {
        bytes.iter().sum::<usize>() as f64 / bytes.len() as f64 / seconds as f64
    }
}

/// States of random members, as every router learns them from its own traffic under load.
fn heavy_traffic(members: u32) -> impl FnMut(&mut Gossip, u32, Micros, &mut ChaCha8Rng) {
    move |router, _, now, random| {
        for _ in 0..20 {
            let member = random.random_range(0..members);
            let role = if member % 3 == 0 { Role::Primary } else { Role::Replica };
            router.on_local_state(state(member, now, role), now);
        }
    }
}

/// Guards against a change of role that spreads too slowly, or dies out when messages are lost and the budget is used
/// up by positions.
#[test]
fn a_change_of_role_reaches_99_percent_within_6_s_when_a_third_of_messages_is_lost() {
    for (seed, count) in [(1, 30), (2, 120), (3, 420), (4, 420), (5, 420)] {
        let mut fleet = Fleet::new(count, 0.33, seed);
        fleet.simulate(20 * SECOND, heavy_traffic(770));
        fleet.change_role(7);
        fleet.simulate(6 * SECOND, heavy_traffic(770));
        let within = fleet.heard_within(0.99);
        assert!(within.is_some_and(|t| t <= 6 * SECOND), "{count} routers, seed {seed}: {within:?}");
    }
}

/// Guards against traffic above the byte budget, and against traffic that grows with the number of routers.
#[test]
fn bytes_stay_within_the_budget_and_do_not_grow_with_the_fleet() {
    let seconds = 60;
    let mut means = Vec::new();
    for count in [30, 60, 420] {
        let mut fleet = Fleet::new(count, 0.02, 11);
        fleet.simulate(seconds * SECOND, heavy_traffic(770));
        let most = fleet.sent_bytes.iter().max().unwrap() / seconds as usize;
        // The bucket is full at the start, which adds two seconds of the budget.
        assert!(most <= 960 * 62 / 60, "{count} routers: {most} bytes a second sent");
        let received = Fleet::mean_per_second(&fleet.received_bytes, seconds as usize);
        assert!(received <= 1_000.0, "{count} routers: {received} received");
        means.push(Fleet::mean_per_second(&fleet.sent_bytes, seconds as usize));
    }
    assert!(means[2] / means[0] < 1.1 && means[0] / means[2] < 1.1, "{means:?}");
}

/// Guards against a router that never learns the roles of members which it does not contact itself.
#[test]
fn a_restarted_router_learns_all_roles_from_its_peers() {
    let mut fleet = Fleet::new(60, 0.1, 5);
    fleet.simulate(30 * SECOND, heavy_traffic(300));
    let restarted = Gossip::new(Policy::default(), Some(PeerIndex(3)), 60, 99, fleet.now);
    fleet.routers[3] = restarted;
    assert_eq!(fleet.routers[3].sizes().0, 0);
    let others_only = |router: &mut Gossip, n: u32, now: Micros, random: &mut ChaCha8Rng| {
        if n != 3 {
            heavy_traffic(300)(router, n, now, random);
        }
    };
    fleet.simulate(30 * SECOND, others_only);
    assert_eq!(fleet.routers[3].sizes().0, 301, "it knows every member without having contacted one");
}

/// Guards against a change of role that one half of a partitioned fleet never learns, because it is no longer sent
/// when the partition heals.
#[test]
fn two_halves_of_a_partition_converge_after_it_heals() {
    let mut fleet = Fleet::new(100, 0.02, 8);
    fleet.simulate(10 * SECOND, heavy_traffic(90));
    fleet.is_connected = |a, b| a % 2 == b % 2;
    fleet.change_role(4);
    fleet.simulate(60 * SECOND, |_, _, _, _| {});
    let odd = fleet.heard.iter().skip(1).step_by(2).flatten().count();
    assert_eq!(odd, 0, "no message passes the partition");
    assert!(fleet.heard.iter().step_by(2).all(Option::is_some));
    fleet.is_connected = |_, _| true;
    fleet.simulate(40 * SECOND, |_, _, _, _| {});
    assert_eq!(fleet.heard_within(1.0).map(|t| t > 60 * SECOND), Some(true), "{:?}", fleet.heard);
}

/// Guards against a late message that reverts a role.
#[test]
fn older_evidence_never_replaces_newer_evidence() {
    let mut router = Gossip::new(Policy::default(), Some(PeerIndex(0)), 3, 1, START);
    let (old, new) = (state(1, START, Role::Primary), state(1, START + SECOND, Role::Replica));
    assert_eq!(router.on_peer_states(&[new], START), [new]);
    assert_eq!(router.on_peer_states(&[old], START), []);
    let sent = router.run_round(START);
    let has_new_state =
        |send: &AddressedMessage| matches!(&send.message, Message::States(states) if states[..] == [new]);
    assert!(sent.iter().any(has_new_state), "{sent:?}");
}

/// Guards against positions and first roles delaying a change of role when the budget is short.
#[test]
fn changes_of_role_have_priority_over_positions_when_the_budget_is_short() {
    let policy = Policy { bytes_per_second: 128, ..Policy::default() };
    let mut router = Gossip::new(policy, Some(PeerIndex(0)), 50, 1, START);
    (0..100).for_each(|m| router.on_local_state(state(m, START, Role::Replica), START));
    // All news is sent, and the bytes saved in the bucket are spent.
    let mut now = START;
    while router.sizes().1 > 0 {
        now += SECOND;
        router.run_round(now);
    }
    (0..100).for_each(|m| router.on_local_state(state(m, now, Role::Replica), now));
    (100..200).for_each(|m| router.on_local_state(state(m, now, Role::Replica), now));
    let change = state(7, now + 1, Role::Primary);
    router.on_local_state(change, now);
    now += SECOND;
    let first = router.run_round(now).remove(0);
    assert_eq!(first.message, Message::States(vec![change]));
}

/// Guards against unbounded memory or traffic when peers send very many members or digests.
#[test]
fn a_flood_of_members_and_digests_is_bounded() {
    let mut router = Gossip::new(Policy::default(), Some(PeerIndex(0)), 500, 1, START);
    (0..100_000).for_each(|m| router.on_local_state(state(m, START, Role::Replica), START));
    assert!(router.sizes().0 <= 8_192);
    (1..400).for_each(|peer| router.on_peer_digest(PeerIndex(peer), &Digest::default()));
    let bytes: usize = router.run_round(START).iter().map(|send| send.message.bytes()).sum();
    assert!(bytes <= 2 * 960, "{bytes} bytes in one round");
    // No news of any member for longer than the expiry time.
    router.run_round(START + 700 * SECOND);
    assert_eq!(router.sizes().0, 0);
}

/// Guards against a router that sends to itself, or panics, when it has no peers.
#[test]
fn a_single_router_sends_nothing() {
    let mut router = Gossip::new(Policy::default(), Some(PeerIndex(0)), 1, 1, START);
    router.on_local_state(state(1, START, Role::Primary), START);
    assert_eq!(router.run_round(START), []);
}

/// A position that was learnt without a role doesn't make an older claim to be the primary look newer.
#[test]
fn a_claim_is_passed_on_with_its_own_position() {
    let policy = Policy { bytes_per_second: 1_000_000, ..Policy::default() };
    let mut gossip = Gossip::new(policy, Some(PeerIndex(0)), 2, 1, START);
    let later = START + 5 * SECOND;
    gossip.on_local_state(state(1, START, Role::Primary), START);
    gossip.on_local_state(MemberState { member: MemberTag(1), position: later, role: None }, later);
    let sent = gossip.run_round(later);
    let states = sent.iter().filter_map(|m| match &m.message {
        Message::States(states) => Some(states),
        Message::Digest(_) => None,
    });
    let claims: Vec<MemberState> = states.flatten().copied().collect();
    assert!(!claims.is_empty() && claims.iter().all(|s| *s == state(1, START, Role::Primary)), "{claims:?}");
}
