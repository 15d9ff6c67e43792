//! Decisions about zones (data centres): which ones a router prefers, whether one is lost or cut off as a
//! whole, how much work may spill over into it, and how traffic returns to it in steps after it has
//! recovered.
//!
//! This crate holds what one router knows of each zone. It chooses no members, performs no I/O, and reads no
//! clock and no random numbers: times come in with the events. Its result is advice to the decision module,
//! which only narrows what that module does; without advice the module works as if this crate did not exist.
//!
//! - [`policy`]: what operators state about zones.
//! - [`health`]: what members and peers showed of each member's health, and an assessment of each zone.
//! - [`zone_state`]: the phase of each zone, and a bound on how often it changes.
//! - [`ramp_up`]: the stepwise return of traffic to a zone that has recovered.
//! - [`zone_order`]: the order in which a router prefers zones.
//! - [`sliding_window`], [`spill_limit`] and [`limit_loans`]: the limit on work that spills over from other
//!   zones.
//! - [`planner`]: puts all of these together for one router.

pub mod health;
pub mod limit_loans;
pub mod planner;
pub mod policy;
pub mod ramp_up;
pub mod sliding_window;
pub mod spill_limit;
pub mod zone_order;
pub mod zone_state;

pub use planner::Planner;
pub use policy::Policy;
