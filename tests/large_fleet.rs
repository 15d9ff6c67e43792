//! Tests of a router in a fleet of hundreds that send each other what they learn: it leaves most probes to
//! the others.

mod common;

use beaconshore::interface::*;
use common::*;

/// Number of routers in the fleet.
const FLEET: u32 = 300;

/// Settings of a router in a fleet of this size whose routers may exchange messages.
fn connected_settings(routers: u32) -> Settings {
    let mut settings = Settings { routers, ..settings() };
    settings.limits.peer_messages = true;
    settings
}

/// A group with a primary and 40 replicas in three zones.
fn many_entries() -> Vec<ListEntry> {
    (1..=41).map(|member| entry(member, (member % 3) as u16, member == 1)).collect()
}

/// Returns the number of probes to any member.
fn total_probe_count(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Probe(_))).count()
}

/// Passes a peer's update on a member to the router.
fn send_peer_update(fixture: &mut Fixture, member: u32, role: Role) -> Vec<Action> {
    let update = MemberUpdate { member: MemberId(member), position: fixture.now - MS, role: Some(role) };
    fixture.event(Event::PeerUpdates(vec![update]))
}

#[test]
fn routers_that_start_together_probe_each_member_as_often_as_three_would() {
    let probes: usize = (0..u64::from(FLEET))
        .map(|seed| {
            total_probe_count(&Fixture::with_seed(seed, connected_settings(FLEET), &many_entries()).1)
        })
        .sum();
    // 123 on average, plus or minus five standard deviations; without sharing it would be 12,300.
    assert!((68..=178).contains(&probes), "{probes}");
    let (_, alone) = Fixture::with_seed(7, Settings { routers: FLEET, ..settings() }, &many_entries());
    assert_eq!(total_probe_count(&alone), 41, "without messages each router sends all its probes");
    assert_eq!(
        total_probe_count(&Fixture::with_seed(7, connected_settings(3), &many_entries()).1),
        41,
        "so does each router of a small fleet"
    );
}

#[test]
fn a_new_router_uses_positions_from_peers_and_probes_members_unknown_to_them() {
    let (mut fixture, _) = Fixture::with_seed(1, connected_settings(FLEET), &entries());
    send_peer_update(&mut fixture, 3, Role::Replica);
    let (id, actions) = fixture.request(READ);
    assert_eq!(sent_to(&actions, id), Some(3), "nothing is known of the replica in the router's zone");
    assert_eq!(
        probe_count(&actions, 2),
        1,
        "a member that no router has heard from is probed by each router with a read for it"
    );
}

#[test]
fn a_queued_read_probes_the_next_replica_when_the_first_does_not_answer() {
    let (mut fixture, _) = Fixture::with_seed(1, connected_settings(FLEET), &entries());
    for member in [1, 2, 3] {
        send_peer_update(&mut fixture, member, if member == 1 { Role::Primary } else { Role::Replica });
    }
    // The primary is lost, so only a fresh replica can serve the read.
    for _ in 0..3 {
        fixture.fail_probe(1);
    }
    fixture.now += 2 * BOUND;
    let (id, actions) = fixture.request(READ);
    assert_eq!(
        [2, 3].map(|m| probe_count(&actions, m)),
        [1, 0],
        "first only the replica in the router's zone"
    );
    let actions = fixture.advance(60 * MS);
    assert_eq!(probe_count(&actions, 3), 1, "then the other one, without an answer");
    let actions = fixture.answer_probe(3, fixture.now - MS, false);
    assert_eq!(sent_to(&actions, id), Some(3));
}

/// A router of a large fleet whose known member positions are all past the staleness bound.
fn with_stale_records(settings: Settings, list: &[ListEntry]) -> Fixture {
    let (mut fixture, _) = Fixture::with_seed(1, settings, list);
    for e in list {
        send_peer_update(&mut fixture, e.member.0, if e.primary { Role::Primary } else { Role::Replica });
    }
    fixture.now += 2 * BOUND;
    fixture
}

/// Only one replica is probed at a time, so it must be one that may be used.
#[test]
fn a_draining_replica_is_not_probed_in_place_of_a_usable_one() {
    let all = [entry(1, 0, true), entry(2, 0, false), entry(3, 0, false)];
    let mut fixture = with_stale_records(connected_settings(FLEET), &all);
    fixture.update_list(ListKind::Delta, &[ListEntry { listed: ListedState::Draining, ..all[1].clone() }]);
    let (_, actions) = fixture.request(READ);
    assert_eq!([2, 3].map(|m| probe_count(&actions, m)), [0, 1]);
}

