//! Decisions on zones: which are preferred, whether one is lost as a whole, how much may spill to it, and how
//! it comes back. Owns what a router believes of each zone, and no more: it chooses no member, sends nothing,
//! and never reads a clock, a socket or a random number. Its words go to the decision module, which they only
//! narrow; without them that acts as if this package did not exist.
//!
//! In the order of a zone's life: [`policy`] is what operators say, [`evidence`] collects what members and peers
//! told, [`state`] turns it into one state for each zone, [`ramp`] leads a returning zone back in steps,
//! [`window`], [`spill`] and [`lend`] hold the limit on work from elsewhere, and [`planner`] puts these together.

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
