//! Policies that can't be meant: each is refused with the reason, all findings at once.

use std::num::NonZeroU32;

use beaconshore::interface::*;
use beaconshore_routes::expression::Match;
use beaconshore_routes::policy::{OpenLimit, Pause, Policy, RateLimit, Route, MOST_ROUTES};

const MS: Micros = 1_000;

fn settings() -> (Settings, Vec<String>) {
    let class = |consistency, effect, deadline| Class {
        consistency,
        effect,
        latency_target: 250 * MS,
        deadline,
        value: 1.0,
        late_value_share: 0.0,
    };
    let keyed = Effect::Keyed(DedupScope::Group, 3_000 * MS);
    let classes = vec![
        class(Consistency::Bounded(200 * MS), Effect::Safe, 1_000 * MS),
        class(Consistency::Write, keyed, 5_000 * MS),
        class(Consistency::Write, Effect::Unsafe, 5_000 * MS),
    ];
    let limits = Limits { max_attempts: 8, ..Limits::default() };
    (Settings { classes, limits, ..Settings::default() }, ["view", "log", "pay"].map(String::from).into())
}

fn found(routes: Vec<Route>, open: Option<u32>) -> Vec<String> {
    let (settings, names) = settings();
    let policy = Policy { routes, open };
    policy.findings(&settings, &names).iter().map(ToString::to_string).collect()
}

fn one(class: &str, change: impl Fn(&mut Route)) -> Vec<String> {
    let mut route = Route::new("r", Match::read(&format!("class == {class:?}")).unwrap());
    change(&mut route);
    found(vec![route], None)
}

#[test]
fn what_breaks_no_rule_is_taken() {
    let all = |r: &mut Route| {
        (r.budget, r.attempt, r.attempts) = (Some(1_000 * MS), Some(300 * MS), Some(3));
        r.pause = Some(Pause { least: 10 * MS, most: 50 * MS });
        (r.repeats, r.staleness) = (Some((0.2, 1.0)), Some(150 * MS));
        r.rate = NonZeroU32::new(10).map(|n| RateLimit { per_second: n, burst: n });
        r.open = Some(OpenLimit { least: 2, most: 100, tolerance: 2.0 });
    };
    assert_eq!(one("view", all), Vec::<String>::new());
    assert_eq!(one("log", |r| (r.attempt, r.attempts) = (Some(1_000 * MS), Some(4))), Vec::<String>::new());
    assert_eq!(one("pay", |r| r.attempts = Some(1)), Vec::<String>::new());
}

#[test]
fn what_would_break_a_rule_is_refused_with_what_would_be_allowed() {
    let pause = Some(Pause { least: MS, most: 600 * MS });
    let cases: Vec<(Vec<String>, &str)> = vec![
        (one("log", |r| (r.attempt, r.attempts) = (Some(1_100 * MS), Some(4))), "route[0].attempts: the last one may begin 3300 ms after the first, repeats of \"log\" are dropped for 3000 ms only"),
        (one("log", |r| (r.attempt, r.attempts, r.pause) = (Some(500 * MS), Some(4), pause)), "route[0].attempts: the last one may begin 3300 ms"),
        (one("pay", |r| r.attempts = Some(2)), "route[0].attempts: \"pay\" must never run twice"),
        (one("view", |r| r.budget = Some(1_001 * MS)), "route[0].budget_ms: is 1001 ms, clients of \"view\" wait 1000 ms at most"),
        (one("view", |r| r.staleness = Some(201 * MS)), "route[0].staleness_ms: is 201 ms, looser than the 200 ms of \"view\""),
        (one("view", |r| (r.budget, r.attempt) = (Some(500 * MS), Some(501 * MS))), "route[0].attempt_ms: an attempt would outlast the budget"),
        (one("view", |r| r.budget = Some(0)), "route[0].budget_ms: is 0 ms, must be from 1"),
        (one("view", |r| r.attempts = Some(0)), "route[0].attempts: is 0, must be from 1 to 8"),
        (one("view", |r| r.attempts = Some(9)), "route[0].attempts: is 9, must be from 1 to 8"),
        (one("view", |r| r.pause = Some(Pause { least: 9, most: 3 })), "route[0].pause: from"),
        (one("view", |r| r.repeats = Some((1.5, 0.0))), "route[0].repeats.share: is 1.5, must be from 0 to 1"),
        (one("view", |r| r.repeats = Some((f64::NAN, 0.0))), "route[0].repeats.share: is NaN"),
        (one("view", |r| r.repeats = Some((0.1, -1.0))), "route[0].repeats.floor: is -1"),
        (one("view", |r| r.open = Some(OpenLimit { least: 0, most: 3, tolerance: 2.0 })), "route[0].open: from 0 to 3"),
        (one("view", |r| r.open = Some(OpenLimit { least: 1, most: 3, tolerance: 1.0 })), "route[0].open.tolerance: must be over 1"),
        (one("view", |r| r.weight = 0.0), "route[0].weight: is 0, must be over 0"),
        (one("view", |r| r.weight = f64::INFINITY), "route[0].weight: is inf"),
        (one("veiw", |_| {}), "route[0].match: no class \"veiw\"; there are view, log, pay"),
        (one("view", |r| r.name = String::new()), "route[0].name: a name is needed"),
        (found(Vec::new(), Some(0)), "open: is 0"),
    ];
    for (said, expected) in cases {
        assert_eq!(said.len(), 1, "{expected}: {said:?}");
        assert!(said[0].starts_with(expected), "{}\n{expected}", said[0]);
    }
}

#[test]
fn a_route_that_none_reaches_and_names_that_stand_twice_are_told_together() {
    let route = |name: &str, text: &str| Route::new(name, Match::read(text).unwrap());
    let said = found(
        vec![
            route("a", "class in [\"view\", \"log\"]"),
            route("b", "class == \"log\" and has key"),
            route("a", "has session"),
            route("c", "always"),
            route("d", "class == \"pay\""),
        ],
        None,
    );
    assert_eq!(said.len(), 3, "{said:?}");
    assert!(said[0].starts_with("route[1].match: is never reached: \"a\" before it takes all of these"));
    assert!(said[1].starts_with("route[2].name: route[0] has the same name"));
    assert!(said[2].starts_with("route[4].match: is never reached: \"c\""));
    let many = (0..=MOST_ROUTES).map(|i| route(&i.to_string(), "has key")).collect();
    assert_eq!(found(many, None), [format!("route: {} routes, {MOST_ROUTES} at most", MOST_ROUTES + 1)]);
}
