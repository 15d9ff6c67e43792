//! What each router leaves to others in a fleet of hundreds that tell each other what they learn.

mod common;

use beaconshore::interface::*;
use common::*;

const FLEET: u32 = 300;

/// Settings of a router among so many that may talk.
fn among(routers: u32) -> Settings {
    let mut settings = Settings { routers, ..settings() };
    settings.limits.peer_messages = true;
    settings
}

/// A group of 40 replicas and a primary, as one of 120 members would be in three.
fn many() -> Vec<ListEntry> {
    (1..=41).map(|member| entry(member, (member % 3) as u16, member == 1)).collect()
}

fn all_probes(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Probe(_))).count()
}

fn told(stage: &mut Stage, member: u32, role: Role) -> Vec<Action> {
    let word = MemberUpdate { member: MemberId(member), position: stage.now - MS, role: Some(role) };
    stage.event(Event::PeerUpdates(vec![word]))
}

#[test]
fn routers_that_start_together_probe_each_member_as_often_as_three_would() {
    let probes: usize =
        (0..u64::from(FLEET)).map(|seed| all_probes(&Stage::seeded(seed, among(FLEET), &many()).1)).sum();
    // 123 on average, where each for itself would send 12,300; five standard deviations of chance.
    assert!((68..=178).contains(&probes), "{probes}");
    let (_, alone) = Stage::seeded(7, Settings { routers: FLEET, ..settings() }, &many());
    assert_eq!(all_probes(&alone), 41, "where none may talk each finds out by itself");
    assert_eq!(all_probes(&Stage::seeded(7, among(3), &many()).1), 41, "so do few");
}

#[test]
fn what_others_found_out_serves_a_fresh_router_and_what_nobody_did_stays_stale() {
    let (mut stage, _) = Stage::seeded(1, among(FLEET), &entries());
    told(&mut stage, 3, Role::Replica);
    let (id, actions) = stage.ask(READ);
    assert_eq!(sent(&actions, id), Some(3), "the replica of the own zone has not been heard of");
    assert_eq!(probes(&actions, 2), 1, "one that nobody heard of is asked by whoever has a read for it");
}

#[test]
fn a_read_that_waits_has_the_next_replica_asked_when_the_first_says_nothing() {
    let (mut stage, _) = Stage::seeded(1, among(FLEET), &entries());
    for member in [1, 2, 3] {
        told(&mut stage, member, if member == 1 { Role::Primary } else { Role::Replica });
    }
    // The primary is lost: nothing but a fresh replica can serve the read.
    for _ in 0..3 {
        stage.probe_failed(1);
    }
    stage.now += 2 * BOUND;
    let (id, actions) = stage.ask(READ);
    assert_eq!([2, 3].map(|m| probes(&actions, m)), [1, 0], "the own zone's first, and no other");
    let actions = stage.pass(60 * MS);
    assert_eq!(probes(&actions, 3), 1, "without an answer the other one");
    let actions = stage.probed(3, stage.now - MS, false);
    assert_eq!(sent(&actions, id), Some(3));
}

/// A router of a large fleet, whose members were all heard of and have since run out of their bound.
fn with_stale_records(settings: Settings, list: &[ListEntry]) -> Stage {
    let (mut stage, _) = Stage::seeded(1, settings, list);
    for e in list {
        told(&mut stage, e.member.0, if e.primary { Role::Primary } else { Role::Replica });
    }
    stage.now += 2 * BOUND;
    stage
}

/// Only one is asked at a time: it must be one that may be asked.
#[test]
fn a_replica_that_drains_does_not_take_the_place_of_one_that_can_be_asked() {
    let all = [entry(1, 0, true), entry(2, 0, false), entry(3, 0, false)];
    let mut stage = with_stale_records(among(FLEET), &all);
    stage.list(ListKind::Delta, &[ListEntry { listed: ListedState::Draining, ..all[1].clone() }]);
    let (_, actions) = stage.ask(READ);
    assert_eq!([2, 3].map(|m| probes(&actions, m)), [0, 1]);
}

