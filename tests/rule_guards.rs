//! Tests of the guards that enforce the rules. Each test fails if its guard is removed.

mod common;

use beaconshore::interface::*;
use common::*;

#[test]
fn a_queued_request_is_answered_before_its_client_gives_up() {
    let mut fixture = Fixture::new();
    fixture.update_list(ListKind::Full, &[entry(2, 0, false)]);
    let (id, _) = fixture.request_with(WRITE, 300 * MS, |_| {});
    let actions = fixture.advance(300 * MS);
    assert!(is_refused(&actions, id));
    let later = fixture.advance(1_000 * MS);
    assert!(!is_refused(&later, id) && !is_failed(&later, id) && sent_to(&later, id).is_none());
}

#[test]
fn a_write_that_may_have_run_is_not_resent_after_the_dedup_window() {
    let mut fixture = Fixture::new();
    let (id, actions) = fixture.request_with(WRITE, 60_000 * MS, |_| {});
    assert_eq!(sent_to(&actions, id), Some(1));
    fixture.now += WINDOW + MS;
    let actions = fixture.end_attempt(id, 1, Outcome::Reset, ReplyStatus::default());
    assert!(is_failed(&actions, id), "a refusal would promise that the write was not executed");
}

#[test]
fn a_write_that_may_have_run_is_resent_within_the_dedup_window() {
    let mut fixture = Fixture::new();
    let (id, _) = fixture.request_with(WRITE, 60_000 * MS, |_| {});
    fixture.now += 100 * MS;
    let actions = fixture.end_attempt(id, 1, Outcome::Error, fixture.status(Role::Primary));
    assert_eq!(sent_to(&actions, id), Some(1));
}

#[test]
fn the_dedup_window_counts_from_the_first_send_that_may_have_run() {
    let mut fixture = Fixture::new();
    let (id, _) = fixture.request_with(WRITE, 60_000 * MS, |_| {});
    fixture.now += WINDOW - 100 * MS;
    let actions = fixture.end_attempt(id, 1, Outcome::Error, fixture.status(Role::Primary));
    assert_eq!(sent_to(&actions, id), Some(1));
    fixture.now += 200 * MS;
    let actions = fixture.end_attempt(id, 1, Outcome::Error, fixture.status(Role::Primary));
    assert!(is_failed(&actions, id));
}

#[test]
fn an_unsafe_request_is_sent_once_unless_it_was_rejected_unread() {
    let mut fixture = Fixture::new();
    let (id, _) = fixture.request(UNSAFE);
    fixture.now += 50 * MS;
    let actions = fixture.end_attempt(id, 1, Outcome::Reset, ReplyStatus::default());
    assert!(is_failed(&actions, id));
    let (id, _) = fixture.request(UNSAFE);
    let actions = fixture.end_attempt(id, 1, Outcome::Rejected, fixture.status(Role::Primary));
    assert_eq!(sent_to(&actions, id), Some(1), "rejected unread: it was not executed");
}

#[test]
fn no_second_attempt_while_one_is_open() {
    let mut fixture = Fixture::new();
    let (id, first) = fixture.request(READ);
    assert!(sent_to(&first, id).is_some());
    let actions = fixture.advance(1_500 * MS);
    assert_eq!(sent_to(&actions, id), None);
}

#[test]
fn no_new_request_goes_to_a_draining_or_missing_member() {
    let mut fixture = Fixture::new();
    let draining = ListEntry { listed: ListedState::Draining, ..entry(2, 0, false) };
    fixture.update_list(ListKind::Delta, &[draining]);
    let (id, actions) = fixture.request(READ);
    assert_eq!(sent_to(&actions, id), Some(3));
    fixture.update_list(ListKind::Full, &[entry(1, 0, true)]);
    let (id, actions) = fixture.request(READ);
    assert_eq!(sent_to(&actions, id), Some(1), "a member missing from a full list is gone");
}

#[test]
fn a_queued_write_does_not_go_to_a_primary_that_drains_meanwhile() {
    let mut fixture = Fixture::new();
    while {
        let (id, actions) = fixture.request(WRITE);
        sent_to(&actions, id).is_some()
    } {}
    let draining = ListEntry { listed: ListedState::Draining, ..entry(1, 0, true) };
    let mut actions = fixture.update_list(ListKind::Delta, &[draining]);
    actions.extend(fixture.end_attempt(RequestId(1), 1, Outcome::Served, fixture.status(Role::Primary)));
    actions.extend(fixture.advance(100 * MS));
    assert!(!actions.iter().any(|a| matches!(a, Action::Send { member: MemberId(1), .. })));
}

