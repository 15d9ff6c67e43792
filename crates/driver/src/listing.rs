//! The list of members in discovery's words.

use std::net::SocketAddr;

use log::warn;
use serde::{Deserialize, Deserializer};

/// A whole list, or the changes since another one.
#[derive(Clone, Debug, Deserialize)]
pub struct Listing {
    /// Its version.
    pub generation: u64,
    /// Whether it is whole.
    pub reset: bool,
    /// Its entries. One that can't be read is passed over: the others still count.
    #[serde(deserialize_with = "readable")]
    pub instances: Vec<Instance>,
}

/// A member in the list.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Instance {
    /// What all drivers call it, across restarts and changes of address.
    pub instance_id: String,
    /// Where it listens.
    pub host_port: SocketAddr,
    /// Its zone, by name.
    pub zone: String,
    /// Its group.
    pub cell: u32,
    /// Its state.
    pub lifecycle: Lifecycle,
    /// Unix time of its last start in milliseconds; 0 for long ago.
    #[serde(default)]
    pub started_at_ms: u64,
    /// Its part in the group, where the list shows it.
    #[serde(default)]
    pub role: Option<String>,
}

/// The state of a member in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Lifecycle {
    /// In service.
    Ready,
    /// Removed.
    Gone,
    /// Finishes what it has, wants nothing new; a state that is not known binds no less.
    #[serde(other)]
    Draining,
}

/// What the list, an answer and a report call a primary.
pub const LEADER: &str = "leader";
/// What the list, an answer and a report call a replica.
pub const FOLLOWER: &str = "follower";

fn readable<'de, D: Deserializer<'de>>(list: D) -> Result<Vec<Instance>, D::Error> {
    let entries = Vec::<serde_json::Value>::deserialize(list)?;
    let read =
        |entry| serde_json::from_value(entry).inspect_err(|e| warn!("a list entry can't be read: {e}")).ok();
    Ok(entries.into_iter().filter_map(read).collect())
}
