//! Routes over whole days: no file that loads breaks a rule, and budgets hold under an outage.

use beaconshore::interface::Micros;
use beaconshore_emulator::{experiment, play, Brains, Day, Plan};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn text(seconds: u32, rate: u32, retries: u32, more: &str) -> String {
    format!(
        "name: 'routes' seconds: {seconds} settle_s: 2 round_trip_ms: 2
        zone {{ name: 'east' }} zone {{ name: 'west' }}
        groups {{ count: 3 members: 3 ship_ms: 8 apply_ms: 15 detect_ms: 1000 elect_ms: 1000 }}
        class {{ name: 'view' read: BOUNDED bound_ms: 200 share: 0.6 work_ms: 40 aim_ms: 250 deadline_ms: 1000 worth: 3 }}
        class {{ name: 'history' read: ANY share: 0.2 work_ms: 60 aim_ms: 500 deadline_ms: 1500 worth: 1 }}
        class {{ name: 'record' read: WRITE effect: KEYED window_ms: 2000 share: 0.15 work_ms: 50 aim_ms: 600
          deadline_ms: 4000 worth: 4 late_worth: 0.3 }}
        class {{ name: 'once' read: WRITE effect: UNSAFE share: 0.05 work_ms: 50 aim_ms: 600 deadline_ms: 3000 worth: 4 }}
        clients {{ rate: {rate} retries: {retries} pause_ms: 20 }} routers {{ per_zone: 1 }}
        zones {{ zone {{ name: 'east' capacity: 13 routers: 1 }} zone {{ name: 'west' capacity: 13 routers: 1 }} }}
        {more}"
    )
}

fn plan(text: &str) -> Result<Plan, String> {
    experiment::read("routes", text).map_err(|e| e.to_string())
}

fn any_route(i: usize) -> impl Strategy<Value = String> {
    let matches = prop::sample::select(vec![
        "class == 'view'",
        "class == 'record'",
        "class in ['history', 'once']",
        "has key",
        "group in [0, 2]",
        "has repeat and not class == 'once'",
        "always",
    ]);
    let times = (prop::option::of(20u32..1200), prop::option::of(5u32..900), prop::option::of(1u32..8));
    let limits = (
        prop::option::of((1u32..40, 1u32..200)),
        prop::option::of((0.0..1.0f64, 0.0..5.0f64)),
        prop::option::of(1u32..300),
        prop::option::of((1u32..20, 1u32..100)),
    );
    let rest = (
        prop::option::of(1u32..250),
        prop::option::of(prop::sample::select(vec!["east", "west"])),
        0.1..9.0f64,
    );
    (matches, times, limits, rest).prop_map(move |(matches, (budget, attempt, attempts), limits, rest)| {
        let (pause, repeats, rate, open) = limits;
        let (staleness, zone, weight) = rest;
        let matches = matches.replace('\'', "\\\"");
        let mut route = format!("route {{ name: 'r{i}' match: \"{matches}\" weight: {weight}");
        let mut add = |text: String| route.push_str(&text);
        budget.into_iter().for_each(|n| add(format!(" budget_ms: {n}")));
        attempt.into_iter().for_each(|n| add(format!(" attempt_ms: {n}")));
        attempts.into_iter().for_each(|n| add(format!(" attempts: {n}")));
        pause.into_iter().for_each(|(a, b)| add(format!(" pause {{ least_ms: {a} most_ms: {} }}", a + b)));
        repeats.into_iter().for_each(|(s, f)| add(format!(" repeats {{ share: {s} floor: {f} }}")));
        rate.into_iter().for_each(|n| add(format!(" rate {{ per_second: {n} }}")));
        open.into_iter().for_each(|(a, b)| add(format!(" open {{ least: {a} most: {} }}", a + b)));
        staleness.into_iter().for_each(|n| add(format!(" staleness_ms: {n}")));
        zone.into_iter().for_each(|z| add(format!(" zone: '{z}'")));
        route + " }"
    })
}

fn any_routes() -> impl Strategy<Value = String> {
    let routes =
        (any_route(0), any_route(1), any_route(2), any_route(3), 0usize..5, prop::option::of(2u32..80));
    routes.prop_map(|(a, b, c, d, count, open)| {
        let routes = [a, b, c, d][..count.min(4)].join(" ");
        let open = open.map_or(String::new(), |n| format!("open: {n}"));
        format!("routes {{ {routes} {open} }}")
    })
}

