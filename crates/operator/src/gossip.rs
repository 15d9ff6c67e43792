//! Converts the `gossip` message of the operator's file to a gossip policy.

use beaconshore::interface::Micros;
use beaconshore_gossip::Policy;

use crate::proto;
use crate::textproto::{invalid_value, FileError};

/// Converts and validates the `gossip` message of a file. Fields that are left out have their defaults. `file` and
/// `text` are the name and the content of the file, for errors.
pub fn gossip_policy(file: &str, text: &str, gossip: &proto::Gossip) -> Result<Policy, FileError> {
    let defaults = Policy::default();
    let policy = Policy {
        bytes_per_second: gossip.bytes_per_second.unwrap_or(defaults.bytes_per_second),
        fanout: gossip.fanout.unwrap_or(defaults.fanout),
        round_period: gossip.round_ms.map_or(defaults.round_period, |ms| Micros::from(ms) * 1000),
    };
    let problem = |field: &str, reason: &str| invalid_value(file, text, &format!("gossip.{field}"), reason);
    policy.check().map_err(|error| problem(error.field, &error.reason))?;
    Ok(policy)
}
