//! Regression tests, one for each failure found in benchmark runs and incidents.

mod common;

use beaconshore::interface::*;
use common::*;

/// A repeat whose first try used up the latency target would only take the place of a request that can still
/// earn something.
#[test]
fn a_repeat_without_late_value_is_refused_at_once_while_members_are_busy() {
    let mut fixture = Fixture::ready(settings(), &[entry(1, 0, true), entry(2, 0, false)]);
    while fixture.request(ANY).1.iter().any(|a| matches!(a, Action::Send { .. })) {}
    let (repeat, actions) = fixture.request_with(ANY, 2_000 * MS, |r| r.is_repeat = true);
    assert!(is_refused(&actions, repeat));
    let (write, actions) = fixture.request_with(WRITE, 2_000 * MS, |r| r.is_repeat = true);
    assert!(!is_refused(&actions, write), "a late write still earns something");
}

/// Each of many routers hears little from a member, but together they know its position.
#[test]
fn a_peer_update_saves_a_probe_and_is_not_sent_on() {
    let list = [entry(1, 0, true), entry(2, 0, false)];
    let mut settings = settings();
    settings.limits.peer_messages = true;
    let mut fixture = Fixture::ready(settings, &list);
    let sends_updates = |actions: &[Action]| actions.iter().any(|a| matches!(a, Action::SendPeerUpdates(_)));
    assert!(sends_updates(&fixture.advance(10 * MS)), "the results of its own probes");
    fixture.advance(2_000 * MS);
    let update = |position| MemberUpdate { member: MemberId(2), position, role: Some(Role::Replica) };
    fixture.event(Event::PeerUpdates(vec![update(fixture.now - 10 * MS)]));
    let (id, actions) = fixture.request(READ);
    assert_eq!((sent_to(&actions, id), probe_count(&actions, 2)), (Some(2), 0));
    assert!(!sends_updates(&fixture.advance(10 * MS)), "the peers know it already");
    fixture.end_attempt(id, 2, Outcome::Served, fixture.status(Role::Replica));
    assert!(!sends_updates(&fixture.advance(10 * MS)), "the position is hardly newer");
    fixture.event(Event::PeerUpdates(vec![update(fixture.now + 1_000 * MS)]));
    fixture.advance(2 * BOUND);
    let (id, mut actions) = fixture.request(READ);
    actions.extend(fixture.advance(60 * MS));
    assert_eq!(sent_to(&actions, id), Some(1), "an update ahead of the clock is ignored");
}

#[test]
fn groups_without_requests_are_not_probed() {
    let mut fixture = Fixture::new();
    let actions = fixture.advance(5_000 * MS);
    assert!(!actions.iter().any(|a| matches!(a, Action::Probe(_))));
}

#[test]
fn a_member_that_answers_only_probes_is_tested_with_few_requests() {
    let mut fixture = Fixture::new();
    let mut tests = Vec::new();
    for _ in 0..600 {
        fixture.now += 100 * MS;
        fixture.answer_probe(2, fixture.now, false);
        fixture.answer_probe(3, fixture.now, false);
        let (id, actions) = fixture.request(ANY);
        match sent_to(&actions, id) {
            Some(2) => {
                tests.push(fixture.now);
                fixture.attempt_duration = 600 * MS;
                fixture.end_attempt(id, 2, Outcome::TimedOut, ReplyStatus::default());
                fixture.attempt_duration = 50 * MS;
            }
            Some(member) => drop(fixture.end_attempt(id, member, Outcome::Served, ReplyStatus::default())),
            None => {}
        }
        fixture.advance(0);
    }
    // The rotation would send it half of the 600 requests.
    assert!((3..=30).contains(&tests.len()), "{} requests in a minute", tests.len());
}

