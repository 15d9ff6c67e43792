//! The driver as a program: see the library for what it does.

use std::process::ExitCode;

use beaconshore_driver::cli::{Arguments, Todo};
use beaconshore_driver::{run, signals, Config};
use clap::Parser;
use env_logger::Env;

fn main() -> ExitCode {
    match Arguments::parse().run() {
        Todo::End(code) => return code,
        Todo::Serve => {}
    }
    env_logger::Builder::from_env(Env::default().default_filter_or("info")).init();
    signals::end_with_parent();
    // Before all else: a signal that is not caught ends the process.
    let (stop, reloads) = (signals::stop(), signals::reloads());
    let done = Config::from_env().and_then(|config| run(config, stop, reloads));
    done.map_or_else(
        |message| {
            eprintln!("beaconshore: {message}");
            ExitCode::from(2)
        },
        |()| ExitCode::SUCCESS,
    )
}
