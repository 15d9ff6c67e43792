//! Tests of routing while all members work normally, and of the basic reactions to stale or failed ones.

mod common;

use beaconshore::interface::*;
use common::*;

#[test]
fn writes_go_to_the_last_known_primary() {
    let mut fixture = Fixture::new();
    let (id, actions) = fixture.request(WRITE);
    assert_eq!(sent_to(&actions, id), Some(1));
}

#[test]
fn a_bounded_read_goes_to_the_replica_of_the_own_zone() {
    let mut fixture = Fixture::new();
    let (id, actions) = fixture.request(READ);
    assert_eq!(sent_to(&actions, id), Some(2));
}

#[test]
fn a_bounded_read_skips_a_replica_past_the_bound() {
    let mut fixture = Fixture::new();
    fixture.now += BOUND - 10 * MS;
    fixture.answer_probe(3, fixture.now - MS, false);
    fixture.now += 20 * MS;
    let (id, actions) = fixture.request(READ);
    assert_eq!(sent_to(&actions, id), Some(3), "the only replica whose known position is within the bound");
    assert_eq!(probe_count(&actions, 2), 1, "the replica in the router's zone is probed for its position");
}

#[test]
fn with_all_replicas_past_the_bound_the_primary_serves() {
    let mut fixture = Fixture::new();
    fixture.now += 2 * BOUND;
    let (id, actions) = fixture.request(READ);
    assert_eq!([2, 3].map(|m| probe_count(&actions, m)), [1, 1]);
    assert_eq!(
        sent_to(&actions, id),
        None,
        "the replicas were not known to lag, and their answers are awaited"
    );
    fixture.answer_probe(2, fixture.now - BOUND - MS, false);
    let actions = fixture.answer_probe(3, fixture.now - BOUND - MS, false);
    assert_eq!(sent_to(&actions, id), Some(1));
    let (id, actions) = fixture.request(READ);
    assert_eq!(sent_to(&actions, id), Some(1));
}

/// A router with little traffic hears from members less often than the staleness bound requires. If its reads
/// went to the primary at once, they would take capacity from writes there. Replicas that do not answer are
/// not waited for.
#[test]
fn a_read_waits_only_briefly_for_the_probe_of_a_replica() {
    let mut fixture = Fixture::new();
    fixture.now += 2 * BOUND;
    let (id, actions) = fixture.request(READ);
    assert_eq!(sent_to(&actions, id), None);
    let actions = fixture.answer_probe(3, fixture.now - MS, false);
    assert_eq!(sent_to(&actions, id), Some(3));
    fixture.now += 2 * BOUND;
    let (id, actions) = fixture.request(READ);
    assert_eq!(sent_to(&actions, id), None);
    let actions = fixture.advance(60 * MS);
    assert_eq!(sent_to(&actions, id), Some(1));
}

#[test]
fn a_session_read_goes_to_a_replica_that_has_reached_its_token() {
    let mut fixture = Fixture::new();
    fixture.now += 10 * MS;
    fixture.answer_probe(3, fixture.now, false);
    let (id, actions) = fixture.request_with(SESSION, 2_000 * MS, |r| r.last_write_ago = Some(2 * MS));
    assert_eq!(sent_to(&actions, id), Some(3));
    let (id, actions) = fixture.request_with(SESSION, 2_000 * MS, |r| r.last_write_ago = Some(100 * MS));
    assert_eq!(sent_to(&actions, id), Some(2));
}

#[test]
fn a_remembered_session_sees_the_writes_answered_here() {
    let mut settings = settings();
    settings.session_tracking = SessionTracking::Router;
    let mut fixture = Fixture::ready(settings, &entries());
    let session = |r: &mut Request| r.session = Some(SessionId(9));
    let (id, _) = fixture.request_with(WRITE, 2_000 * MS, session);
    fixture.now += 50 * MS;
    fixture.end_attempt(id, 1, Outcome::Served, fixture.status(Role::Primary));
    let (id, actions) = fixture.request_with(SESSION, 2_000 * MS, session);
    assert_eq!(sent_to(&actions, id), Some(1), "no replica is known to have reached the commit");
}