/// After a pause of its process, a router sends requests late, with little time left until their clients give
/// up.
#[test]
fn an_attempt_cut_short_by_its_client_does_not_count_against_its_member() {
    let mut fixture = Fixture::ready(settings(), &[entry(1, 0, true), entry(2, 0, false)]);
    let (id, actions) = fixture.request(ANY);
    assert_eq!(sent_to(&actions, id), Some(2));
    fixture.attempt_duration = 20 * MS;
    fixture.end_attempt(id, 2, Outcome::TimedOut, ReplyStatus::default());
    fixture.advance(100 * MS);
    let (id, actions) = fixture.request(ANY);
    assert_eq!(sent_to(&actions, id), Some(2));
}

/// A member that hangs accepts requests until its queue is full and then rejects them. Rejections do not
/// prove that it works.
#[test]
fn a_silent_member_that_rejects_requests_stays_suspected() {
    let mut fixture = Fixture::ready(settings(), &[entry(1, 0, true), entry(2, 0, false)]);
    let (first, _) = fixture.request(ANY);
    let (second, actions) = fixture.request(ANY);
    assert_eq!(sent_to(&actions, second), Some(2));
    fixture.attempt_duration = 600 * MS;
    fixture.now += fixture.attempt_duration;
    fixture.end_attempt(first, 2, Outcome::TimedOut, ReplyStatus::default());
    fixture.end_attempt(second, 2, Outcome::Rejected, ReplyStatus::default());
    let to_two = (0..20).filter(|_| {
        let (id, actions) = fixture.request(ANY);
        sent_to(&actions, id) == Some(2)
    });
    assert!(to_two.count() <= 2);
}

/// Each of very many routers sends a member few requests, so a single late answer has to suffice as evidence
/// of overload.
#[test]
fn a_router_with_little_traffic_backs_off_after_one_late_answer() {
    let mut settings = settings();
    settings.routers = 200;
    let mut to_two = 0;
    for seed in 1..=50 {
        let list = [entry(1, 0, true), entry(2, 0, false), entry(3, 0, false)];
        let (mut fixture, _) = Fixture::with_seed(seed * 104_729, settings.clone(), &list);
        list.iter().for_each(|e| drop(fixture.answer_probe(e.member.0, START - MS, e.primary)));
        let (id, actions) = fixture.request(ANY);
        let late_member = sent_to(&actions, id).unwrap();
        fixture.now += 2_000 * MS;
        fixture.attempt_duration = 1_500 * MS;
        fixture.end_attempt(id, late_member, Outcome::Served, ReplyStatus::default());
        let (id, actions) = fixture.request(ANY);
        let other = sent_to(&actions, id).unwrap();
        assert_ne!(late_member, other);
        fixture.attempt_duration = 50 * MS;
        fixture.end_attempt(id, other, Outcome::Served, ReplyStatus::default());
        fixture.now += MS;
        let (id, actions) = fixture.request(ANY);
        to_two += i32::from(sent_to(&actions, id) == Some(late_member));
    }
    assert!(to_two < 25, "{to_two} of 50 routers sent their next request to the overloaded member");
}

#[test]
fn an_unhealthy_primary_that_answers_probes_as_primary_starts_no_search() {
    let mut fixture = Fixture::new();
    let (id, _) = fixture.request(WRITE);
    fixture.now += 2_000 * MS;
    fixture.answer_probe(1, fixture.now, true);
    fixture.end_attempt(id, 1, Outcome::TimedOut, ReplyStatus::default());
    let mut probed = 0;
    for _ in 0..50 {
        fixture.request(ANY);
        let actions = fixture.advance(10 * MS);
        if probe_count(&actions, 1) > 0 {
            fixture.answer_probe(1, fixture.now, true);
        }
        probed += probe_count(&actions, 3);
    }
    assert!(probed <= 1, "{probed} probes of a replica in half a second");
}

