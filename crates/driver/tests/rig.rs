//! Days of the emulator's model played by processes of the program, with faults between them. The audit goes by what
//! members and clients saw.

use std::path::PathBuf;
use std::sync::atomic::AtomicBool;
use std::sync::{Mutex, PoisonError};

use beaconshore_emulator::experiment;
use beaconshore_emulator::plan::SECOND;
use beaconshore_rig::{run, Outcome, Program};

const STORE: &str = "
    zone { name: 'east' } zone { name: 'north' } zone { name: 'west' }
    groups { count: 3 members: 3 ship_ms: 5 apply_ms: 10 detect_ms: 500 elect_ms: 500 }
    class { name: 'view' read: BOUNDED bound_ms: 200 share: 0.85 work_ms: 4 spread: 0.5 aim_ms: 250
            deadline_ms: 1000 worth: 3 }
    class { name: 'record' read: WRITE effect: KEYED window_ms: 3000 share: 0.15 work_ms: 5 spread: 0.5 aim_ms: 600
            deadline_ms: 3000 worth: 4 late_worth: 0.3 }
    clients { rate: 150 retries: 1 }
    discovery { least_ms: 50 most_ms: 400 silent_ms: 800 role_ms: 300 }
    rules { warm_ms: 3000 }";

/// Days are played one after the other: side by side they would make each other late on a small machine.
static ONE_DAY: Mutex<()> = Mutex::new(());

/// Plays a day on twelve processes.
fn day(seconds: u32, faults: &str) -> Outcome {
    let text =
        format!("name: 'day' seconds: {seconds} settle_s: 1 {STORE} routers {{ per_zone: 4 }} {faults}");
    let plan = experiment::read("day", &text).expect("the experiment reads");
    let _alone = ONE_DAY.lock().unwrap_or_else(PoisonError::into_inner);
    let path = PathBuf::from(env!("CARGO_BIN_EXE_beaconshore"));
    let program = Program { path, operator: None, logs: None };
    run(&plan, 7, &program, &AtomicBool::new(false)).expect("the day is played")
}

#[track_caller]
fn assert_kept(outcome: &Outcome) {
    let breaches: Vec<String> = outcome.day.breaches.iter().map(ToString::to_string).collect();
    assert!(breaches.is_empty(), "{breaches:?}; the rig was late by {:?}", outcome.behind);
}

#[test]
fn a_calm_day_serves_all_and_leaves_no_member_idle() {
    let outcome = day(5, "");
    assert_kept(&outcome);
    assert!(outcome.day.score() > 0.97, "{}", outcome.day.score());
    assert!(outcome.came.iter().all(|came| *came > 10), "{:?}", outcome.came);
    assert!(outcome.passed > 0, "processes loan");
}

#[test]
fn seven_in_ten_killed_at_once_come_back_while_the_others_serve() {
    let outcome = day(8, "fault { at_s: 3 for_s: 1.5 router_loss { share: 0.7 } }");
    assert_kept(&outcome);
    let second = |from, to| outcome.day.score_between(lead(&outcome) + from, lead(&outcome) + to);
    assert!(second(1, 3) > 0.97, "before: {}", second(1, 3));
    assert!(second(6, 8) > 0.95, "once they are back: {}", second(6, 8));
}

#[test]
fn a_rolling_restart_while_members_drain_breaks_no_rule() {
    let faults = "
        fault { at_s: 2 for_s: 1.5 every_s: 2 router_loss { share: 0.2 planned: true } }
        fault { at_s: 2.5 for_s: 2 drain { share: 0.3 } }";
    let outcome = day(9, faults);
    assert_kept(&outcome);
    assert!(outcome.day.score() > 0.75, "{}", outcome.day.score());
}

#[test]
fn a_zone_that_is_cut_off_while_nobody_hears_anybody_breaks_no_rule_and_is_used_again() {
    let faults = "
        fault { at_s: 3 for_s: 2.5 cut { to: 'west' } }
        fault { at_s: 3 for_s: 2.5 cut { from: 'west' } }
        fault { at_s: 2.5 for_s: 3 peer_loss { share: 1 } }";
    let outcome = day(9, faults);
    assert_kept(&outcome);
    assert!(outcome.lost > 0, "datagrams were lost");
    let end = lead(&outcome) + 9;
    assert!(outcome.day.score_between(end - 2, end) > 0.95, "{}", outcome.day.score_between(end - 2, end));
}

#[test]
fn a_zone_that_is_lost_returns_cold_and_no_member_of_it_is_pushed_over() {
    let outcome = day(9, "fault { at_s: 2.5 for_s: 2 zone_loss { zone: 'north' } }");
    assert_kept(&outcome);
    assert_eq!(outcome.day.fallen, 0);
}

#[test]
fn answers_that_are_lost_under_requests_bring_no_effect_twice() {
    let outcome = day(6, "fault { at_s: 2 for_s: 3 answer_loss { share: 0.2 } }");
    assert_kept(&outcome);
    assert!(outcome.day.score() > 0.75, "{}", outcome.day.score());
}

#[test]
fn processes_that_stand_still_and_wake_break_no_rule() {
    let faults = "
        fault { at_s: 2 for_s: 0.9 every_s: 2 standstill { share: 0.3 } }
        fault { at_s: 2.5 for_s: 2 lag { times: 40 share: 0.5 } }";
    let outcome = day(8, faults);
    assert_kept(&outcome);
    assert!(outcome.day.score() > 0.6, "{}", outcome.day.score());
}

/// Seconds of the day in which processes start.
fn lead(outcome: &Outcome) -> usize {
    (outcome.plan.settle / SECOND) as usize - 1
}