#[test]
fn a_missing_member_stays_in_use_where_only_draining_binds() {
    let mut settings = settings();
    settings.rules.only_draining_binds = true;
    let mut fixture = Fixture::ready(settings, &entries());
    fixture.update_list(ListKind::Full, &[entry(1, 0, true)]);
    let (id, actions) = fixture.request(READ);
    assert_eq!(sent_to(&actions, id), Some(2));
}

#[test]
fn a_cold_member_gets_a_fraction_of_the_requests_of_a_warm_one() {
    let mut fixture = Fixture::new();
    let cold = ListEntry { started_at: Some(fixture.now), ..entry(2, 0, false) };
    fixture.update_list(ListKind::Delta, &[cold]);
    let mut counts = [0; 4];
    for _ in 0..200 {
        fixture.now += 5 * MS;
        fixture.answer_probe(2, fixture.now, false);
        fixture.answer_probe(3, fixture.now, false);
        let (id, actions) = fixture.request(ANY);
        if let Some(member) = sent_to(&actions, id) {
            counts[member as usize] += 1;
            fixture.end_attempt(id, member, Outcome::Served, ReplyStatus::default());
        }
        if fixture.now.is_multiple_of(10 * MS) {
            fixture.event(Event::Timer);
        }
    }
    assert!(counts[2] > 0 && 4 * counts[2] < counts[3], "{counts:?}");
}

/// In a very large fleet, the first request of each router alone would overload a cold member.
#[test]
fn simultaneous_requests_of_a_fleet_do_not_overload_a_cold_member() {
    let (mut to_cold, fleet) = (0, 300);
    for seed in 1..=fleet {
        let cold = ListEntry { started_at: Some(START), ..entry(2, 0, false) };
        let list = [entry(1, 0, true), cold, entry(3, 1, false)];
        let (mut fixture, _) = Fixture::with_seed(seed * 7919, settings(), &list);
        fixture.now += 5 * MS;
        list.iter().for_each(|e| {
            fixture.answer_probe(e.member.0, START, e.primary);
        });
        let (id, actions) = fixture.request(ANY);
        to_cold += i32::from(sent_to(&actions, id) == Some(2));
    }
    // The rotation would send it a third of the requests. It has a fifth of a warm member's capacity and may
    // get twice that.
    assert!(to_cold > 0 && to_cold < fleet as i32 * 2 / 5 / 3, "{to_cold}");
}

/// A primary and nine replicas, all known to be fresh, one of which (2) has just started.
fn with_a_cold_replica(seed: u64) -> Fixture {
    let mut list: Vec<ListEntry> = (1..=10).map(|member| entry(member, 0, member == 1)).collect();
    list[1].started_at = Some(START);
    let (mut fixture, _) = Fixture::with_seed(seed, settings(), &list);
    fixture.now += 5 * MS;
    list.iter().for_each(|e| drop(fixture.answer_probe(e.member.0, fixture.now - MS, e.primary)));
    fixture
}

/// Requests that every member answers with an error would otherwise all reach the cold member on a later
/// attempt.
#[test]
fn a_read_that_failed_elsewhere_is_not_retried_at_a_cold_member() {
    let (mut first, mut second) = (0, 0);
    for seed in 1..=200 {
        let mut fixture = with_a_cold_replica(seed * 7919);
        for _ in 0..6 {
            // Longer than the overload window, so earlier sends do not limit the next ones.
            fixture.advance(2_000 * MS);
            (2..=10).for_each(|member| drop(fixture.answer_probe(member, fixture.now, false)));
            let (id, actions) = fixture.request(ANY);
            let Some(member) = sent_to(&actions, id) else { continue };
            first += usize::from(member == 2);
            let actions = fixture.end_attempt(id, member, Outcome::Error, ReplyStatus::default());
            let Some(member) = sent_to(&actions, id) else { continue };
            second += usize::from(member == 2);
            fixture.end_attempt(id, member, Outcome::Error, ReplyStatus::default());
        }
    }
    assert!(first > 0, "the cold member got no request");
    assert_eq!(second, 0, "of 1,200 second attempts came to the cold member, and {first} first attempts");
}