/// Searches of many routers for a primary that no request needs would be a load of their own.
#[test]
fn a_lost_primary_is_searched_for_often_only_while_a_request_is_queued() {
    let mut fixture = Fixture::new();
    for _ in 0..3 {
        fixture.fail_probe(1);
    }
    fixture.now += 2_000 * MS;
    let count = |fixture: &mut Fixture| {
        let mut probed = 0;
        for _ in 0..50 {
            let actions = fixture.advance(10 * MS);
            for member in 1..=3 {
                for _ in 0..probe_count(&actions, member) {
                    fixture.fail_probe(member);
                    probed += 1;
                }
            }
        }
        probed
    };
    fixture.request(WRITE);
    let waited = count(&mut fixture);
    fixture.advance(2_000 * MS);
    fixture.request_with(ANY, 1, |_| {});
    let unasked = count(&mut fixture);
    assert!(waited >= 9 && unasked <= 3, "{waited} probes while a request is queued, {unasked} otherwise");
}

/// Idle connections of a whole fleet can use up the few connections that a member accepts.
#[test]
fn idle_connections_are_closed_after_a_refused_connection() {
    let mut fixture = Fixture::new();
    let closes_idle = |actions: &[Action]| actions.iter().any(|a| matches!(a, Action::CloseIdle(_)));
    let serve = |fixture: &mut Fixture| {
        let (id, actions) = fixture.request(ANY);
        let member = sent_to(&actions, id).unwrap();
        fixture.end_attempt(id, member, Outcome::Served, ReplyStatus::default())
    };
    assert!(!closes_idle(&serve(&mut fixture)));
    let (id, actions) = fixture.request(ANY);
    let member = sent_to(&actions, id).unwrap();
    fixture.attempt_duration = 5 * MS;
    let actions = fixture.end_attempt(id, member, Outcome::Unreachable, ReplyStatus::default());
    let other = sent_to(&actions, id).unwrap();
    assert_ne!(other, member);
    assert!(closes_idle(&fixture.end_attempt(id, other, Outcome::Served, ReplyStatus::default())));
    (0..100).for_each(|_| drop(serve(&mut fixture)));
    assert!(!closes_idle(&serve(&mut fixture)), "connections succeed again");
}

/// If idle connections were closed, each request would wait for a connection that is established too late.
#[test]
fn idle_connections_are_kept_where_connection_setup_is_slow() {
    let mut fixture = Fixture::new();
    for _ in 0..5 {
        fixture.answer_probe(2, fixture.now, false);
        fixture.answer_probe(3, fixture.now, false);
        let (id, actions) = fixture.request(ANY);
        let member = sent_to(&actions, id).unwrap();
        fixture.attempt_duration = 250 * MS;
        let actions = fixture.end_attempt(id, member, Outcome::Unreachable, ReplyStatus::default());
        let other = sent_to(&actions, id).unwrap();
        fixture.attempt_duration = 50 * MS;
        let actions = fixture.end_attempt(id, other, Outcome::Served, ReplyStatus::default());
        assert!(!actions.iter().any(|a| matches!(a, Action::CloseIdle(_))));
    }
}

/// Errors from several members mean that the request is at fault. Further attempts would only cost capacity.
#[test]
fn a_request_that_two_members_answer_with_an_error_is_given_up_at_once() {
    let list: Vec<ListEntry> = (1..=6).map(|member| entry(member, 0, member == 1)).collect();
    let mut fixture = Fixture::ready(settings(), &list);
    let (id, actions) = fixture.request(READ);
    let first = sent_to(&actions, id).unwrap();
    let actions = fixture.end_attempt(id, first, Outcome::Error, fixture.status(Role::Replica));
    let second = sent_to(&actions, id).unwrap();
    assert_ne!(second, first, "a single error may be the fault of its member");
    let actions = fixture.end_attempt(id, second, Outcome::Error, fixture.status(Role::Replica));
    assert!(is_refused(&actions, id) && sent_to(&actions, id).is_none());
}

