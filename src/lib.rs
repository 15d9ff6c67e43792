//! Decision module of beaconshore: decides which member of a replicated group serves which request.
//!
//! [`interface`] defines the settings, events and actions; [`policy`] contains every decision. Nothing in this
//! crate reads a clock, opens a socket or starts a thread: the caller passes the time with each event and
//! performs the returned actions.

pub mod interface;
pub mod policy;
pub mod random;
mod records;
pub mod sizes;

pub use policy::Router;
