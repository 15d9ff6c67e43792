//! Fleets of routers that spread what they learn, in virtual time, with messages lost, cut off or delayed.

use beaconshore::interface::{Micros, Role};
use beaconshore_gossip::{Digest, Gossip, MemberState, MemberTag, Message, PeerNumber, Policy, Send};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SECOND: Micros = 1_000_000;
const TICK: Micros = 50_000;
/// A member whose role is known from the start and changes.
const CHANGES: u32 = 9_999;
const START: Micros = 1_000 * SECOND;

fn state(member: u32, position: Micros, role: Role) -> MemberState {
    MemberState { member: MemberTag(member), position, role: Some(role) }
}

struct Fleet {
    routers: Vec<Gossip>,
    /// When each first heard of the change that is waited for.
    heard: Vec<Option<Micros>>,
    watched: MemberState,
    sent_bytes: Vec<usize>,
    received_bytes: Vec<usize>,
    now: Micros,
    loss: f64,
    random: ChaCha8Rng,
    /// Whether a message may pass between two routers.
    passes: fn(u32, u32) -> bool,
}

impl Fleet {
    fn new(count: u32, loss: f64, seed: u64) -> Fleet {
        let router = |n| {
            let seed = seed << 16 | u64::from(n);
            let mut router = Gossip::new(Policy::default(), Some(PeerNumber(n)), count, seed, START);
            router.learn(state(CHANGES, START, Role::Replica), START);
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
            passes: |_, _| true,
        }
    }

    /// Plays for so long; `news` is called for each router in each tick.
    fn play(&mut self, length: Micros, mut news: impl FnMut(&mut Gossip, u32, Micros, &mut ChaCha8Rng)) {
        let end = self.now + length;
        while self.now < end {
            self.now += TICK;
            for from in 0..self.routers.len() {
                news(&mut self.routers[from], from as u32, self.now, &mut self.random);
                for Send { to, message } in self.routers[from].round(self.now) {
                    self.deliver(from as u32, to.0, &message);
                }
            }
        }
    }

    fn deliver(&mut self, from: u32, to: u32, message: &Message) {
        assert_ne!(from, to, "no router sends to itself");
        self.sent_bytes[from as usize] += message.bytes();
        if !(self.passes)(from, to) || self.random.random_bool(self.loss) {
            return;
        }
        self.received_bytes[to as usize] += message.bytes();
        match message {
            Message::Digest(digest) => self.routers[to as usize].on_digest(PeerNumber(from), digest),
            Message::States(states) => {
                assert!(states.len() <= 31, "{} states do not fit in a datagram", states.len());
                let news = self.routers[to as usize].on_states(states, self.now);
                if news.contains(&self.watched) {
                    self.heard[to as usize].get_or_insert(self.now);
                }
            }
        }
    }

    /// One router learns of a change of role that nobody else sees.
    fn change(&mut self, at: u32) {
        self.watched = state(CHANGES, self.now, Role::Primary);
        self.heard = vec![None; self.routers.len()];
        self.heard[at as usize] = Some(self.now);
        self.routers[at as usize].learn(self.watched, self.now);
    }

    /// Time within which this share of the routers had heard of it.
    fn heard_within(&self, share: f64) -> Option<Micros> {
        let mut times: Vec<Micros> =
            self.heard.iter().flatten().map(|at| at - self.watched.position).collect();
        times.sort_unstable();
        let needed = (self.heard.len() as f64 * share).ceil() as usize;
        times.get(needed - 1).copied()
    }

    fn per_second(bytes: &[usize], seconds: usize) -> f64 {
        bytes.iter().sum::<usize>() as f64 / bytes.len() as f64 / seconds as f64
    }
}

/// Positions of all members, as busy traffic tells them to every router.
fn busy(members: u32) -> impl FnMut(&mut Gossip, u32, Micros, &mut ChaCha8Rng) {
    move |router, _, now, random| {
        for _ in 0..20 {
            let member = random.random_range(0..members);
            let role = if member % 3 == 0 { Role::Primary } else { Role::Replica };
            router.learn(state(member, now, role), now);
        }
    }
}

#[test]
fn a_change_of_role_reaches_99_in_100_within_6_s_though_a_third_is_lost() {
    for (seed, count) in [(1, 30), (2, 120), (3, 420), (4, 420), (5, 420)] {
        let mut fleet = Fleet::new(count, 0.33, seed);
        fleet.play(20 * SECOND, busy(770));
        fleet.change(7);
        fleet.play(6 * SECOND, busy(770));
        let within = fleet.heard_within(0.99);
        assert!(within.is_some_and(|t| t <= 6 * SECOND), "{count} routers, seed {seed}: {within:?}");
    }
}

