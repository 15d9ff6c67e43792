//! Applies a policy of routes to the requests of one router: finds each request's route, admits or rejects the request,
//! and decides whether and when a failed attempt may be retried.

use std::collections::BTreeMap;

use beaconshore::interface::{Class, Effect, Micros, Outcome, Request, RequestId, RouteLimits, Settings};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::concurrency_limit::{ConcurrencyLimit, LoadSample};
use crate::expression::RequestAttributes;
use crate::policy::{Backoff, Policy, Route};
use crate::rate_limit::RouteRateLimiter;
use crate::retry_budget::RetryBudget;
use crate::route_index::RouteIndex;
use crate::weighted_shares::WeightedShares;

/// Delay after which a client may come back if a concurrency limit rejected its request, in microseconds.
const RETRY_AFTER_US: Micros = 250_000;
/// Maximum number of requests that are tracked at once. Further requests are admitted without a route: they are neither
/// narrowed nor counted.
const MAX_TRACKED_REQUESTS: usize = 65_536;
/// Maximum ratio of a retry's delay to the delay before it.
const BACKOFF_GROWTH: u64 = 3;

/// The limit that rejected a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectReason {
    /// The route's limit on the rate of first attempts.
    RateLimit,
    /// The route's limit on requests in flight.
    ConcurrencyLimit,
    /// The limit on requests in flight that all routes share.
    SharedLimit,
}

/// Decision on a new request.
#[derive(Clone, Debug, PartialEq)]
pub enum Admission {
    /// The request is admitted with this much time, in microseconds, and with these restrictions.
    Admit(Micros, RouteLimits),
    /// The request is rejected at once, by this limit. The client may come back after this time, in microseconds.
    Reject(RejectReason, Micros),
}

/// Decision on a retry after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// A retry is allowed, but not before this time.
    At(Micros),
    /// No retry is allowed: the route's retry budget is used up.
    Denied,
}

/// Counters of one route since the router started. Reloads keep them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RouteCounters {
    /// Requests that matched the route, including those that it rejected.
    pub matched: u64,
    /// Requests rejected by the route's rate limit.
    pub rejected_by_rate: u64,
    /// Requests rejected by the route's own concurrency limit.
    pub rejected_by_concurrency: u64,
    /// Requests rejected by the concurrency limit that all routes share.
    pub rejected_by_shared_limit: u64,
    /// Retries allowed.
    pub retries_allowed: u64,
    /// Retries denied by the retry budget.
    pub retries_denied: u64,
}

struct RouteState {
    route: Route,
    rate_limiter: Option<RouteRateLimiter>,
    concurrency: Option<ConcurrencyLimit>,
    retry_budget: Option<RetryBudget>,
    counters: RouteCounters,
}

struct TrackedRequest {
    route: usize,
    admitted_at: Micros,
    /// Delay before the last retry, in microseconds.
    last_delay: Micros,
    /// Whether an attempt failed in a way that says something of the load.
    was_attempted: bool,
}

/// Applies the routes of a policy to the requests of one router.
pub struct RouteController {
    routes: Vec<Route>,
    states: Vec<RouteState>,
    index: RouteIndex,
    shares: Option<WeightedShares>,
    tracked: BTreeMap<RequestId, TrackedRequest>,
    random: ChaCha8Rng,
}

impl RouteController {
    /// Creates a controller for a policy that [`Policy::findings`] found to be valid. The seed is for the random delays
    /// of retries.
    pub fn new(policy: Policy, seed: u64, now: Micros) -> Self {
        let index = RouteIndex::new(&policy.routes);
        let shares = policy
            .concurrency_limit
            .map(|limit| WeightedShares::new(limit, policy.routes.iter().map(|r| r.weight)));
        let state = |route: &Route| RouteState {
            rate_limiter: route.rate_limit.map(|r| RouteRateLimiter::new(r.per_second, r.burst, now)),
            concurrency: route.concurrency_limit.map(|o| ConcurrencyLimit::new(o.min, o.max, o.tolerance)),
            retry_budget: route.retry_budget.map(|(share, floor)| RetryBudget::new(share, floor, now)),
            counters: RouteCounters::default(),
            route: route.clone(),
        };
        let states = policy.routes.iter().map(state).collect();
        let random = ChaCha8Rng::seed_from_u64(seed);
        RouteController { routes: policy.routes, states, index, shares, tracked: BTreeMap::new(), random }
    }