/// Guards against: a session's write is forgotten if its answer told no commit, since the rest of it was cut off.
#[test]
fn a_session_sees_a_write_whose_answer_told_no_commit() {
    let mut settings = settings();
    settings.session_tracking = SessionTracking::Router;
    let mut fixture = Fixture::ready(settings, &entries());
    let session = |r: &mut Request| r.session = Some(SessionId(9));
    let (id, _) = fixture.request_with(WRITE, 2_000 * MS, session);
    fixture.now += 10 * MS;
    fixture.end_attempt(id, 1, Outcome::Served, ReplyStatus::default());
    let answered_at = fixture.now;
    fixture.now += 300 * MS;
    (2..=3).for_each(|m| drop(fixture.answer_probe(m, answered_at - 5 * MS, false)));
    let (id, actions) = fixture.request_with(SESSION, 2_000 * MS, session);
    assert_eq!(sent_to(&actions, id), Some(1), "no replica has it for certain");
    (2..=3).for_each(|m| drop(fixture.answer_probe(m, answered_at, false)));
    let (id, actions) = fixture.request_with(SESSION, 2_000 * MS, session);
    assert_ne!(sent_to(&actions, id), Some(1), "replicas have it");
}

/// Guards against: a write that was dated by this machine's clock moves back when that was found to be behind.
#[test]
fn a_session_sees_its_write_after_the_clock_was_found_to_be_behind() {
    const BEHIND: Micros = 5_000 * MS;
    let mut settings = settings();
    settings.session_tracking = SessionTracking::Router;
    let mut fixture = Fixture::ready(settings, &entries());
    let session = |r: &mut Request| r.session = Some(SessionId(9));
    let (id, _) = fixture.request_with(WRITE, 2_000 * MS, session);
    fixture.end_attempt(id, 1, Outcome::Served, ReplyStatus::default());
    let answered_at = fixture.now;
    fixture.event(Event::ClockAdjusted(-(BEHIND as i64)));
    fixture.now += 300 * MS;
    (2..=3).for_each(|m| drop(fixture.answer_probe(m, answered_at - 5 * MS, false)));
    let (id, actions) = fixture.request_with(SESSION, 2_000 * MS, session);
    assert_eq!(sent_to(&actions, id), Some(1));
}

#[test]
fn a_forgotten_session_still_sees_its_old_writes() {
    let mut settings = settings();
    settings.session_tracking = SessionTracking::Router;
    let mut fixture = Fixture::ready(settings, &entries());
    let session = |r: &mut Request| r.session = Some(SessionId(9));
    fixture.now += 10_000 * MS;
    let (id, _) = fixture.request_with(WRITE, 2_000 * MS, session);
    fixture.end_attempt(id, 1, Outcome::Served, fixture.status(Role::Primary));
    fixture.advance(120_000 * MS);
    let (id, actions) = fixture.request_with(SESSION, 2_000 * MS, session);
    assert_eq!(sent_to(&actions, id), Some(1), "the replicas' known positions are older than the write");
    fixture.answer_probe(2, fixture.now - MS, false);
    let (id, actions) = fixture.request_with(SESSION, 2_000 * MS, session);
    assert_eq!(sent_to(&actions, id), Some(2));
}

#[test]
fn replicas_take_turns_within_a_zone() {
    let all = [entry(1, 0, true), entry(2, 0, false), entry(3, 0, false)];
    let mut fixture = Fixture::ready(settings(), &all);
    let turns: Vec<Option<u32>> = (0..4)
        .map(|_| {
            let (id, actions) = fixture.request(ANY);
            sent_to(&actions, id)
        })
        .collect();
    // Which of two equal replicas comes first is random; after that they alternate.
    for pair in turns.chunks(2) {
        assert!(pair.contains(&Some(2)) && pair.contains(&Some(3)), "{turns:?}");
    }
}

#[test]
fn a_new_router_probes_all_members_and_queues_reads_briefly() {
    let (mut fixture, actions) = Fixture::unprobed(settings(), &entries());
    assert_eq!([1, 2, 3].map(|m| probe_count(&actions, m)), [1, 1, 1]);
    let (id, actions) = fixture.request(READ);
    assert_eq!(sent_to(&actions, id), None);
    fixture.now += 5 * MS;
    let mut actions = fixture.answer_probe(2, fixture.now - MS, false);
    actions.extend(fixture.answer_probe(1, fixture.now - MS, true));
    assert_eq!(sent_to(&actions, id), Some(2));
}

#[test]
fn without_a_primary_a_read_is_refused_with_a_retry_delay() {
    let only_stale = [entry(2, 0, false)];
    let (mut fixture, _) = Fixture::unprobed(settings(), &only_stale);
    let (id, _) = fixture.request(READ);
    let actions = fixture.advance(250 * MS);
    assert!(is_refused(&actions, id));
    assert!(actions.iter().any(|a| matches!(a, Action::Refuse { retry_after, .. } if *retry_after > 0)));
}

