//! Words and counters for what happens to the knowledge of groups' primaries.

use beaconshore::interface::{PrimaryEvent, PrimaryEventKind, RoleSource};
use log::{log, Level};

use crate::stats::Counter;

/// The counter of events of this kind.
pub fn counter(kind: PrimaryEventKind) -> Counter {
    match kind {
        PrimaryEventKind::Accepted => Counter::PrimariesAccepted,
        PrimaryEventKind::Revoked => Counter::PrimariesRevoked,
        PrimaryEventKind::ClaimIgnored => Counter::PrimaryClaimsIgnored,
    }
}

/// Logs an event about a member of this name.
pub fn log(event: &PrimaryEvent, member: &str) {
    let (level, what) = match event.kind {
        PrimaryEventKind::Accepted => (Level::Info, "is taken for the primary"),
        PrimaryEventKind::Revoked => (Level::Info, "is not the primary any more"),
        PrimaryEventKind::ClaimIgnored => (Level::Debug, "is not believed to be the primary"),
    };
    let source = match event.source {
        RoleSource::Answer => "its answer",
        RoleSource::Report => "its report",
        RoleSource::Peer => "another driver",
        RoleSource::List => "the membership list",
    };
    let age = event.position_age.map_or("unknown".to_string(), |age| format!("{} ms old", age / 1000));
    log!(level, "group {}: {member} {what}, by {source}; its known position is {age}", event.group.0);
}