    /// Admits or rejects a new request, whose client waits for `time_left` microseconds more.
    pub fn on_request(
        &mut self,
        id: RequestId,
        attributes: &RequestAttributes,
        time_left: Micros,
        now: Micros,
    ) -> Admission {
        let unrestricted = Admission::Admit(time_left, RouteLimits::default());
        let Some(index) = self.index.find(&self.routes, attributes) else { return unrestricted };
        if self.tracked.len() >= MAX_TRACKED_REQUESTS {
            return unrestricted;
        }
        let state = &mut self.states[index];
        state.counters.matched += 1;
        if state.concurrency.as_ref().is_some_and(|limit| !limit.has_capacity()) {
            state.counters.rejected_by_concurrency += 1;
            return Admission::Reject(RejectReason::ConcurrencyLimit, RETRY_AFTER_US);
        }
        // Slots are taken only after every check has passed, so that a rejected request has none to give back.
        if let Some(Err(wait)) = state.rate_limiter.as_mut().map(|limiter| limiter.try_admit(now)) {
            state.counters.rejected_by_rate += 1;
            return Admission::Reject(RejectReason::RateLimit, wait);
        }
        if self.shares.as_mut().is_some_and(|shares| !shares.try_acquire(index, now)) {
            state.counters.rejected_by_shared_limit += 1;
            return Admission::Reject(RejectReason::SharedLimit, RETRY_AFTER_US);
        }
        state.concurrency.iter_mut().for_each(ConcurrencyLimit::acquire);
        state.retry_budget.iter_mut().for_each(|budget| budget.record_first_attempt(now));
        self.tracked.insert(
            id,
            TrackedRequest { route: index, admitted_at: now, last_delay: 0, was_attempted: false },
        );
        let route = &state.route;
        let zones = route.zones.iter().fold(0_u64, |mask, zone| mask | 1 << u32::from(zone.0).min(63));
        let limits = RouteLimits {
            max_attempts: route.max_attempts.unwrap_or(u32::MAX),
            attempt_timeout: route.attempt_timeout.unwrap_or(0),
            max_staleness: route.max_staleness.unwrap_or(Micros::MAX),
            zone_mask: if route.zones.is_empty() { u64::MAX } else { zones },
        };
        Admission::Admit(route.request_timeout.map_or(time_left, |budget| time_left.min(budget)), limits)
    }

    /// Decides on a retry after an attempt that ended without serving its request.
    pub fn on_attempt_failed(&mut self, id: RequestId, outcome: Outcome, now: Micros) -> RetryDecision {
        let Some(request) = self.tracked.get_mut(&id) else { return RetryDecision::At(now) };
        // An attempt that was never sent, or that the member rejected without running it, caused no load: its retry is
        // not charged to the budget. A failed connect is charged.
        if outcome.never_ran() && outcome != Outcome::Unreachable {
            return RetryDecision::At(now);
        }
        request.was_attempted = true;
        let state = &mut self.states[request.route];
        if state.retry_budget.as_mut().is_some_and(|budget| !budget.try_take_retry(now)) {
            state.counters.retries_denied += 1;
            return RetryDecision::Denied;
        }
        state.counters.retries_allowed += 1;
        let Some(Backoff { min, max }) = state.route.backoff else { return RetryDecision::At(now) };
        let highest = (request.last_delay.max(min) * BACKOFF_GROWTH).min(max).max(min);
        request.last_delay = self.random.random_range(min..=highest);
        RetryDecision::At(now + request.last_delay)
    }

