//! The operator's parameters of gossip, and their validation.

use beaconshore::interface::Micros;

/// Minimum byte budget, in bytes a second. With less a change of role does not get through.
const MIN_BYTES_PER_SECOND: u32 = 128;
/// Maximum number of peers that one round may address.
const MAX_FANOUT: u32 = 16;
/// Valid time between two rounds, in microseconds.
const ROUND_PERIOD_RANGE_US: std::ops::RangeInclusive<Micros> = 50_000..=5_000_000;

/// The parameters of gossip.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Bytes a second that this router may send, IP and UDP headers included. On average it receives as much.
    pub bytes_per_second: u32,
    /// Number of peers that each round addresses.
    pub fanout: u32,
    /// Time between two rounds, in microseconds.
    pub round_period: Micros,
}

impl Default for Policy {
    fn default() -> Self {
        Policy { bytes_per_second: 960, fanout: 3, round_period: 500_000 }
    }
}

/// An invalid parameter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PolicyError {
    /// Name of the field in the operator's file.
    pub field: &'static str,
    /// What is wrong with the value, and which values are valid.
    pub reason: String,
}

impl Policy {
    /// Validates the parameters, and returns the first error.
    pub fn check(&self) -> Result<(), PolicyError> {
        let error = |field, reason| Err(PolicyError { field, reason });
        if self.bytes_per_second < MIN_BYTES_PER_SECOND {
            return error("bytes_per_second", format!("must be {MIN_BYTES_PER_SECOND} or more"));
        }
        if !(1..=MAX_FANOUT).contains(&self.fanout) {
            return error("fanout", format!("must be from 1 to {MAX_FANOUT}"));
        }
        if !ROUND_PERIOD_RANGE_US.contains(&self.round_period) {
            return error("round_ms", "must be from 50 to 5000".into());
        }
        Ok(())
    }
}
