//! The operator's file: protobuf text format, decoded and checked. Owns its schema (`proto/operator.proto`), the
//! defaults, and the errors, which name file, line, column, reason and remedy. Opens no file itself, keeps
//! nothing, and decides nothing: what it reads becomes the policies of other packages.

mod gossip;
mod routes;
pub mod text;
mod zones;

pub use gossip::gossip;
pub use routes::routes;
pub use zones::zones;

/// The messages of the schema.
#[allow(missing_docs)] // Generated; the schema documents each field.
pub mod proto {
    include!(concat!(env!("OUT_DIR"), "/beaconshore.operator.rs"));
}

/// The schema's descriptors, for other schemas that refer to it.
pub const DESCRIPTORS: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/operator.bin"));

/// Reads an operator's file; `file` is what errors call it.
pub fn parse(file: &str, text: &str) -> Result<proto::Operator, text::Problem> {
    text::decode(DESCRIPTORS, "beaconshore.operator.Operator", file, text)
}