/// A write can only go to the primary, so several errors do not show whether the write or the member is at
/// fault.
#[test]
fn a_write_keeps_all_its_attempts_when_its_primary_answers_with_errors() {
    let mut fixture = Fixture::new();
    let (id, mut actions) = fixture.request(WRITE);
    for attempt in 1..=8 {
        assert_eq!(sent_to(&actions, id), Some(1), "attempt {attempt}");
        fixture.now += 5 * MS;
        actions = fixture.end_attempt(id, 1, Outcome::Error, fixture.status(Role::Primary));
    }
    assert!(sent_to(&actions, id).is_none(), "eight attempts are the maximum");
}

/// A member that answers probes but refuses connections is out of connections; it has not restarted.
#[test]
fn refused_connections_do_not_make_a_member_cold() {
    let mut fixture = Fixture::ready(settings(), &[entry(1, 0, true), entry(2, 0, false)]);
    for _ in 0..3 {
        let (id, actions) = fixture.request(ANY);
        assert_eq!(sent_to(&actions, id), Some(2));
        fixture.end_attempt(id, 2, Outcome::Unreachable, ReplyStatus::default());
        fixture.answer_probe(2, fixture.now, false);
    }
    for _ in 0..20 {
        let (id, actions) = fixture.request(ANY);
        assert_eq!(sent_to(&actions, id), Some(2));
        fixture.end_attempt(id, 2, Outcome::Served, ReplyStatus::default());
    }
}

#[test]
fn long_reads_of_any_age_go_to_the_replica_that_lags_most() {
    let mut settings = settings();
    settings.classes.push(class(Consistency::Any, Effect::Safe, 2_500 * MS, 0.0));
    let mut fixture = Fixture::ready(settings, &entries());
    fixture.now += 1_000 * MS;
    fixture.answer_probe(2, fixture.now - 10 * MS, false);
    fixture.answer_probe(3, fixture.now - 400 * MS, false);
    let (long, actions) = fixture.request(5);
    assert_eq!(sent_to(&actions, long), Some(3), "assumed to take longer than the staleness bound");
    let (short, actions) = fixture.request(ANY);
    assert_eq!(sent_to(&actions, short), Some(2));
}

#[test]
fn a_read_is_refused_when_an_average_answer_would_be_too_late() {
    let mut fixture = Fixture::new();
    for took in [50, 200] {
        fixture.attempt_duration = took * MS;
        for _ in 0..100 {
            fixture.answer_probe(2, fixture.now, false);
            let (id, actions) = fixture.request(READ);
            let member = sent_to(&actions, id).unwrap();
            fixture.now += 10 * MS;
            fixture.end_attempt(id, member, Outcome::Served, ReplyStatus::default());
        }
    }
    fixture.update_list(ListKind::Full, &[entry(2, 0, false)]);
    fixture.now += 2 * BOUND;
    let (id, _) = fixture.request(READ);
    let actions = fixture.advance(100 * MS);
    assert!(is_refused(&actions, id), "the latency target is 250 ms and recent answers take 200 ms");
}

/// In a fleet, each router's queue is short, so ordering by value within it is not enough: a late read has to
/// leave capacity to the requests of other routers.
#[test]
fn a_read_that_can_only_be_late_is_sent_in_proportion_to_its_late_value() {
    let mut late_sends = 0;
    for seed in 1..=100 {
        let mut settings = settings();
        settings.classes[ANY].late_value_share = 0.2;
        let (mut fixture, _) = Fixture::with_seed(seed * 7919, settings, &[entry(2, 0, false)]);
        fixture.now += 5 * MS;
        fixture.answer_probe(2, fixture.now - MS, false);
        fixture.update_list(
            ListKind::Delta,
            &[ListEntry { listed: ListedState::Draining, ..entry(2, 0, false) }],
        );
        let (id, _) = fixture.request(ANY);
        fixture.advance(450 * MS);
        let actions = fixture.update_list(ListKind::Delta, &[entry(2, 0, false)]);
        late_sends += i32::from(sent_to(&actions, id).is_some());
    }
    assert!((30..85).contains(&late_sends), "{late_sends} of 100");
}

