//! `beaconshore explain`: the route of a request, why no earlier one, and the worst that may come of it.

use std::net::IpAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use beaconshore::interface::{Micros, Settings};
use beaconshore_routes::expression::Facts;
use beaconshore_routes::Route;
use clap::Args;

use super::{configuration, plans};

/// A request as it is described, and the file that it is held against.
#[derive(Debug, Args)]
pub struct Question {
    /// The operator's file; may be left out with --defaults.
    #[arg(required_unless_present = "defaults")]
    file: Option<PathBuf>,
    /// The configuration that it is for; RELAY_CONFIG if not given.
    #[arg(short, long)]
    config: Option<PathBuf>,
    /// Shows every field of an operator's file with its default instead.
    #[arg(long)]
    defaults: bool,
    /// The request's class.
    #[arg(long, default_value = "")]
    class: String,
    /// The group that it names.
    #[arg(long, default_value_t = 0)]
    group: u32,
    /// It carries a key.
    #[arg(long)]
    key: bool,
    /// It belongs to a session.
    #[arg(long)]
    session: bool,
    /// Its client asked before.
    #[arg(long)]
    repeat: bool,
    /// Its client's address.
    #[arg(long)]
    client: Option<IpAddr>,
    /// Its connection's user.
    #[arg(long, default_value = "")]
    user: String,
    /// Its connection's database.
    #[arg(long, default_value = "")]
    database: String,
    /// Its statement.
    #[arg(long, default_value = "")]
    statement: String,
}

pub fn run(question: &Question) -> Result<ExitCode, String> {
    if question.defaults {
        // The schema states every default, once.
        print!("{}", include_str!("../../../../proto/operator.proto"));
        return Ok(ExitCode::SUCCESS);
    }
    let Some(path) = &question.file else { return Err("an operator's file is needed".into()) };
    let config = configuration(question.config.as_deref())?;
    let plans = plans(&config, path)?;
    let settings = &config.settings.settings;
    let class = plans.classes.iter().position(|name| *name == question.class);
    let Some(class) = class else {
        return Err(format!("no class {:?}; there are {}", question.class, plans.classes.join(", ")));
    };
    let facts = Facts {
        class: &question.class,
        group: question.group,
        key: question.key,
        session: question.session,
        repeat: question.repeat,
        client: question.client,
        user: &question.user,
        database: &question.database,
        statement: &question.statement,
    };
    for route in &plans.routes.unwrap_or_default().routes {
        if route.matches.holds(&facts) {
            println!("takes {:?}: {}", route.name, route.matches);
            timeline(route, settings, class).iter().for_each(|line| println!("  {line}"));
            return Ok(ExitCode::SUCCESS);
        }
        println!("not {:?}: {}", route.name, route.matches.failing(&facts).join("; "));
    }
    println!("takes no route: it is not narrowed");
    Ok(ExitCode::SUCCESS)
}

/// The latest at which each attempt may begin and end, if all before it take as long as they may.
fn timeline(route: &Route, settings: &Settings, class: usize) -> Vec<String> {
    let ms = |t: Micros| t / 1000;
    let deadline = settings.classes.get(class).map_or(0, |c| c.deadline);
    let ends = route.budget.map_or(deadline, |budget| budget.min(deadline));
    let attempts = route.attempts.unwrap_or(settings.limits.max_attempts).min(settings.limits.max_attempts);
    let mut lines = Vec::new();
    let mut begins = 0;
    for n in 1..=attempts {
        if begins >= ends {
            lines.push(format!("attempt {n} would begin after its end: it is not sent"));
            break;
        }
        let over = route.attempt.map_or(ends, |attempt| ends.min(begins + attempt));
        lines.push(format!(
            "attempt {n}: begins at {} ms at the latest, ends at {} ms",
            ms(begins),
            ms(over)
        ));
        if over == ends {
            break;
        }
        begins = over + route.pause.map_or(0, |p| p.most);
    }
    lines.push(format!("answered by {} ms", ms(ends)));
    lines
}