/// Immediate errors cost a member no work, so they must not count as evidence of how much work a member can
/// do.
#[test]
fn errors_at_warm_members_do_not_raise_the_load_of_a_cold_one() {
    let to_cold = |errors: usize| {
        let mut fixture = with_a_cold_replica(7);
        let mut to_cold = 0;
        for _ in 0..300 {
            fixture.now += 5 * MS;
            (2..=10).for_each(|member| drop(fixture.answer_probe(member, fixture.now, false)));
            for i in 0..=errors {
                let (id, mut actions) = fixture.request(ANY);
                while let Some(member) = sent_to(&actions, id) {
                    to_cold += usize::from(member == 2);
                    let outcome = if i == 0 { Outcome::Served } else { Outcome::Error };
                    actions = fixture.end_attempt(id, member, outcome, ReplyStatus::default());
                }
            }
        }
        to_cold
    };
    let (calm, errors) = (to_cold(0), to_cold(6));
    assert!(
        calm > 0 && errors < 2 * calm,
        "{calm} requests without errors, {errors} with six failing requests for each"
    );
}

#[test]
fn a_request_whose_group_was_drained_meanwhile_is_answered() {
    let mut fixture = Fixture::new();
    let (id, actions) = fixture.request_with(WRITE, 3_000 * MS, |_| {});
    let member = sent_to(&actions, id).unwrap();
    fixture.advance(2_000 * MS);
    let drained: Vec<ListEntry> =
        entries().into_iter().map(|e| ListEntry { listed: ListedState::Draining, ..e }).collect();
    fixture.update_list(ListKind::Delta, &drained);
    let mut actions = fixture.end_attempt(id, member, Outcome::Rejected, ReplyStatus::default());
    assert_eq!(sent_to(&actions, id), None);
    actions.extend(fixture.advance(1_500 * MS));
    assert!(is_refused(&actions, id));
}

#[test]
fn a_former_primary_must_meet_the_staleness_bound() {
    let mut fixture = Fixture::new();
    let (id, _) = fixture.request(WRITE);
    fixture.now += 2 * BOUND;
    let lagging_status = ReplyStatus { position: Some(START), role: Some(Role::Replica) };
    fixture.end_attempt(id, 1, Outcome::Misdirected, lagging_status);
    let (id, _) = fixture.request(READ);
    let actions = fixture.advance(100 * MS);
    assert_eq!(sent_to(&actions, id), None);
}

#[test]
fn a_stale_list_does_not_restore_a_former_primary() {
    let mut fixture = Fixture::new();
    let (id, _) = fixture.request(WRITE);
    fixture.now += 20 * MS;
    fixture.end_attempt(id, 1, Outcome::Misdirected, fixture.status(Role::Replica));
    fixture.answer_probe(3, fixture.now, true);
    fixture.update_list(ListKind::Full, &entries());
    let (id, actions) = fixture.request(WRITE);
    assert_eq!(sent_to(&actions, id), Some(3));
}

#[test]
fn a_late_report_does_not_restore_a_former_primary() {
    let mut fixture = Fixture::new();
    let stated_at = fixture.now;
    let (id, _) = fixture.request(WRITE);
    fixture.now += 20 * MS;
    fixture.end_attempt(id, 1, Outcome::Misdirected, fixture.status(Role::Replica));
    fixture.answer_probe(1, stated_at, true);
    let (id, actions) = fixture.request(WRITE);
    assert_eq!(sent_to(&actions, id), None);
}

#[test]
fn a_commit_is_not_taken_for_the_position_of_a_member() {
    let mut fixture = Fixture::new();
    let (id, _) = fixture.request(WRITE);
    fixture.now += 2 * BOUND;
    // A replica cannot commit. If an answer claims so, the commit is still not the replica's position.
    fixture.end_attempt(id, 2, Outcome::Served, fixture.status(Role::Replica));
    let (id, mut actions) = fixture.request(READ);
    actions.extend(fixture.advance(60 * MS));
    assert_eq!(sent_to(&actions, id), Some(1));
}

