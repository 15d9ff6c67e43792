//! Compiles the schema of the operator's file with `protox`, a protobuf compiler in Rust, so that `protoc` need not be
//! installed.

use std::path::PathBuf;
use std::{env, error::Error, fs};

use prost::Message;

fn main() -> Result<(), Box<dyn Error>> {
    println!("cargo:rerun-if-changed=../../proto/operator.proto");
    let descriptors = protox::compile(["operator.proto"], ["../../proto"])?;
    let out_dir = PathBuf::from(env::var("OUT_DIR")?);
    fs::write(out_dir.join("operator.bin"), descriptors.encode_to_vec())?;
    prost_build::Config::new().compile_fds(descriptors)?;
    Ok(())
}
