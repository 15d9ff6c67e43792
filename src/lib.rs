//! Decision module of beaconshore: which member of a replicated group serves which request.
//!
//! [`interface`] holds the settings, events and actions; [`rules`] holds every decision, `scouting` thins its probes,
//! `telling` decides what routers tell each other.
//! Nothing here reads a clock, opens a socket or starts a thread: time comes in with the events, actions go out.

pub mod interface;
mod random;
pub mod rules;
mod scouting;
pub mod sizes;
mod telling;

pub use rules::Router;
