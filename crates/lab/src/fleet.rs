//! One experiment both ways: on processes of the program and in the emulator's virtual time, side by side.

use std::fmt::Write;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::{env, io};

use beaconshore_emulator::tally::Second;
use beaconshore_emulator::{play, Brains, Day, Plan};
use beaconshore_rig::{run, Outcome, Program};

use crate::cli::Verdict;
use crate::measures::times;

/// Breaches that are named.
const NAMED: usize = 10;
/// Above this the rig was too late for its own day: what it says of times is void.
const TOO_LATE_MS: u128 = 150;

/// What is asked of a run.
pub struct Request {
    /// Processes over all zones; none: as many as the file says.
    pub processes: Option<usize>,
    /// The program; none: the one beside this.
    pub program: Option<PathBuf>,
    /// Its operator's file.
    pub operator: Option<PathBuf>,
    /// Folder for tables.
    pub output: PathBuf,
    /// Folder for the processes' logs.
    pub logs: Option<PathBuf>,
    /// Seed of the day.
    pub seed: u64,
}

/// One figure of both days.
struct Row {
    name: &'static str,
    on_processes: f64,
    emulated: f64,
}

/// Plays the day both ways, and says how they compare.
pub fn compare(plan: Plan, request: &Request) -> Result<Verdict, String> {
    let zones = plan.zones.len();
    let plan = match request.processes {
        Some(count) if count < zones || count % zones != 0 => {
            return Err(format!("--processes {count}: a multiple of the {zones} zones is needed"));
        }
        Some(count) => plan.with_routers(count / zones),
        None => plan,
    };
    let path = program_path(request.program.as_deref())?;
    let at = |e: io::Error| format!("{}: {e}", request.output.display());
    std::fs::create_dir_all(&request.output).map_err(at)?;
    request.logs.iter().try_for_each(std::fs::create_dir_all).map_err(at)?;
    let stop = Arc::new(AtomicBool::new(false));
    let told = stop.clone();
    // The first Ctrl-C breaks the day off, and every process with it.
    ctrlc::set_handler(move || told.store(true, Ordering::Relaxed)).map_err(|e| format!("Ctrl-C: {e}"))?;
    let program = Program { path, operator: request.operator.clone(), logs: request.logs.clone() };
    let outcome = run(&plan, request.seed, &program, &stop).map_err(|e| format!("the fleet: {e}"))?;
    if outcome.broken_off {
        return Err("broken off; all processes that were started have ended".into());
    }
    // The same plan, the time for starts included: seconds of both days are the same.
    let emulated = play(&outcome.plan, Brains::Plain, request.seed);
    let rows = rows(&outcome, &emulated);
    write_table(&rows, &request.output.join("fleet.csv")).map_err(|e| format!("fleet.csv: {e}"))?;
    print!("{}", summary(&outcome, &rows));
    println!("tables: {}", request.output.display());
    Ok(if outcome.day.breaches.is_empty() { Verdict::Kept } else { Verdict::Broken })
}

/// The program that is named, or the one beside this; an error says how to get it.
pub fn program_path(named: Option<&Path>) -> Result<PathBuf, String> {
    let beside = || Ok(env::current_exe()?.with_file_name("beaconshore"));
    let path = match named {
        Some(path) => path.to_path_buf(),
        None => beside()
            .map_err(|e: io::Error| format!("the program beside this one: {e}; name it with --program"))?,
    };
    if !path.is_file() {
        return Err(format!(
            "{}: no such program; build beaconshore, or name it with --program",
            path.display()
        ));
    }
    Ok(path)
}

