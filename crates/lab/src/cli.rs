//! The command line.

use std::fs;
use std::path::{Path, PathBuf};

use beaconshore_emulator::experiment::{self, Size};
use beaconshore_emulator::{Brains, Plan};
use clap::{Parser, Subcommand, ValueEnum};

use crate::plays::{self, Plays};
use crate::{capacity, charts, demo, fleet, scale, tables};

/// Most seeds of one run.
const MOST_SEEDS: u64 = 10_000;

/// Plays experiments on the emulator of a fleet, and writes tables and charts.
///
/// Exit codes: 0 every rule was kept by the routers under test, 1 a rule was broken, 2 the input can't be used.
#[derive(Debug, Parser)]
#[command(version)]
pub struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Loses a zone and lets it return, on a built-in fleet; says where its charts are.
    Demo {
        /// Folder for tables and charts.
        #[arg(short, long, default_value = "target/demo")]
        output: PathBuf,
    },
    /// Plays an experiment's file.
    Run {
        /// The file, in protobuf text format (schema: proto/experiment.proto).
        experiment: PathBuf,
        /// Seeds, one or a range with both ends: 3 or 1..20.
        #[arg(short, long, default_value = "1..5", value_parser = seeds)]
        seeds: Seeds,
        /// Folder for tables and charts.
        #[arg(short, long)]
        output: PathBuf,
        /// Who decides: routers that plan for zones, plain ones, and what they are compared with.
        #[arg(short, long, value_delimiter = ',', default_values_t = [Kind::Planned, Kind::Plain, Kind::Oracle])]
        brains: Vec<Kind>,
        /// Days that are played side by side; 0: one for each core.
        #[arg(short, long, default_value_t = 0)]
        jobs: usize,
    },
    /// Plays an experiment's file on processes of the program, on loopback and in real time, beside the emulator.
    Fleet {
        /// The file.
        experiment: PathBuf,
        /// Processes over all zones, a multiple of these; left out: as many as the file says.
        #[arg(short, long)]
        processes: Option<usize>,
        /// The program; left out: `beaconshore` beside this one.
        #[arg(long)]
        program: Option<PathBuf>,
        /// An operator's file for all of them.
        #[arg(long)]
        operator: Option<PathBuf>,
        /// Folder for tables.
        #[arg(short, long, default_value = "target/fleet")]
        output: PathBuf,
        /// Folder for the processes' logs.
        #[arg(long)]
        logs: Option<PathBuf>,
        /// Seed of the day.
        #[arg(short, long, default_value_t = 1)]
        seed: u64,
    },
    /// Plays an experiment's file on hollow drivers beside a few processes, on loopback and in real time: what control costs.
    Scale {
        /// The file.
        experiment: PathBuf,
        /// Drivers over all zones, a multiple of these; left out: as many as the file says.
        #[arg(long)]
        drivers: Option<usize>,
        /// Databases over all groups, a multiple of a group's members; left out: as many as the file says.
        #[arg(long)]
        databases: Option<usize>,
        /// Requests a second and driver; left out: as the file says.
        #[arg(long)]
        rate: Option<f64>,
        /// Length in seconds; left out: as the file says.
        #[arg(long)]
        seconds: Option<u32>,
        /// Of the drivers, processes of the program: a multiple of the zones; left out: one in each zone.
        #[arg(short, long)]
        processes: Option<usize>,
        /// The program; left out: `beaconshore` beside this one.
        #[arg(long)]
        program: Option<PathBuf>,
        /// An operator's file for all of them: its gossip is in force.
        #[arg(long)]
        operator: Option<PathBuf>,
        /// Folder for tables, charts and logs.
        #[arg(short, long, default_value = "target/scale")]
        output: PathBuf,
        /// Seed of the day.
        #[arg(short, long, default_value_t = 1)]
        seed: u64,
        /// Folder in which the run's figures are added to those of earlier ones.
        #[arg(long)]
        record: Option<PathBuf>,
    },
    /// Measures what control costs as a fleet grows, and writes the slopes.
    #[command(subcommand)]
    Capacity(capacity::Command),
    /// Reads an experiment's file and says what it holds.
    Check {
        /// The file.
        experiment: PathBuf,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum Kind {
    Planned,
    Plain,
    Primaries,
    Random,
    Oracle,
}

impl std::fmt::Display for Kind {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(Brains::from(*self).name())
    }
}

