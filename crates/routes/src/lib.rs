//! Decisions on routes: which route a request takes, whether it is admitted now, how much time it gets and how often
//! it may be retried.
//!
//! This crate owns the limits, retry budgets and shares of every route. It chooses no member, sends nothing, and reads
//! neither a clock nor a socket. Its decisions only narrow what the decision module may do.
//!
//! In the order of a request's life: [`expression`] and [`route_index`] find its route; [`rate_limit`],
//! [`concurrency_limit`] and [`weighted_shares`] admit or reject it; [`retry_budget`] holds retries to a share of first
//! attempts. [`controller`] combines these. [`policy`] holds the operator's configuration and validates it.

pub mod concurrency_limit;
pub mod controller;
pub mod expression;
pub mod policy;
pub mod rate_limit;
pub mod retry_budget;
pub mod route_index;
pub mod weighted_shares;

pub use controller::RouteController;
pub use policy::{Policy, Route};