fn rows(outcome: &Outcome, emulated: &Day) -> Vec<Row> {
    let plan = &outcome.plan;
    let (from, to) = ((plan.settle / beaconshore_emulator::plan::SECOND) as usize, plan.seconds());
    let days = [&outcome.day, emulated];
    let sum = |day: &Day, count: fn(&Second) -> u32| {
        day.seconds[from..to].iter().map(|s| f64::from(count(s))).sum::<f64>()
    };
    let both = |name, figure: &dyn Fn(&Day) -> f64| {
        let [on_processes, emulated] = days.map(figure);
        Row { name, on_processes, emulated }
    };
    let stories = |day: &Day| sum(day, |s| s.stories).max(1.0);
    vec![
        both("worth earned, of what was asked for", &|d| d.score_between(from, to)),
        both("worst 5 s of it", &|d| worst(d, from, to)),
        both("served in time, of requests", &|d| sum(d, |s| s.in_time) / stories(d)),
        both("served late", &|d| sum(d, |s| s.late) / stories(d)),
        both("never served", &|d| sum(d, |s| s.lost) / stories(d)),
        both("refused tries", &|d| sum(d, |s| s.refused) / stories(d)),
        both("failed tries", &|d| sum(d, |s| s.failed) / stories(d)),
        both("attempts", &|d| sum(d, |s| s.attempts) / stories(d)),
        both("probes", &|d| sum(d, |s| s.probes) / stories(d)),
        both("messages to all", &|d| sum(d, |s| s.told) / stories(d)),
        both("median time of an answer, ms", &|d| quantile(d, 0.5)),
        both("99th percentile, ms", &|d| quantile(d, 0.99)),
        both("busiest member over the mean, in a second (median)", &|d| peak(d, from, to)),
        both("members pushed over", &|d| f64::from(d.fallen)),
        both("broken rules", &|d| d.breaches.len() as f64),
    ]
}

/// The least worth earned in any five seconds.
fn worst(day: &Day, from: usize, to: usize) -> f64 {
    let windows = (from..to.saturating_sub(4)).map(|at| day.score_between(at, at + 5));
    windows.min_by(f64::total_cmp).unwrap_or(0.0)
}

/// Only what counts has a time: nothing before the day settled.
fn quantile(day: &Day, part: f64) -> f64 {
    times(std::iter::once(day), None, None).value_at_quantile(part) as f64 / 1e3
}

/// The median over seconds of the busiest member's load over the mean.
fn peak(day: &Day, from: usize, to: usize) -> f64 {
    let ratio = |s: &Second| {
        let mean = s.load.iter().sum::<f32>() / s.load.len().max(1) as f32;
        let most = s.load.iter().copied().fold(0.0, f32::max);
        (mean > 0.0).then(|| f64::from(most / mean))
    };
    let mut ratios: Vec<f64> = day.seconds[from..to].iter().filter_map(ratio).collect();
    ratios.sort_by(f64::total_cmp);
    ratios.get(ratios.len() / 2).copied().unwrap_or(0.0)
}

fn write_table(rows: &[Row], path: &Path) -> csv::Result<()> {
    let mut table = csv::Writer::from_path(path)?;
    table.write_record(["figure", "processes", "emulated", "difference"])?;
    for Row { name, on_processes, emulated } in rows {
        let difference = on_processes - emulated;
        let cells = [on_processes, emulated, &difference].map(|value| format!("{value:.4}"));
        table.write_record(std::iter::once((*name).to_owned()).chain(cells))?;
    }
    table.flush()?;
    Ok(())
}

fn summary(outcome: &Outcome, rows: &[Row]) -> String {
    let mut text = String::new();
    let Outcome { plan, came, passed, lost, connections, behind, day, .. } = outcome;
    let _ = writeln!(
        text,
        "{}: {} processes, {} members, {} s",
        plan.name,
        plan.settings.routers,
        plan.member_count(),
        plan.seconds()
    );
    let _ = writeln!(text, "{:52} {:>10} {:>10}", "", "processes", "emulated");
    for row in rows {
        let _ = writeln!(text, "{:52} {:>10.3} {:>10.3}", row.name, row.on_processes, row.emulated);
    }
    let idle = came.iter().filter(|count| **count == 0).count();
    let _ = writeln!(
        text,
        "{connections} connections to members, {idle} members without any request; datagrams: {passed} passed, {lost} lost"
    );
    let void = if behind.as_millis() > TOO_LATE_MS { ": too late, figures of times are void" } else { "" };
    let _ = writeln!(text, "the rig was late for its own day by {} ms at most{void}", behind.as_millis());
    for breach in day.breaches.iter().take(NAMED) {
        let _ = writeln!(text, "broken: {breach}");
    }
    text
}
