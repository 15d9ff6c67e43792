//! Decisions on routes: which one a request takes, whether it is admitted now, how long and how often it may be
//! tried. Owns every route's limits, budgets and shares, and no more: it chooses no member, sends nothing, and
//! never reads a clock or a socket. What it says only narrows what the decision module may do.
//!
//! In the order of a request's life: [`expression`] and [`table`] find its route, [`rate`], [`concurrency`] and
//! [`fair`] admit it or turn it away, [`repeats`] holds what is tried again to a share, and [`director`] puts these
//! together. [`policy`] is what operators say, checked.

pub mod concurrency;
pub mod director;
pub mod expression;
pub mod fair;
pub mod policy;
pub mod rate;
pub mod repeats;
pub mod table;

pub use director::Director;
pub use policy::{Policy, Route};
