//! What control costs at a size, worked out from measured slopes: samples become fits, fits become figures at a size, figures
//! become the tables of `docs/CAPACITY.md`.
//!
//! Owns the schema of a size (`proto/capacity.proto`). Measures nothing itself and opens no file.

pub mod fit;
pub mod model;
pub mod page;
pub mod sample;
pub mod size;

/// The messages of the schema.
#[allow(missing_docs)] // Generated; the schema documents each field.
pub mod proto {
    include!(concat!(env!("OUT_DIR"), "/beaconshore.capacity.rs"));
}

/// The schema's descriptors.
const DESCRIPTORS: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/capacity.bin"));
