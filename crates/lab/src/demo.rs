//! The demonstration: a zone is lost and returns, on a fleet that needs no file.

use std::path::Path;

use beaconshore_emulator::{experiment, Brains};

use crate::cli::{write, Verdict};
use crate::plays::play_all;

const FILE: &str = "examples/zone-loss.textproto";
const TEXT: &str = include_str!("../../../examples/zone-loss.textproto");
const SEEDS: [u64; 3] = [1, 2, 3];

/// Plays it, and writes tables and charts into a folder.
pub fn run(output: &Path) -> Result<Verdict, String> {
    let plan = experiment::read(FILE, TEXT).map_err(|e| e.to_string())?;
    println!("{}", plan.purpose);
    println!(
        "Three seeds, each with routers that plan for zones, plain ones, and an oracle; the file is {FILE}."
    );
    let plays = play_all(&plan, &[Brains::Planned, Brains::Plain, Brains::Oracle], &SEEDS, 0);
    write(&plan, &plays, output)
}
