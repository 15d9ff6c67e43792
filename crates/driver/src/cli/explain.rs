//! `beaconshore explain`: shows which route a request takes, why no earlier route matches it, and the latest times of its
//! attempts.

use std::net::IpAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use beaconshore::interface::{Micros, Settings};
use beaconshore_routes::expression::RequestAttributes;
use beaconshore_routes::Route;
use clap::Args;

use super::{load_configuration, load_plans};

/// The request to explain, and the operator's file to explain it by.
#[derive(Debug, Args)]
pub struct ExplainArguments {
    /// The operator's file; may be left out with --defaults.
    #[arg(required_unless_present = "defaults")]
    file: Option<PathBuf>,
    /// The configuration that the file is for; the one that RELAY_CONFIG names if not given.
    #[arg(short, long)]
    config: Option<PathBuf>,
    /// Prints every field of an operator's file with its default instead.
    #[arg(long)]
    defaults: bool,
    /// Class of the request.
    #[arg(long, default_value = "")]
    class: String,
    /// Group of the request.
    #[arg(long, default_value_t = 0)]
    group: u32,
    /// The request carries a key.
    #[arg(long)]
    key: bool,
    /// The request belongs to a session.
    #[arg(long)]
    session: bool,
    /// The request is a repeat by its client.
    #[arg(long)]
    repeat: bool,
    /// Address of the client.
    #[arg(long)]
    client: Option<IpAddr>,
    /// User of the connection.
    #[arg(long, default_value = "")]
    user: String,
    /// Database of the connection.
    #[arg(long, default_value = "")]
    database: String,
    /// Statement of the request.
    #[arg(long, default_value = "")]
    statement: String,
}

/// Runs the command.
pub fn run(arguments: &ExplainArguments) -> Result<ExitCode, String> {
    if arguments.defaults {
        // The schema states every default, and is the only place that does.
        print!("{}", include_str!("../../../../proto/operator.proto"));
        return Ok(ExitCode::SUCCESS);
    }
    let Some(path) = &arguments.file else { return Err("an operator's file is required".into()) };
    let config = load_configuration(arguments.config.as_deref())?;
    let plans = load_plans(&config, path)?;
    let settings = &config.settings.module;
    let class = plans.classes.iter().position(|name| *name == arguments.class);
    let Some(class) = class else {
        return Err(format!(
            "unknown class {:?}; the configuration has {}",
            arguments.class,
            plans.classes.join(", ")
        ));
    };
    let attributes = RequestAttributes {
        class: &arguments.class,
        group: arguments.group,
        has_key: arguments.key,
        has_session: arguments.session,
        is_repeat: arguments.repeat,
        client: arguments.client,
        user: &arguments.user,
        database: &arguments.database,
        statement: &arguments.statement,
    };
    for route in &plans.routes.unwrap_or_default().routes {
        if route.matcher.matches(&attributes) {
            println!("takes {:?}: {}", route.name, route.matcher);
            timeline(route, settings, class).iter().for_each(|line| println!("  {line}"));
            return Ok(ExitCode::SUCCESS);
        }
        println!("not {:?}: {}", route.name, route.matcher.failing_tests(&attributes).join("; "));
    }
    println!("takes no route: no limits apply beyond those of its class");
    Ok(ExitCode::SUCCESS)
}

/// The latest times at which each attempt may begin and end, if all attempts before it take as long as they are allowed.
fn timeline(route: &Route, settings: &Settings, class: usize) -> Vec<String> {
    let ms = |time: Micros| time / 1000;
    let deadline = settings.classes.get(class).map_or(0, |c| c.deadline);
    let request_end = route.request_timeout.map_or(deadline, |budget| budget.min(deadline));
    let attempts =
        route.max_attempts.unwrap_or(settings.limits.max_attempts).min(settings.limits.max_attempts);
    let mut lines = Vec::new();
    let mut latest_begin = 0;
    for number in 1..=attempts {
        if latest_begin >= request_end {
            lines.push(format!(
                "attempt {number} would begin after the request's time is over: it is not sent"
            ));
            break;
        }
        let attempt_end =
            route.attempt_timeout.map_or(request_end, |attempt| request_end.min(latest_begin + attempt));
        lines.push(format!(
            "attempt {number}: begins at {} ms at the latest, ends at {} ms",
            ms(latest_begin),
            ms(attempt_end)
        ));
        if attempt_end == request_end {
            break;
        }
        latest_begin = attempt_end + route.backoff.map_or(0, |p| p.max);
    }
    lines.push(format!("answered by {} ms", ms(request_end)));
    lines
}
