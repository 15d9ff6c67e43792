//! `beaconshore diff`: shows what a reload from one operator's file to another would change.

use std::path::Path;
use std::process::ExitCode;

use beaconshore_routes::Route;
use beaconshore_steering::PlannerPolicies;

use super::{load_configuration, load_plans};

/// Runs the command.
pub fn run(old: &Path, new: &Path, config: Option<&Path>) -> Result<ExitCode, String> {
    let config = load_configuration(config)?;
    let (old, new) = (load_plans(&config, old)?, load_plans(&config, new)?);
    let lines = changes(&old, &new);
    lines.iter().for_each(|line| println!("{line}"));
    if lines.is_empty() {
        println!("nothing changes");
    }
    Ok(ExitCode::SUCCESS)
}

/// The changes between two files, one line each: `-` for a removed route, `+` for an added one, `~` for a changed one.
fn changes(old: &PlannerPolicies, new: &PlannerPolicies) -> Vec<String> {
    let mut lines = Vec::new();
    if old.zones != new.zones {
        lines.push("zones: changed; takes effect only after a restart".to_owned());
    }
    let routes_of = |plans: &PlannerPolicies| plans.routes.clone().unwrap_or_default();
    let (before, after) = (routes_of(old), routes_of(new));
    if before.concurrency_limit != after.concurrency_limit {
        lines.push(format!(
            "routes.open: {:?} becomes {:?}; requests that are already open stay open",
            before.concurrency_limit, after.concurrency_limit
        ));
    }
    let index_of = |routes: &[Route], name: &str| routes.iter().position(|r| r.name == name);
    for route in before.routes.iter().filter(|r| index_of(&after.routes, &r.name).is_none()) {
        lines.push(format!("- {:?}: gone; its open requests keep what they were told", route.name));
    }
    for (index, route) in after.routes.iter().enumerate() {
        let Some(old_index) = index_of(&before.routes, &route.name) else {
            lines.push(format!("+ {:?}: {}", route.name, route.matcher));
            continue;
        };
        let old_route = &before.routes[old_index];
        if old_route != route {
            lines.push(format!("~ {:?}: {}", route.name, differences(old_route, route).join(", ")));
        }
        // Whether any route of both files that used to come after this one now comes before it.
        let moved_back = after.routes[..index]
            .iter()
            .any(|r| index_of(&before.routes, &r.name).is_some_and(|n| n > old_index));
        if moved_back {
            lines.push(format!("~ {:?}: now comes after routes that it came before", route.name));
        }
    }
    lines
}

/// The names of the fields that differ, with the effect of the change where there is one.
fn differences(a: &Route, b: &Route) -> Vec<String> {
    let fields: [(&str, bool, &str); 11] = [
        ("match", a.matcher != b.matcher, ""),
        ("budget", a.request_timeout != b.request_timeout, ""),
        ("attempt", a.attempt_timeout != b.attempt_timeout, ""),
        ("attempts", a.max_attempts != b.max_attempts, ""),
        ("pause", a.backoff != b.backoff, ""),
        ("repeats", a.retry_budget != b.retry_budget, " (its budget is reset)"),
        ("rate", a.rate_limit != b.rate_limit, " (its limit is reset)"),
        ("open", a.concurrency_limit != b.concurrency_limit, " (its limit is learned again)"),
        ("weight", a.weight != b.weight, ""),
        ("staleness", a.max_staleness != b.max_staleness, ""),
        ("zones", a.zones != b.zones, ""),
    ];
    fields.into_iter().filter(|p| p.1).map(|(name, _, note)| format!("{name}{note}")).collect()
}