#[test]
fn a_position_ahead_of_the_clock_is_ignored() {
    let mut fixture = Fixture::new();
    fixture.now += 2 * BOUND;
    fixture.answer_probe(2, fixture.now + 3_600_000 * MS, false);
    let (id, mut actions) = fixture.request(READ);
    actions.extend(fixture.advance(60 * MS));
    assert_eq!(sent_to(&actions, id), Some(1));
}

#[test]
fn a_request_of_an_unknown_class_fails_at_once() {
    let mut fixture = Fixture::new();
    let (id, actions) = fixture.request(99);
    assert!(is_failed(&actions, id));
}

#[test]
fn a_member_that_drained_and_then_left_stays_excluded_where_only_draining_binds() {
    let mut settings = settings();
    settings.rules.only_draining_binds = true;
    let mut fixture = Fixture::ready(settings, &entries());
    fixture
        .update_list(ListKind::Delta, &[ListEntry { listed: ListedState::Draining, ..entry(2, 0, false) }]);
    fixture.update_list(ListKind::Delta, &[ListEntry { listed: ListedState::Gone, ..entry(2, 0, false) }]);
    let (id, actions) = fixture.request(READ);
    assert_eq!(sent_to(&actions, id), Some(3));
}

#[test]
fn a_write_with_zone_scoped_dedup_is_not_resent_to_another_zone() {
    let mut settings = settings();
    settings.classes[WRITE].effect = Effect::Keyed(DedupScope::Zone, WINDOW);
    let mut fixture = Fixture::ready(settings, &entries());
    let (id, _) = fixture.request(WRITE);
    fixture.now += 50 * MS;
    fixture.end_attempt(id, 1, Outcome::Error, fixture.status(Role::Replica));
    fixture.now += 20 * MS;
    let mut actions = fixture.answer_probe(3, fixture.now, true);
    actions.extend(fixture.advance(100 * MS));
    assert_eq!(sent_to(&actions, id), None, "the new primary is in another zone");
    let (fresh, actions) = fixture.request(WRITE);
    assert_eq!(sent_to(&actions, fresh), Some(3), "a write that was never executed may go there");
}

#[test]
fn a_delayed_send_is_withdrawn_once_its_member_drains() {
    let mut fixture = Fixture::new();
    let (id, actions) = fixture.request(READ);
    assert_eq!(sent_to(&actions, id), Some(2));
    assert!(fixture.router.confirm(fixture.now, id, MemberId(2)));
    fixture
        .update_list(ListKind::Delta, &[ListEntry { listed: ListedState::Draining, ..entry(2, 0, false) }]);
    assert!(!fixture.router.confirm(fixture.now, id, MemberId(2)));
    let actions = fixture.end_attempt(id, 2, Outcome::NeverSent, ReplyStatus::default());
    assert_eq!(sent_to(&actions, id), Some(3), "the request is sent to another member");
}

#[test]
fn a_delayed_send_is_withdrawn_once_the_known_position_is_too_old() {
    let mut fixture = Fixture::new();
    let (id, actions) = fixture.request(READ);
    assert_eq!(sent_to(&actions, id), Some(2));
    fixture.now += BOUND - 2 * MS;
    assert!(fixture.router.confirm(fixture.now, id, MemberId(2)));
    fixture.now += 2 * MS;
    assert!(!fixture.router.confirm(fixture.now, id, MemberId(2)));
}

#[test]
fn a_delayed_send_is_withdrawn_once_the_member_states_that_it_is_not_primary() {
    let mut fixture = Fixture::new();
    let (id, actions) = fixture.request(WRITE);
    assert_eq!(sent_to(&actions, id), Some(1));
    fixture.now += 10 * MS;
    fixture.answer_probe(1, fixture.now, false);
    assert!(!fixture.router.confirm(fixture.now, id, MemberId(1)));
}

#[test]
fn a_delayed_send_is_withdrawn_once_its_request_expires_or_its_client_disconnects() {
    let mut fixture = Fixture::new();
    let (id, _) = fixture.request_with(WRITE, 300 * MS, |_| {});
    assert!(!fixture.router.confirm(fixture.now + 300 * MS, id, MemberId(1)));
    let (id, _) = fixture.request(WRITE);
    assert!(fixture.router.confirm(fixture.now, id, MemberId(1)));
    fixture.event(Event::ClientDisconnected(id));
    assert!(!fixture.router.confirm(fixture.now, id, MemberId(1)));
}

