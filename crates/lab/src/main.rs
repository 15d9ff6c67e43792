//! `beaconshore-lab`: see `beaconshore-lab --help`.

use std::process::ExitCode;

use beaconshore_lab::cli;
use clap::Parser;

fn main() -> ExitCode {
    match cli::Arguments::parse().run() {
        Ok(cli::Verdict::Kept) => ExitCode::SUCCESS,
        Ok(cli::Verdict::Broken) => ExitCode::from(1),
        Err(reason) => {
            eprintln!("beaconshore-lab: {reason}");
            ExitCode::from(2)
        }
    }
}
