//! Tests the state of one zone and its ramp-up on synthetic health data: what holds the ramp-up at a step,
//! what takes it back to an earlier one, and how often the state may change.

use beaconshore::interface::{Micros, RuleParameters};
use beaconshore_zones::health::{ZoneHealth, ZoneVerdict};
use beaconshore_zones::policy::Policy;
use beaconshore_zones::ramp_up::{RampDecision, RampUp, StepDownReason, STEP_SHARES};
use beaconshore_zones::zone_state::{ZoneChange, ZonePhase, ZoneState};

const SECOND: Micros = 1_000_000;
const START: Micros = 1_000 * SECOND;
const USUAL_LATENCY_MICROS: f64 = 50_000.0;

fn healthy_zone() -> ZoneHealth {
    ZoneHealth { known: 4, answering: 4, fresh_share: 1.0, ..ZoneHealth::default() }
}

fn rules() -> RuleParameters {
    RuleParameters {
        cold_share: 0.2,
        warm_up_time: 10 * SECOND,
        overload_multiple: 2.0,
        ..RuleParameters::default()
    }
}

/// Lets the ramp-up decide every 50 ms, with this many good answers each time, until it leaves its step or
/// the time to wait is over.
fn next_decision(
    ramp_up: &mut RampUp,
    zone: &ZoneHealth,
    now: &mut Micros,
    answers: u32,
    wait: Micros,
) -> Option<RampDecision> {
    let end = *now + wait;
    while *now < end {
        *now += 50_000;
        (0..answers).for_each(|_| ramp_up.on_attempt_ended(true, USUAL_LATENCY_MICROS as Micros));
        match ramp_up.decide(zone, &Policy::default(), USUAL_LATENCY_MICROS, *now) {
            RampDecision::Stay => {}
            decision => return Some(decision),
        }
    }
    None
}

/// Guards against full traffic to a zone that has not shown that it can serve it: each step takes its time
/// and needs answers.
#[test]
fn every_step_needs_answers_and_lasts_for_the_dwell_time() {
    let (mut now, mut steps) = (START, 0);
    let mut ramp_up = RampUp::start(now, false, 0);
    loop {
        assert_eq!(ramp_up.step(), steps);
        match next_decision(&mut ramp_up, &healthy_zone(), &mut now, 1, 10 * SECOND) {
            Some(RampDecision::StepUp) => steps += 1,
            Some(RampDecision::Complete) => break,
            other => panic!("{other:?} at step {steps}"),
        }
    }
    assert_eq!(steps + 1, STEP_SHARES.len());
    assert!(
        now >= START + STEP_SHARES.len() as Micros * Policy::default().dwell,
        "{} s",
        (now - START) / SECOND
    );
    // Without any answer the ramp-up stays at its step, however long that takes.
    let mut ramp_up = RampUp::start(now, false, 0);
    assert_eq!(next_decision(&mut ramp_up, &healthy_zone(), &mut now, 0, 60 * SECOND), None);
    // For a router with almost no traffic one answer in all that time is enough.
    ramp_up.on_attempt_ended(true, USUAL_LATENCY_MICROS as Micros);
    assert_eq!(next_decision(&mut ramp_up, &healthy_zone(), &mut now, 0, SECOND), Some(RampDecision::StepUp));
}

fn at_step(steps: usize, now: &mut Micros) -> RampUp {
    let mut ramp_up = RampUp::start(*now, false, 0);
    while ramp_up.step() < steps {
        next_decision(&mut ramp_up, &healthy_zone(), now, 2, 10 * SECOND);
    }
    ramp_up
}

