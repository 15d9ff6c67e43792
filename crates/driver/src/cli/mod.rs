//! The command line: serving, and commands that check, explain and compare operator's files before they are put in force.
//!
//! Handles arguments, output and exit codes. The files themselves are parsed and checked by [`Config::parse_operator_file`].

mod check;
mod diff;
mod explain;

use std::fs;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use beaconshore_steering::PlannerPolicies;
use clap::{CommandFactory, Parser, Subcommand, ValueEnum};
use clap_complete::Shell;

use crate::config::Config;

/// Routes requests to the members of replicated stores.
///
/// Without a command it serves as a router. Environment variables name its files: RELAY_CONFIG the configuration,
/// BEACONSHORE_OPERATOR an operator's file.
#[derive(Debug, Parser)]
#[command(name = "beaconshore", version)]
pub struct Arguments {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Serves until SIGTERM; the default without a command.
    Serve,
    /// Checks operator's files and lists every problem found.
    ///
    /// Exit codes: 0 no problems, 1 problems found, 2 a file or the configuration can't be read.
    Check {
        /// Operator's files to check.
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// The configuration whose classes and zones the files refer to; the one that RELAY_CONFIG names if not given.
        #[arg(short, long)]
        config: Option<PathBuf>,
        /// Output format of the problems.
        #[arg(short, long, value_enum, default_value_t = Format::Text)]
        format: Format,
    },
    /// Says which route a request would take, why no earlier route matches it, and the latest times of its attempts.
    Explain(explain::ExplainArguments),
    /// Says what a reload from one operator's file to another would change.
    Diff {
        /// The operator's file in force.
        old: PathBuf,
        /// The operator's file that is to replace it.
        new: PathBuf,
        /// The configuration that both files are for; the one that RELAY_CONFIG names if not given.
        #[arg(short, long)]
        config: Option<PathBuf>,
    },
    /// Prints a completion script for a shell.
    Completions {
        /// The shell.
        shell: Shell,
    },
}

/// Output format of problems.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Format {
    /// One line for each problem.
    Text,
    /// One JSON array of all problems.
    Json,
}

/// What the program has to do after the command line was handled.
pub enum NextStep {
    /// Serve as a router.
    Serve,
    /// Exit with this code.
    Exit(ExitCode),
}

/// Exit code if a file or the configuration can't be read.
const UNREADABLE_INPUT: u8 = 2;

impl Arguments {
    /// Runs the command, except for serving, which is left to the caller.
    pub fn run(self) -> NextStep {
        let result = match self.command {
            None | Some(Command::Serve) => return NextStep::Serve,
            Some(Command::Check { files, config, format }) => check::run(&files, config.as_deref(), format),
            Some(Command::Explain(arguments)) => explain::run(&arguments),
            Some(Command::Diff { old, new, config }) => diff::run(&old, &new, config.as_deref()),
            Some(Command::Completions { shell }) => {
                clap_complete::generate(
                    shell,
                    &mut Arguments::command(),
                    "beaconshore",
                    &mut std::io::stdout(),
                );
                Ok(ExitCode::SUCCESS)
            }
        };
        NextStep::Exit(result.unwrap_or_else(|reason| {
            eprintln!("beaconshore: {reason}");
            ExitCode::from(UNREADABLE_INPUT)
        }))
    }
}

/// Loads the configuration that operator's files are checked against: the file at `path`, or the one that `RELAY_CONFIG`
/// names.
fn load_configuration(path: Option<&Path>) -> Result<Config, String> {
    let Some(path) = path else { return Config::load() };
    let text = fs::read(path).map_err(|e| format!("configuration {}: {e}", path.display()))?;
    Config::parse(&text).map_err(|e| format!("configuration {}: {e}", path.display()))
}

/// Reads a text file.
fn read_text(path: &Path) -> Result<String, String> {
    fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))
}

/// Loads the policies of an operator's file. The error lists all its problems, one per line.
fn load_plans(config: &Config, path: &Path) -> Result<PlannerPolicies, String> {
    let file = path.display().to_string();
    let loaded = config.parse_operator_file(&file, &read_text(path)?);
    loaded.map(|loaded| loaded.plans).map_err(|problems| {
        let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
        lines.join("\n")
    })
}