#[test]
fn a_failed_probe_of_a_near_replica_does_not_block_probes_of_farther_ones() {
    let mut fixture = with_stale_records(connected_settings(FLEET), &entries());
    let (_, actions) = fixture.request(READ);
    assert_eq!([2, 3].map(|m| probe_count(&actions, m)), [1, 0]);
    fixture.fail_probe(2);
    let (_, actions) = fixture.request(READ);
    assert_eq!([2, 3].map(|m| probe_count(&actions, m)), [0, 1], "the near one was probed just before");
}

#[test]
fn a_read_that_no_probe_can_help_does_not_block_probes_for_reads_behind_it() {
    let mut settings = connected_settings(FLEET);
    settings.classes[SESSION].value = 10.0;
    let mut fixture = with_stale_records(settings, &entries());
    for _ in 0..3 {
        fixture.fail_probe(1);
    }
    // No member has reached the session's last write and the primary is lost, so the session read stays in
    // the queue ahead of the bounded read.
    fixture.request_with(SESSION, 2_000 * MS, |r| r.last_write_ago = Some(0));
    fixture.now += MS;
    let (id, _) = fixture.request(READ);
    let actions = fixture.advance(60 * MS);
    assert_eq!(probe_count(&actions, 3), 1, "the second replica is probed while the read waits");
    let actions = fixture.answer_probe(3, fixture.now - MS, false);
    assert_eq!(sent_to(&actions, id), Some(3));
}

#[test]
fn few_routers_probe_a_nearer_replica_while_another_is_fresh() {
    let probes_sent = |seed| {
        let (mut fixture, _) = Fixture::with_seed(seed, connected_settings(FLEET), &entries());
        send_peer_update(&mut fixture, 2, Role::Replica);
        let (first, actions) = fixture.request(READ);
        assert_eq!(sent_to(&actions, first), Some(2));
        fixture.now += 2 * BOUND;
        send_peer_update(&mut fixture, 3, Role::Replica);
        let (id, actions) = fixture.request(READ);
        assert_eq!(sent_to(&actions, id), Some(3));
        probe_count(&actions, 2)
    };
    let probes_sent_by_fleet: usize = (0..u64::from(FLEET)).map(probes_sent).sum();
    assert!(
        (1..=12).contains(&probes_sent_by_fleet),
        "{probes_sent_by_fleet} probes from {FLEET} routers, three on average"
    );
}

#[test]
fn each_router_searches_for_a_lost_primary_more_rarely_in_a_larger_fleet() {
    let search_probes = |routers| {
        let mut fixture = Fixture::ready(connected_settings(routers), &entries());
        for _ in 0..3 {
            fixture.fail_probe(1);
        }
        fixture.now += 1_100 * MS;
        fixture.request(WRITE);
        let mut count = 0;
        for _ in 0..100 {
            let actions = fixture.advance(10 * MS);
            count += probe_count(&actions, 2);
            if probe_count(&actions, 2) > 0 {
                fixture.answer_probe(2, fixture.now - MS, false);
            }
        }
        count
    };
    assert!(search_probes(3) >= 5, "{}", search_probes(3));
    assert!((1..=2).contains(&search_probes(FLEET)), "{}", search_probes(FLEET));
}

/// An update on a replica's position keeps reads off the primary for as long as the staleness bound. An
/// update on a primary that all routers know only says that it is still there.
#[test]
fn updates_on_a_known_primary_are_rarer_than_on_a_replica() {
    let updates_on = |member: u32| {
        let mut fixture = Fixture::ready(connected_settings(FLEET), &entries());
        let mut updates = 0;
        for _ in 0..100 {
            let mut actions = fixture.advance(20 * MS);
            actions.extend(fixture.answer_probe(member, fixture.now - MS, member == 1));
            let is_about = |update: &&MemberUpdate| update.member == MemberId(member);
            let updates_sent = |a: &Action| {
                if let Action::SendPeerUpdates(w) = a {
                    w.iter().filter(is_about).count()
                } else {
                    0
                }
            };
            updates += actions.iter().map(updates_sent).sum::<usize>();
        }
        updates
    };
    let (primary, replica) = (updates_on(1), updates_on(2));
    assert!((2..=5).contains(&primary), "two updates per second for two seconds: {primary}");
    assert!(replica >= 15, "{replica}");
}

