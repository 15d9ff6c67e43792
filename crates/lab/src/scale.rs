//! A scale run: an experiment on hollow drivers beside a few processes of the program, and what control cost in each second.

use std::fmt::Write;
use std::io::IsTerminal;
use std::path::{Path, PathBuf};
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::time::{Duration, Instant};
use std::{fs, io};

use beaconshore_capacity::page::{EventRun, ScaleRun};
use beaconshore_capacity::sample::Mechanism;
use beaconshore_emulator::plan::SECOND;
use beaconshore_emulator::{Day, Plan};
use beaconshore_operator::proto::Operator;
use beaconshore_rig::{run_fleet, Fleet, Outcome, Program, Progress};
use beaconshore_scale::{process_sample, Costs, HollowHost, Sample};
use indicatif::{ProgressBar, ProgressStyle};
use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::capacity::{read_rows, write_rows};
use crate::charts;
use crate::cli::Verdict;
use crate::fleet::program_path;
use crate::settling::{self, Settled};

/// Above this the rig was too late for its own day: what it says of times is void.
const TOO_LATE: Duration = Duration::from_millis(150);
/// Threads for hollow drivers: the day itself has one more.
const THREADS: usize = 4;
/// Breaches that are named.
const NAMED: usize = 10;
/// Seconds after the settling time that still show the start of a fleet.
const START_UP: usize = 3;

/// What is asked of a run.
pub struct Request {
    /// Routers that are processes of the program; the others are hollow.
    pub processes: usize,
    /// The program; none: the one beside this.
    pub program: Option<PathBuf>,
    /// An operator's file for all of them.
    pub operator: Option<PathBuf>,
    /// Folder for tables and charts.
    pub output: PathBuf,
    /// Seed of the day.
    pub seed: u64,
    /// Folder in which the run's figures are added to those of earlier ones.
    pub record: Option<PathBuf>,
}

/// Costs of all hollow drivers in one second of the day.
#[derive(Clone, Copy, Debug, Default)]
pub struct SecondCosts {
    /// Drivers that lived.
    pub drivers: usize,
    /// Mean over them.
    pub mean: Costs,
    /// Most of any, by figure.
    pub most: Costs,
}

/// What a run came to.
pub struct Run {
    /// The day.
    pub outcome: Outcome,
    /// Hollow drivers, by second of the day.
    pub hollow: Vec<SecondCosts>,
    /// Processes: their costs a second, as their logs tell.
    pub processes: Vec<Costs>,
    /// Memory of each process in kB, as its log told last.
    pub process_memory: Vec<f64>,
}

impl Run {
    /// Whether the rig kept up with its own day.
    pub fn kept_up(&self) -> bool {
        self.outcome.behind <= TOO_LATE
    }

    /// Seconds of the day that count.
    pub fn counted(&self) -> std::ops::Range<usize> {
        let plan = &self.outcome.plan;
        (plan.settle / SECOND) as usize + START_UP..plan.seconds()
    }

    /// Costs a second and hollow driver over the seconds that count.
    pub fn mean(&self) -> Costs {
        mean(self.hollow.get(self.counted()).unwrap_or_default().iter().map(|s| s.mean))
    }
}

/// The mean of some costs.
pub fn mean(costs: impl Iterator<Item = Costs>) -> Costs {
    let (mut sum, mut count) = (Costs::default(), 0.0);
    for one in costs {
        sum = sum.combine(&one, |a, b| a + b);
        count += 1.0;
    }
    sum.combine(&sum, |a, _| if count > 0.0 { a / count } else { 0.0 })
}

/// Plays a day on hollow drivers and processes.
pub fn play(plan: &Plan, request: &Request, stop: &AtomicBool) -> Result<Run, String> {
    let zones = plan.zones.len();
    if !request.processes.is_multiple_of(zones) {
        return Err(format!("{} processes: a multiple of the {zones} zones is needed", request.processes));
    }
    let operator = match &request.operator {
        Some(path) => read_operator(path)?,
        None => Operator::default(),
    };
    let gossip =
        operator.gossip.as_ref().map(|g| beaconshore_operator::gossip_policy("operator's file", "", g));
    let gossip = gossip.transpose().map_err(|e| e.to_string())?;
    let at = |e: io::Error| format!("{}: {e}", request.output.display());
    let logs = request.output.join("logs");
    let _ = fs::remove_dir_all(&logs);
    fs::create_dir_all(&logs).map_err(at)?;
    let accounting = request.output.join("operator.textproto");
    fs::write(&accounting, operator_text(&operator)).map_err(at)?;

    let path = program_path(request.program.as_deref())?;
    let program = Program { path, operator: Some(accounting), logs: Some(logs.clone()) };
    let (sender, events) = async_channel::unbounded();
    let host = HollowHost::new(THREADS, gossip, &sender);
    let bar = progress_bar();
    let progress = |progress: Progress| show(&bar, progress);
    let fleet = Fleet {
        program: &program,
        processes_per_zone: request.processes / zones,
        embedded: Some((&host, events)),
        broadcast: false,
        progress: &progress,
    };
    let outcome = run_fleet(plan, request.seed, fleet, stop).map_err(|e| format!("the fleet: {e}"))?;
    bar.finish_and_clear();
    let samples = host.finish();
    let hollow = by_second(&samples, outcome.began, outcome.plan.seconds());
    let logs: Vec<PathBuf> = logs_in(&logs).map_err(at)?;
    let processes: Vec<Costs> = logs.iter().filter_map(|log| process_sample(log).ok()).collect();
    let process_memory = logs.iter().filter_map(|log| memory_kb(log)).collect();
    Ok(Run { outcome, hollow, processes, process_memory })
}

