//! The guards: each test fails when its guard is removed.

mod common;

use beaconshore::interface::*;
use common::*;

#[test]
fn a_held_request_is_answered_before_its_client_gives_up() {
    let mut stage = Stage::new();
    stage.list(ListKind::Full, &[entry(2, 0, false)]);
    let (id, _) = stage.ask_with(WRITE, 300 * MS, |_| {});
    let actions = stage.pass(300 * MS);
    assert!(refused(&actions, id));
    let later = stage.pass(1_000 * MS);
    assert!(!refused(&later, id) && !failed(&later, id) && sent(&later, id).is_none());
}

#[test]
fn a_write_that_may_have_run_is_not_resent_after_the_window() {
    let mut stage = Stage::new();
    let (id, actions) = stage.ask_with(WRITE, 60_000 * MS, |_| {});
    assert_eq!(sent(&actions, id), Some(1));
    stage.now += WINDOW + MS;
    let actions = stage.ended(id, 1, Outcome::Reset, ReplyStatus::default());
    assert!(failed(&actions, id), "and a refusal would promise that nothing ran");
}

#[test]
fn a_write_that_may_have_run_is_resent_within_the_window() {
    let mut stage = Stage::new();
    let (id, _) = stage.ask_with(WRITE, 60_000 * MS, |_| {});
    stage.now += 100 * MS;
    let actions = stage.ended(id, 1, Outcome::Error, stage.note(Role::Primary));
    assert_eq!(sent(&actions, id), Some(1));
}

#[test]
fn the_window_counts_from_the_first_send_that_may_have_run() {
    let mut stage = Stage::new();
    let (id, _) = stage.ask_with(WRITE, 60_000 * MS, |_| {});
    stage.now += WINDOW - 100 * MS;
    let actions = stage.ended(id, 1, Outcome::Error, stage.note(Role::Primary));
    assert_eq!(sent(&actions, id), Some(1));
    stage.now += 200 * MS;
    let actions = stage.ended(id, 1, Outcome::Error, stage.note(Role::Primary));
    assert!(failed(&actions, id));
}

#[test]
fn an_unsafe_request_goes_out_once() {
    let mut stage = Stage::new();
    let (id, _) = stage.ask(UNSAFE);
    stage.now += 50 * MS;
    let actions = stage.ended(id, 1, Outcome::Reset, ReplyStatus::default());
    assert!(failed(&actions, id));
    let (id, _) = stage.ask(UNSAFE);
    let actions = stage.ended(id, 1, Outcome::Rejected, stage.note(Role::Primary));
    assert_eq!(sent(&actions, id), Some(1), "turned away unseen: it never ran");
}

#[test]
fn no_second_attempt_while_one_is_out() {
    let mut stage = Stage::new();
    let (id, first) = stage.ask(READ);
    assert!(sent(&first, id).is_some());
    let actions = stage.pass(1_500 * MS);
    assert_eq!(sent(&actions, id), None);
}

#[test]
fn nothing_new_goes_to_a_draining_or_missing_member() {
    let mut stage = Stage::new();
    let draining = ListEntry { listed: ListedState::Draining, ..entry(2, 0, false) };
    stage.list(ListKind::Delta, &[draining]);
    let (id, actions) = stage.ask(READ);
    assert_eq!(sent(&actions, id), Some(3));
    stage.list(ListKind::Full, &[entry(1, 0, true)]);
    let (id, actions) = stage.ask(READ);
    assert_eq!(sent(&actions, id), Some(1), "a member that a full list leaves out is gone");
}

#[test]
fn a_held_write_does_not_go_to_a_primary_that_drains_meanwhile() {
    let mut stage = Stage::new();
    while {
        let (id, actions) = stage.ask(WRITE);
        sent(&actions, id).is_some()
    } {}
    let draining = ListEntry { listed: ListedState::Draining, ..entry(1, 0, true) };
    let mut actions = stage.list(ListKind::Delta, &[draining]);
    actions.extend(stage.ended(RequestId(1), 1, Outcome::Served, stage.note(Role::Primary)));
    actions.extend(stage.pass(100 * MS));
    assert!(!actions.iter().any(|a| matches!(a, Action::Send { member: MemberId(1), .. })));
}

