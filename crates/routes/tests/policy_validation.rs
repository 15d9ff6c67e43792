//! Validation of policies: each invalid value is reported with its field and a remedy, and all findings come at once.

use std::num::NonZeroU32;

use beaconshore::interface::*;
use beaconshore_routes::expression::Matcher;
use beaconshore_routes::policy::{Backoff, ConcurrencyBounds, Policy, RateLimit, Route, MAX_ROUTES};

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

/// The findings for a policy, as text.
fn findings(routes: Vec<Route>, concurrency_limit: Option<u32>) -> Vec<String> {
    let (settings, names) = settings();
    let policy = Policy { routes, concurrency_limit };
    policy.findings(&settings, &names).iter().map(ToString::to_string).collect()
}

/// The findings for a policy of one route that matches a class.
fn findings_of_one(class: &str, configure: impl Fn(&mut Route)) -> Vec<String> {
    let mut route = Route::new("r", Matcher::parse(&format!("class == {class:?}")).unwrap());
    configure(&mut route);
    findings(vec![route], None)
}

/// Guards against rejecting a valid policy.
#[test]
fn a_valid_policy_has_no_findings() {
    let every_field = |r: &mut Route| {
        (r.request_timeout, r.attempt_timeout, r.max_attempts) = (Some(1_000 * MS), Some(300 * MS), Some(3));
        r.backoff = Some(Backoff { min: 10 * MS, max: 50 * MS });
        (r.retry_budget, r.max_staleness) = (Some((0.2, 1.0)), Some(150 * MS));
        r.rate_limit = NonZeroU32::new(10).map(|n| RateLimit { per_second: n, burst: n });
        r.concurrency_limit = Some(ConcurrencyBounds { min: 2, max: 100, tolerance: 2.0 });
    };
    assert_eq!(findings_of_one("view", every_field), Vec::<String>::new());
    assert_eq!(
        findings_of_one("log", |r| (r.attempt_timeout, r.max_attempts) = (Some(1_000 * MS), Some(4))),
        Vec::<String>::new()
    );
    assert_eq!(findings_of_one("pay", |r| r.max_attempts = Some(1)), Vec::<String>::new());
}

/// Guards against a policy that violates a guarantee of a class or can never take effect, and against findings that
/// name the wrong field or no remedy.
#[test]
fn an_invalid_value_is_reported_with_its_field_and_remedy() {
    let pause = Some(Backoff { min: MS, max: 600 * MS });
    let cases: Vec<(Vec<String>, &str)> = vec![
        (findings_of_one("log", |r| (r.attempt_timeout, r.max_attempts) = (Some(1_100 * MS), Some(4))), "route[0].attempts: the last attempt may begin 3300 ms after the first, but members drop repeats of class \"log\" for 3000 ms only"),
        (findings_of_one("log", |r| (r.attempt_timeout, r.max_attempts, r.backoff) = (Some(500 * MS), Some(4), pause)), "route[0].attempts: the last attempt may begin 3300 ms"),
        (findings_of_one("pay", |r| r.max_attempts = Some(2)), "route[0].attempts: must be 1, since requests of class \"pay\" must never run twice"),
        (findings_of_one("view", |r| r.request_timeout = Some(1_001 * MS)), "route[0].budget_ms: is 1001 ms, but clients of class \"view\" wait 1000 ms at most"),
        (findings_of_one("view", |r| r.max_staleness = Some(201 * MS)), "route[0].staleness_ms: is 201 ms, but class \"view\" allows 200 ms at most"),
        (findings_of_one("view", |r| (r.request_timeout, r.attempt_timeout) = (Some(500 * MS), Some(501 * MS))), "route[0].attempt_ms: is longer than budget_ms"),
        (findings_of_one("view", |r| r.request_timeout = Some(0)), "route[0].budget_ms: is 0 ms, must be from 1"),
        (findings_of_one("view", |r| r.max_attempts = Some(0)), "route[0].attempts: is 0, must be from 1 to 8"),
        (findings_of_one("view", |r| r.max_attempts = Some(9)), "route[0].attempts: is 9, must be from 1 to 8"),
        (findings_of_one("view", |r| r.backoff = Some(Backoff { min: 9, max: 3 })), "route[0].pause: is from"),
        (findings_of_one("view", |r| r.retry_budget = Some((1.5, 0.0))), "route[0].repeats.share: is 1.5, must be from 0 to 1"),
        (findings_of_one("view", |r| r.retry_budget = Some((f64::NAN, 0.0))), "route[0].repeats.share: is NaN"),
        (findings_of_one("view", |r| r.retry_budget = Some((0.1, -1.0))), "route[0].repeats.floor: is -1"),
        (findings_of_one("view", |r| r.concurrency_limit = Some(ConcurrencyBounds { min: 0, max: 3, tolerance: 2.0 })), "route[0].open: is from 0 to 3"),
        (findings_of_one("view", |r| r.concurrency_limit = Some(ConcurrencyBounds { min: 1, max: 3, tolerance: 1.0 })), "route[0].open.tolerance: must be over 1"),
        (findings_of_one("view", |r| r.weight = 0.0), "route[0].weight: is 0, must be over 0"),
        (findings_of_one("view", |r| r.weight = f64::INFINITY), "route[0].weight: is inf"),
        (findings_of_one("veiw", |_| {}), "route[0].match: no class \"veiw\"; there are view, log, pay"),
        (findings_of_one("view", |r| r.name = String::new()), "route[0].name: is empty, but every route needs a name"),
        (findings(Vec::new(), Some(0)), "open: is 0"),
    ];
    for (messages, expected) in cases {
        assert_eq!(messages.len(), 1, "{expected}: {messages:?}");
        assert!(messages[0].starts_with(expected), "{}\n{expected}", messages[0]);
    }
}

/// Guards against validation that stops at the first finding.
#[test]
fn unreachable_routes_and_duplicate_names_are_reported_together() {
    let route = |name: &str, text: &str| Route::new(name, Matcher::parse(text).unwrap());
    let messages = findings(
        vec![
            route("a", "class in [\"view\", \"log\"]"),
            route("b", "class == \"log\" and has key"),
            route("a", "has session"),
            route("c", "always"),
            route("d", "class == \"pay\""),
        ],
        None,
    );
    assert_eq!(messages.len(), 3, "{messages:?}");
    assert!(messages[0]
        .starts_with("route[1].match: can never match: the earlier route \"a\" takes all of these"));
    assert!(messages[1].starts_with("route[2].name: route[0] has the same name"));
    assert!(messages[2].starts_with("route[4].match: can never match: the earlier route \"c\""));
    let many = (0..=MAX_ROUTES).map(|i| route(&i.to_string(), "has key")).collect();
    assert_eq!(
        findings(many, None),
        [format!("route: has {} routes, must have {MAX_ROUTES} at most", MAX_ROUTES + 1)]
    );
}
