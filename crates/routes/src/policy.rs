//! The operator's configuration of routes and its validation. Validation reports all findings at once, each with its
//! field and a remedy.

use std::fmt;
use std::num::NonZeroU32;

use beaconshore::interface::{Consistency, Effect, Limits, Micros, Settings, ZoneId};

use crate::expression::Matcher;

/// Maximum number of routes in a policy.
pub const MAX_ROUTES: usize = 500;
/// Maximum of any duration in a route, in microseconds.
const MAX_DURATION_US: Micros = 600_000_000;

/// Backoff between attempts with decorrelated jitter: each delay is drawn at random between the lower bound and three
/// times the delay before it, and never exceeds the upper bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// Lower bound, in microseconds.
    pub min: Micros,
    /// Upper bound, in microseconds.
    pub max: Micros,
}

/// A limit on the rate of first attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RateLimit {
    /// Requests a second.
    pub per_second: NonZeroU32,
    /// Requests that may come at once.
    pub burst: NonZeroU32,
}

/// Parameters of the adaptive limit on requests in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConcurrencyBounds {
    /// The limit never falls below this.
    pub min: u32,
    /// The limit never rises above this.
    pub max: u32,
    /// Responses that take more than this multiple of the baseline latency lower the limit.
    pub tolerance: f64,
}

/// A route: the requests that take it, and how it restricts them.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route. Counters and limits are kept over reloads by this name.
    pub name: String,
    /// Which requests take the route.
    pub matcher: Matcher,
    /// Time for a request with all its attempts, in microseconds. `None`: the time that its client waits.
    pub request_timeout: Option<Micros>,
    /// Time for one attempt, in microseconds. `None`: the time that is left for the request.
    pub attempt_timeout: Option<Micros>,
    /// Maximum number of attempts for a request. `None`: the maximum of the site's settings.
    pub max_attempts: Option<u32>,
    /// Backoff between attempts. `None`: a retry is sent at once.
    pub backoff: Option<Backoff>,
    /// Retry budget: retries as a share of first attempts, and the retries a second that are allowed in any case.
    /// `None`: retries are not limited by a budget.
    pub retry_budget: Option<(f64, f64)>,
    /// Limit on the rate of first attempts. `None`: no limit.
    pub rate_limit: Option<RateLimit>,
    /// Adaptive limit on requests in flight. `None`: no limit of its own.
    pub concurrency_limit: Option<ConcurrencyBounds>,
    /// Weight of the route's share in the concurrency limit that all routes have in common.
    pub weight: f64,
    /// Maximum staleness of bounded reads, in microseconds. `None`: the bound of their class.
    pub max_staleness: Option<Micros>,
    /// Zones whose members may serve the route's reads. Empty: all zones.
    pub zones: Vec<ZoneId>,
}

impl Route {
    /// Creates a route that restricts nothing.
    pub fn new(name: &str, matcher: Matcher) -> Self {
        Route {
            name: name.to_owned(),
            matcher,
            request_timeout: None,
            attempt_timeout: None,
            max_attempts: None,
            backoff: None,
            retry_budget: None,
            rate_limit: None,
            concurrency_limit: None,
            weight: 1.0,
            max_staleness: None,
            zones: Vec::new(),
        }
    }

    /// Latest start of the last attempt, in microseconds after the start of the first, if every attempt and every
    /// backoff delay takes its maximum. `None` if the time for an attempt is not bounded.
    pub fn latest_last_attempt_start(&self, limits: &Limits) -> Option<Micros> {
        let retries = Micros::from(self.max_attempts.unwrap_or(limits.max_attempts).saturating_sub(1));
        if retries == 0 {
            return Some(0);
        }
        let max_delay = self.backoff.map_or(0, |p| p.max);
        self.attempt_timeout.map(|attempt| retries.saturating_mul(attempt.saturating_add(max_delay)))
    }
}

/// An ordered list of routes. A request takes the first route that it matches; one that matches none is not restricted.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Policy {
    /// The routes, in the order in which they are matched.
    pub routes: Vec<Route>,
    /// Limit on the requests in flight of all routes together, shared by weight. `None`: no common limit.
    pub concurrency_limit: Option<u32>,
}

/// An invalid value in a policy, with a remedy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Path of the field in the operator's file, such as `route[1].budget_ms`.
    pub field: String,
    /// What is wrong with the value, and which values are valid.
    pub reason: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.reason)
    }
}

fn format_ms(duration: Micros) -> String {
    format!("{} ms", duration / 1000)
}

impl Policy {
    /// Validates the policy against the settings of a site, and returns every finding. `class_names` are the names of
    /// the settings' classes, by index.
    pub fn findings(&self, settings: &Settings, class_names: &[String]) -> Vec<Finding> {
        let mut found = Vec::new();
        if self.routes.len() > MAX_ROUTES {
            let reason = format!("has {} routes, must have {MAX_ROUTES} at most", self.routes.len());
            return vec![Finding { field: "route".into(), reason }];
        }
        if self.concurrency_limit == Some(0) {
            found.push(Finding { field: "open".into(), reason: "is 0: no request would be admitted".into() });
        }
        for (i, route) in self.routes.iter().enumerate() {
            let mut report = |field: &str, reason: String| {
                found.push(Finding { field: format!("route[{i}].{field}"), reason });
            };
            let earlier = &self.routes[..i];
            if route.name.is_empty() {
                report("name", "is empty, but every route needs a name".into());
            } else if let Some(other) = earlier.iter().position(|r| r.name == route.name) {
                report(
                    "name",
                    format!("route[{other}] has the same name; names must differ, since counters go by name"),
                );
            }
            if let Some(other) = earlier.iter().find(|r| r.matcher.covers(&route.matcher)) {
                report(
                    "match",
                    format!(
                        "can never match: the earlier route {:?} takes all of these requests",
                        other.name
                    ),
                );
            }
            route.findings(settings, class_names, &mut report);
        }
        found
    }
}

