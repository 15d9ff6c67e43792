//! The design's ordinary path.

mod common;

use beaconshore::interface::*;
use common::*;

#[test]
fn writes_go_to_the_last_known_primary() {
    let mut stage = Stage::new();
    let (id, actions) = stage.ask(WRITE);
    assert_eq!(sent(&actions, id), Some(1));
}

#[test]
fn a_bounded_read_goes_to_the_replica_of_the_own_zone() {
    let mut stage = Stage::new();
    let (id, actions) = stage.ask(READ);
    assert_eq!(sent(&actions, id), Some(2));
}

#[test]
fn a_bounded_read_passes_over_a_replica_past_the_bound() {
    let mut stage = Stage::new();
    stage.now += BOUND - 10 * MS;
    stage.probed(3, stage.now - MS, false);
    stage.now += 20 * MS;
    let (id, actions) = stage.ask(READ);
    assert_eq!(sent(&actions, id), Some(3), "the only one whose known position is within the bound");
    assert_eq!(probes(&actions, 2), 1, "the own zone's replica is asked for its position");
}

#[test]
fn with_all_replicas_past_the_bound_the_primary_serves() {
    let mut stage = Stage::new();
    stage.now += 2 * BOUND;
    let (id, actions) = stage.ask(READ);
    assert_eq!([2, 3].map(|m| probes(&actions, m)), [1, 1]);
    assert_eq!(sent(&actions, id), None, "they were not known to lag, and are about to tell");
    stage.probed(2, stage.now - BOUND - MS, false);
    let actions = stage.probed(3, stage.now - BOUND - MS, false);
    assert_eq!(sent(&actions, id), Some(1));
    let (id, actions) = stage.ask(READ);
    assert_eq!(sent(&actions, id), Some(1));
}

/// A router of little traffic hears of its members less often than a bound is long; sent to the primary at
/// once, its reads would take the place of writes there.
#[test]
fn a_read_waits_for_the_probe_of_a_replica_but_not_for_a_dead_one() {
    let mut stage = Stage::new();
    stage.now += 2 * BOUND;
    let (id, actions) = stage.ask(READ);
    assert_eq!(sent(&actions, id), None);
    let actions = stage.probed(3, stage.now - MS, false);
    assert_eq!(sent(&actions, id), Some(3));
    stage.now += 2 * BOUND;
    let (id, actions) = stage.ask(READ);
    assert_eq!(sent(&actions, id), None);
    let actions = stage.pass(60 * MS);
    assert_eq!(sent(&actions, id), Some(1));
}

#[test]
fn a_session_read_needs_its_token_reached() {
    let mut stage = Stage::new();
    stage.now += 10 * MS;
    stage.probed(3, stage.now, false);
    let (id, actions) = stage.ask_with(SESSION, 2_000 * MS, |r| r.last_write_ago = Some(2 * MS));
    assert_eq!(sent(&actions, id), Some(3));
    let (id, actions) = stage.ask_with(SESSION, 2_000 * MS, |r| r.last_write_ago = Some(100 * MS));
    assert_eq!(sent(&actions, id), Some(2));
}

#[test]
fn a_remembered_session_sees_the_writes_answered_here() {
    let mut settings = settings();
    settings.session_tracking = SessionTracking::Router;
    let mut stage = Stage::with(settings, &entries());
    let session = |r: &mut Request| r.session = Some(SessionId(9));
    let (id, _) = stage.ask_with(WRITE, 2_000 * MS, session);
    stage.now += 50 * MS;
    stage.ended(id, 1, Outcome::Served, stage.note(Role::Primary));
    let (id, actions) = stage.ask_with(SESSION, 2_000 * MS, session);
    assert_eq!(sent(&actions, id), Some(1), "no replica is known to have reached the commit");
}

#[test]
fn a_forgotten_session_still_sees_its_old_writes() {
    let mut settings = settings();
    settings.session_tracking = SessionTracking::Router;
    let mut stage = Stage::with(settings, &entries());
    let session = |r: &mut Request| r.session = Some(SessionId(9));
    stage.now += 10_000 * MS;
    let (id, _) = stage.ask_with(WRITE, 2_000 * MS, session);
    stage.ended(id, 1, Outcome::Served, stage.note(Role::Primary));
    stage.pass(120_000 * MS);
    let (id, actions) = stage.ask_with(SESSION, 2_000 * MS, session);
    assert_eq!(sent(&actions, id), Some(1), "the replicas' positions are older than the write");
    stage.probed(2, stage.now - MS, false);
    let (id, actions) = stage.ask_with(SESSION, 2_000 * MS, session);
    assert_eq!(sent(&actions, id), Some(2));
}

#[test]
fn replicas_take_turns_within_a_zone() {
    let all = [entry(1, 0, true), entry(2, 0, false), entry(3, 0, false)];
    let mut stage = Stage::with(settings(), &all);
    let turns: Vec<Option<u32>> = (0..4)
        .map(|_| {
            let (id, actions) = stage.ask(ANY);
            sent(&actions, id)
        })
        .collect();
    // Which of two equals is first is the lot's; each then has its turn before the other's next.
    for pair in turns.chunks(2) {
        assert!(pair.contains(&Some(2)) && pair.contains(&Some(3)), "{turns:?}");
    }
}