/// Clients that do not mark repeats still give their last try only the rest of the deadline.
#[test]
fn the_age_of_a_last_try_follows_from_its_unusual_budget() {
    let mut fixture = Fixture::new();
    fixture.update_list(ListKind::Full, &[]);
    for _ in 0..5 {
        let (id, actions) = fixture.request_with(ANY, 1_000 * MS, |_| {});
        assert!(!is_refused(&actions, id));
    }
    // The class has a deadline of 2 s and a latency target of 500 ms: the client's first try was 600 ms ago.
    let (old, actions) = fixture.request_with(ANY, 1_400 * MS, |_| {});
    assert!(is_refused(&actions, old));
    let (young, mut actions) = fixture.request_with(ANY, 1_990 * MS, |_| {});
    actions.extend(fixture.advance(10 * MS));
    assert!(!is_refused(&actions, young));
}

#[test]
fn a_member_that_answers_again_after_it_was_dropped_counts_as_cold() {
    let mut fixture = Fixture::new();
    for _ in 0..3 {
        fixture.fail_probe(2);
    }
    fixture.answer_probe(2, fixture.now, false);
    let mut to_two = 0;
    for _ in 0..200 {
        let (id, actions) = fixture.request(ANY);
        let member = sent_to(&actions, id).unwrap();
        to_two += i32::from(member == 2);
        fixture.end_attempt(id, member, Outcome::Served, ReplyStatus::default());
    }
    assert!(to_two > 0 && to_two < 20, "the member may have restarted unnoticed, but got {to_two} requests");
}

/// In a large fleet, no router has a queue in which requests of higher value could go first. Requests of
/// lower value therefore back off further.
#[test]
fn reads_leave_an_overloaded_primary_to_writes_of_higher_value() {
    let sends = |class| {
        let mut sends = 0;
        for seed in 1..=100 {
            let mut settings = settings();
            settings.routers = 200;
            settings.classes[WRITE].value = 16.0;
            let (mut fixture, _) = Fixture::with_seed(seed * 7919, settings, &[entry(1, 0, true)]);
            fixture.now += 5 * MS;
            fixture.answer_probe(1, fixture.now - MS, true);
            let (id, _) = fixture.request(WRITE);
            fixture.now += 2_000 * MS;
            fixture.attempt_duration = 250 * MS;
            fixture.end_attempt(id, 1, Outcome::Served, fixture.status(Role::Primary));
            let (id, actions) = fixture.request(class);
            sends += i32::from(sent_to(&actions, id).is_some());
        }
        sends
    };
    let (reads, writes) = (sends(READ), sends(WRITE));
    assert!(writes > 20 && reads * 3 < writes, "{reads} reads and {writes} writes of 100");
}

/// Connection resets seen by one router do not prove that a member fails for others. It is avoided, and used
/// again after its first answer.
#[test]
fn a_member_whose_connections_are_reset_is_avoided_until_it_answers() {
    let mut fixture = Fixture::new();
    let (id, actions) = fixture.request(ANY);
    assert_eq!(sent_to(&actions, id), Some(2));
    let actions = fixture.end_attempt(id, 2, Outcome::Reset, ReplyStatus::default());
    assert_eq!(sent_to(&actions, id), Some(3), "the replica in another zone takes over");
    fixture.end_attempt(id, 3, Outcome::Served, ReplyStatus::default());
    let mut probed = 0;
    for _ in 0..25 {
        let (id, actions) = fixture.request(ANY);
        assert_eq!(sent_to(&actions, id), Some(3));
        fixture.end_attempt(id, 3, Outcome::Served, ReplyStatus::default());
        probed += probe_count(&fixture.advance(100 * MS), 2);
    }
    assert_eq!(probed, 1, "probed once, not periodically");
    fixture.answer_probe(2, fixture.now, false);
    let (id, actions) = fixture.request(ANY);
    assert_eq!(sent_to(&actions, id), Some(2), "neither dropped nor cold");
}