#[test]
fn one_failed_probe_makes_a_member_suspected_and_three_drop_it() {
    let mut fixture = Fixture::new();
    fixture.fail_probe(2);
    let (id, actions) = fixture.request(ANY);
    assert_eq!(sent_to(&actions, id), Some(3), "a healthy replica is available");
    for _ in 0..3 {
        fixture.fail_probe(3);
        fixture.fail_probe(1);
    }
    let (id, actions) = fixture.request(ANY);
    assert_eq!(sent_to(&actions, id), Some(2), "no healthy member is left");
    fixture.fail_probe(2);
    fixture.fail_probe(2);
    let (id, actions) = fixture.request(ANY);
    assert_eq!(sent_to(&actions, id), None, "all members are dropped");
}

/// Where members check their lag themselves, an outdated record is no reason to avoid a member.
#[test]
fn a_member_that_checks_its_lag_is_tried_on_an_outdated_record_unless_it_lagged() {
    let list = [entry(1, 0, true), entry(2, 0, false)];
    let mut fixture = Fixture::ready(Settings { lag_check: LagCheck::Member, ..settings() }, &list);
    fixture.advance(2_000 * MS);
    let (id, actions) = fixture.request(READ);
    assert_eq!((sent_to(&actions, id), probe_count(&actions, 2)), (Some(2), 0));
    let note = ReplyStatus { position: Some(fixture.now - 2 * BOUND), role: Some(Role::Replica) };
    let actions = fixture.end_attempt(id, 2, Outcome::Misdirected, note);
    assert_eq!(sent_to(&actions, id), Some(1));
    fixture.advance(BOUND);
    let (id, actions) = fixture.request(READ);
    assert_eq!((sent_to(&actions, id), probe_count(&actions, 2)), (Some(1), 1));
    // The member itself knows when it has caught up, so a read tries it again after a while.
    fixture.advance(100 * MS);
    let (id, actions) = fixture.request(READ);
    assert_eq!(sent_to(&actions, id), Some(2));
}

/// A router with few requests never hears of a replica position as recent as a session's last write.
#[test]
fn a_session_read_trusts_only_a_member_that_checks_its_lag() {
    let list = [entry(1, 0, true), entry(2, 0, false)];
    for (lag_check, to) in [(LagCheck::Member, 2), (LagCheck::Router, 1)] {
        let mut fixture = Fixture::ready(Settings { lag_check, ..settings() }, &list);
        fixture.advance(2_000 * MS);
        let (id, actions) = fixture.request_with(SESSION, 2_000 * MS, |r| r.last_write_ago = Some(500 * MS));
        assert_eq!(sent_to(&actions, id), Some(to), "{lag_check:?}");
    }
}

/// Reports that are seconds late make every replica seem to lag.
#[test]
fn delayed_reports_do_not_keep_reads_from_replicas_that_check_their_lag() {
    let list = [entry(1, 0, true), entry(2, 0, false), entry(3, 0, false)];
    let mut fixture = Fixture::ready(Settings { lag_check: LagCheck::Member, ..settings() }, &list);
    fixture.advance(5_000 * MS);
    fixture.answer_probe(2, fixture.now - 3_000 * MS, false);
    let (id, actions) = fixture.request(READ);
    assert_eq!(sent_to(&actions, id), Some(3), "first the replica that was not reported to lag");
    let actions = fixture.end_attempt(id, 3, Outcome::Misdirected, ReplyStatus::default());
    assert_eq!(sent_to(&actions, id), Some(2), "then the one that was");
    let actions = fixture.end_attempt(id, 2, Outcome::Misdirected, ReplyStatus::default());
    assert_eq!(sent_to(&actions, id), Some(1), "the primary if both replicas do lag");
}

/// While one replica of a zone is fresh, reads need no other, so a stale one would stay unused for good if
/// nothing probed it.
#[test]
fn a_stale_replica_is_probed_once_a_second_while_another_in_its_zone_is_fresh() {
    let all = [entry(1, 0, true), entry(2, 0, false), entry(3, 0, false), entry(4, 1, false)];
    let mut fixture = Fixture::ready(settings(), &all);
    let mut probed = [0; 2];
    fixture.advance(2 * BOUND);
    for _ in 0..250 {
        fixture.advance(10 * MS);
        fixture.answer_probe(2, fixture.now - MS, false);
        let (id, mut actions) = fixture.request(READ);
        assert_eq!(sent_to(&actions, id), Some(2));
        actions.extend(fixture.end_attempt(id, 2, Outcome::Served, fixture.status(Role::Replica)));
        probed = [probed[0] + probe_count(&actions, 3), probed[1] + probe_count(&actions, 4)];
        if probe_count(&actions, 3) > 0 {
            fixture.answer_probe(3, fixture.now - 2 * BOUND, false);
        }
    }
    assert!((2..=3).contains(&probed[0]), "{probed:?} probes in two and a half seconds");
    assert_eq!(probed[1], 0, "a replica in a less preferred zone is not needed");
}