#[test]
fn gone_does_not_bind_where_only_draining_does() {
    let mut settings = settings();
    settings.rules.only_draining_binds = true;
    let mut stage = Stage::with(settings, &entries());
    stage.list(ListKind::Full, &[entry(1, 0, true)]);
    let (id, actions) = stage.ask(READ);
    assert_eq!(sent(&actions, id), Some(2));
}

#[test]
fn a_cold_member_gets_a_part_of_what_warm_ones_get() {
    let mut stage = Stage::new();
    let cold = ListEntry { started: Some(stage.now), ..entry(2, 0, false) };
    stage.list(ListKind::Delta, &[cold]);
    let mut counts = [0; 4];
    for _ in 0..200 {
        stage.now += 5 * MS;
        stage.probed(2, stage.now, false);
        stage.probed(3, stage.now, false);
        let (id, actions) = stage.ask(ANY);
        if let Some(member) = sent(&actions, id) {
            counts[member as usize] += 1;
            stage.ended(id, member, Outcome::Served, ReplyStatus::default());
        }
        if stage.now.is_multiple_of(10 * MS) {
            stage.event(Event::Timer);
        }
    }
    assert!(counts[2] > 0 && 4 * counts[2] < counts[3], "{counts:?}");
}

/// Each router's first send alone would be more than a cold member can do where there are very many.
#[test]
fn a_fleet_that_asks_at_once_leaves_a_cold_member_its_part() {
    let (mut to_cold, fleet) = (0, 300);
    for seed in 1..=fleet {
        let cold = ListEntry { started: Some(START), ..entry(2, 0, false) };
        let list = [entry(1, 0, true), cold, entry(3, 1, false)];
        let (mut stage, _) = Stage::seeded(seed * 7919, settings(), &list);
        stage.now += 5 * MS;
        list.iter().for_each(|e| {
            stage.probed(e.member.0, START, e.primary);
        });
        let (id, actions) = stage.ask(ANY);
        to_cold += i32::from(sent(&actions, id) == Some(2));
    }
    // A third of the requests would be its turn; it can do a fifth of a warm one's work, and may get twice that.
    assert!(to_cold > 0 && to_cold < fleet as i32 * 2 / 5 / 3, "{to_cold}");
}

/// A primary and nine replicas, one of which (2) has just started, all known to be fresh.
fn with_a_cold_replica(seed: u64) -> Stage {
    let mut list: Vec<ListEntry> = (1..=10).map(|member| entry(member, 0, member == 1)).collect();
    list[1].started = Some(START);
    let (mut stage, _) = Stage::seeded(seed, settings(), &list);
    stage.now += 5 * MS;
    list.iter().for_each(|e| drop(stage.probed(e.member.0, stage.now - MS, e.primary)));
    stage
}

/// Each request that all answer with an error would come to the cold one too, as often as its lot lets it.
#[test]
fn a_read_that_failed_elsewhere_does_not_fall_on_a_cold_member() {
    let (mut first, mut second) = (0, 0);
    for seed in 1..=200 {
        let mut stage = with_a_cold_replica(seed * 7919);
        for _ in 0..6 {
            // Longer than the rule's window: what the router sent before bounds nothing.
            stage.pass(2_000 * MS);
            (2..=10).for_each(|member| drop(stage.probed(member, stage.now, false)));
            let (id, actions) = stage.ask(ANY);
            let Some(member) = sent(&actions, id) else { continue };
            first += usize::from(member == 2);
            let actions = stage.ended(id, member, Outcome::Error, ReplyStatus::default());
            let Some(member) = sent(&actions, id) else { continue };
            second += usize::from(member == 2);
            stage.ended(id, member, Outcome::Error, ReplyStatus::default());
        }
    }
    assert!(first > 0, "it has its turns");
    assert_eq!(second, 0, "of 1,200 second attempts, and {first} first ones");
}

