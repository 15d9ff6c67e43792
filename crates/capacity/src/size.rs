//! The size of a fleet and its budget, as an operator's file says them.

use beaconshore_operator::textproto::{self, FileError};

use crate::proto::{Budget, Capacity};
use crate::sample::Axis;
use crate::DESCRIPTORS;

/// A size whose figures can be used.
#[derive(Clone, Debug, PartialEq)]
pub struct Size {
    /// The file's figures.
    pub capacity: Capacity,
    /// What a driver may spend on control.
    pub budget: Budget,
}

/// Reads a size; `file` is what errors call it.
pub fn read(file: &str, text: &str) -> Result<Size, FileError> {
    let capacity: Capacity = textproto::decode(DESCRIPTORS, "beaconshore.capacity.Capacity", file, text)?;
    let wrong = |field: &str, reason: &str| Err(textproto::invalid_value(file, text, field, reason));
    let counts = [
        ("drivers", u64::from(capacity.drivers)),
        ("databases", u64::from(capacity.databases)),
        ("group_members", u64::from(capacity.group_members)),
        ("zones", u64::from(capacity.zones)),
        ("client_connections", capacity.client_connections),
        ("statements_per_second", capacity.statements_per_second),
    ];
    if let Some((field, _)) = counts.iter().find(|(_, count)| *count == 0) {
        return wrong(field, "must be over 0");
    }
    let Some(budget) = capacity.budget else { return wrong("budget", "is needed") };
    let limits = [
        ("budget.cpu_percent", budget.cpu_percent),
        ("budget.memory_mb", budget.memory_mb),
        ("budget.bytes_per_second", budget.bytes_per_second),
    ];
    if let Some((field, _)) = limits.iter().find(|(_, limit)| limit.is_nan() || *limit <= 0.0) {
        return wrong(field, "must be over 0");
    }
    Ok(Size { capacity, budget })
}

impl Size {
    /// The place of the fleet on an axis, at a part of its size: counts of machines, connections and rate all shrink alike, what
    /// one driver has of connections and rate stays.
    pub fn on(&self, axis: Axis, part: f64) -> f64 {
        let c = &self.capacity;
        let drivers = f64::from(c.drivers);
        match axis {
            Axis::Drivers => drivers * part,
            Axis::Databases => f64::from(c.databases) * part,
            Axis::Zones => f64::from(c.zones),
            Axis::Rate => c.statements_per_second as f64 / drivers,
            Axis::IdleClients => c.client_connections as f64 / drivers,
        }
    }
}