/// Guards against overload of a zone that fails or answers slowly at its present share.
#[test]
fn failing_or_slow_step_goes_back_by_two_steps_and_the_next_stay_is_longer() {
    let mut now = START;
    let mut ramp_up = at_step(5, &mut now);
    (0..6).for_each(|_| ramp_up.on_attempt_ended(true, USUAL_LATENCY_MICROS as Micros));
    (0..3).for_each(|_| ramp_up.on_attempt_ended(false, USUAL_LATENCY_MICROS as Micros));
    let policy = Policy::default();
    assert_eq!(
        ramp_up.decide(&healthy_zone(), &policy, USUAL_LATENCY_MICROS, now + 1),
        RampDecision::StepDown(StepDownReason::Failures)
    );
    assert_eq!(ramp_up.step(), 3);
    let before = now;
    assert_eq!(
        next_decision(&mut ramp_up, &healthy_zone(), &mut now, 2, 10 * SECOND),
        Some(RampDecision::StepUp)
    );
    assert!(now - before >= 2 * policy.dwell, "the next stay is doubled");
    let mut ramp_up = at_step(5, &mut now);
    (0..policy.min_answers).for_each(|_| ramp_up.on_attempt_ended(true, 4 * USUAL_LATENCY_MICROS as Micros));
    assert_eq!(
        ramp_up.decide(&healthy_zone(), &policy, USUAL_LATENCY_MICROS, now + 1),
        RampDecision::StepDown(StepDownReason::Slow)
    );
}

/// Guards against more traffic to a zone whose members have no processor time left.
#[test]
fn busy_zone_stays_at_its_step() {
    let mut now = START;
    let mut ramp_up = at_step(3, &mut now);
    let busy = ZoneHealth { max_utilization: 0.95, ..healthy_zone() };
    assert_eq!(next_decision(&mut ramp_up, &busy, &mut now, 2, 20 * SECOND), None);
    assert_eq!(next_decision(&mut ramp_up, &healthy_zone(), &mut now, 2, SECOND), Some(RampDecision::StepUp));
}

/// Guards against reads that keep lagging replicas from catching up.
#[test]
fn lagging_zone_keeps_a_small_share_and_steps_down_if_it_does_not_catch_up() {
    let mut now = START;
    let mut ramp_up = RampUp::start(now, true, 0);
    let lagging = |mean_lag: f64| ZoneHealth { fresh_share: 0.0, mean_lag, ..healthy_zone() };
    assert!(ramp_up.share(&lagging(30e6), &rules(), now + 60 * SECOND) <= 0.1);
    // While the lag shrinks, the ramp-up stays at its step.
    for seconds in (1..30).rev() {
        let zone = lagging(f64::from(seconds) * 1e6);
        assert_eq!(next_decision(&mut ramp_up, &zone, &mut now, 2, Policy::default().dwell), None);
    }
    assert_eq!(ramp_up.step(), 4);
    // Once the lag no longer shrinks, the ramp-up steps down.
    let mut decisions = Vec::new();
    for _ in 0..10 {
        decisions.extend(next_decision(&mut ramp_up, &lagging(30e6), &mut now, 2, SECOND));
    }
    assert!(decisions.contains(&RampDecision::StepDown(StepDownReason::FallingBehind)), "{decisions:?}");
    assert!(ramp_up.step() < 4);
}

/// Guards against overload of members that have just started and whose caches are still cold.
#[test]
fn cold_members_get_no_more_than_the_time_since_their_start_allows() {
    let mut now = START;
    let mut ramp_up = at_step(7, &mut now);
    let restarted = ZoneHealth { latest_start: Some(now), ..healthy_zone() };
    assert!(ramp_up.share(&restarted, &rules(), now) < 0.21);
    assert!(ramp_up.share(&restarted, &rules(), now + 5 * SECOND) < 0.61);
    assert_eq!(ramp_up.share(&restarted, &rules(), now + 10 * SECOND), 1.0);
    // After a mere cut-off the members are still warm.
    ramp_up = RampUp::start(now, true, 3);
    assert!(ramp_up.share(&healthy_zone(), &rules(), now) > 0.3);
}