/// Requests that every member answers with an error at once cost no work, and so say nothing of what one can do.
#[test]
fn errors_at_warm_members_leave_a_cold_one_no_more() {
    let to_cold = |junk: usize| {
        let mut stage = with_a_cold_replica(7);
        let mut to_cold = 0;
        for _ in 0..300 {
            stage.now += 5 * MS;
            (2..=10).for_each(|member| drop(stage.probed(member, stage.now, false)));
            for i in 0..=junk {
                let (id, mut actions) = stage.ask(ANY);
                while let Some(member) = sent(&actions, id) {
                    to_cold += usize::from(member == 2);
                    let outcome = if i == 0 { Outcome::Served } else { Outcome::Error };
                    actions = stage.ended(id, member, outcome, ReplyStatus::default());
                }
            }
        }
        to_cold
    };
    let (calm, junk) = (to_cold(0), to_cold(6));
    assert!(calm > 0 && junk < 2 * calm, "{calm} without junk, {junk} with six times as much");
}

#[test]
fn a_request_whose_group_went_quiet_meanwhile_is_answered() {
    let mut stage = Stage::new();
    let (id, actions) = stage.ask_with(WRITE, 3_000 * MS, |_| {});
    let member = sent(&actions, id).unwrap();
    stage.pass(2_000 * MS);
    let drained: Vec<ListEntry> =
        entries().into_iter().map(|e| ListEntry { listed: ListedState::Draining, ..e }).collect();
    stage.list(ListKind::Delta, &drained);
    let mut actions = stage.ended(id, member, Outcome::Rejected, ReplyStatus::default());
    assert_eq!(sent(&actions, id), None);
    actions.extend(stage.pass(1_500 * MS));
    assert!(refused(&actions, id));
}

#[test]
fn a_former_primary_is_no_longer_excused() {
    let mut stage = Stage::new();
    let (id, _) = stage.ask(WRITE);
    stage.now += 2 * BOUND;
    let behind = ReplyStatus { position: Some(START), role: Some(Role::Replica) };
    stage.ended(id, 1, Outcome::Misdirected, behind);
    let (id, _) = stage.ask(READ);
    let actions = stage.pass(100 * MS);
    assert_eq!(sent(&actions, id), None);
}

#[test]
fn a_stale_list_does_not_bring_back_a_deposed_primary() {
    let mut stage = Stage::new();
    let (id, _) = stage.ask(WRITE);
    stage.now += 20 * MS;
    stage.ended(id, 1, Outcome::Misdirected, stage.note(Role::Replica));
    stage.probed(3, stage.now, true);
    stage.list(ListKind::Full, &entries());
    let (id, actions) = stage.ask(WRITE);
    assert_eq!(sent(&actions, id), Some(3));
}

#[test]
fn a_late_report_does_not_bring_back_a_deposed_primary() {
    let mut stage = Stage::new();
    let spoke = stage.now;
    let (id, _) = stage.ask(WRITE);
    stage.now += 20 * MS;
    stage.ended(id, 1, Outcome::Misdirected, stage.note(Role::Replica));
    stage.probed(1, spoke, true);
    let (id, actions) = stage.ask(WRITE);
    assert_eq!(sent(&actions, id), None);
}

#[test]
fn a_commit_is_not_taken_for_a_members_position() {
    let mut stage = Stage::new();
    let (id, _) = stage.ask(WRITE);
    stage.now += 2 * BOUND;
    // A replica cannot commit; if a note says so, its position is still not the commit's time.
    stage.ended(id, 2, Outcome::Served, stage.note(Role::Replica));
    let (id, mut actions) = stage.ask(READ);
    actions.extend(stage.pass(60 * MS));
    assert_eq!(sent(&actions, id), Some(1));
}

#[test]
fn a_position_ahead_of_the_clock_is_not_believed() {
    let mut stage = Stage::new();
    stage.now += 2 * BOUND;
    stage.probed(2, stage.now + 3_600_000 * MS, false);
    let (id, mut actions) = stage.ask(READ);
    actions.extend(stage.pass(60 * MS));
    assert_eq!(sent(&actions, id), Some(1));
}