/// A repeat decided within the dedup window may wait for a connection until the window is over, so it is
/// checked again right before it is written.
#[test]
fn a_delayed_repeat_is_withdrawn_once_the_dedup_window_is_over() {
    let mut fixture = Fixture::new();
    let (id, actions) = fixture.request_with(WRITE, 8_000 * MS, |_| {});
    assert_eq!(sent_to(&actions, id), Some(1));
    fixture.now += WINDOW - 100 * MS;
    let actions = fixture.end_attempt(id, 1, Outcome::Reset, ReplyStatus::default());
    assert_eq!(sent_to(&actions, id), Some(1), "a repeat within the window");
    fixture.now += 99 * MS;
    assert!(fixture.router.confirm(fixture.now, id, MemberId(1)));
    fixture.now += 2 * MS;
    assert!(
        !fixture.router.confirm(fixture.now, id, MemberId(1)),
        "the window counts from the first send that may have been executed"
    );
}

#[test]
fn a_request_unsent_after_half_its_budget_is_refused_so_that_its_client_can_try_elsewhere() {
    let mut fixture = Fixture::ready(settings(), &[entry(2, 0, false), entry(3, 1, false)]);
    let (id, actions) = fixture.request_with(WRITE, 2_000 * MS, |_| {});
    assert_eq!(sent_to(&actions, id), None, "no primary is known");
    assert!(!is_refused(&fixture.advance(900 * MS), id));
    assert!(is_refused(&fixture.advance(100 * MS), id));
}

#[test]
fn a_request_sent_once_may_wait_for_another_attempt_until_it_expires() {
    let mut fixture = Fixture::new();
    let (id, actions) = fixture.request_with(WRITE, 2_000 * MS, |_| {});
    assert_eq!(sent_to(&actions, id), Some(1));
    fixture.now += 10 * MS;
    fixture.end_attempt(id, 1, Outcome::Misdirected, fixture.status(Role::Replica));
    let answered = |actions: &[Action]| is_refused(actions, id) || is_failed(actions, id);
    assert!(!answered(&fixture.advance(1_500 * MS)));
    assert!(answered(&fixture.advance(500 * MS)));
}

#[test]
fn a_request_queued_at_a_healthy_primary_waits_beyond_half_its_budget() {
    let mut fixture = Fixture::new();
    let mut ask = || fixture.request_with(WRITE, 1_600 * MS, |_| {});
    let (waiting, _) = loop {
        let (id, actions) = ask();
        if sent_to(&actions, id).is_none() {
            break (id, actions);
        }
    };
    assert!(!is_refused(&fixture.advance(810 * MS), waiting));
}

/// Writes can only go to the primary, even if it has just started. One write at a time from each of a few
/// routers is little load for it; further writes wait for the earlier one.
#[test]
fn a_cold_primary_gets_one_write_at_a_time_from_each_of_few_routers() {
    let mut list = entries();
    list[0].started_at = Some(START);
    let mut settings = settings();
    settings.classes[WRITE].latency_target = 300 * MS;
    let mut fixture = Fixture::ready(settings.clone(), &list);
    fixture.attempt_duration = 20 * MS;
    for _ in 0..20 {
        let (id, actions) = fixture.request(WRITE);
        assert_eq!(sent_to(&actions, id), Some(1), "whatever the random draw");
        let (next, actions) = fixture.request(WRITE);
        assert_eq!(sent_to(&actions, next), None, "a write is already open");
        fixture.now += 20 * MS;
        let actions = fixture.end_attempt(id, 1, Outcome::Served, fixture.status(Role::Primary));
        assert_eq!(sent_to(&actions, next), Some(1));
        fixture.now += 20 * MS;
        fixture.end_attempt(next, 1, Outcome::Served, fixture.status(Role::Primary));
    }
    // One write from each of many routers would be a burst.
    settings.routers = 300;
    let taken = (1..=50).filter(|seed| {
        let (mut fixture, _) = Fixture::with_seed(seed * 7919, settings.clone(), &list);
        fixture.now += 5 * MS;
        fixture.answer_probe(1, fixture.now - MS, true);
        let (id, actions) = fixture.request(WRITE);
        sent_to(&actions, id).is_some()
    });
    assert!(taken.count() <= 20);
}
