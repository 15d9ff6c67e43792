//! The director: finds each request's route, admits it or turns it away, and says what may follow an attempt.

use std::collections::BTreeMap;

use beaconshore::interface::{Class, Effect, Micros, Outcome, Request, RequestId, RouteLimits, Settings};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::concurrency::{Concurrency, End};
use crate::expression::Facts;
use crate::fair::Fair;
use crate::policy::{Pause, Policy, Route};
use crate::rate::Rate;
use crate::repeats::Repeats;
use crate::table::Table;

/// A client that is turned away for want of room is to come back after this, in microseconds.
const COME_BACK: Micros = 250_000;
/// Requests that are followed at once; further ones are not narrowed, and counted.
const MOST_REQUESTS: usize = 65_536;
/// A pause grows up to so many times the one before.
const GROWTH: u64 = 3;

/// Why a request was turned away.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// The route's rate.
    Rate,
    /// The route's limit on open requests.
    Open,
    /// The common limit on open requests.
    Share,
}

/// What becomes of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// It goes on with this much time, narrowed so.
    Admit(Micros, RouteLimits),
    /// It is refused at once: why, and when to come back.
    TurnAway(Cause, Micros),
}

/// What may follow a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Again {
    /// Another, not before this time.
    At(Micros),
    /// None: the budget for repeats is used up.
    Never,
}

/// What a route did so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests that took it.
    pub taken: u64,
    /// Turned away, by cause.
    pub rate: u64,
    /// By its own limit.
    pub open: u64,
    /// By the common limit.
    pub share: u64,
    /// Repeats allowed.
    pub again: u64,
    /// Repeats denied by the budget.
    pub denied: u64,
}

struct State {
    route: Route,
    rate: Option<Rate>,
    open: Option<Concurrency>,
    repeats: Option<Repeats>,
    counts: Counts,
}

struct Held {
    route: usize,
    since: Micros,
    /// The last pause.
    pause: Micros,
    tried: bool,
}

/// Directs the requests of one router.
pub struct Director {
    routes: Vec<Route>,
    states: Vec<State>,
    table: Table,
    fair: Option<Fair>,
    held: BTreeMap<RequestId, Held>,
    random: ChaCha8Rng,
}

impl Director {
    /// One for a policy that was checked; the seed is for pauses.
    pub fn new(policy: Policy, seed: u64, now: Micros) -> Self {
        let table = Table::new(&policy.routes);
        let fair = policy.open.map(|limit| Fair::new(limit, policy.routes.iter().map(|r| r.weight)));
        let state = |route: &Route| State {
            rate: route.rate.map(|r| Rate::new(r.per_second, r.burst, now)),
            open: route.open.map(|o| Concurrency::new(o.least, o.most, o.tolerance)),
            repeats: route.repeats.map(|(share, floor)| Repeats::new(share, floor, now)),
            counts: Counts::default(),
            route: route.clone(),
        };
        let states = policy.routes.iter().map(state).collect();
        let random = ChaCha8Rng::seed_from_u64(seed);
        Director { routes: policy.routes, states, table, fair, held: BTreeMap::new(), random }
    }

    /// A request comes with so much time left to its client.
    pub fn on_request(&mut self, id: RequestId, facts: &Facts, left: Micros, now: Micros) -> Verdict {
        let untouched = Verdict::Admit(left, RouteLimits::default());
        let Some(index) = self.table.find(&self.routes, facts) else { return untouched };
        if self.held.len() >= MOST_REQUESTS {
            return untouched;
        }
        let state = &mut self.states[index];
        state.counts.taken += 1;
        if state.open.as_ref().is_some_and(|open| !open.has_room()) {
            state.counts.open += 1;
            return Verdict::TurnAway(Cause::Open, COME_BACK);
        }
        // The places are taken in the end only: what is turned away has none to give back.
        if let Some(Err(wait)) = state.rate.as_mut().map(|rate| rate.admit(now)) {
            state.counts.rate += 1;
            return Verdict::TurnAway(Cause::Rate, wait);
        }
        if self.fair.as_mut().is_some_and(|fair| !fair.enter(index, now)) {
            state.counts.share += 1;
            return Verdict::TurnAway(Cause::Share, COME_BACK);
        }
        state.open.iter_mut().for_each(Concurrency::enter);
        state.repeats.iter_mut().for_each(|repeats| repeats.on_try(now));
        self.held.insert(id, Held { route: index, since: now, pause: 0, tried: false });
        let route = &state.route;
        let zones = route.zones.iter().fold(0_u64, |mask, zone| mask | 1 << u32::from(zone.0).min(63));
        let narrow = RouteLimits {
            attempts: route.attempts.unwrap_or(u32::MAX),
            attempt: route.attempt.unwrap_or(0),
            staleness: route.staleness.unwrap_or(Micros::MAX),
            zones: if route.zones.is_empty() { u64::MAX } else { zones },
        };
        Verdict::Admit(route.budget.map_or(left, |budget| left.min(budget)), narrow)
    }