#[test]
fn an_unknown_class_is_failed_at_once() {
    let mut stage = Stage::new();
    let (id, actions) = stage.ask(99);
    assert!(failed(&actions, id));
}

#[test]
fn a_member_that_drained_and_then_went_stays_barred_where_only_draining_binds() {
    let mut settings = settings();
    settings.rules.only_draining_binds = true;
    let mut stage = Stage::with(settings, &entries());
    stage.list(ListKind::Delta, &[ListEntry { listed: ListedState::Draining, ..entry(2, 0, false) }]);
    stage.list(ListKind::Delta, &[ListEntry { listed: ListedState::Gone, ..entry(2, 0, false) }]);
    let (id, actions) = stage.ask(READ);
    assert_eq!(sent(&actions, id), Some(3));
}

#[test]
fn a_write_whose_repeats_a_zone_drops_is_not_resent_to_another_zone() {
    let mut settings = settings();
    settings.classes[WRITE].effect = Effect::Keyed(DedupScope::Zone, WINDOW);
    let mut stage = Stage::with(settings, &entries());
    let (id, _) = stage.ask(WRITE);
    stage.now += 50 * MS;
    stage.ended(id, 1, Outcome::Error, stage.note(Role::Replica));
    stage.now += 20 * MS;
    let mut actions = stage.probed(3, stage.now, true);
    actions.extend(stage.pass(100 * MS));
    assert_eq!(sent(&actions, id), None, "the new primary is in another zone");
    let (fresh, actions) = stage.ask(WRITE);
    assert_eq!(sent(&actions, fresh), Some(3), "a write that never ran may go there");
}

#[test]
fn a_send_that_waited_is_withdrawn_once_its_member_drains() {
    let mut stage = Stage::new();
    let (id, actions) = stage.ask(READ);
    assert_eq!(sent(&actions, id), Some(2));
    assert!(stage.router.confirm(stage.now, id, MemberId(2)));
    stage.list(ListKind::Delta, &[ListEntry { listed: ListedState::Draining, ..entry(2, 0, false) }]);
    assert!(!stage.router.confirm(stage.now, id, MemberId(2)));
    let actions = stage.ended(id, 2, Outcome::NeverSent, ReplyStatus::default());
    assert_eq!(sent(&actions, id), Some(3), "it goes elsewhere instead");
}

#[test]
fn a_send_that_waited_is_withdrawn_once_the_known_position_is_too_old() {
    let mut stage = Stage::new();
    let (id, actions) = stage.ask(READ);
    assert_eq!(sent(&actions, id), Some(2));
    stage.now += BOUND - 2 * MS;
    assert!(stage.router.confirm(stage.now, id, MemberId(2)));
    stage.now += 2 * MS;
    assert!(!stage.router.confirm(stage.now, id, MemberId(2)));
}

#[test]
fn a_send_that_waited_is_withdrawn_once_the_member_says_that_it_is_no_primary() {
    let mut stage = Stage::new();
    let (id, actions) = stage.ask(WRITE);
    assert_eq!(sent(&actions, id), Some(1));
    stage.now += 10 * MS;
    stage.probed(1, stage.now, false);
    assert!(!stage.router.confirm(stage.now, id, MemberId(1)));
}

#[test]
fn a_send_that_waited_is_withdrawn_once_its_time_or_its_client_is_gone() {
    let mut stage = Stage::new();
    let (id, _) = stage.ask_with(WRITE, 300 * MS, |_| {});
    assert!(!stage.router.confirm(stage.now + 300 * MS, id, MemberId(1)));
    let (id, _) = stage.ask(WRITE);
    assert!(stage.router.confirm(stage.now, id, MemberId(1)));
    stage.event(Event::ClientDisconnected(id));
    assert!(!stage.router.confirm(stage.now, id, MemberId(1)));
}

