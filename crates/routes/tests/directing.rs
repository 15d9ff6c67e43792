//! A director over made-up requests: what is turned away, what may follow a failure, and reloads under way.

use std::num::NonZeroU32;

use beaconshore::interface::{Micros, Outcome, RequestId, RouteLimits, ZoneId};
use beaconshore_routes::director::{Again, Cause, Director, Over, Verdict};
use beaconshore_routes::expression::{Facts, Match};
use beaconshore_routes::policy::{OpenLimit, Pause, Policy, RateLimit, Route};

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;

fn route(name: &str, text: &str, change: impl Fn(&mut Route)) -> Route {
    let mut route = Route::new(name, Match::read(text).unwrap());
    change(&mut route);
    route
}

fn facts(class: &str) -> Facts<'_> {
    Facts { class, ..Facts::default() }
}

struct Stage {
    director: Director,
    now: Micros,
    next: u64,
}

impl Stage {
    fn new(routes: Vec<Route>, open: Option<u32>) -> Stage {
        Stage { director: Director::new(Policy { routes, open }, 7, SECOND), now: SECOND, next: 0 }
    }

    fn ask(&mut self, class: &str) -> (RequestId, Verdict) {
        self.next += 1;
        let id = RequestId(self.next);
        (id, self.director.on_request(id, &facts(class), 5 * SECOND, self.now))
    }

    fn admitted(&mut self, class: &str) -> Option<RequestId> {
        let (id, verdict) = self.ask(class);
        matches!(verdict, Verdict::Admit(..)).then_some(id)
    }

    fn counts(&self, name: &str) -> beaconshore_routes::director::Counts {
        self.director.counts().into_iter().find(|(n, _)| *n == name).unwrap().1
    }
}

#[test]
fn a_request_is_narrowed_by_the_first_route_that_it_matches() {
    let mut stage = Stage::new(
        vec![
            route("views", "class == \"view\"", |r| {
                (r.budget, r.attempt, r.attempts) = (Some(800 * MS), Some(300 * MS), Some(2));
                (r.staleness, r.zones) = (Some(100 * MS), vec![ZoneId(0), ZoneId(2)]);
            }),
            route("rest", "always", |_| {}),
        ],
        None,
    );
    let narrow = RouteLimits { attempts: 2, attempt: 300 * MS, staleness: 100 * MS, zones: 0b101 };
    assert_eq!(stage.ask("view").1, Verdict::Admit(800 * MS, narrow));
    assert_eq!(stage.ask("log").1, Verdict::Admit(5 * SECOND, RouteLimits::default()));
    // What its client has used up counts: less than the budget stays less.
    let verdict = stage.director.on_request(RequestId(99), &facts("view"), 200 * MS, stage.now);
    assert!(matches!(verdict, Verdict::Admit(left, _) if left == 200 * MS));
}

#[test]
fn one_client_that_fills_its_limits_is_turned_away_and_the_places_come_back() {
    let limits = |r: &mut Route| r.open = Some(OpenLimit { least: 4, most: 4, tolerance: 2.0 });
    let mut stage =
        Stage::new(vec![route("views", "class == \"view\"", limits), route("rest", "always", |_| {})], None);
    let open: Vec<RequestId> = (0..10).filter_map(|_| stage.admitted("view")).collect();
    assert_eq!(open.len(), 4);
    let (_, verdict) = stage.ask("view");
    assert!(matches!(verdict, Verdict::TurnAway(Cause::Open, after) if after > 0));
    assert!(stage.admitted("log").is_some(), "another route is not touched");
    open.into_iter().for_each(|id| stage.director.on_over(id, Over::Left, stage.now));
    assert_eq!((0..10).filter_map(|_| stage.admitted("view")).count(), 4);
    assert_eq!((stage.counts("views").taken, stage.counts("views").open), (21, 13));
}

#[test]
fn a_rate_is_held_and_says_when_to_come_back() {
    let count = |n| NonZeroU32::new(n).unwrap();
    let limit = |r: &mut Route| r.rate = Some(RateLimit { per_second: count(20), burst: count(5) });
    let mut stage = Stage::new(vec![route("views", "always", limit)], None);
    assert_eq!((0..50).filter_map(|_| stage.admitted("view")).count(), 5);
    let (_, verdict) = stage.ask("view");
    let Verdict::TurnAway(Cause::Rate, after) = verdict else { panic!("{verdict:?}") };
    stage.now += after;
    assert!(stage.admitted("view").is_some());
}

