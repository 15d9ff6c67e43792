//! `beaconshore diff`: what a reload would change.

use std::path::Path;
use std::process::ExitCode;

use beaconshore_routes::Route;
use beaconshore_steering::Plans;

use super::{configuration, plans};

pub fn run(old: &Path, new: &Path, config: Option<&Path>) -> Result<ExitCode, String> {
    let config = configuration(config)?;
    let (old, new) = (plans(&config, old)?, plans(&config, new)?);
    let lines = changes(&old, &new);
    lines.iter().for_each(|line| println!("{line}"));
    if lines.is_empty() {
        println!("nothing changes");
    }
    Ok(ExitCode::SUCCESS)
}

/// A line for each change, by what it does.
fn changes(old: &Plans, new: &Plans) -> Vec<String> {
    let mut lines = Vec::new();
    if old.zones != new.zones {
        lines.push("zones: changed; needs a new start".to_owned());
    }
    let routes = |plans: &Plans| plans.routes.clone().unwrap_or_default();
    let (before, after) = (routes(old), routes(new));
    if before.open != after.open {
        lines.push(format!("routes.open: {:?} becomes {:?}; places in use go on", before.open, after.open));
    }
    let named = |routes: &[Route], name: &str| routes.iter().position(|r| r.name == name);
    for route in before.routes.iter().filter(|r| named(&after.routes, &r.name).is_none()) {
        lines.push(format!("- {:?}: gone; its open requests keep what they were told", route.name));
    }
    for (i, route) in after.routes.iter().enumerate() {
        let Some(was) = named(&before.routes, &route.name) else {
            lines.push(format!("+ {:?}: {}", route.name, route.matches));
            continue;
        };
        let had = &before.routes[was];
        if had != route {
            lines.push(format!("~ {:?}: {}", route.name, differences(had, route).join(", ")));
        }
        // Whether any route that both have stands on the other side now.
        let swapped =
            after.routes[..i].iter().any(|r| named(&before.routes, &r.name).is_some_and(|n| n > was));
        if swapped {
            lines.push(format!("~ {:?}: stands behind others that it stood before", route.name));
        }
    }
    lines
}

fn differences(a: &Route, b: &Route) -> Vec<String> {
    let parts: [(&str, bool, &str); 11] = [
        ("match", a.matches != b.matches, ""),
        ("budget", a.budget != b.budget, ""),
        ("attempt", a.attempt != b.attempt, ""),
        ("attempts", a.attempts != b.attempts, ""),
        ("pause", a.pause != b.pause, ""),
        ("repeats", a.repeats != b.repeats, " (its budget starts anew)"),
        ("rate", a.rate != b.rate, " (its limit starts anew)"),
        ("open", a.open != b.open, " (its limit is learnt anew)"),
        ("weight", a.weight != b.weight, ""),
        ("staleness", a.staleness != b.staleness, ""),
        ("zones", a.zones != b.zones, ""),
    ];
    parts.into_iter().filter(|p| p.1).map(|(name, _, note)| format!("{name}{note}")).collect()
}
