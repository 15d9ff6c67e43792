//! The membership list in the JSON format of discovery.

use std::net::SocketAddr;

use log::warn;
use serde::{Deserialize, Deserializer};

/// An update of the membership list: the full list, or the changes since an earlier version.
#[derive(Clone, Debug, Deserialize)]
pub struct MembershipUpdate {
    /// Version of the list.
    pub generation: u64,
    /// Whether this is the full list.
    pub reset: bool,
    /// The entries. One that cannot be parsed is logged and skipped; the others are used.
    #[serde(deserialize_with = "parseable_entries")]
    pub instances: Vec<MemberEntry>,
}

/// An entry of the membership list: one member.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct MemberEntry {
    /// Name of the member, the same for all drivers and across restarts and changes of address.
    pub instance_id: String,
    /// Address at which it listens.
    pub host_port: SocketAddr,
    /// Name of its zone.
    pub zone: String,
    /// Number of its group.
    pub cell: u32,
    /// Its state of service.
    pub lifecycle: Lifecycle,
    /// Unix time of its last start in milliseconds; 0 if it started long ago.
    #[serde(default)]
    pub started_at_ms: u64,
    /// Its role in the group, [`LEADER`] or [`FOLLOWER`], if the list contains it.
    #[serde(default)]
    pub role: Option<String>,
}

/// State of service of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Lifecycle {
    /// In service.
    Ready,
    /// Removed from the store.
    Gone,
    /// Finishes its open requests and takes no new ones. An unknown state is treated the same way.
    #[serde(other)]
    Draining,
}

/// Name of a primary in lists, answers and load reports.
pub const LEADER: &str = "leader";
/// Name of a replica in lists, answers and load reports.
pub const FOLLOWER: &str = "follower";

/// Deserializes the entries that can be parsed.
fn parseable_entries<'de, D: Deserializer<'de>>(list: D) -> Result<Vec<MemberEntry>, D::Error> {
    let entries = Vec::<serde_json::Value>::deserialize(list)?;
    let parse = |entry| {
        serde_json::from_value(entry)
            .inspect_err(|e| warn!("skipped an entry of the membership list that can't be parsed: {e}"))
            .ok()
    };
    Ok(entries.into_iter().filter_map(parse).collect())
}
