//! Converts the `routes` message of the operator's file to a policy of routes. All problems are reported at once.

use std::num::NonZeroU32;

use beaconshore::interface::{Micros, Settings, ZoneId};
use beaconshore_routes::expression::Matcher;
use beaconshore_routes::policy::{Backoff, ConcurrencyBounds, Policy, RateLimit, Route};

use crate::proto;
use crate::textproto::{invalid_value, FileError};

/// Divisor of a rate for the default burst: the requests of a tenth of a second.
const DEFAULT_BURST_DIVISOR: u32 = 10;

/// Converts and validates the `routes` message of a file, for a site with these settings. The last argument holds the
/// names of the settings' classes and zones, by index; `file` and `text` are the name and the content of the file, for
/// errors.
pub fn route_policy(
    file: &str,
    text: &str,
    routes: &proto::Routes,
    settings: &Settings,
    (classes, zones): (&[String], &[String]),
) -> Result<Policy, Vec<FileError>> {
    let mut problems = Vec::new();
    let mut policy =
        Policy { routes: Vec::with_capacity(routes.route.len()), concurrency_limit: routes.open };
    for (i, route) in routes.route.iter().enumerate() {
        let mut report = |field: &str, reason: String| {
            problems.push(invalid_value(file, text, &format!("routes.route[{i}].{field}"), &reason));
        };
        let matcher = Matcher::parse(&route.r#match).unwrap_or_else(|e| {
            report("match", e.to_string());
            // An expression that matches nothing, so that no further problem follows from it.
            Matcher::Not(Box::new(Matcher::Always))
        });
        let converted = convert_route(route, matcher, zones, &mut report);
        policy.routes.push(converted);
    }
    for finding in policy.findings(settings, classes) {
        problems.push(invalid_value(file, text, &format!("routes.{}", finding.field), &finding.reason));
    }
    if problems.is_empty() {
        Ok(policy)
    } else {
        Err(problems)
    }
}

/// Converts one route of the file, whose match was parsed to `matcher`.
fn convert_route(
    route: &proto::Route,
    matcher: Matcher,
    zones: &[String],
    report: &mut dyn FnMut(&str, String),
) -> Route {
    let micros = |ms: u64| -> Micros { ms.saturating_mul(1000) };
    let mut zone_ids = Vec::new();
    for (n, name) in route.zone.iter().enumerate() {
        match zones.iter().position(|z| z == name) {
            Some(zone) => zone_ids.push(ZoneId(zone as u16)),
            None => report(
                &format!("zone[{n}]"),
                format!("no zone {name:?}; the settings name {}", zones.join(", ")),
            ),
        }
    }
    let rate_limit = route.rate.and_then(|rate| {
        let burst = rate.burst.unwrap_or((rate.per_second / DEFAULT_BURST_DIVISOR).max(1));
        let limit = NonZeroU32::new(rate.per_second).zip(NonZeroU32::new(burst));
        if limit.is_none() {
            report("rate", "per_second and burst must be 1 or more; 0 would admit no request".into());
        }
        limit.map(|(per_second, burst)| RateLimit { per_second, burst })
    });
    Route {
        request_timeout: route.budget_ms.map(micros),
        attempt_timeout: route.attempt_ms.map(micros),
        max_attempts: route.attempts,
        backoff: route.pause.map(|p| Backoff { min: micros(p.least_ms), max: micros(p.most_ms) }),
        retry_budget: route.repeats.map(|r| (r.share, r.floor.unwrap_or(1.0))),
        rate_limit,
        concurrency_limit: route.open.map(|o| ConcurrencyBounds {
            min: o.least.unwrap_or(4),
            max: o.most.unwrap_or(1000),
            tolerance: o.tolerance.unwrap_or(2.0),
        }),
        weight: route.weight.unwrap_or(1.0),
        max_staleness: route.staleness_ms.map(micros),
        zones: zone_ids,
        ..Route::new(&route.name, matcher)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::parse;
    use beaconshore::interface::{Class, Consistency, DedupScope, Effect, Limits};

    /// Parses and converts a file for a site with the classes `view` and `log` and the zones `a` and `b`.
    fn parse_routes(text: &str) -> Result<Policy, Vec<String>> {
        let class = |consistency, effect| Class {
            consistency,
            effect,
            latency_target: 250_000,
            deadline: 1_000_000,
            value: 1.0,
            late_value_share: 0.0,
        };
        let keyed = Effect::Keyed(DedupScope::Group, 800_000);
        let classes =
            vec![class(Consistency::Bounded(200_000), Effect::Safe), class(Consistency::Write, keyed)];
        let settings = Settings {
            classes,
            limits: Limits { max_attempts: 8, ..Limits::default() },
            ..Settings::default()
        };
        let file = parse("op", text).map_err(|e| vec![e.to_string()])?;
        let names: [Vec<String>; 2] =
            [["view", "log"].map(String::from).into(), vec!["a".into(), "b".into()]];
        route_policy("op", text, &file.routes.unwrap(), &settings, (&names[0], &names[1]))
            .map_err(|problems| problems.iter().map(ToString::to_string).collect())
    }

    /// Guards against a field that is lost in the conversion, and against a wrong default.
    #[test]
    fn fields_are_converted_and_omitted_fields_have_their_defaults() {
        let text =
            "routes { open: 9 route { name: 'v' match: 'class == \"view\"' budget_ms: 900 attempt_ms: 200
            rate { per_second: 50 } open { most: 7 } repeats { share: 0.2 } zone: 'b' } }";
        let policy = parse_routes(text).unwrap();
        let route = &policy.routes[0];
        assert_eq!(
            (policy.concurrency_limit, route.request_timeout, route.attempt_timeout),
            (Some(9), Some(900_000), Some(200_000))
        );
        assert_eq!(route.rate_limit.unwrap().burst.get(), 5);
        assert_eq!(route.concurrency_limit, Some(ConcurrencyBounds { min: 4, max: 7, tolerance: 2.0 }));
        assert_eq!((route.retry_budget, &route.zones[..]), (Some((0.2, 1.0)), &[ZoneId(1)][..]));
    }

    /// Guards against reporting only the first problem, and against a problem with a wrong place.
    #[test]
    fn all_problems_are_reported_at_once_with_their_places() {
        let text = "routes {
  route { name: 'v' match: 'class = \"view\"' }
  route { name: 'w' match: 'class == \"log\"' attempts: 4 attempt_ms: 300 zone: 'q' }
  route {
    name: 'v'
    match: 'always' budget_ms: 1500 rate { per_second: 0 }
  }
}";
        let messages = parse_routes(text).unwrap_err();
        let expected = [
            "op:2:21: routes.route[0].match: expected == or in\n  class = \"view\"\n        ^",
            "op:3:73: routes.route[1].zone[0]: no zone \"q\"; the settings name a, b",
            "op:6:37: routes.route[2].rate: per_second and burst must be 1 or more",
            "op:3:45: routes.route[1].attempts: the last attempt may begin 900 ms after the first",
            "op:5:5: routes.route[2].name: route[0] has the same name",
            "op:6:21: routes.route[2].budget_ms: is 1500 ms, but clients of class \"view\" wait 1000 ms at most",
            "op:6:21: routes.route[2].budget_ms: is 1500 ms, but clients of class \"log\" wait 1000 ms at most",
        ];
        assert_eq!(messages.len(), expected.len(), "{messages:#?}");
        for (message, expected) in messages.iter().zip(expected) {
            assert!(message.starts_with(expected), "{message}\n{expected}");
        }
    }
}