impl Route {
    /// Indices of the classes whose requests can match the route.
    fn classes(&self, class_names: &[String]) -> Vec<usize> {
        let named = self.matcher.classes();
        let can_match = |name: &String| named.as_ref().is_none_or(|named| named.contains(&name.as_str()));
        class_names.iter().enumerate().filter(|(_, name)| can_match(name)).map(|(i, _)| i).collect()
    }

    fn findings(&self, settings: &Settings, class_names: &[String], report: &mut dyn FnMut(&str, String)) {
        for unknown in
            self.matcher.classes().into_iter().flatten().filter(|c| !class_names.iter().any(|n| n == c))
        {
            report("match", format!("no class {unknown:?}; there are {}", class_names.join(", ")));
        }
        let durations = [
            ("budget_ms", self.request_timeout),
            ("attempt_ms", self.attempt_timeout),
            ("staleness_ms", self.max_staleness),
        ];
        for (field, duration) in durations {
            if let Some(duration) = duration.filter(|duration| *duration == 0 || *duration > MAX_DURATION_US)
            {
                report(
                    field,
                    format!("is {}, must be from 1 to {}", format_ms(duration), format_ms(MAX_DURATION_US)),
                );
            }
        }
        if self.request_timeout.zip(self.attempt_timeout).is_some_and(|(budget, attempt)| attempt > budget) {
            report("attempt_ms", "is longer than budget_ms; make it shorter, or leave it out".into());
        }
        if let Some(attempts) = self.max_attempts.filter(|n| *n == 0 || *n > settings.limits.max_attempts) {
            report("attempts", format!("is {attempts}, must be from 1 to {}", settings.limits.max_attempts));
        }
        if let Some(backoff) = self.backoff.filter(|p| p.min == 0 || p.max < p.min || p.max > MAX_DURATION_US)
        {
            report(
                "pause",
                format!(
                    "is from {} to {}; must ascend, from 1 ms or more to {} at most",
                    format_ms(backoff.min),
                    format_ms(backoff.max),
                    format_ms(MAX_DURATION_US)
                ),
            );
        }
        if let Some((share, floor)) = self.retry_budget {
            if !(0.0..=1.0).contains(&share) {
                report("repeats.share", format!("is {share}, must be from 0 to 1"));
            }
            if !(0.0..=1e6).contains(&floor) {
                report("repeats.floor", format!("is {floor}, must be from 0 to 1000000"));
            }
        }
        if let Some(bounds) = self.concurrency_limit.filter(|o| o.min == 0 || o.max < o.min) {
            report(
                "open",
                format!(
                    "is from {} to {}; least must be 1 or more, and most no less than least",
                    bounds.min, bounds.max
                ),
            );
        }
        if self.concurrency_limit.is_some_and(|o| !(o.tolerance > 1.0 && o.tolerance <= 100.0)) {
            report("open.tolerance", "must be over 1, and 100 at most".into());
        }
        if !(self.weight > 0.0 && self.weight <= 1e6) {
            report("weight", format!("is {}, must be over 0, and 1000000 at most", self.weight));
        }
        for class in self.classes(class_names) {
            self.class_findings(settings, class, &class_names[class], report);
        }
    }

    /// Reports what would violate a guarantee for requests of one class, or could never take effect.
    fn class_findings(
        &self,
        settings: &Settings,
        class: usize,
        name: &str,
        report: &mut dyn FnMut(&str, String),
    ) {
        let Some(class) = settings.classes.get(class) else { return };
        if let Some(budget) = self.request_timeout.filter(|budget| *budget > class.deadline) {
            let reason = format!(
                "is {}, but clients of class {name:?} wait {} at most",
                format_ms(budget),
                format_ms(class.deadline)
            );
            report("budget_ms", reason);
        }
        match class.effect {
            Effect::Safe => {}
            Effect::Unsafe => {
                if self.max_attempts.is_some_and(|attempts| attempts > 1) {
                    report(
                        "attempts",
                        format!(
                            "must be 1, since requests of class {name:?} must never run twice; or exclude \
                             the class from the match"
                        ),
                    );
                }
            }
            Effect::Keyed(_, window) => {
                let last_start = self.latest_last_attempt_start(&settings.limits);
                if let Some(last_start) =
                    last_start.filter(|last_start| self.max_attempts.is_some() && *last_start > window)
                {
                    let reason = format!(
                        "the last attempt may begin {} after the first, but members drop repeats of \
                         class {name:?} for {} only; allow fewer or shorter attempts, or shorter pauses",
                        format_ms(last_start),
                        format_ms(window)
                    );
                    report("attempts", reason);
                }
            }
        }
        match (self.max_staleness, class.consistency) {
            (Some(staleness), Consistency::Bounded(bound)) if staleness > bound => {
                let reason = format!(
                    "is {}, but class {name:?} allows {} at most",
                    format_ms(staleness),
                    format_ms(bound)
                );
                report("staleness_ms", reason);
            }
            _ => {}
        }
    }
}
