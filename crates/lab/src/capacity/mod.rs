//! `beaconshore-lab capacity`: measures what control costs as a fleet grows, fits slopes, and fills in the page.

mod connections;
mod decisions;
mod sweep;

use std::fs;
use std::path::{Path, PathBuf};

use beaconshore_capacity::fit::{fit_all, Fit};
use beaconshore_capacity::page::{self, EventRun, Inputs, ScaleRun};
use beaconshore_capacity::sample::{Axis, Sample};
use beaconshore_capacity::size;
use clap::Subcommand;
use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::cli::Verdict;

/// Folder of all that is measured.
const FOLDER: &str = "docs/measurements/capacity";

/// What is done about capacity.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Plays small fleets at several sizes along each axis, and adds what they cost to the samples (minutes).
    Sweep {
        /// An experiment's file: what is not varied is as it says.
        #[arg(default_value = "examples/scale-calm.textproto")]
        experiment: PathBuf,
        /// Folder of the samples.
        #[arg(short, long, default_value = FOLDER)]
        output: PathBuf,
        /// Seeds of each size.
        #[arg(long, default_value_t = 3)]
        seeds: u64,
    },
    /// Times decisions for groups of several fleets, in this process, and adds the samples.
    Decisions {
        /// Folder of the samples.
        #[arg(short, long, default_value = FOLDER)]
        output: PathBuf,
    },
    /// Holds idle connections of clients open at one process of the program, and adds what memory they take.
    Connections {
        /// Folder of the samples.
        #[arg(short, long, default_value = FOLDER)]
        output: PathBuf,
        /// The program; left out: `beaconshore` beside this one.
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// Fits lines to the samples.
    Fit {
        /// Folder of the samples and of the slopes.
        #[arg(short, long, default_value = FOLDER)]
        output: PathBuf,
    },
    /// Fills in the page's tables from slopes, runs and the size.
    Page {
        /// Folder of what was measured.
        #[arg(short, long, default_value = FOLDER)]
        measured: PathBuf,
        /// The size, in protobuf text format (schema: proto/capacity.proto).
        #[arg(short, long, default_value = "deploy/capacity.textproto")]
        size: PathBuf,
        /// The page.
        #[arg(long, default_value = "docs/CAPACITY.md")]
        page: PathBuf,
    },
}

impl Command {
    /// Does it.
    pub fn run(self) -> Result<Verdict, String> {
        match self {
            Command::Sweep { experiment, output, seeds } => {
                add_samples(&output, sweep::run(&experiment, seeds)?)?;
            }
            Command::Decisions { output } => add_samples(&output, decisions::run())?,
            Command::Connections { output, program } => add_samples(&output, connections::run(program)?)?,
            Command::Fit { output } => {
                let samples: Vec<Sample> = read_rows(&output.join("samples.csv"))?;
                let fits = fit_all(&samples, center);
                write_rows(&output.join("slopes.csv"), &fits)?;
                println!("{} slopes of {} samples", fits.len(), samples.len());
            }
            Command::Page { measured, size, page } => fill(&measured, &size, &page)?,
        }
        Ok(Verdict::Kept)
    }
}

/// The size that all sweeps have in common.
pub fn center(axis: Axis) -> f64 {
    match axis {
        Axis::Drivers => sweep::CENTER.drivers as f64,
        Axis::Databases => sweep::CENTER.databases as f64,
        Axis::Zones => sweep::CENTER.zones as f64,
        Axis::Rate => sweep::CENTER.rate,
        Axis::IdleClients => 0.0,
    }
}

/// Takes the place of earlier samples of the same series.
fn add_samples(folder: &Path, samples: Vec<Sample>) -> Result<(), String> {
    let path = folder.join("samples.csv");
    let mut all: Vec<Sample> = if path.exists() { read_rows(&path)? } else { Vec::new() };
    let again = |old: &Sample| samples.iter().any(|new| (new.cost, new.axis) == (old.cost, old.axis));
    all.retain(|old| !again(old));
    println!("{} new samples", samples.len());
    all.extend(samples);
    fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    write_rows(&path, &all)
}

fn fill(measured: &Path, size_file: &Path, page: &Path) -> Result<(), String> {
    let read = |path: &Path| fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()));
    let size = size::read(&size_file.display().to_string(), &read(size_file)?).map_err(|e| e.to_string())?;
    let fits: Vec<Fit> = read_rows(&measured.join("slopes.csv"))?;
    let runs: Vec<ScaleRun> = read_rows(&measured.join("runs.csv"))?;
    let events: Vec<EventRun> = read_rows(&measured.join("events.csv"))?;
    let tables = page::tables(&Inputs { size, fits, runs, events });
    let filled = page::fill(&read(page)?, &tables).map_err(|e| e.to_string())?;
    fs::write(page, filled).map_err(|e| format!("{}: {e}", page.display()))?;
    println!("{}: {} tables", page.display(), tables.len());
    Ok(())
}

/// All rows of a table.
pub fn read_rows<T: DeserializeOwned>(path: &Path) -> Result<Vec<T>, String> {
    let at = |e: csv::Error| format!("{}: {e}", path.display());
    let mut table = csv::Reader::from_path(path).map_err(at)?;
    table.deserialize().collect::<Result<_, _>>().map_err(at)
}

/// Writes a table anew.
pub fn write_rows<T: Serialize>(path: &Path, rows: &[T]) -> Result<(), String> {
    let at = |e: csv::Error| format!("{}: {e}", path.display());
    let mut table = csv::Writer::from_path(path).map_err(at)?;
    rows.iter().try_for_each(|row| table.serialize(row)).map_err(at)?;
    table.flush().map_err(|e| format!("{}: {e}", path.display()))
}