    /// Gives back the slots of a request that has its final answer or whose client left.
    pub fn on_request_ended(&mut self, id: RequestId, end: RequestEnd, now: Micros) {
        let Some(request) = self.tracked.remove(&id) else { return };
        if let Some(shares) = &mut self.shares {
            shares.release(request.route);
        }
        let sample = match end {
            RequestEnd::Served => LoadSample::Served(now.saturating_sub(request.admitted_at)),
            RequestEnd::Unserved if request.was_attempted => LoadSample::Failed,
            RequestEnd::Unserved | RequestEnd::ClientLeft => LoadSample::Ignored,
        };
        self.states[request.route].concurrency.iter_mut().for_each(|limit| limit.release(sample, now));
    }

    /// Replaces the policy as a whole. A route of the same name keeps its counters, and each limit whose parameters are
    /// unchanged keeps its state. Requests in flight keep the restrictions that they were admitted with.
    pub fn reload(&mut self, policy: Policy, now: Micros) {
        let mut new = RouteController::new(policy, self.random.random(), now);
        let old_states = std::mem::take(&mut self.states).into_iter().enumerate();
        let mut old_states: BTreeMap<String, (usize, RouteState)> =
            old_states.map(|(i, state)| (state.route.name.clone(), (i, state))).collect();
        // By the old index of a route that remains: its new index, and whether its concurrency limit is kept together
        // with the slots that are taken.
        let mut remaining: BTreeMap<usize, (usize, bool)> = BTreeMap::new();
        for (index, state) in new.states.iter_mut().enumerate() {
            let Some((old_index, old)) = old_states.remove(&state.route.name) else { continue };
            let keeps_limit = old.route.concurrency_limit == state.route.concurrency_limit;
            remaining.insert(old_index, (index, keeps_limit));
            state.counters = old.counters;
            if old.route.rate_limit == state.route.rate_limit {
                state.rate_limiter = old.rate_limiter;
            }
            if old.route.retry_budget == state.route.retry_budget {
                state.retry_budget = old.retry_budget;
            }
            if keeps_limit {
                state.concurrency = old.concurrency;
            }
        }
        for (id, request) in std::mem::take(&mut self.tracked) {
            // A request whose route was removed keeps its restrictions, but is no longer tracked and holds no slot.
            let Some(&(route, keeps_limit)) = remaining.get(&request.route) else { continue };
            if !keeps_limit {
                new.states[route].concurrency.iter_mut().for_each(ConcurrencyLimit::acquire);
            }
            new.shares.iter_mut().for_each(|shares| shares.acquire(route));
            new.tracked.insert(id, TrackedRequest { route, ..request });
        }
        *self = new;
    }

    /// The counters of each route, by the route's name.
    pub fn counters(&self) -> Vec<(&str, RouteCounters)> {
        self.states.iter().map(|s| (s.route.name.as_str(), s.counters)).collect()
    }

    /// Number of requests that are tracked: admitted by a route and not yet ended.
    pub fn tracked_requests(&self) -> usize {
        self.tracked.len()
    }

    /// The route that a request with these attributes would take, if any.
    pub fn find_route(&self, attributes: &RequestAttributes) -> Option<&Route> {
        self.index.find(&self.routes, attributes).map(|i| &self.routes[i])
    }
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// The client got a successful answer.
    Served,
    /// The request was refused or failed.
    Unserved,
    /// The client left before an answer.
    ClientLeft,
}

/// The attributes that a request itself carries. Protocol front ends add those of its connection and its statement.
/// `class_names` are the names of the classes, by index.
pub fn request_attributes<'a>(
    request: &Request,
    settings: &Settings,
    class_names: &'a [String],
) -> RequestAttributes<'a> {
    let is_keyed = |c: &Class| matches!(c.effect, Effect::Keyed(..));
    RequestAttributes {
        class: class_names.get(request.class).map_or("", String::as_str),
        group: request.group.0,
        has_key: settings.classes.get(request.class).is_some_and(is_keyed),
        has_session: request.session.is_some(),
        is_repeat: request.is_repeat,
        ..RequestAttributes::default()
    }
}
