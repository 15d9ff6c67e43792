//! One zone's state and its way back, on made-up assessments: what holds it, what throws it back, what bounds it.

use beaconshore::interface::{Micros, RuleParameters};
use beaconshore_zones::evidence::{Assessment, Verdict};
use beaconshore_zones::policy::Policy;
use beaconshore_zones::ramp::{Move, Ramp, Reason, STEPS};
use beaconshore_zones::state::{Change, Phase, State};

const SECOND: Micros = 1_000_000;
const START: Micros = 1_000 * SECOND;
const USUAL: f64 = 50_000.0;

fn well() -> Assessment {
    Assessment { known: 4, answering: 4, fresh: 1.0, ..Assessment::default() }
}

fn rules() -> RuleParameters {
    RuleParameters {
        cold_share: 0.2,
        warm_up_time: 10 * SECOND,
        overload_multiple: 2.0,
        ..RuleParameters::default()
    }
}

/// Looks every 50 ms with so many good answers each time, until something moves or the time is over.
fn next_move(
    ramp: &mut Ramp,
    zone: &Assessment,
    now: &mut Micros,
    answers: u32,
    wait: Micros,
) -> Option<Move> {
    let end = *now + wait;
    while *now < end {
        *now += 50_000;
        (0..answers).for_each(|_| ramp.on_end(true, USUAL as Micros));
        match ramp.look(zone, &Policy::default(), USUAL, *now) {
            Move::Stay => {}
            moved => return Some(moved),
        }
    }
    None
}

#[test]
fn every_step_must_prove_itself_and_takes_its_time() {
    let (mut now, mut steps) = (START, 0);
    let mut ramp = Ramp::start(now, false, 0);
    loop {
        assert_eq!(ramp.step(), steps);
        match next_move(&mut ramp, &well(), &mut now, 1, 10 * SECOND) {
            Some(Move::Up) => steps += 1,
            Some(Move::Done) => break,
            other => panic!("{other:?} at step {steps}"),
        }
    }
    assert_eq!(steps + 1, STEPS.len());
    assert!(now >= START + STEPS.len() as Micros * Policy::default().dwell, "{} s", (now - START) / SECOND);
    // Without any answer no step is left, however long it takes.
    let mut ramp = Ramp::start(now, false, 0);
    assert_eq!(next_move(&mut ramp, &well(), &mut now, 0, 60 * SECOND), None);
    // One answer in all that time is enough for a router with next to no traffic.
    ramp.on_end(true, USUAL as Micros);
    assert_eq!(next_move(&mut ramp, &well(), &mut now, 0, SECOND), Some(Move::Up));
}

fn at_step(steps: usize, now: &mut Micros) -> Ramp {
    let mut ramp = Ramp::start(*now, false, 0);
    while ramp.step() < steps {
        next_move(&mut ramp, &well(), now, 2, 10 * SECOND);
    }
    ramp
}

#[test]
fn a_step_that_is_too_much_falls_back_by_two_and_stays_longer() {
    let mut now = START;
    let mut ramp = at_step(5, &mut now);
    (0..6).for_each(|_| ramp.on_end(true, USUAL as Micros));
    (0..3).for_each(|_| ramp.on_end(false, USUAL as Micros));
    let policy = Policy::default();
    assert_eq!(ramp.look(&well(), &policy, USUAL, now + 1), Move::Down(Reason::Failures));
    assert_eq!(ramp.step(), 3);
    let before = now;
    assert_eq!(next_move(&mut ramp, &well(), &mut now, 2, 10 * SECOND), Some(Move::Up));
    assert!(now - before >= 2 * policy.dwell, "the next stay is doubled");
    let mut ramp = at_step(5, &mut now);
    (0..policy.proof).for_each(|_| ramp.on_end(true, 4 * USUAL as Micros));
    assert_eq!(ramp.look(&well(), &policy, USUAL, now + 1), Move::Down(Reason::Slow));
}

#[test]
fn a_busy_zone_gets_no_further_step() {
    let mut now = START;
    let mut ramp = at_step(3, &mut now);
    let busy = Assessment { utilization: 0.95, ..well() };
    assert_eq!(next_move(&mut ramp, &busy, &mut now, 2, 20 * SECOND), None);
    assert_eq!(next_move(&mut ramp, &well(), &mut now, 2, SECOND), Some(Move::Up));
}