/// Decided inside the window, it waits for a connection until that is over: at the instant of the write it is asked again.
#[test]
fn a_repeat_that_waited_is_withdrawn_once_the_keys_window_is_over() {
    let mut stage = Stage::new();
    let (id, actions) = stage.ask_with(WRITE, 8_000 * MS, |_| {});
    assert_eq!(sent(&actions, id), Some(1));
    stage.now += WINDOW - 100 * MS;
    let actions = stage.ended(id, 1, Outcome::Reset, ReplyStatus::default());
    assert_eq!(sent(&actions, id), Some(1), "a repeat inside the window");
    stage.now += 99 * MS;
    assert!(stage.router.confirm(stage.now, id, MemberId(1)));
    stage.now += 2 * MS;
    assert!(
        !stage.router.confirm(stage.now, id, MemberId(1)),
        "counted from the first send that may have run"
    );
}

#[test]
fn what_could_not_be_sent_by_half_its_time_is_refused_while_its_client_can_still_go_elsewhere() {
    let mut stage = Stage::with(settings(), &[entry(2, 0, false), entry(3, 1, false)]);
    let (id, actions) = stage.ask_with(WRITE, 2_000 * MS, |_| {});
    assert_eq!(sent(&actions, id), None, "no primary is known");
    assert!(!refused(&stage.pass(900 * MS), id));
    assert!(refused(&stage.pass(100 * MS), id));
}

#[test]
fn what_was_sent_once_may_wait_for_another_attempt_up_to_its_end() {
    let mut stage = Stage::new();
    let (id, actions) = stage.ask_with(WRITE, 2_000 * MS, |_| {});
    assert_eq!(sent(&actions, id), Some(1));
    stage.now += 10 * MS;
    stage.ended(id, 1, Outcome::Misdirected, stage.note(Role::Replica));
    let answered = |actions: &[Action]| refused(actions, id) || failed(actions, id);
    assert!(!answered(&stage.pass(1_500 * MS)));
    assert!(answered(&stage.pass(500 * MS)));
}

#[test]
fn what_waits_for_room_at_a_primary_that_is_well_waits_on_after_half_its_time() {
    let mut stage = Stage::new();
    let mut ask = || stage.ask_with(WRITE, 1_600 * MS, |_| {});
    let (waiting, _) = loop {
        let (id, actions) = ask();
        if sent(&actions, id).is_none() {
            break (id, actions);
        }
    };
    assert!(!refused(&stage.pass(810 * MS), waiting));
}

/// Writes have nowhere else to go than a primary that has just started: one at a time from each of a few routers is
/// little for it, and what comes next waits for what went before.
#[test]
fn a_cold_primary_gets_one_write_at_a_time_from_each_of_few_routers() {
    let mut list = entries();
    list[0].started = Some(START);
    let mut settings = settings();
    settings.classes[WRITE].latency_target = 300 * MS;
    let mut stage = Stage::with(settings.clone(), &list);
    stage.took = 20 * MS;
    for _ in 0..20 {
        let (id, actions) = stage.ask(WRITE);
        assert_eq!(sent(&actions, id), Some(1), "whatever its lot");
        let (next, actions) = stage.ask(WRITE);
        assert_eq!(sent(&actions, next), None, "one is out");
        stage.now += 20 * MS;
        let actions = stage.ended(id, 1, Outcome::Served, stage.note(Role::Primary));
        assert_eq!(sent(&actions, next), Some(1));
        stage.now += 20 * MS;
        stage.ended(next, 1, Outcome::Served, stage.note(Role::Primary));
    }
    // Of many routers, one each would be a burst.
    settings.routers = 300;
    let taken = (1..=50).filter(|seed| {
        let (mut stage, _) = Stage::seeded(seed * 7919, settings.clone(), &list);
        stage.now += 5 * MS;
        stage.probed(1, stage.now - MS, true);
        let (id, actions) = stage.ask(WRITE);
        sent(&actions, id).is_some()
    });
    assert!(taken.count() <= 20);
}