/// Where a gone entry binds, a list without members leaves none to use, so requests have to be answered
/// promptly.
#[test]
fn a_list_without_members_is_obeyed_and_reads_are_refused_within_their_latency_target() {
    let mut fixture = Fixture::new();
    fixture.update_list(ListKind::Full, &[]);
    let (id, mut actions) = fixture.request(ANY);
    actions.extend(fixture.advance(500 * MS));
    assert!(is_refused(&actions, id) && sent_to(&actions, id).is_none());
    fixture.update_list(ListKind::Full, &entries());
    let (id, actions) = fixture.request(ANY);
    assert!(sent_to(&actions, id).is_some(), "the correct list is back");
}

/// The same list where only draining binds: members that still answer stay in use.
#[test]
fn a_list_without_members_is_ignored_where_only_draining_binds() {
    let mut settings = settings();
    settings.rules.only_draining_binds = true;
    let mut fixture = Fixture::ready(settings, &entries());
    fixture.update_list(ListKind::Full, &[]);
    let (id, actions) = fixture.request(ANY);
    assert_eq!(sent_to(&actions, id), Some(2));
}

/// A single silent connection does not mean a silent member. With few requests there may be no later answer
/// that would show the difference.
#[test]
fn a_single_unanswered_attempt_leaves_its_member_in_use() {
    let mut fixture = Fixture::ready(settings(), &[entry(1, 0, true), entry(2, 0, false)]);
    let (lost, actions) = fixture.request(ANY);
    assert_eq!(sent_to(&actions, lost), Some(2));
    fixture.advance(1_000 * MS);
    let (second, actions) = fixture.request(ANY);
    assert_eq!(sent_to(&actions, second), Some(2), "one overdue attempt");
    fixture.advance(1_000 * MS);
    let (id, actions) = fixture.request(ANY);
    assert_eq!(sent_to(&actions, id), Some(1), "two overdue attempts and no answer since");
    fixture.end_attempt(second, 2, Outcome::Served, ReplyStatus::default());
    let (id, actions) = fixture.request(ANY);
    assert_eq!(sent_to(&actions, id), Some(2), "the member answers again");
}

/// Writes can only go to the primary, even while it is silent. Queued writes therefore test it at intervals:
/// their random numbers are drawn only once, so few would ever be selected by chance.
#[test]
fn a_silent_primary_is_tested_by_queued_writes() {
    let mut fixture = Fixture::new();
    let lost: Vec<_> = (0..2).map(|_| fixture.request(WRITE).0).collect();
    fixture.advance(1_500 * MS);
    fixture.attempt_duration = 1_500 * MS;
    lost.into_iter()
        .for_each(|id| drop(fixture.end_attempt(id, 1, Outcome::TimedOut, ReplyStatus::default())));
    let (id, mut actions) = fixture.request(WRITE);
    actions.extend(fixture.advance(320 * MS));
    assert_eq!(sent_to(&actions, id), Some(1));
    fixture.attempt_duration = 50 * MS;
    fixture.end_attempt(id, 1, Outcome::Served, fixture.status(Role::Primary));
    for _ in 0..5 {
        let (id, actions) = fixture.request(WRITE);
        assert_eq!(sent_to(&actions, id), Some(1), "the primary serves writes again");
        fixture.end_attempt(id, 1, Outcome::Served, fixture.status(Role::Primary));
    }
}