#[test]
fn a_near_replica_that_fails_its_probes_does_not_keep_farther_ones_from_being_asked() {
    let mut stage = with_stale_records(among(FLEET), &entries());
    let (_, actions) = stage.ask(READ);
    assert_eq!([2, 3].map(|m| probes(&actions, m)), [1, 0]);
    stage.probe_failed(2);
    let (_, actions) = stage.ask(READ);
    assert_eq!([2, 3].map(|m| probes(&actions, m)), [0, 1], "the near one was asked just now");
}

#[test]
fn a_read_that_no_probe_helps_does_not_keep_those_behind_it_in_line_from_asking() {
    let mut settings = among(FLEET);
    settings.classes[SESSION].value = 10.0;
    let mut stage = with_stale_records(settings, &entries());
    for _ in 0..3 {
        stage.probe_failed(1);
    }
    // No member has reached the session's mark, and its primary is lost: it stays in line, ahead of the read.
    stage.ask_with(SESSION, 2_000 * MS, |r| r.last_write_ago = Some(0));
    stage.now += MS;
    let (id, _) = stage.ask(READ);
    let actions = stage.pass(60 * MS);
    assert_eq!(probes(&actions, 3), 1, "the second one is asked while the read waits");
    let actions = stage.probed(3, stage.now - MS, false);
    assert_eq!(sent(&actions, id), Some(3));
}

#[test]
fn while_a_replica_is_fresh_few_routers_ask_for_a_nearer_one() {
    let asks = |seed| {
        let (mut stage, _) = Stage::seeded(seed, among(FLEET), &entries());
        told(&mut stage, 2, Role::Replica);
        let (first, actions) = stage.ask(READ);
        assert_eq!(sent(&actions, first), Some(2));
        stage.now += 2 * BOUND;
        told(&mut stage, 3, Role::Replica);
        let (id, actions) = stage.ask(READ);
        assert_eq!(sent(&actions, id), Some(3));
        probes(&actions, 2)
    };
    let asked: usize = (0..u64::from(FLEET)).map(asks).sum();
    assert!((1..=12).contains(&asked), "{asked} of {FLEET}, three on average");
}

#[test]
fn a_lost_primary_is_sought_by_each_router_the_rarer_the_more_there_are() {
    let searches = |routers| {
        let mut stage = Stage::with(among(routers), &entries());
        for _ in 0..3 {
            stage.probe_failed(1);
        }
        stage.now += 1_100 * MS;
        stage.ask(WRITE);
        let mut count = 0;
        for _ in 0..100 {
            let actions = stage.pass(10 * MS);
            count += probes(&actions, 2);
            if probes(&actions, 2) > 0 {
                stage.probed(2, stage.now - MS, false);
            }
        }
        count
    };
    assert!(searches(3) >= 5, "{}", searches(3));
    assert!((1..=2).contains(&searches(FLEET)), "{}", searches(FLEET));
}

/// A word of a replica's position keeps reads off the primary for as long as the bound; of a primary that all know, it
/// would only say that it is there.
#[test]
fn a_known_primary_is_told_of_rarer_than_a_replica() {
    let words_of = |member: u32| {
        let mut stage = Stage::with(among(FLEET), &entries());
        let mut words = 0;
        for _ in 0..100 {
            let mut actions = stage.pass(20 * MS);
            actions.extend(stage.probed(member, stage.now - MS, member == 1));
            let of = |word: &&MemberUpdate| word.member == MemberId(member);
            let tells =
                |a: &Action| if let Action::SendPeerUpdates(w) = a { w.iter().filter(of).count() } else { 0 };
            words += actions.iter().map(tells).sum::<usize>();
        }
        words
    };
    let (primary, replica) = (words_of(1), words_of(2));
    assert!((2..=5).contains(&primary), "two seconds at two words each: {primary}");
    assert!(replica >= 15, "{replica}");
}

