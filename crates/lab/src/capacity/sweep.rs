//! Small fleets at several sizes along each axis, the others held at a centre.

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Mutex;
use std::{env, fs, process, thread};

use beaconshore_capacity::sample::{Axis, Cost, Mechanism, Sample};
use beaconshore_emulator::experiment::{read_sized, Size};

use crate::scale::{play, Request, Run};

/// A size of a sweep.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// Drivers over all zones.
    pub drivers: usize,
    /// Databases over all groups.
    pub databases: usize,
    /// Zones.
    pub zones: usize,
    /// Requests a second and driver.
    pub rate: f64,
}

/// The size that all series have in common.
pub const CENTER: Point = Point { drivers: 24, databases: 50, zones: 3, rate: 40.0 };
/// Length of each run in seconds, after the time for starts.
const SECONDS: u32 = 10;
/// Runs side by side: each keeps a part of a core busy.
const SIDE_BY_SIDE: usize = 5;

/// A run of the sweep.
#[derive(Clone, Copy, Debug)]
struct Job {
    axis: Axis,
    point: Point,
    mechanism: Mechanism,
    seed: u64,
}

fn series(axis: Axis) -> Vec<Point> {
    match axis {
        Axis::Drivers => [12, 24, 48].map(|drivers| Point { drivers, ..CENTER }).to_vec(),
        Axis::Databases => [25, 50, 100, 200].map(|databases| Point { databases, ..CENTER }).to_vec(),
        Axis::Zones => [3, 6, 12].map(|zones| Point { zones, ..CENTER }).to_vec(),
        Axis::Rate => [20.0, 40.0, 80.0].map(|rate| Point { rate, ..CENTER }).to_vec(),
        Axis::IdleClients => Vec::new(),
    }
}

impl Point {
    fn on(&self, axis: Axis) -> f64 {
        match axis {
            Axis::Drivers => self.drivers as f64,
            Axis::Databases => self.databases as f64,
            Axis::Zones => self.zones as f64,
            Axis::Rate => self.rate,
            Axis::IdleClients => 0.0,
        }
    }
}

/// Plays all sizes with both mechanisms.
pub fn run(experiment: &Path, seeds: u64) -> Result<Vec<Sample>, String> {
    let file = experiment.display().to_string();
    let text = fs::read_to_string(experiment).map_err(|e| format!("{file}: {e}"))?;
    let jobs = jobs(seeds);
    let (next, samples, failed) = (AtomicUsize::new(0), Mutex::new(Vec::new()), Mutex::new(None));
    thread::scope(|scope| {
        for _ in 0..SIDE_BY_SIDE {
            scope.spawn(|| loop {
                let number = next.fetch_add(1, Ordering::Relaxed);
                let Some(job) = jobs.get(number) else { break };
                match measure(&file, &text, job, number) {
                    Ok(found) => samples.lock().unwrap_or_else(|e| e.into_inner()).extend(found),
                    Err(reason) => *failed.lock().unwrap_or_else(|e| e.into_inner()) = Some(reason),
                }
            });
        }
    });
    match failed.into_inner().unwrap_or_else(|e| e.into_inner()) {
        Some(reason) => Err(reason),
        None => {
            let mut samples: Vec<Sample> = samples.into_inner().unwrap_or_else(|e| e.into_inner());
            // The order in which runs ended tells nothing.
            samples.sort_by(|a, b| {
                let key = |s: &Sample| (s.cost, s.mechanism, s.axis, s.seed);
                key(a).cmp(&key(b)).then(a.at.total_cmp(&b.at))
            });
            Ok(samples)
        }
    }
}

fn jobs(seeds: u64) -> Vec<Job> {
    let mut jobs = Vec::new();
    for mechanism in [Mechanism::AllToAll, Mechanism::Gossip] {
        for axis in [Axis::Drivers, Axis::Databases, Axis::Zones, Axis::Rate] {
            for point in series(axis) {
                jobs.extend((1..=seeds).map(|seed| Job { axis, point, mechanism, seed }));
            }
        }
    }
    jobs
}

fn measure(file: &str, text: &str, job: &Job, number: usize) -> Result<Vec<Sample>, String> {
    let Job { axis, point, mechanism, seed } = *job;
    let size = Size {
        zones: Some(point.zones),
        routers: Some(point.drivers),
        members: Some(point.databases),
        rate: Some(point.rate),
        seconds: Some(SECONDS),
    };
    let plan = read_sized(file, text, &size).map_err(|e| e.to_string())?;
    let output = env::temp_dir().join(format!("beaconshore-sweep-{}-{number}", process::id()));
    fs::create_dir_all(&output).map_err(|e| e.to_string())?;
    let operator = operator_file(mechanism, &output)?;
    // Processes tell the memory of a driver; of a large fleet one in each zone is enough.
    let (program, record) = (None, None);
    let output_folder = output.clone();
    let request = Request { processes: point.zones, program, operator, output: output_folder, seed, record };
    let run = play(&plan, &request, &AtomicBool::new(false));
    let _ = fs::remove_dir_all(&output);
    let run = run?;
    let late = run.outcome.behind.as_millis();
    println!("{axis} {}, {mechanism}, seed {seed}: late by {late} ms", point.on(axis));
    if !run.kept_up() {
        println!("  left out: the rig was too late");
        return Ok(Vec::new());
    }
    let value = |(cost, value)| Sample { axis, mechanism, seed, at: point.on(axis), cost, value };
    Ok(costs(&run).into_iter().map(value).collect())
}

fn operator_file(mechanism: Mechanism, folder: &Path) -> Result<Option<PathBuf>, String> {
    if mechanism == Mechanism::AllToAll {
        return Ok(None);
    }
    let path = folder.join("gossip.textproto");
    fs::write(&path, "gossip {}\n").map_err(|e| e.to_string())?;
    Ok(Some(path))
}

/// What a run tells of each cost.
fn costs(run: &Run) -> Vec<(Cost, f64)> {
    let mean = run.mean();
    let mut costs = vec![
        (Cost::PeerBytes, mean.peer_bytes()),
        (Cost::PeerMessages, mean.datagrams_sent + mean.datagrams_received),
        (Cost::ListBytes, mean.list_bytes()),
        (Cost::ListCalls, mean.list_calls),
        (Cost::Probes, mean.probes),
        (Cost::PeerTime, mean.peer_time / 1e3),
        (Cost::ListTime, mean.list_time / 1e3),
        (Cost::TimerTime, mean.timer_time / 1e3),
    ];
    if !run.process_memory.is_empty() {
        let memory = run.process_memory.iter().sum::<f64>() / run.process_memory.len() as f64;
        costs.push((Cost::Memory, memory));
    }
    costs
}