#[test]
fn bytes_keep_to_the_budget_and_do_not_grow_with_the_fleet() {
    let seconds = 60;
    let mut means = Vec::new();
    for count in [30, 60, 420] {
        let mut fleet = Fleet::new(count, 0.02, 11);
        fleet.play(seconds * SECOND, busy(770));
        let most = fleet.sent_bytes.iter().max().unwrap() / seconds as usize;
        // The bucket is full at first: two seconds' worth on top.
        assert!(most <= 960 * 62 / 60, "{count} routers: {most} bytes a second sent");
        let received = Fleet::per_second(&fleet.received_bytes, seconds as usize);
        assert!(received <= 1_000.0, "{count} routers: {received} received");
        means.push(Fleet::per_second(&fleet.sent_bytes, seconds as usize));
    }
    assert!(means[2] / means[0] < 1.1 && means[0] / means[2] < 1.1, "{means:?}");
}

#[test]
fn a_router_that_has_just_started_learns_all_roles_from_its_peers() {
    let mut fleet = Fleet::new(60, 0.1, 5);
    fleet.play(30 * SECOND, busy(300));
    let fresh = Gossip::new(Policy::default(), Some(PeerNumber(3)), 60, 99, fleet.now);
    fleet.routers[3] = fresh;
    assert_eq!(fleet.routers[3].sizes().0, 0);
    let others_only = |router: &mut Gossip, n: u32, now: Micros, random: &mut ChaCha8Rng| {
        if n != 3 {
            busy(300)(router, n, now, random);
        }
    };
    fleet.play(30 * SECOND, others_only);
    assert_eq!(fleet.routers[3].sizes().0, 301, "it heard of every member without asking one");
}

#[test]
fn halves_that_were_cut_apart_agree_again_after_they_meet() {
    let mut fleet = Fleet::new(100, 0.02, 8);
    fleet.play(10 * SECOND, busy(90));
    fleet.passes = |a, b| a % 2 == b % 2;
    fleet.change(4);
    fleet.play(60 * SECOND, |_, _, _, _| {});
    let odd = fleet.heard.iter().skip(1).step_by(2).flatten().count();
    assert_eq!(odd, 0, "nothing passes the cut");
    assert!(fleet.heard.iter().step_by(2).all(Option::is_some));
    fleet.passes = |_, _| true;
    fleet.play(40 * SECOND, |_, _, _, _| {});
    assert_eq!(fleet.heard_within(1.0).map(|t| t > 60 * SECOND), Some(true), "{:?}", fleet.heard);
}

#[test]
fn nobody_falls_back_to_older_evidence() {
    let mut router = Gossip::new(Policy::default(), Some(PeerNumber(0)), 3, 1, START);
    let (old, new) = (state(1, START, Role::Primary), state(1, START + SECOND, Role::Replica));
    assert_eq!(router.on_states(&[new], START), [new]);
    assert_eq!(router.on_states(&[old], START), []);
    let sent = router.round(START);
    let told = |send: &Send| matches!(&send.message, Message::States(states) if states[..] == [new]);
    assert!(sent.iter().any(told), "{sent:?}");
}

#[test]
fn changes_of_role_go_before_positions_when_the_budget_is_short() {
    let policy = Policy { bytes_per_second: 128, ..Policy::default() };
    let mut router = Gossip::new(policy, Some(PeerNumber(0)), 50, 1, START);
    (0..100).for_each(|m| router.learn(state(m, START, Role::Replica), START));
    // All that was new is spread, and what it had saved is spent.
    let mut now = START;
    while router.sizes().1 > 0 {
        now += SECOND;
        router.round(now);
    }
    (0..100).for_each(|m| router.learn(state(m, now, Role::Replica), now));
    (100..200).for_each(|m| router.learn(state(m, now, Role::Replica), now));
    let change = state(7, now + 1, Role::Primary);
    router.learn(change, now);
    now += SECOND;
    let first = router.round(now).remove(0);
    assert_eq!(first.message, Message::States(vec![change]));
}

#[test]
fn a_flood_of_members_and_digests_is_bounded() {
    let mut router = Gossip::new(Policy::default(), Some(PeerNumber(0)), 500, 1, START);
    (0..100_000).for_each(|m| router.learn(state(m, START, Role::Replica), START));
    assert!(router.sizes().0 <= 8_192);
    (1..400).for_each(|peer| router.on_digest(PeerNumber(peer), &Digest::default()));
    let bytes: usize = router.round(START).iter().map(|send| send.message.bytes()).sum();
    assert!(bytes <= 2 * 960, "{bytes} bytes in one round");
    // Nobody speaks of them any more.
    router.round(START + 700 * SECOND);
    assert_eq!(router.sizes().0, 0);
}

#[test]
fn a_fleet_of_one_has_nobody_to_send_to() {
    let mut router = Gossip::new(Policy::default(), Some(PeerNumber(0)), 1, 1, START);
    router.learn(state(1, START, Role::Primary), START);
    assert_eq!(router.round(START), []);
}
