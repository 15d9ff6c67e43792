//! Decision module of beaconshore: which member of a replicated group serves which request.
//!
//! [`interface`] holds the settings, events and actions; [`policy`] holds every decision.
//! Nothing here reads a clock, opens a socket or starts a thread: time comes in with the events, actions go out.

pub mod interface;
pub mod policy;
pub mod random;
mod records;
pub mod sizes;

pub use policy::Router;