/// Simulates a zone that is lost and then works for the given times, over and over. Returns when each
/// recovery started, and the number of changes of preference.
fn flap(lost: Micros, operational: Micros, duration: Micros) -> (Vec<Micros>, u64) {
    let (mut state, policy, mut recoveries) = (ZoneState::new(START), Policy::default(), Vec::new());
    for now in (START..START + duration).step_by(50_000) {
        let is_down = (now - START) % (lost + operational) < lost;
        let (zone, verdict) = match is_down {
            true => (ZoneHealth { answering: 0, failing: 4, ..healthy_zone() }, ZoneVerdict::Lost),
            false => (healthy_zone(), ZoneVerdict::Operational),
        };
        if let Some(ZoneChange::RecoveryStarted(_)) =
            state.update(&zone, verdict, &policy, USUAL_LATENCY_MICROS, now)
        {
            recoveries.push(now);
        }
        state
            .ramp_up()
            .into_iter()
            .for_each(|ramp_up| ramp_up.on_attempt_ended(true, USUAL_LATENCY_MICROS as Micros));
    }
    (recoveries, state.preference_changes())
}

/// Guards against traffic that follows a flapping zone to and fro.
#[test]
fn changes_of_preference_are_limited_and_each_further_loss_doubles_the_hold() {
    let duration = 240 * SECOND;
    let policy = Policy::default();
    for (lost, operational) in [(SECOND / 4, SECOND / 4), (2 * SECOND, 2 * SECOND), (4 * SECOND, 4 * SECOND)]
    {
        let (recoveries, changes) = flap(lost, operational, duration);
        assert!(!recoveries.is_empty());
        for pair in recoveries.windows(2) {
            assert!(
                pair[1] - pair[0] >= policy.hold,
                "a recovery started {} ms after the one before",
                (pair[1] - pair[0]) / 1000
            );
        }
        // Once several losses are remembered, each hold is 16 s.
        let late = recoveries.iter().filter(|at| **at > START + duration / 2).count() as Micros;
        assert!(late <= duration / 2 / (policy.hold << policy.max_doublings) + 1, "{late} late recoveries");
        assert!(changes <= 2 * recoveries.len() as u64 + 1);
    }
    // Losses longer ago than the policy's `flap_memory` no longer count.
    let mut state = ZoneState::new(START);
    let failing = ZoneHealth { answering: 0, failing: 4, ..healthy_zone() };
    for now in [START, START + SECOND] {
        state.update(&failing, ZoneVerdict::Lost, &policy, USUAL_LATENCY_MICROS, now);
        state.update(
            &healthy_zone(),
            ZoneVerdict::Operational,
            &policy,
            USUAL_LATENCY_MICROS,
            now + 100 * SECOND,
        );
    }
    assert!(state.hold(&policy, START + 200 * SECOND) <= policy.hold);
}

/// Guards against a cold and slow ramp-up after a cut-off that first looked like a loss.
#[test]
fn loss_that_peers_show_to_be_a_cut_off_is_not_remembered() {
    let (mut state, policy) = (ZoneState::new(START), Policy::default());
    let failing = ZoneHealth { answering: 0, failing: 4, ..healthy_zone() };
    assert_eq!(
        state.update(&failing, ZoneVerdict::Lost, &policy, USUAL_LATENCY_MICROS, START),
        Some(ZoneChange::Lost)
    );
    assert_eq!(
        state.update(&failing, ZoneVerdict::CutOff, &policy, USUAL_LATENCY_MICROS, START + SECOND),
        None
    );
    assert_eq!(*state.phase(), ZonePhase::CutOff);
    let change = state.update(
        &healthy_zone(),
        ZoneVerdict::Operational,
        &policy,
        USUAL_LATENCY_MICROS,
        START + 3 * SECOND,
    );
    assert_eq!(change, Some(ZoneChange::RecoveryStarted(0)));
    assert!(state.ramp_up().unwrap().step() >= 4, "its members are warm");
    assert_eq!(state.hold(&policy, START + 4 * SECOND), policy.hold, "no loss is remembered");
}
