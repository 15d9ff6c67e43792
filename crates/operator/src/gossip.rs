//! What the file says of gossip, as its policy.

use beaconshore::interface::Micros;
use beaconshore_gossip::Policy;

use crate::proto;
use crate::text::{impossible, Problem};

/// The policy that a file's `gossip` describes, with defaults for what it leaves out; `file` and `text` are for errors.
pub fn gossip(file: &str, text: &str, gossip: &proto::Gossip) -> Result<Policy, Problem> {
    let defaults = Policy::default();
    let policy = Policy {
        bytes_per_second: gossip.bytes_per_second.unwrap_or(defaults.bytes_per_second),
        fanout: gossip.fanout.unwrap_or(defaults.fanout),
        round_period: gossip.round_ms.map_or(defaults.round_period, |ms| Micros::from(ms) * 1000),
    };
    let wrong = |field: &str, reason: &str| impossible(file, text, &format!("gossip.{field}"), reason);
    policy.check().map_err(|fault| wrong(fault.field, &fault.reason))?;
    Ok(policy)
}
