//! Simulates the load that a whole fleet sends to a member that has just started. Each router limits its own
//! part by the settings, but the rule applies to the sum. The settings allow N requests of mean work within
//! the overload window; random variation may add 2 * sqrt(N) + 2 requests.

mod common;

use std::collections::BTreeMap;

use beaconshore::interface::*;
use beaconshore::random::Random;
use common::*;

/// Requests of mean work per second that a warm member serves.
const WARM_RATE: f64 = 60.0;
/// Members of the group: a primary (1) and replicas, one of which (2) is cold.
const MEMBERS: u32 = 10;
/// Time step of the simulation, in microseconds.
const STEP: Micros = 10 * MS;
/// Delay after which routers with a delayed list learn of the member's start, in microseconds.
const LIST_DELAY: Micros = 2_000 * MS;
/// Numbers of routers to simulate.
const FLEET_SIZES: [u32; 7] = [1, 2, 3, 5, 20, 30, 300];

/// What goes wrong besides the cold member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Scenario {
    /// Nothing.
    Calm,
    /// There are half as many requests again.
    Burst,
    /// Half of the other replicas are unreachable.
    UnreachableReplicas,
    /// Two of three requests get an error at every member.
    Errors,
    /// Two of three requests get an error at every member, and at once.
    ImmediateErrors,
    /// A tenth of the routers get nine tenths of the traffic.
    UnevenTraffic,
    /// Half of the routers restart 1.5 s after the member.
    RestartedRouters,
    /// Half of the routers learn of the start late. What they have sent by then is not the fault of the
    /// policy.
    DelayedList,
    /// One request in fifty takes 15 times the usual work.
    HeavyTail,
}

const SCENARIOS: [Scenario; 9] = [
    Scenario::Calm,
    Scenario::Burst,
    Scenario::UnreachableReplicas,
    Scenario::Errors,
    Scenario::ImmediateErrors,
    Scenario::UnevenTraffic,
    Scenario::RestartedRouters,
    Scenario::DelayedList,
    Scenario::HeavyTail,
];

/// An open attempt: its router, request, member, outcome and duration.
type OpenAttempt = (usize, RequestId, u32, Outcome, Micros);

/// The load on the cold member in a simulation.
struct LoadResult {
    /// Highest load on the cold member within the overload window, as a fraction of the load that makes it
    /// fail. Windows in which more than a third of the load came from routers that did not know of the start
    /// are left out.
    worst_share: f64,
    /// Time from the member's start until it got two thirds of the load of the other replicas within a
    /// second.
    warm_after: Option<Micros>,
}

