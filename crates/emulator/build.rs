//! Compiles the schema of experiments, with a compiler written in Rust.

use std::path::PathBuf;
use std::{env, error::Error, fs};

use prost::Message;

fn main() -> Result<(), Box<dyn Error>> {
    println!("cargo:rerun-if-changed=../../proto");
    let set = protox::compile(["experiment.proto"], ["../../proto"])?;
    let out = PathBuf::from(env::var("OUT_DIR")?);
    fs::write(out.join("experiment.bin"), set.encode_to_vec())?;
    let mut config = prost_build::Config::new();
    config.extern_path(".beaconshore.operator", "::beaconshore_operator::proto");
    config.compile_fds(set)?;
    Ok(())
}