fn any_fault() -> impl Strategy<Value = &'static str> {
    prop::sample::select(vec![
        "",
        "fault { at_s: 4 for_s: 4 zone_loss { zone: 'west' } }",
        "fault { at_s: 4 for_s: 4 zone_loss { zone: 'west' silent: true share: 0.5 } }",
        "fault { at_s: 4 for_s: 4 zone_loss { primaries_only: true } }",
        "fault { at_s: 4 for_s: 5 hang { share: 0.4 } }",
        "fault { at_s: 4 for_s: 5 lag { times: 15 } }",
        "fault { at_s: 4 for_s: 5 slow { zone: 'east' times: 6 } }",
        "fault { at_s: 4 for_s: 3 cut { from: 'east' to: 'west' answers_only: true } }",
        "fault { at_s: 4 for_s: 5 loss { share: 0.4 } }",
        "fault { at_s: 4 for_s: 4 drain { zone: 'west' } }",
        "fault { at_s: 4 for_s: 1 router_loss { zone: 'east' } }",
        "fault { at_s: 4 for_s: 4 burst { times: 3 } }",
    ])
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, rng_seed: RngSeed::Fixed(16), ..ProptestConfig::default() })]

    #[test]
    fn no_file_that_loads_breaks_a_rule(routes in any_routes(), fault in any_fault(), seed in 1u64..1000) {
        // What can't be meant is refused; the rest must keep every rule.
        if let Ok(plan) = plan(&text(12, 120, 2, &format!("{routes} {fault}"))) {
            let day = play(&plan, Brains::Planned, seed);
            prop_assert_eq!(&day.breaches, &[], "{} {}", routes, fault);
            prop_assert_eq!(day.fallen, 0);
        }
    }
}

#[test]
fn most_files_of_that_kind_load() {
    use proptest::strategy::ValueTree;
    use proptest::test_runner::TestRunner;
    let mut runner = TestRunner::deterministic();
    let mut loads = |_: &u32| {
        let routes = any_routes().new_tree(&mut runner).unwrap().current();
        plan(&text(12, 120, 2, &routes)).is_ok()
    };
    let count = (0..200).filter(|n| loads(n)).count();
    assert!((20..190).contains(&count), "{count} of 200: the property above says something");
}

fn attempts(day: &Day, seconds: std::ops::Range<usize>) -> (f64, f64) {
    let seconds = &day.seconds[seconds];
    let tries: u32 = seconds.iter().map(|s| s.stories).sum();
    (f64::from(tries), seconds.iter().map(|s| f64::from(s.attempts)).sum())
}

#[test]
fn a_budget_for_repeats_keeps_an_outage_from_multiplying() {
    // All members take requests and answer none for 10 s; clients are patient, routers are not.
    let fault =
        "fault { at_s: 5 for_s: 10 loss { share: 0.9 } } fault { at_s: 5 for_s: 10 slow { times: 30 } }";
    let free = "routes { route { name: 'all' match: 'always' attempt_ms: 100 } }";
    let held =
        "routes { route { name: 'all' match: 'always' attempt_ms: 100 repeats { share: 0.1 floor: 1 } } }";
    let play = |routes: &str| {
        play(&plan(&text(20, 120, 0, &format!("{routes} {fault}"))).unwrap(), Brains::Planned, 3)
    };
    let ((tries, free), (same, held)) = (attempts(&play(free), 7..14), attempts(&play(held), 7..14));
    assert_eq!(tries, same, "the same arrivals");
    assert!(free > 1.3 * tries, "{free} attempts for {tries} first tries without a budget");
    assert!(held < 1.16 * tries, "{held} attempts for {tries} first tries with a budget of a tenth");
}

#[test]
fn alarms_stay_whole_while_dashboards_are_held_back() {
    let routes = "routes { open: 24
        route { name: 'alarms' match: \"class in [\\\"record\\\", \\\"once\\\"]\" weight: 3 }
        route { name: 'dashboards' match: 'always' weight: 1 } }";
    let heat = "fault { at_s: 5 for_s: 12 burst { times: 4 } }";
    let whole = |day: &Day, class: u8| {
        let within =
            |l: &&(u8, u16, u32)| l.0 == class && (7..15).contains(&l.1) && Micros::from(l.2) <= 600_000;
        day.latencies.iter().filter(within).count() as f64
    };
    let with = play(&plan(&text(20, 130, 0, &format!("{routes} {heat}"))).unwrap(), Brains::Planned, 2);
    let without = play(&plan(&text(20, 130, 0, heat)).unwrap(), Brains::Planned, 2);
    assert_eq!(with.breaches, []);
    // Records in time, with and without: the routes give them at least what the module alone does.
    assert!(whole(&with, 2) >= 0.98 * whole(&without, 2), "{} {}", whole(&with, 2), whole(&without, 2));
    let refused = |day: &Day| day.seconds[7..15].iter().map(|s| s.refused).sum::<u32>();
    assert!(refused(&with) > 200, "dashboards are turned away at once: {}", refused(&with));
}