/// Simulates a fleet for `length` and returns the load on the cold member.
fn simulate(routers: u32, scenario: Scenario, seed: u64, length: Micros) -> LoadResult {
    let settings = Settings { routers, ..settings() };
    let rules = settings.rules.clone();
    let list_before_restart: Vec<ListEntry> =
        (1..=MEMBERS).map(|member| entry(member, 0, member == 1)).collect();
    let mut list = list_before_restart.clone();
    list[1].started_at = Some(START);
    let mut random = Random::new(seed);
    let start_router = |now: Micros, list: &[ListEntry], random: &mut Random| {
        let mut fixture = Fixture::with_seed(random.draw(u64::MAX), settings.clone(), list).0;
        fixture.now = now;
        (1..=MEMBERS).for_each(|member| drop(fixture.answer_probe(member, now, member == 1)));
        fixture
    };
    let is_told_late = |router: usize| scenario == Scenario::DelayedList && router % 2 == 1;
    let mut fleet: Vec<Fixture> = (0..routers as usize)
        .map(|router| {
            start_router(START, if is_told_late(router) { &list_before_restart } else { &list }, &mut random)
        })
        .collect();
    let errors = matches!(scenario, Scenario::Errors | Scenario::ImmediateErrors);
    let load = if scenario == Scenario::Burst { 1.05 } else { 0.7 } * if errors { 3.0 } else { 1.0 };
    let requests_per_step = load * WARM_RATE * f64::from(MEMBERS - 1) * STEP as f64 / 1e6;
    let mut open_attempts: BTreeMap<(Micros, u64), OpenAttempt> = BTreeMap::new();
    // Recent sends to the cold member: when, how much work, and whether the router knew of the start.
    let (mut sent_to_cold, mut worst_share, mut sent) = (Vec::<(Micros, f64, bool)>::new(), 0.0_f64, 0);
    let mut last_second = (0.0, 0.0);
    let mut warm_after = None;
    let mut now = START;
    while now < START + length {
        now += STEP;
        let mut events = Vec::new();
        while let Some(first) = open_attempts.first_entry().filter(|first| first.key().0 <= now) {
            let (router, request, member, outcome, took) = first.remove();
            fleet[router].now = now;
            fleet[router].attempt_duration = took;
            events
                .push((router, fleet[router].end_attempt(request, member, outcome, ReplyStatus::default())));
        }
        if now == START + LIST_DELAY {
            let late = (0..fleet.len()).filter(|router| is_told_late(*router));
            late.for_each(|router| drop(fleet[router].update_list(ListKind::Delta, &list[1..2])));
        }
        if scenario == Scenario::RestartedRouters && now == START + rules.overload_window {
            (0..fleet.len()).step_by(2).for_each(|router| {
                fleet[router] = start_router(now, &list, &mut random);
            });
            open_attempts.retain(|_, (router, ..)| *router % 2 == 1);
        }
        let arrivals = requests_per_step as u64
            + u64::from(random.draw(1_000) < (requests_per_step.fract() * 1_000.0) as u64);
        for _ in 0..arrivals {
            let eligible_routers = if scenario == Scenario::UnevenTraffic && random.draw(10) < 9 {
                routers.div_ceil(10)
            } else {
                routers
            };
            let router = random.draw(u64::from(eligible_routers)) as usize;
            fleet[router].now = now;
            events.push((router, fleet[router].request(ANY).1));
        }
        for (router, fixture) in fleet.iter_mut().enumerate() {
            fixture.now = now;
            events.push((router, fixture.event(Event::Timer)));
        }
        for (router, actions) in events {
            for action in actions {
                let Action::Send { request, member, .. } = action else { continue };
                let unreachable = scenario == Scenario::UnreachableReplicas && (3..=6).contains(&member.0);
                let outcome = match scenario {
                    _ if unreachable => Outcome::Unreachable,
                    Scenario::Errors | Scenario::ImmediateErrors if request.0 % 3 > 0 => Outcome::Error,
                    _ => Outcome::Served,
                };
                // Chosen by request and router, so that all attempts of a request take the same work.
                let heavy = scenario == Scenario::HeavyTail
                    && (request.0 * 31 + router as u64 * 17).is_multiple_of(50);
                let work = match scenario {
                    Scenario::HeavyTail => [0.7 / 0.98, 15.0][usize::from(heavy)],
                    _ => 1.0,
                };
                let immediate = scenario == Scenario::ImmediateErrors && outcome == Outcome::Error;
                let took = if immediate { MS } else { (50.0 * work) as Micros * MS };
                sent += 1;
                open_attempts.insert((now + took, sent), (router, request, member.0, outcome, took));
                if member.0 == 2 {
                    sent_to_cold.push((now, work, !is_told_late(router) || now >= START + LIST_DELAY));
                    last_second.0 += 1.0;
                } else if member.0 > 2 {
                    last_second.1 += 1.0 / f64::from(MEMBERS - 2);
                }
            }
        }
        sent_to_cold.retain(|(at, ..)| *at + rules.overload_window >= now);
        let sum: f64 = sent_to_cold.iter().map(|(_, work, _)| work).sum();
        let informed_work: f64 =
            sent_to_cold.iter().filter(|(.., informed)| *informed).map(|(_, work, _)| work).sum();
        // The capacity at the start of the window is the lowest that the rule can apply.
        let age = now.saturating_sub(START + rules.overload_window) as f64 / rules.warm_up_time as f64;
        let warmth = rules.cold_share + (1.0 - rules.cold_share) * age.min(1.0);
        let allowed = rules.overload_multiple * warmth * WARM_RATE * rules.overload_window as f64 / 1e6;
        if informed_work > sum * 2.0 / 3.0 {
            worst_share = worst_share.max(sum / (allowed + 2.0 * allowed.sqrt() + 2.0));
        }
        if (now - START).is_multiple_of(1_000 * MS) {
            if last_second.0 >= last_second.1 * 2.0 / 3.0 {
                warm_after = warm_after.or(Some(now - START));
            }
            last_second = (0.0, 0.0);
        }
    }
    LoadResult { worst_share, warm_after }
}

#[test]
fn no_fleet_size_overloads_a_cold_member() {
    let mut overloads = Vec::new();
    for scenario in SCENARIOS {
        let mut row = Vec::new();
        let largest = matches!(
            scenario,
            Scenario::Calm | Scenario::Burst | Scenario::UnreachableReplicas | Scenario::Errors
        )
        .then_some(1_000);
        for routers in FLEET_SIZES.into_iter().chain(largest) {
            let worst_share = (1..=3)
                .map(|seed| simulate(routers, scenario, seed, 6_000 * MS).worst_share)
                .fold(0.0, f64::max);
            row.push(format!("{worst_share:.2}"));
            assert!(worst_share > 0.0, "{scenario:?}, {routers}: the cold member got no request");
            if worst_share > 1.0 {
                overloads.push(format!(
                    "{scenario:?}, {routers}: {worst_share:.2} of the load that makes it fail"
                ));
            }
        }
        println!("{scenario:?}: {}", row.join(", "));
    }
    println!("routers: {FLEET_SIZES:?}, 1000");
    assert!(overloads.is_empty(), "{overloads:?}");
}

/// Guards against overcaution: the member has to get its part of the load by the time at which the settings
/// call it warm.
#[test]
fn a_member_is_not_starved_while_it_warms_up() {
    let mut rows = Vec::new();
    for routers in [1, 3, 30, 300] {
        let result = simulate(routers, Scenario::Calm, 1, 20_000 * MS);
        let after = result
            .warm_after
            .unwrap_or_else(|| panic!("{routers}: the member never gets its part of the load"));
        rows.push(format!("{routers} routers: two thirds of the others' load after {} s", after / 1_000_000));
        assert!(after <= settings().rules.warm_up_time + 1_000 * MS, "{routers}: only after {after}");
    }
    println!("{}", rows.join("\n"));
}