impl From<Kind> for Brains {
    fn from(kind: Kind) -> Brains {
        match kind {
            Kind::Planned => Brains::Planned,
            Kind::Plain => Brains::Plain,
            Kind::Primaries => Brains::Primaries,
            Kind::Random => Brains::Random,
            Kind::Oracle => Brains::Oracle,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Seeds(u64, u64);

fn seeds(text: &str) -> Result<Seeds, String> {
    let number = |t: &str| t.trim_start_matches('=').parse::<u64>().map_err(|e| format!("{t:?}: {e}"));
    let (first, last) = match text.split_once("..") {
        Some((first, last)) => (number(first)?, number(last)?),
        None => (number(text)?, number(text)?),
    };
    if first > last || last - first >= MOST_SEEDS {
        return Err(format!("from {first} to {last}: at least one seed, {MOST_SEEDS} at most"));
    }
    Ok(Seeds(first, last))
}

/// What a run says of the rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The routers under test kept all of them.
    Kept,
    /// One was broken.
    Broken,
}

impl Arguments {
    /// Does what was asked.
    pub fn run(self) -> Result<Verdict, String> {
        match self.command {
            Command::Demo { output } => demo::run(&output),
            Command::Fleet { experiment, processes, program, operator, output, logs, seed } => {
                let request = fleet::Request { processes, program, operator, output, logs, seed };
                fleet::compare(read(&experiment)?, &request)
            }
            Command::Scale {
                experiment,
                drivers,
                databases,
                rate,
                seconds,
                processes,
                program,
                operator,
                output,
                seed,
                record,
            } => {
                let size = Size { zones: None, routers: drivers, members: databases, rate, seconds };
                let file = experiment.display().to_string();
                let text = fs::read_to_string(&experiment).map_err(|e| format!("{file}: {e}"))?;
                let plan = experiment::read_sized(&file, &text, &size).map_err(|e| e.to_string())?;
                let processes = processes.unwrap_or(plan.zones.len());
                scale::run(&plan, &scale::Request { processes, program, operator, output, seed, record })
            }
            Command::Capacity(command) => command.run(),
            Command::Check { experiment } => {
                let plan = read(&experiment)?;
                println!(
                    "{}: {} s, {} zones, {} members in {} groups, {} routers, {} faults",
                    plan.name,
                    plan.seconds(),
                    plan.zones.len(),
                    plan.member_count(),
                    plan.groups.members.len(),
                    plan.settings.routers,
                    plan.strikes.len()
                );
                Ok(Verdict::Kept)
            }
            Command::Run { experiment, seeds: Seeds(first, last), output, brains, jobs } => {
                let plan = read(&experiment)?;
                let brains: Vec<Brains> = brains.into_iter().map(Brains::from).collect();
                let seeds: Vec<u64> = (first..=last).collect();
                let plays = plays::play_all(&plan, &brains, &seeds, jobs);
                write(&plan, &plays, &output)
            }
        }
    }
}

fn read(path: &Path) -> Result<Plan, String> {
    let file = path.display().to_string();
    let text = fs::read_to_string(path).map_err(|e| format!("{file}: {e}"))?;
    experiment::read(&file, &text).map_err(|e| e.to_string())
}

/// Writes tables and charts, and says in a few lines what they hold.
pub fn write(plan: &Plan, plays: &Plays, output: &Path) -> Result<Verdict, String> {
    let at = |e: &dyn std::fmt::Display| format!("{}: {e}", output.display());
    fs::create_dir_all(output).map_err(|e| at(&e))?;
    tables::write(plan, plays, output).map_err(|e| at(&e))?;
    charts::draw(plan, plays, output).map_err(|e| at(&*e))?;
    print!("{}", tables::summary(plan, plays));
    println!("tables and charts: {}", output.display());
    let under_test = |b: &Brains| matches!(b, Brains::Planned | Brains::Plain);
    // Where routers that plan are played, plain ones are what they are compared with.
    let tested = plays.brains().into_iter().find(under_test);
    let broken = tested.is_some_and(|b| plays.of(b).any(|day| !day.breaches.is_empty()));
    Ok(if broken { Verdict::Broken } else { Verdict::Kept })
}