/// Where connections lose answers, a write is repeated while it can still earn something. Otherwise the
/// router waits for the answer, which may just be slow.
#[test]
fn attempts_time_out_early_only_while_connections_lose_answers() {
    let mut fixture = Fixture::new();
    let timeout = |actions: &[Action], id| {
        let send = actions.iter().find_map(|a| match a {
            Action::Send { request, timeout, .. } if *request == id => Some(*timeout),
            _ => None,
        });
        send.expect("the request is sent")
    };
    let (id, actions) = fixture.request(WRITE);
    assert_eq!(timeout(&actions, id), 0);
    fixture.end_attempt(id, 1, Outcome::Served, fixture.status(Role::Primary));
    for _ in 0..10 {
        let (lost, actions) = fixture.request(ANY);
        let member = sent_to(&actions, lost).unwrap();
        fixture.now += MS;
        let mut other = fixture.request(ANY);
        while sent_to(&other.1, other.0) != Some(member) {
            let elsewhere = sent_to(&other.1, other.0).unwrap();
            fixture.end_attempt(other.0, elsewhere, Outcome::Served, ReplyStatus::default());
            other = fixture.request(ANY);
        }
        fixture.end_attempt(other.0, member, Outcome::Served, ReplyStatus::default());
        fixture.end_attempt(lost, member, Outcome::TimedOut, ReplyStatus::default());
        fixture.event(Event::ClientDisconnected(lost));
    }
    let (id, actions) = fixture.request(WRITE);
    let first = timeout(&actions, id);
    assert!(first > 0 && first < 600 * MS, "{first}: a repeat can still meet the latency target");
    let actions = fixture.end_attempt(id, 1, Outcome::TimedOut, ReplyStatus::default());
    assert_eq!(
        timeout(&actions, id),
        2 * first,
        "a second attempt gets more time, since the first may have been slow only"
    );
    let (id, actions) = fixture.request(UNSAFE);
    assert_eq!(timeout(&actions, id), 0, "it cannot be repeated, so there is no timeout");
}

/// Ids of members that leave for good never come back, so their records would pile up.
#[test]
fn members_off_the_list_are_forgotten_once_no_attempt_is_open() {
    let mut fixture = Fixture::new();
    let forgets = |actions: &[Action], member| actions.contains(&Action::Forget(MemberId(member)));
    let (id, actions) = fixture.request(ANY);
    let member = sent_to(&actions, id).unwrap();
    fixture.update_list(ListKind::Full, &[entry(1, 0, true)]);
    let actions = fixture.advance(1_100 * MS);
    assert!(!forgets(&actions, member), "an attempt is open there");
    assert!(forgets(&actions, 5 - member) && !forgets(&actions, 1));
    fixture.end_attempt(id, member, Outcome::Served, ReplyStatus::default());
    assert!(forgets(&fixture.advance(1_100 * MS), member));
    // A member that comes back is used again, as a new one.
    let mut again = entry(member, 0, false);
    again.listed = ListedState::Ready;
    fixture.update_list(ListKind::Delta, &[again]);
    fixture.answer_probe(member, fixture.now, false);
    let (id, actions) = fixture.request(READ);
    assert_eq!(sent_to(&actions, id), Some(member));
}

/// Where a gone entry does not bind, members off the list are kept for as long as they answer.
#[test]
fn a_member_off_the_list_is_kept_while_it_answers_where_only_draining_binds() {
    let mut settings = settings();
    settings.rules.only_draining_binds = true;
    let mut fixture = Fixture::ready(settings, &entries());
    let (id, actions) = fixture.request(ANY);
    let member = sent_to(&actions, id).unwrap();
    fixture.end_attempt(id, member, Outcome::Served, ReplyStatus::default());
    fixture.update_list(ListKind::Full, &[entry(1, 0, true)]);
    assert!(!fixture.advance(1_100 * MS).contains(&Action::Forget(MemberId(member))));
    assert!(fixture.advance(60_000 * MS).contains(&Action::Forget(MemberId(member))));
}

/// Requests for groups that do not exist must not leave records behind.
#[test]
fn a_group_named_only_by_requests_is_forgotten() {
    let mut fixture = Fixture::new();
    for group in 100..200 {
        fixture.request_with(ANY, 100 * MS, |r| r.group = GroupId(group));
    }
    let actions = fixture.advance(2_000 * MS);
    assert_eq!(actions.iter().filter(|a| matches!(a, Action::Refuse { .. })).count(), 100);
    let sizes = fixture.router.sizes();
    assert_eq!((sizes.members, sizes.groups, sizes.requests), (3, 1, 0));
}