/// One dead member is no sign that members have few connections: those that work are kept.
#[test]
fn connections_are_kept_where_only_a_member_long_silent_can_not_be_reached() {
    let closes = |silent: Micros| {
        let mut stage = Stage::new();
        let (id, _) = stage.ask(WRITE);
        stage.ended(id, 1, Outcome::Served, stage.note(Role::Primary));
        stage.pass(silent);
        let (id, actions) = stage.ask(WRITE);
        assert_eq!(sent(&actions, id), Some(1));
        stage.ended(id, 1, Outcome::Unreachable, ReplyStatus::default());
        stage.probed(2, stage.now - MS, false);
        let (id, actions) = stage.ask(READ);
        assert_eq!(sent(&actions, id), Some(2));
        let actions = stage.ended(id, 2, Outcome::Served, stage.note(Role::Replica));
        actions.contains(&Action::CloseIdle(MemberId(2)))
    };
    assert!(closes(100 * MS), "a member that answered just now is out of connections");
    assert!(!closes(1_500 * MS));
}

/// How often a router tells within three seconds of steady reads, one each 20 ms, with others heard this often.
fn tells(heard_every: Option<Micros>) -> usize {
    let (mut stage, _) = Stage::seeded(1, among(FLEET), &entries());
    let (mut tells, begun) = (0, stage.now);
    let count =
        |actions: &[Action]| actions.iter().filter(|a| matches!(a, Action::SendPeerUpdates(_))).count();
    told(&mut stage, 2, Role::Replica);
    told(&mut stage, 3, Role::Replica);
    while stage.now < begun + 4_000 * MS {
        if heard_every.is_some_and(|every| (stage.now - begun) % every < 20 * MS) {
            told(&mut stage, 1, Role::Primary);
        }
        let (id, actions) = stage.ask(READ);
        let (note, to) = (stage.note(Role::Replica), sent(&actions, id));
        let more = to.map_or_else(Vec::new, |member| stage.ended(id, member, Outcome::Served, note));
        let passed = stage.pass(20 * MS);
        if stage.now > begun + 1_100 * MS {
            tells += count(&actions) + count(&more) + count(&passed);
        }
    }
    tells
}

#[test]
fn a_router_that_hears_nobody_gathers_what_it_has_to_tell() {
    // Two replicas, each told of ten times a second at the most.
    let heard = tells(Some(300 * MS));
    assert!(heard >= 20, "{heard}");
    // Cut off, it tells twice a second.
    let deaf = tells(None);
    assert!((4..=7).contains(&deaf), "{deaf}");
}

/// The most that any of forty replicas gets of the first reads of 300 routers, and how many of them get none.
fn first_reads(reads: usize) -> (usize, usize) {
    let mut got = std::collections::BTreeMap::new();
    for seed in 0..u64::from(FLEET) {
        let (mut stage, _) = Stage::seeded(seed, among(FLEET), &many());
        (2..=41).for_each(|member| drop(told(&mut stage, member, Role::Replica)));
        for _ in 0..reads {
            let (id, actions) = stage.ask(READ);
            let member = sent(&actions, id).expect("all are fresh");
            *got.entry(member).or_insert(0) += 1;
        }
    }
    // The own zone comes first: thirteen of the forty lie there.
    (got.values().copied().max().unwrap_or(0), 13 - got.len().min(13))
}

#[test]
fn routers_that_start_from_one_list_do_not_turn_to_the_same_member() {
    // Fair is 23 of each 300; chance makes it 23 with a standard deviation of 4.6.
    let (most, idle) = first_reads(1);
    assert!(most <= 44 && idle == 0, "{most}, {idle} without any");
    // By their turns each router spreads the next ones over those that it has not used yet.
    let (most, idle) = first_reads(3);
    assert!(most <= 104 && idle == 0, "{most}, {idle} without any");
}