    /// An attempt ended without serving its request: what may follow.
    pub fn on_failed(&mut self, id: RequestId, outcome: Outcome, now: Micros) -> Again {
        let Some(held) = self.held.get_mut(&id) else { return Again::At(now) };
        // What never left, or was turned away untouched, cost nobody anything.
        if outcome.never_ran() && outcome != Outcome::Unreachable {
            return Again::At(now);
        }
        held.tried = true;
        let state = &mut self.states[held.route];
        if state.repeats.as_mut().is_some_and(|repeats| !repeats.allow(now)) {
            state.counts.denied += 1;
            return Again::Never;
        }
        state.counts.again += 1;
        let Some(Pause { least, most }) = state.route.pause else { return Again::At(now) };
        let highest = (held.pause.max(least) * GROWTH).min(most).max(least);
        held.pause = self.random.random_range(least..=highest);
        Again::At(now + held.pause)
    }

    /// A request has its final answer, or its client left.
    pub fn on_over(&mut self, id: RequestId, end: Over, now: Micros) {
        let Some(held) = self.held.remove(&id) else { return };
        if let Some(fair) = &mut self.fair {
            fair.leave(held.route);
        }
        let end = match end {
            Over::Served => End::Served(now.saturating_sub(held.since)),
            Over::Unserved if held.tried => End::Failed,
            Over::Unserved | Over::Left => End::Other,
        };
        self.states[held.route].open.iter_mut().for_each(|open| open.leave(end, now));
    }

    /// A new policy takes the place of this one, as a whole: limits and counts go on by name where they are the same,
    /// and open requests keep what they were told at the start.
    pub fn reload(&mut self, policy: Policy, now: Micros) {
        let mut new = Director::new(policy, self.random.random(), now);
        let before = std::mem::take(&mut self.states).into_iter().enumerate();
        let mut before: BTreeMap<String, (usize, State)> =
            before.map(|(i, state)| (state.route.name.clone(), (i, state))).collect();
        // Routes that go on: their index now, and whether their limit on open requests goes on with its places.
        let mut moved: BTreeMap<usize, (usize, bool)> = BTreeMap::new();
        for (index, state) in new.states.iter_mut().enumerate() {
            let Some((was, had)) = before.remove(&state.route.name) else { continue };
            let same = had.route.open == state.route.open;
            moved.insert(was, (index, same));
            state.counts = had.counts;
            if had.route.rate == state.route.rate {
                state.rate = had.rate;
            }
            if had.route.repeats == state.route.repeats {
                state.repeats = had.repeats;
            }
            if same {
                state.open = had.open;
            }
        }
        for (id, held) in std::mem::take(&mut self.held) {
            // A request whose route is gone goes on by what it was told, and holds no place any more.
            let Some(&(route, same)) = moved.get(&held.route) else { continue };
            if !same {
                new.states[route].open.iter_mut().for_each(Concurrency::enter);
            }
            new.fair.iter_mut().for_each(|fair| fair.take(route));
            new.held.insert(id, Held { route, ..held });
        }
        *self = new;
    }

    /// What each route did, by name.
    pub fn counts(&self) -> Vec<(&str, Counts)> {
        self.states.iter().map(|s| (s.route.name.as_str(), s.counts)).collect()
    }

    /// Requests that are followed.
    pub fn held(&self) -> usize {
        self.held.len()
    }

    /// The route that a request would take.
    pub fn route_of(&self, facts: &Facts) -> Option<&Route> {
        self.table.find(&self.routes, facts).map(|i| &self.routes[i])
    }
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Over {
    /// Served.
    Served,
    /// Refused or failed.
    Unserved,
    /// Its client left.
    Left,
}

/// The facts that a request brings by itself; fronts add what they know of its connection.
pub fn facts<'a>(request: &Request, settings: &Settings, names: &'a [String]) -> Facts<'a> {
    let keyed = |c: &Class| matches!(c.effect, Effect::Keyed(..));
    Facts {
        class: names.get(request.class).map_or("", String::as_str),
        group: request.group.0,
        key: settings.classes.get(request.class).is_some_and(keyed),
        session: request.session.is_some(),
        repeat: request.repeat,
        ..Facts::default()
    }
}
