//! Runs a route controller over synthetic requests: admission and rejection, decisions on retries, and reloads while requests
//! are in flight.

use std::num::NonZeroU32;

use beaconshore::interface::{Micros, Outcome, RequestId, RouteLimits, ZoneId};
use beaconshore_routes::controller::{Admission, RejectReason, RequestEnd, RetryDecision, RouteController};
use beaconshore_routes::expression::{Matcher, RequestAttributes};
use beaconshore_routes::policy::{Backoff, ConcurrencyBounds, Policy, RateLimit, Route};

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;

fn route(name: &str, match_text: &str, configure: impl Fn(&mut Route)) -> Route {
    let mut route = Route::new(name, Matcher::parse(match_text).unwrap());
    configure(&mut route);
    route
}

fn attributes(class: &str) -> RequestAttributes<'_> {
    RequestAttributes { class, ..RequestAttributes::default() }
}

/// A route controller with a clock and a source of request ids.
struct Harness {
    controller: RouteController,
    now: Micros,
    last_id: u64,
}

impl Harness {
    fn new(routes: Vec<Route>, concurrency_limit: Option<u32>) -> Harness {
        Harness {
            controller: RouteController::new(Policy { routes, concurrency_limit }, 7, SECOND),
            now: SECOND,
            last_id: 0,
        }
    }

    /// Offers a request of a class, whose client waits for 5 s.
    fn offer(&mut self, class: &str) -> (RequestId, Admission) {
        self.last_id += 1;
        let id = RequestId(self.last_id);
        (id, self.controller.on_request(id, &attributes(class), 5 * SECOND, self.now))
    }

    /// Offers a request of a class and returns its id if it is admitted.
    fn try_admit(&mut self, class: &str) -> Option<RequestId> {
        let (id, admission) = self.offer(class);
        matches!(admission, Admission::Admit(..)).then_some(id)
    }

    fn counters(&self, name: &str) -> beaconshore_routes::controller::RouteCounters {
        self.controller.counters().into_iter().find(|(n, _)| *n == name).unwrap().1
    }
}

/// Guards against restrictions of a later route or of none, and against a route extending the time that a client waits.
#[test]
fn a_request_is_restricted_by_the_first_route_that_it_matches() {
    let mut harness = Harness::new(
        vec![
            route("views", "class == \"view\"", |r| {
                (r.request_timeout, r.attempt_timeout, r.max_attempts) =
                    (Some(800 * MS), Some(300 * MS), Some(2));
                (r.max_staleness, r.zones) = (Some(100 * MS), vec![ZoneId(0), ZoneId(2)]);
            }),
            route("rest", "always", |_| {}),
        ],
        None,
    );
    let limits =
        RouteLimits { max_attempts: 2, attempt_timeout: 300 * MS, max_staleness: 100 * MS, zone_mask: 0b101 };
    assert_eq!(harness.offer("view").1, Admission::Admit(800 * MS, limits));
    assert_eq!(harness.offer("log").1, Admission::Admit(5 * SECOND, RouteLimits::default()));
    // A client that waits for less time than the route's budget keeps its shorter time.
    let admission = harness.controller.on_request(RequestId(99), &attributes("view"), 200 * MS, harness.now);
    assert!(matches!(admission, Admission::Admit(left, _) if left == 200 * MS));
}

/// Guards against a route that exceeds its concurrency limit, that blocks other routes, or that loses slots.
#[test]
fn a_full_concurrency_limit_rejects_requests_until_slots_are_given_back() {
    let limit =
        |r: &mut Route| r.concurrency_limit = Some(ConcurrencyBounds { min: 4, max: 4, tolerance: 2.0 });
    let mut harness =
        Harness::new(vec![route("views", "class == \"view\"", limit), route("rest", "always", |_| {})], None);
    let open: Vec<RequestId> = (0..10).filter_map(|_| harness.try_admit("view")).collect();
    assert_eq!(open.len(), 4);
    let (_, admission) = harness.offer("view");
    assert!(matches!(admission, Admission::Reject(RejectReason::ConcurrencyLimit, after) if after > 0));
    assert!(harness.try_admit("log").is_some(), "another route is not affected");
    open.into_iter()
        .for_each(|id| harness.controller.on_request_ended(id, RequestEnd::ClientLeft, harness.now));
    assert_eq!((0..10).filter_map(|_| harness.try_admit("view")).count(), 4);
    assert_eq!(
        (harness.counters("views").matched, harness.counters("views").rejected_by_concurrency),
        (21, 13)
    );
}

/// Guards against a rate limit that admits more than its burst, and against a client rejected again after the time
/// that it was told to wait.
#[test]
fn a_rate_limit_rejects_the_excess_and_tells_when_to_come_back() {
    let count = |n| NonZeroU32::new(n).unwrap();
    let limit = |r: &mut Route| r.rate_limit = Some(RateLimit { per_second: count(20), burst: count(5) });
    let mut harness = Harness::new(vec![route("views", "always", limit)], None);
    assert_eq!((0..50).filter_map(|_| harness.try_admit("view")).count(), 5);
    let (_, admission) = harness.offer("view");
    let Admission::Reject(RejectReason::RateLimit, after) = admission else { panic!("{admission:?}") };
    harness.now += after;
    assert!(harness.try_admit("view").is_some());
}