fn read_operator(path: &Path) -> Result<Operator, String> {
    let file = path.display().to_string();
    let text = fs::read_to_string(path).map_err(|e| format!("{file}: {e}"))?;
    beaconshore_operator::parse(&file, &text).map_err(|e| e.to_string())
}

/// The operator's file of processes: what they measure is needed beside what the run's own file says.
fn operator_text(operator: &Operator) -> String {
    let mut text = String::from("accounting: true\n");
    if let Some(gossip) = operator.gossip {
        text += "gossip {";
        let fields = [
            ("bytes_per_second", gossip.bytes_per_second),
            ("fanout", gossip.fanout),
            ("round_ms", gossip.round_ms),
        ];
        for (name, value) in fields {
            value.into_iter().for_each(|value| text += &format!(" {name}: {value}"));
        }
        text += " }\n";
    }
    text
}

fn logs_in(folder: &Path) -> io::Result<Vec<PathBuf>> {
    fs::read_dir(folder)?.map(|entry| Ok(entry?.path())).collect()
}

/// The last resident size that a log tells.
fn memory_kb(log: &Path) -> Option<f64> {
    let text = fs::read_to_string(log).ok()?;
    let told = text.lines().rev().find_map(|line| line.split_once("memory_kb="))?.1;
    told.split_whitespace().next()?.parse().ok()
}

fn progress_bar() -> ProgressBar {
    if !io::stderr().is_terminal() {
        return ProgressBar::hidden();
    }
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} s {msg}");
    ProgressBar::new(0).with_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()))
}

fn show(bar: &ProgressBar, progress: Progress) {
    bar.set_length(progress.of as u64);
    bar.set_position(progress.seconds as u64);
    bar.set_message(format!("late by {} ms", progress.late.as_millis()));
}

/// Costs by second of the day, from samples that each driver took on its own.
fn by_second(samples: &[Sample], began: Instant, seconds: usize) -> Vec<SecondCosts> {
    let mut all = vec![SecondCosts::default(); seconds];
    for sample in samples {
        let Some(since) = sample.at.checked_duration_since(began) else { continue };
        let Some(second) = all.get_mut((since.as_secs() as usize).saturating_sub(1)) else { continue };
        second.drivers += 1;
        second.mean = second.mean.combine(&sample.costs, |a, b| a + b);
        second.most = second.most.combine(&sample.costs, f64::max);
    }
    for second in &mut all {
        let drivers = second.drivers.max(1) as f64;
        second.mean = second.mean.combine(&second.mean, |a, _| a / drivers);
    }
    all
}

/// Plays a day, writes its tables and charts, and says what it came to.
pub fn run(plan: &Plan, request: &Request) -> Result<Verdict, String> {
    let stop = Arc::new(AtomicBool::new(false));
    let told = stop.clone();
    // The first Ctrl-C breaks the day off, and every process with it.
    ctrlc::set_handler(move || told.store(true, std::sync::atomic::Ordering::Relaxed))
        .map_err(|e| format!("Ctrl-C: {e}"))?;
    let run = play(plan, request, &stop)?;
    if run.outcome.broken_off {
        return Err("broken off; all processes that were started have ended".into());
    }
    let at = |e: &dyn std::fmt::Display| format!("{}: {e}", request.output.display());
    write_seconds(&run, &request.output.join("seconds.csv")).map_err(|e| at(&e))?;
    let settled = settling::all(&run);
    write_events(&settled, &request.output.join("events.csv")).map_err(|e| at(&e))?;
    charts::scale(&run, &request.output).map_err(|e| at(&*e))?;
    let text = summary(&run, &settled);
    fs::write(request.output.join("summary.txt"), &text).map_err(|e| at(&e))?;
    print!("{text}");
    println!("tables and charts: {}", request.output.display());
    if let Some(folder) = &request.record {
        record(&run, &settled, mechanism(request)?, folder)?;
    }
    let kept = run.outcome.day.breaches.is_empty();
    Ok(if kept { Verdict::Kept } else { Verdict::Broken })
}

fn mechanism(request: &Request) -> Result<Mechanism, String> {
    let operator = request.operator.as_deref().map(read_operator).transpose()?;
    let gossip = operator.is_some_and(|operator| operator.gossip.is_some());
    Ok(if gossip { Mechanism::Gossip } else { Mechanism::AllToAll })
}