#[test]
fn a_fresh_router_probes_all_and_holds_reads_briefly() {
    let (mut stage, actions) = Stage::silent(settings(), &entries());
    assert_eq!([1, 2, 3].map(|m| probes(&actions, m)), [1, 1, 1]);
    let (id, actions) = stage.ask(READ);
    assert_eq!(sent(&actions, id), None);
    stage.now += 5 * MS;
    let mut actions = stage.probed(2, stage.now - MS, false);
    actions.extend(stage.probed(1, stage.now - MS, true));
    assert_eq!(sent(&actions, id), Some(2));
}

#[test]
fn without_a_primary_a_read_is_refused_with_a_pause() {
    let only_stale = [entry(2, 0, false)];
    let (mut stage, _) = Stage::silent(settings(), &only_stale);
    let (id, _) = stage.ask(READ);
    let actions = stage.pass(250 * MS);
    assert!(refused(&actions, id));
    assert!(actions.iter().any(|a| matches!(a, Action::Refuse { retry_after, .. } if *retry_after > 0)));
}

#[test]
fn three_failed_checks_drop_a_member_and_one_makes_it_a_suspect() {
    let mut stage = Stage::new();
    stage.probe_failed(2);
    let (id, actions) = stage.ask(ANY);
    assert_eq!(sent(&actions, id), Some(3), "a responsive one fits");
    for _ in 0..3 {
        stage.probe_failed(3);
        stage.probe_failed(1);
    }
    let (id, actions) = stage.ask(ANY);
    assert_eq!(sent(&actions, id), Some(2), "nothing responsive fits any more");
    stage.probe_failed(2);
    stage.probe_failed(2);
    let (id, actions) = stage.ask(ANY);
    assert_eq!(sent(&actions, id), None, "all are dropped");
}

/// Where members check their lag themselves, a record that ran out says nothing against its member.
#[test]
fn a_member_that_checks_its_lag_is_asked_on_an_outdated_record_unless_it_lagged() {
    let list = [entry(1, 0, true), entry(2, 0, false)];
    let mut stage = Stage::with(Settings { lag_check: LagCheck::Member, ..settings() }, &list);
    stage.pass(2_000 * MS);
    let (id, actions) = stage.ask(READ);
    assert_eq!((sent(&actions, id), probes(&actions, 2)), (Some(2), 0));
    let note = ReplyStatus { position: Some(stage.now - 2 * BOUND), role: Some(Role::Replica) };
    let actions = stage.ended(id, 2, Outcome::Misdirected, note);
    assert_eq!(sent(&actions, id), Some(1));
    stage.pass(BOUND);
    let (id, actions) = stage.ask(READ);
    assert_eq!((sent(&actions, id), probes(&actions, 2)), (Some(1), 1));
    // It knows best when it has caught up: a read asks it again after a while.
    stage.pass(100 * MS);
    let (id, actions) = stage.ask(READ);
    assert_eq!(sent(&actions, id), Some(2));
}

/// Where few requests reach a router, it never hears of a replica as late as a session's last write.
#[test]
fn a_session_read_trusts_a_member_that_checks_and_no_other() {
    let list = [entry(1, 0, true), entry(2, 0, false)];
    for (lag_check, to) in [(LagCheck::Member, 2), (LagCheck::Router, 1)] {
        let mut stage = Stage::with(Settings { lag_check, ..settings() }, &list);
        stage.pass(2_000 * MS);
        let (id, actions) = stage.ask_with(SESSION, 2_000 * MS, |r| r.last_write_ago = Some(500 * MS));
        assert_eq!(sent(&actions, id), Some(to), "{lag_check:?}");
    }
}

/// Reports that come seconds late make every replica look as if it lagged.
#[test]
fn late_reports_leave_reads_to_replicas_that_check() {
    let list = [entry(1, 0, true), entry(2, 0, false), entry(3, 0, false)];
    let mut stage = Stage::with(Settings { lag_check: LagCheck::Member, ..settings() }, &list);
    stage.pass(5_000 * MS);
    stage.probed(2, stage.now - 3_000 * MS, false);
    let (id, actions) = stage.ask(READ);
    assert_eq!(sent(&actions, id), Some(3), "first one that was not told to lag");
    let actions = stage.ended(id, 3, Outcome::Misdirected, ReplyStatus::default());
    assert_eq!(sent(&actions, id), Some(2), "then one that was");
    let actions = stage.ended(id, 2, Outcome::Misdirected, ReplyStatus::default());
    assert_eq!(sent(&actions, id), Some(1), "the primary where both lag indeed");
}

/// With one replica fresh, reads get along; the other one of its zone would stay idle for good if nobody asked it.
#[test]
fn a_replica_that_went_stale_is_asked_once_a_second_while_another_of_its_zone_is_fresh() {
    let all = [entry(1, 0, true), entry(2, 0, false), entry(3, 0, false), entry(4, 1, false)];
    let mut stage = Stage::with(settings(), &all);
    let mut asked = [0; 2];
    stage.pass(2 * BOUND);
    for _ in 0..250 {
        stage.pass(10 * MS);
        stage.probed(2, stage.now - MS, false);
        let (id, mut actions) = stage.ask(READ);
        assert_eq!(sent(&actions, id), Some(2));
        actions.extend(stage.ended(id, 2, Outcome::Served, stage.note(Role::Replica)));
        asked = [asked[0] + probes(&actions, 3), asked[1] + probes(&actions, 4)];
        if probes(&actions, 3) > 0 {
            stage.probed(3, stage.now - 2 * BOUND, false);
        }
    }
    assert!((2..=3).contains(&asked[0]), "{asked:?} times in two and a half seconds");
    assert_eq!(asked[1], 0, "a farther one is not missed");
}
