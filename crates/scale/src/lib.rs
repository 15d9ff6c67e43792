//! Scale runs: hundreds of hollow drivers beside a few processes of the program.
//!
//! A hollow driver is the driver's own control plane (`beaconshore_driver::Control`: list, member state, messages, timers) on
//! real loopback sockets, with statistical traffic in place of clients' connections and a model of members in place of
//! theirs. Owns the threads on which they run and the samples of what they spent; decides nothing.

mod hollow;
mod host;
mod logs;
mod sample;

pub use host::HollowHost;
pub use logs::{process_sample, LogError};
pub use sample::{Costs, Sample};