#[test]
fn while_replicas_are_behind_little_goes_there_and_less_if_they_do_not_catch_up() {
    let mut now = START;
    let mut ramp = Ramp::start(now, true, 0);
    let behind = |lag: f64| Assessment { fresh: 0.0, lag, ..well() };
    assert!(ramp.share(&behind(30e6), &rules(), now + 60 * SECOND) <= 0.1);
    // It catches up: the step is held, and none is gained.
    for seconds in (1..30).rev() {
        let zone = behind(f64::from(seconds) * 1e6);
        assert_eq!(next_move(&mut ramp, &zone, &mut now, 2, Policy::default().dwell), None);
    }
    assert_eq!(ramp.step(), 4);
    // It does not: it falls back.
    let mut moves = Vec::new();
    for _ in 0..10 {
        moves.extend(next_move(&mut ramp, &behind(30e6), &mut now, 2, SECOND));
    }
    assert!(moves.contains(&Move::Down(Reason::FallingBehind)), "{moves:?}");
    assert!(ramp.step() < 4);
}

#[test]
fn cold_members_get_no_more_than_their_age_allows() {
    let mut now = START;
    let mut ramp = at_step(7, &mut now);
    let restarted = Assessment { youngest: Some(now), ..well() };
    assert!(ramp.share(&restarted, &rules(), now) < 0.21);
    assert!(ramp.share(&restarted, &rules(), now + 5 * SECOND) < 0.61);
    assert_eq!(ramp.share(&restarted, &rules(), now + 10 * SECOND), 1.0);
    // A way that was only cut: nobody got cold.
    ramp = Ramp::start(now, true, 3);
    assert!(ramp.share(&well(), &rules(), now) > 0.3);
}

/// A zone that is lost for some time and stands for some time, over and over; when it was turned to.
fn flap(lost: Micros, stands: Micros, lasts: Micros) -> (Vec<Micros>, u64) {
    let (mut state, policy, mut turned) = (State::new(START), Policy::default(), Vec::new());
    for now in (START..START + lasts).step_by(50_000) {
        let down = (now - START) % (lost + stands) < lost;
        let (zone, verdict) = match down {
            true => (Assessment { answering: 0, failing: 4, ..well() }, Verdict::Lost),
            false => (well(), Verdict::Stands),
        };
        if let Some(Change::Returning(_)) = state.look(&zone, verdict, &policy, USUAL, now) {
            turned.push(now);
        }
        state.ramp().into_iter().for_each(|ramp| ramp.on_end(true, USUAL as Micros));
    }
    (turned, state.turned())
}

#[test]
fn changes_of_preference_are_bounded_and_each_loss_lengthens_the_way_back() {
    let lasts = 240 * SECOND;
    let policy = Policy::default();
    for (lost, stands) in [(SECOND / 4, SECOND / 4), (2 * SECOND, 2 * SECOND), (4 * SECOND, 4 * SECOND)] {
        let (turned, turns) = flap(lost, stands, lasts);
        assert!(!turned.is_empty());
        for pair in turned.windows(2) {
            assert!(
                pair[1] - pair[0] >= policy.hold,
                "turned to again after {} ms",
                (pair[1] - pair[0]) / 1000
            );
        }
        // Once several losses are remembered, each hold is 16 s.
        let late = turned.iter().filter(|at| **at > START + lasts / 2).count() as Micros;
        assert!(late <= lasts / 2 / (policy.hold << policy.most_doublings) + 1, "{late} late turns");
        assert!(turns <= 2 * turned.len() as u64 + 1);
    }
    // Losses that are long past count no more.
    let mut state = State::new(START);
    let gone = Assessment { answering: 0, failing: 4, ..well() };
    for now in [START, START + SECOND] {
        state.look(&gone, Verdict::Lost, &policy, USUAL, now);
        state.look(&well(), Verdict::Stands, &policy, USUAL, now + 100 * SECOND);
    }
    assert!(state.hold(&policy, START + 200 * SECOND) <= policy.hold);
}

#[test]
fn a_cut_that_peers_tell_of_is_no_loss() {
    let (mut state, policy) = (State::new(START), Policy::default());
    let gone = Assessment { answering: 0, failing: 4, ..well() };
    assert_eq!(state.look(&gone, Verdict::Lost, &policy, USUAL, START), Some(Change::Lost));
    assert_eq!(state.look(&gone, Verdict::CutOff, &policy, USUAL, START + SECOND), None);
    assert_eq!(*state.phase(), Phase::CutOff);
    let back = state.look(&well(), Verdict::Stands, &policy, USUAL, START + 3 * SECOND);
    assert_eq!(back, Some(Change::Returning(0)));
    assert!(state.ramp().unwrap().step() >= 4, "its members are warm");
    assert_eq!(state.hold(&policy, START + 4 * SECOND), policy.hold, "no loss is remembered");
}
