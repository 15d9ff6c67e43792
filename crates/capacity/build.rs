//! Compiles the schema of a size, with a compiler written in Rust: nothing has to be installed.

use std::path::PathBuf;
use std::{env, error::Error, fs};

use prost::Message;

fn main() -> Result<(), Box<dyn Error>> {
    println!("cargo:rerun-if-changed=../../proto/capacity.proto");
    let set = protox::compile(["capacity.proto"], ["../../proto"])?;
    let out = PathBuf::from(env::var("OUT_DIR")?);
    fs::write(out.join("capacity.bin"), set.encode_to_vec())?;
    prost_build::Config::new().compile_fds(set)?;
    Ok(())
}