#[test]
fn under_a_total_outage_repeats_stay_at_most_their_share() {
    let repeats = |r: &mut Route| r.repeats = Some((0.1, 1.0));
    let mut stage = Stage::new(vec![route("views", "always", repeats)], None);
    let (mut tries, mut again) = (0_u32, 0_u32);
    for _ in 0..20_000 {
        stage.now += 3 * MS;
        let id = stage.admitted("view").unwrap();
        tries += 1;
        // The decision module would go on as long as it may, eight times.
        for _ in 0..7 {
            match stage.director.on_failed(id, Outcome::Reset, stage.now) {
                Again::At(_) => again += 1,
                Again::Never => break,
            }
        }
        stage.director.on_over(id, Over::Unserved, stage.now);
    }
    let share = f64::from(again) / f64::from(tries);
    assert!(share < 0.105, "{share} repeats for each first try");
    assert_eq!(u64::from(again), stage.counts("views").again);
    assert!(stage.counts("views").denied > 15_000);
    // What a member turned away untouched cost nothing.
    let id = stage.admitted("view").unwrap();
    assert_eq!(stage.director.on_failed(id, Outcome::Misdirected, stage.now), Again::At(stage.now));
}

#[test]
fn pauses_are_drawn_and_grow_within_their_bounds() {
    let pause = |r: &mut Route| r.pause = Some(Pause { least: 10 * MS, most: 200 * MS });
    let mut stage = Stage::new(vec![route("views", "always", pause)], None);
    let mut seen: Vec<Vec<Micros>> = Vec::new();
    for _ in 0..300 {
        let id = stage.admitted("view").unwrap();
        let mut pauses = Vec::new();
        for _ in 0..6 {
            let Again::At(at) = stage.director.on_failed(id, Outcome::TimedOut, stage.now) else { panic!() };
            pauses.push(at - stage.now);
        }
        seen.push(pauses);
    }
    assert!(seen.iter().flatten().all(|p| (10 * MS..=200 * MS).contains(p)));
    let mean = |n: usize| seen.iter().map(|p| p[n]).sum::<Micros>() / seen.len() as Micros;
    assert!(mean(0) < 40 * MS && mean(5) > 60 * MS, "{} then {}", mean(0), mean(5));
    seen.sort();
    seen.dedup();
    assert!(seen.len() > 290, "each request has pauses of its own");
}

#[test]
fn a_slow_route_starves_nobody() {
    let routes = vec![route("slow", "class == \"slow\"", |_| {}), route("quick", "always", |_| {})];
    let mut stage = Stage::new(routes, Some(20));
    // The slow route's requests never end; the quick one's end at once.
    let stuck = (0..200).filter_map(|_| stage.admitted("slow")).count();
    assert_eq!(stuck, 20, "an idle part is lent");
    for _ in 0..1_000 {
        stage.now += MS;
        let id = stage.admitted("quick").expect("its part is its own, even while another has borrowed it");
        stage.director.on_over(id, Over::Served, stage.now);
        assert!(stage.admitted("slow").is_none());
    }
    assert_eq!(stage.counts("quick").share, 0);
}

#[test]
fn a_reload_under_way_keeps_counts_and_places_by_name() {
    let limits = |least: u32| {
        move |r: &mut Route| {
            r.open = Some(OpenLimit { least, most: least, tolerance: 2.0 });
            r.budget = Some(SECOND);
        }
    };
    let views = |least| route("views", "class == \"view\"", limits(least));
    let logs = || route("logs", "class == \"log\"", |r| r.repeats = Some((0.0, 1.0)));
    let mut stage = Stage::new(vec![views(4), logs()], Some(50));
    let open: Vec<RequestId> = (0..64).filter_map(|_| stage.admitted("view")).collect();
    let logged = stage.admitted("log").unwrap();
    assert_eq!(stage.director.on_failed(logged, Outcome::Reset, stage.now), Again::At(stage.now));
    // Another order, a smaller limit for views: the four that are open fill it.
    stage.director.reload(Policy { routes: vec![logs(), views(2)], open: Some(50) }, stage.now);
    assert_eq!(stage.director.held(), 5);
    assert_eq!(stage.counts("views").taken, 64);
    assert!(stage.admitted("view").is_none());
    assert_eq!(
        stage.director.on_failed(logged, Outcome::Reset, stage.now),
        Again::Never,
        "its budget went on"
    );
    open[..3].iter().for_each(|id| stage.director.on_over(*id, Over::Served, stage.now));
    assert!(stage.admitted("view").is_some());
    // A policy without the route: its open requests go on, and hold nothing.
    stage.director.reload(Policy { routes: vec![logs()], open: Some(1) }, stage.now);
    assert_eq!(stage.director.held(), 1, "that of the log");
    stage.director.on_over(open[3], Over::Served, stage.now);
    assert_eq!(stage.director.on_failed(open[3], Outcome::Reset, stage.now), Again::At(stage.now));
    stage.director.on_over(logged, Over::Unserved, stage.now);
    assert!(stage.admitted("log").is_some());
    assert_eq!(stage.director.held(), 1);
}
