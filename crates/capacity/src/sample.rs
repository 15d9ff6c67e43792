//! What was measured, one figure a row.

use std::fmt;

use serde::{Deserialize, Serialize};

/// What a fleet grows along.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Axis {
    /// Drivers.
    Drivers,
    /// Databases over all groups.
    Databases,
    /// Zones.
    Zones,
    /// Requests a second and driver.
    Rate,
    /// Idle connections of clients at one driver.
    IdleClients,
}

/// How what is learnt of members is spread.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mechanism {
    /// Each driver tells all others at once: the default.
    AllToAll,
    /// Gossip within a budget of bytes.
    Gossip,
}

/// What is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cost {
    /// Bytes of messages between drivers, both ways, headers included, a second and driver.
    PeerBytes,
    /// Messages between drivers, both ways, a second and driver.
    PeerMessages,
    /// Bytes of the list, both ways, a second and driver.
    ListBytes,
    /// Calls of discovery, a second and driver.
    ListCalls,
    /// Health checks, a second and driver.
    Probes,
    /// Processor time of messages between drivers, in microseconds a second and driver.
    PeerTime,
    /// Processor time of the list, in microseconds a second and driver.
    ListTime,
    /// Processor time of the decision module's timer, in microseconds a second and driver.
    TimerTime,
    /// Resident memory of a driver, in kilobytes.
    Memory,
    /// Processor time of one request in the decision module, in microseconds.
    DecisionTime,
}

/// One measured figure, with the size at which it was measured.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// The axis along which this run belongs to a series.
    pub axis: Axis,
    /// How member state was spread.
    pub mechanism: Mechanism,
    /// Seed of the run.
    pub seed: u64,
    /// Place on the axis.
    pub at: f64,
    /// What was measured.
    pub cost: Cost,
    /// How much.
    pub value: f64,
}

impl Cost {
    /// Its unit.
    pub fn unit(self) -> &'static str {
        match self {
            Cost::PeerBytes | Cost::ListBytes => "bytes/s",
            Cost::PeerMessages | Cost::ListCalls | Cost::Probes => "1/s",
            Cost::PeerTime | Cost::ListTime | Cost::TimerTime => "us/s",
            Cost::Memory => "kB",
            Cost::DecisionTime => "us",
        }
    }
}

impl fmt::Display for Cost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Cost::PeerBytes => "bytes of messages between drivers",
            Cost::PeerMessages => "messages between drivers",
            Cost::ListBytes => "bytes of the membership list",
            Cost::ListCalls => "calls of discovery",
            Cost::Probes => "health checks",
            Cost::PeerTime => "time of messages between drivers",
            Cost::ListTime => "time of the membership list",
            Cost::TimerTime => "time of the module's timer",
            Cost::Memory => "resident memory",
            Cost::DecisionTime => "time of a decision, a request",
        })
    }
}

impl fmt::Display for Axis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Axis::Drivers => "drivers",
            Axis::Databases => "databases",
            Axis::Zones => "zones",
            Axis::Rate => "requests a second and driver",
            Axis::IdleClients => "idle client connections",
        })
    }
}

impl fmt::Display for Mechanism {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Mechanism::AllToAll => "all to all",
            Mechanism::Gossip => "gossip",
        })
    }
}
