//! Decodes and validates the operator's file, which is in protobuf text format.
//!
//! This crate owns the schema (`proto/operator.proto`), fills in the defaults that the schema states, and owns the errors,
//! which name file, line, column, reason and remedy. It opens no file, keeps no state and makes no decision: its results
//! are the policies of other crates.

mod gossip;
mod routes;
pub mod textproto;
mod zones;

pub use gossip::gossip_policy;
pub use routes::route_policy;
pub use zones::zone_policy;

/// The messages of the schema, as generated types.
#[allow(missing_docs)] // Generated types; the schema documents each field.
pub mod proto {
    include!(concat!(env!("OUT_DIR"), "/beaconshore.operator.rs"));
}

/// The encoded descriptors of the schema, for other schemas that import it.
pub const DESCRIPTORS: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/operator.bin"));

/// Decodes an operator's file. `file` is its name in errors.
pub fn parse(file: &str, text: &str) -> Result<proto::Operator, textproto::FileError> {
    textproto::decode(DESCRIPTORS, "beaconshore.operator.Operator", file, text)
}
