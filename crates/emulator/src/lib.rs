//! A fleet in virtual time: members with their groups' logs, zones with the network between them, discovery,
//! clients, and many routers, of which each runs the real composition of decision module and planners.
//!
//! Owns the model of all that surrounds a router, and an audit of the five rules from what members and clients
//! saw. One seed gives one day: the same seed, the same bytes out. It opens no socket, reads no clock, and takes
//! no decision of a router's; its baselines (and the oracle, which sees the true state) are here for comparison.

mod asking;
mod attempts;
pub mod audit;
pub mod baseline;
pub mod client;

mod deciding;
pub mod discovery;
pub mod draws;
pub mod experiment;
pub mod faults;
pub mod live;
pub mod log;
pub mod member;
pub mod network;
pub mod plan;
pub mod queue;
pub mod router;

mod peer_messages;
mod routing;
mod serving;
mod spill;
pub mod tally;
pub mod world;

pub use baseline::Brains;
pub use plan::Plan;
pub use tally::Day;
pub use world::play;

/// The messages of the schema.
#[allow(missing_docs)] // Generated; the schema documents each field.
pub mod proto {
    include!(concat!(env!("OUT_DIR"), "/beaconshore.experiment.rs"));
}