/// One dead member does not mean that connections are scarce, so idle connections to others are kept.
#[test]
fn idle_connections_are_kept_when_only_a_dead_member_is_unreachable() {
    let closes_idle = |silent: Micros| {
        let mut fixture = Fixture::new();
        let (id, _) = fixture.request(WRITE);
        fixture.end_attempt(id, 1, Outcome::Served, fixture.status(Role::Primary));
        fixture.advance(silent);
        let (id, actions) = fixture.request(WRITE);
        assert_eq!(sent_to(&actions, id), Some(1));
        fixture.end_attempt(id, 1, Outcome::Unreachable, ReplyStatus::default());
        fixture.answer_probe(2, fixture.now - MS, false);
        let (id, actions) = fixture.request(READ);
        assert_eq!(sent_to(&actions, id), Some(2));
        let actions = fixture.end_attempt(id, 2, Outcome::Served, fixture.status(Role::Replica));
        actions.contains(&Action::CloseIdle(MemberId(2)))
    };
    assert!(closes_idle(100 * MS), "a member that answered just before is out of connections");
    assert!(!closes_idle(1_500 * MS));
}

/// Returns how many messages a router sends within three seconds of steady reads, one every 20 ms, if
/// messages from peers arrive at this interval.
fn updates_sent(heard_every: Option<Micros>) -> usize {
    let (mut fixture, _) = Fixture::with_seed(1, connected_settings(FLEET), &entries());
    let (mut updates_sent, begun) = (0, fixture.now);
    let count =
        |actions: &[Action]| actions.iter().filter(|a| matches!(a, Action::SendPeerUpdates(_))).count();
    send_peer_update(&mut fixture, 2, Role::Replica);
    send_peer_update(&mut fixture, 3, Role::Replica);
    while fixture.now < begun + 4_000 * MS {
        if heard_every.is_some_and(|every| (fixture.now - begun) % every < 20 * MS) {
            send_peer_update(&mut fixture, 1, Role::Primary);
        }
        let (id, actions) = fixture.request(READ);
        let (note, to) = (fixture.status(Role::Replica), sent_to(&actions, id));
        let more = to.map_or_else(Vec::new, |member| fixture.end_attempt(id, member, Outcome::Served, note));
        let passed = fixture.advance(20 * MS);
        if fixture.now > begun + 1_100 * MS {
            updates_sent += count(&actions) + count(&more) + count(&passed);
        }
    }
    updates_sent
}

#[test]
fn an_isolated_router_collects_its_updates() {
    // Two replicas, each with at most ten updates per second.
    let connected = updates_sent(Some(300 * MS));
    assert!(connected >= 20, "{connected}");
    // An isolated router sends twice a second.
    let isolated = updates_sent(None);
    assert!((4..=7).contains(&isolated), "{isolated}");
}

/// Returns the most first reads of 300 routers that any replica gets, and the number of replicas in the
/// routers' zone that get none.
fn first_reads(reads: usize) -> (usize, usize) {
    let mut got = std::collections::BTreeMap::new();
    for seed in 0..u64::from(FLEET) {
        let (mut fixture, _) = Fixture::with_seed(seed, connected_settings(FLEET), &many_entries());
        (2..=41).for_each(|member| drop(send_peer_update(&mut fixture, member, Role::Replica)));
        for _ in 0..reads {
            let (id, actions) = fixture.request(READ);
            let member = sent_to(&actions, id).expect("every replica is fresh");
            *got.entry(member).or_insert(0) += 1;
        }
    }
    // The routers' zone is preferred; thirteen of the forty replicas are in it.
    (got.values().copied().max().unwrap_or(0), 13 - got.len().min(13))
}

#[test]
fn routers_that_start_with_the_same_list_spread_their_first_reads() {
    // Each of them should get 23 of 300 reads, with a standard deviation of 4.6.
    let (most, idle) = first_reads(1);
    assert!(most <= 44 && idle == 0, "at most {most} reads at one replica, {idle} replicas without any");
    // The rotation sends the next reads of each router to replicas that it has not used yet.
    let (most, idle) = first_reads(3);
    assert!(most <= 104 && idle == 0, "at most {most} reads at one replica, {idle} replicas without any");
}
