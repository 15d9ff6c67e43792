//! Compiles the operator's schema, with a compiler written in Rust: nothing has to be installed.

use std::path::PathBuf;
use std::{env, error::Error, fs};

use prost::Message;

fn main() -> Result<(), Box<dyn Error>> {
    println!("cargo:rerun-if-changed=../../proto/operator.proto");
    let set = protox::compile(["operator.proto"], ["../../proto"])?;
    let out = PathBuf::from(env::var("OUT_DIR")?);
    fs::write(out.join("operator.bin"), set.encode_to_vec())?;
    prost_build::Config::new().compile_fds(set)?;
    Ok(())
}
