//! The program `beaconshore`: parses the command line, and serves or runs a command on operator's files.

use std::process::ExitCode;

use beaconshore_driver::cli::{Arguments, NextStep};
use beaconshore_driver::{run, signals, Config};
use clap::Parser;
use env_logger::Env;

fn main() -> ExitCode {
    match Arguments::parse().run() {
        NextStep::Exit(code) => return code,
        NextStep::Serve => {}
    }
    env_logger::Builder::from_env(Env::default().default_filter_or("info")).init();
    signals::end_with_parent();
    // The handlers are installed before anything else, since a signal without a handler kills the process.
    let (stop, reloads) = (signals::stop(), signals::reloads());
    let result = Config::from_env().and_then(|config| run(config, stop, reloads));
    result.map_or_else(
        |message| {
            eprintln!("beaconshore: {message}");
            ExitCode::from(2)
        },
        |()| ExitCode::SUCCESS,
    )
}
