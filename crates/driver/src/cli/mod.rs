//! The command line: serving, and all that can be asked of an operator's file before it is in force.
//!
//! Owns arguments, output and exit codes; what is right or wrong with a file is decided where it is read.

mod check;
mod diff;
mod explain;

use std::fs;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use beaconshore_steering::Plans;
use clap::{CommandFactory, Parser, Subcommand, ValueEnum};
use clap_complete::Shell;

use crate::config::Config;

/// Routes requests to the members of replicated stores.
///
/// Without a command it serves, as its environment says: RELAY_CONFIG names the configuration,
/// BEACONSHORE_OPERATOR an operator's file.
#[derive(Debug, Parser)]
#[command(name = "beaconshore", version)]
pub struct Arguments {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Serves until SIGTERM; what no command does too.
    Serve,
    /// Reads operator's files and says everything that is wrong with them.
    ///
    /// Exit codes: 0 nothing, 1 findings, 2 a file or the configuration can't be read.
    Check {
        /// Operator's files.
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// The configuration whose classes and zones they are for; RELAY_CONFIG if not given.
        #[arg(short, long)]
        config: Option<PathBuf>,
        /// How findings are told.
        #[arg(short, long, value_enum, default_value_t = Format::Text)]
        format: Format,
    },
    /// Says which route a request would take, why no earlier one, and how its attempts may go at worst.
    Explain(explain::Question),
    /// Says what a reload from one operator's file to another would change.
    Diff {
        /// The file in force.
        old: PathBuf,
        /// The file to come.
        new: PathBuf,
        /// The configuration that they are for; RELAY_CONFIG if not given.
        #[arg(short, long)]
        config: Option<PathBuf>,
    },
    /// Writes a script by which a shell completes arguments.
    Completions {
        /// For which shell.
        shell: Shell,
    },
}

/// How findings are told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Format {
    /// A line each.
    Text,
    /// A JSON list.
    Json,
}

/// What the program's main has to do.
pub enum Todo {
    /// Serve.
    Serve,
    /// Nothing more: end so.
    End(ExitCode),
}

/// Input that can't be read at all.
const UNUSABLE: u8 = 2;

impl Arguments {
    /// Does what was asked, but for serving.
    pub fn run(self) -> Todo {
        let done = match self.command {
            None | Some(Command::Serve) => return Todo::Serve,
            Some(Command::Check { files, config, format }) => check::run(&files, config.as_deref(), format),
            Some(Command::Explain(question)) => explain::run(&question),
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
        Todo::End(done.unwrap_or_else(|reason| {
            eprintln!("beaconshore: {reason}");
            ExitCode::from(UNUSABLE)
        }))
    }
}

/// The configuration that operator's files are held against.
fn configuration(path: Option<&Path>) -> Result<Config, String> {
    let Some(path) = path else { return Config::named() };
    let text = fs::read(path).map_err(|e| format!("configuration {}: {e}", path.display()))?;
    Config::parse(&text).map_err(|e| format!("configuration {}: {e}", path.display()))
}

fn text_of(path: &Path) -> Result<String, String> {
    fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))
}

/// What an operator's file says; else all that is wrong with it, a line each.
fn plans(config: &Config, path: &Path) -> Result<Plans, String> {
    let file = path.display().to_string();
    let operated = config.operator(&file, &text_of(path)?);
    operated.map(|operated| operated.plans).map_err(|found| {
        let lines: Vec<String> = found.iter().map(ToString::to_string).collect();
        lines.join("\n")
    })
}