/// Guards against retries amplifying an outage: every attempt fails, and each request is retried as often as allowed.
#[test]
fn retries_stay_within_their_share_during_a_total_outage() {
    let retry_budget = |r: &mut Route| r.retry_budget = Some((0.1, 1.0));
    let mut harness = Harness::new(vec![route("views", "always", retry_budget)], None);
    let (mut first_attempts, mut retries) = (0_u32, 0_u32);
    for _ in 0..20_000 {
        harness.now += 3 * MS;
        let id = harness.try_admit("view").unwrap();
        first_attempts += 1;
        // The decision module retries as long as it may, up to eight attempts in all.
        for _ in 0..7 {
            match harness.controller.on_attempt_failed(id, Outcome::Reset, harness.now) {
                RetryDecision::At(_) => retries += 1,
                RetryDecision::Denied => break,
            }
        }
        harness.controller.on_request_ended(id, RequestEnd::Unserved, harness.now);
    }
    let share = f64::from(retries) / f64::from(first_attempts);
    assert!(share < 0.105, "{share} retries for each first attempt");
    assert_eq!(u64::from(retries), harness.counters("views").retries_allowed);
    assert!(harness.counters("views").retries_denied > 15_000);
    // An attempt that the member rejected without running it is not charged to the budget.
    let id = harness.try_admit("view").unwrap();
    assert_eq!(
        harness.controller.on_attempt_failed(id, Outcome::Misdirected, harness.now),
        RetryDecision::At(harness.now)
    );
}

/// Guards against delays out of bounds, delays that do not grow, and requests that retry in lockstep.
#[test]
fn retry_delays_are_random_and_grow_within_their_bounds() {
    let backoff = |r: &mut Route| r.backoff = Some(Backoff { min: 10 * MS, max: 200 * MS });
    let mut harness = Harness::new(vec![route("views", "always", backoff)], None);
    let mut sequences: Vec<Vec<Micros>> = Vec::new();
    for _ in 0..300 {
        let id = harness.try_admit("view").unwrap();
        let mut delays = Vec::new();
        for _ in 0..6 {
            let RetryDecision::At(at) =
                harness.controller.on_attempt_failed(id, Outcome::TimedOut, harness.now)
            else {
                panic!()
            };
            delays.push(at - harness.now);
        }
        sequences.push(delays);
    }
    assert!(sequences.iter().flatten().all(|p| (10 * MS..=200 * MS).contains(p)));
    let mean = |n: usize| sequences.iter().map(|p| p[n]).sum::<Micros>() / sequences.len() as Micros;
    assert!(mean(0) < 40 * MS && mean(5) > 60 * MS, "{} then {}", mean(0), mean(5));
    sequences.sort();
    sequences.dedup();
    assert!(sequences.len() > 290, "each request has random delays of its own");
}

/// Guards against a route whose requests never end taking the guaranteed share of another route.
#[test]
fn a_slow_route_does_not_starve_another() {
    let routes = vec![route("slow", "class == \"slow\"", |_| {}), route("quick", "always", |_| {})];
    let mut harness = Harness::new(routes, Some(20));
    // Requests of the slow route never end; those of the quick one end at once.
    let stuck = (0..200).filter_map(|_| harness.try_admit("slow")).count();
    assert_eq!(stuck, 20, "the slow route borrows the idle share");
    for _ in 0..1_000 {
        harness.now += MS;
        let id = harness
            .try_admit("quick")
            .expect("a route gets its guaranteed share even while another has borrowed it");
        harness.controller.on_request_ended(id, RequestEnd::Served, harness.now);
        assert!(harness.try_admit("slow").is_none());
    }
    assert_eq!(harness.counters("quick").rejected_by_shared_limit, 0);
}

/// Guards against a reload that resets counters or budgets, loses slots of requests in flight, or mixes up routes when
/// their order changes.
#[test]
fn a_reload_keeps_counters_limits_and_slots_by_route_name() {
    let limits = |min: u32| {
        move |r: &mut Route| {
            r.concurrency_limit = Some(ConcurrencyBounds { min, max: min, tolerance: 2.0 });
            r.request_timeout = Some(SECOND);
        }
    };
    let views = |min| route("views", "class == \"view\"", limits(min));
    let logs = || route("logs", "class == \"log\"", |r| r.retry_budget = Some((0.0, 1.0)));
    let mut harness = Harness::new(vec![views(4), logs()], Some(50));
    let open: Vec<RequestId> = (0..64).filter_map(|_| harness.try_admit("view")).collect();
    let logged = harness.try_admit("log").unwrap();
    assert_eq!(
        harness.controller.on_attempt_failed(logged, Outcome::Reset, harness.now),
        RetryDecision::At(harness.now)
    );
    // Another order and a smaller limit for views: the four requests in flight fill it.
    harness
        .controller
        .reload(Policy { routes: vec![logs(), views(2)], concurrency_limit: Some(50) }, harness.now);
    assert_eq!(harness.controller.tracked_requests(), 5);
    assert_eq!(harness.counters("views").matched, 64);
    assert!(harness.try_admit("view").is_none());
    assert_eq!(
        harness.controller.on_attempt_failed(logged, Outcome::Reset, harness.now),
        RetryDecision::Denied,
        "the retry budget survives the reload"
    );
    open[..3].iter().for_each(|id| harness.controller.on_request_ended(*id, RequestEnd::Served, harness.now));
    assert!(harness.try_admit("view").is_some());
    // A policy without the route: its requests in flight continue, and hold no slot.
    harness.controller.reload(Policy { routes: vec![logs()], concurrency_limit: Some(1) }, harness.now);
    assert_eq!(harness.controller.tracked_requests(), 1, "only the request of the route logs is tracked");
    harness.controller.on_request_ended(open[3], RequestEnd::Served, harness.now);
    assert_eq!(
        harness.controller.on_attempt_failed(open[3], Outcome::Reset, harness.now),
        RetryDecision::At(harness.now)
    );
    harness.controller.on_request_ended(logged, RequestEnd::Unserved, harness.now);
    assert!(harness.try_admit("log").is_some());
    assert_eq!(harness.controller.tracked_requests(), 1);
}