/// Adds a run's figures to those of earlier ones: a run without events as a size, one with events by event.
fn record(run: &Run, settled: &[Settled], mechanism: Mechanism, folder: &Path) -> Result<(), String> {
    fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let plan = &run.outcome.plan;
    let (drivers, databases) = (plan.router_count() as u32, plan.member_count() as u32);
    if settled.is_empty() {
        let mean = run.mean();
        let row = ScaleRun {
            mechanism,
            drivers,
            databases,
            peer_bytes: mean.peer_bytes(),
            peer_messages: mean.datagrams_sent + mean.datagrams_received,
            list_bytes: mean.list_bytes(),
            control_us: mean.control_time() / 1e3,
            earned: run.outcome.day.score(),
            probes: mean.probes,
            late_ms: run.outcome.behind.as_millis() as u64,
        };
        return append(&folder.join("runs.csv"), [row]);
    }
    let row = |event: &Settled| EventRun {
        mechanism,
        drivers,
        databases,
        event: event.event.to_string(),
        lasts: event.lasts as u32,
        bytes_before: event.bytes_before,
        bytes_worst: event.bytes_worst,
        messages_before: event.messages_before,
        messages_worst: event.messages_worst,
        control_us_before: event.control_us_before,
        control_us_worst: event.control_us_worst,
        earned_worst: event.earned_worst,
        settled_after: event.settled_after.map(|seconds| seconds as u32),
    };
    append(&folder.join("events.csv"), settled.iter().map(row))
}

fn append<T: Serialize + DeserializeOwned>(
    path: &Path,
    rows: impl IntoIterator<Item = T>,
) -> Result<(), String> {
    let mut all: Vec<T> = if path.exists() { read_rows(path)? } else { Vec::new() };
    all.extend(rows);
    write_rows(path, &all)
}

/// Share of what was asked for in a second of the day that was earned.
pub fn earned(day: &Day, second: usize) -> f64 {
    day.score_between(second, second + 1)
}

fn write_seconds(run: &Run, path: &Path) -> csv::Result<()> {
    let mut table = csv::Writer::from_path(path)?;
    let head = ["second", "drivers", "earned"].into_iter().map(String::from);
    let figures = Costs::NAMES.iter().flat_map(|name| [(*name).to_string(), format!("{name}_most")]);
    table.write_record(head.chain(figures))?;
    for (second, costs) in run.hollow.iter().enumerate() {
        let head =
            [second as f64, costs.drivers as f64, earned(&run.outcome.day, second)].map(|v| v.to_string());
        let pairs = costs.mean.values().into_iter().zip(costs.most.values());
        let figures = pairs.flat_map(|(mean, most)| [format!("{mean:.1}"), format!("{most:.1}")]);
        table.write_record(head.into_iter().chain(figures))?;
    }
    table.flush()?;
    Ok(())
}

fn write_events(settled: &[Settled], path: &Path) -> csv::Result<()> {
    let mut table = csv::Writer::from_path(path)?;
    for event in settled {
        table.serialize(event)?;
    }
    table.flush()?;
    Ok(())
}

fn summary(run: &Run, settled: &[Settled]) -> String {
    let mut text = String::new();
    let Outcome { plan, day, behind, passed, lost, .. } = &run.outcome;
    let (hollow, real) = (run.mean(), mean(run.processes.iter().copied()));
    let _ = writeln!(
        text,
        "{}: {} drivers ({} processes, the others hollow), {} databases, {} zones, {} s; {} s counted",
        plan.name,
        plan.router_count(),
        run.processes.len(),
        plan.member_count(),
        plan.zones.len(),
        plan.seconds(),
        run.counted().len()
    );
    let _ = writeln!(text, "{:32} {:>14} {:>14}", "a second and driver", "hollow", "processes");
    let mut row = |name: &str, hollow: f64, real: f64| {
        let _ = writeln!(text, "{name:32} {hollow:>14.2} {real:>14.2}");
    };
    row("bytes of messages, both ways", hollow.peer_bytes(), real.peer_bytes());
    row("bytes of the list, both ways", hollow.list_bytes(), real.list_bytes());
    row("control time, share of a core %", hollow.control_time() / 1e7, real.control_time() / 1e7);
    for ((name, hollow), real) in Costs::NAMES.iter().zip(hollow.values()).zip(real.values()) {
        row(name, hollow, real);
    }
    let _ = writeln!(text, "worth earned, of what was asked for: {:.4}", day.score());
    let _ = writeln!(text, "datagrams between drivers: {passed} passed, {lost} lost");
    for event in settled {
        let _ = writeln!(text, "{event}");
    }
    let void = if run.kept_up() { "" } else { ": too late, figures of times are void" };
    let _ = writeln!(text, "the rig was late for its own day by {} ms at most{void}", behind.as_millis());
    let _ = writeln!(text, "broken rules: {}", day.breaches.len());
    for breach in day.breaches.iter().take(NAMED) {
        let _ = writeln!(text, "broken: {breach}");
    }
    text
}
