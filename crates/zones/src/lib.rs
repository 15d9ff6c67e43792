//! Decisions about zones (data centres): which ones a router prefers, whether one is lost or cut off as a whole,
//! how much work may spill over into it, and how traffic returns to it in steps after it has recovered.
//!
//! This crate holds what one router knows of each zone. It chooses no members, performs no I/O, and reads no clock
//! and no random numbers: times come in with the events. Its result is advice to the decision module, which only
//! narrows what that module does; without advice the module works as if this crate did not exist.
//!
//! - [`policy`]: what operators state about zones.
//! - [`evidence`]: what members and peers showed of each member's health, and an assessment of each zone from that.
//! - [`state`]: the phase of each zone, and a bound on how often it changes.
//! - [`ramp`]: the stepwise return of traffic to a zone that has recovered.
//! - [`tiers`]: the order in which a router prefers zones.
//! - [`window`], [`spill`] and [`lend`]: the limit on work that spills over from other zones.
//! - [`planner`]: puts all of these together for one router.

pub mod evidence;
pub mod lend;
pub mod planner;
pub mod policy;
pub mod ramp;
pub mod spill;
pub mod state;
pub mod tiers;
pub mod window;

pub use planner::Planner;
pub use policy::Policy;
