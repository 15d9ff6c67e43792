//! What operators say of dissemination.

use beaconshore::interface::Micros;

/// Least bytes a second with which a change of role still gets through.
const LEAST_BYTES: u32 = 128;
/// Most peers that one round may address.
const MOST_FANOUT: u32 = 16;
/// Rounds are at least and at most this far apart.
const ROUNDS: std::ops::RangeInclusive<Micros> = 50_000..=5_000_000;

/// The parameters of dissemination.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Bytes a second that this router sends, headers included. What it receives is the same in the mean.
    pub bytes_per_second: u32,
    /// Peers that each round addresses.
    pub fanout: u32,
    /// Pause between rounds.
    pub round: Micros,
}

impl Default for Policy {
    fn default() -> Self {
        Policy { bytes_per_second: 960, fanout: 3, round: 500_000 }
    }
}

/// A parameter that can't be used: its field and the reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The field's name.
    pub field: &'static str,
    /// Reason and remedy.
    pub reason: String,
}

impl Policy {
    /// Checks that the parameters can work.
    pub fn check(&self) -> Result<(), Fault> {
        let fault = |field, reason| Err(Fault { field, reason });
        if self.bytes_per_second < LEAST_BYTES {
            return fault("bytes_per_second", format!("under {LEAST_BYTES}: raise it"));
        }
        if !(1..=MOST_FANOUT).contains(&self.fanout) {
            return fault("fanout", format!("must be from 1 to {MOST_FANOUT}"));
        }
        if !ROUNDS.contains(&self.round) {
            return fault("round_ms", "must be from 50 to 5000".into());
        }
        Ok(())
    }
}
