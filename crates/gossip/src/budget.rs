//! A token bucket that limits the bytes a router sends.

use beaconshore::interface::Micros;

/// Depth of the bucket, in seconds of the budget. It allows a burst of news, but no longer saving.
const BUCKET_DEPTH_SECONDS: u64 = 2;
/// Microseconds in a second, and millionths of a byte in a byte.
const MICROS_PER_SECOND: Micros = 1_000_000;

/// A budget of bytes that refills at a constant rate.
#[derive(Clone, Debug)]
pub struct ByteBudget {
    bytes_per_second: u64,
    /// Bytes that may be sent now, in millionths of a byte.
    tokens: u64,
    filled_at: Micros,
}

impl ByteBudget {
    /// Creates a full bucket.
    pub fn new(bytes_per_second: u32, now: Micros) -> Self {
        let bytes_per_second = u64::from(bytes_per_second);
        ByteBudget {
            bytes_per_second,
            tokens: bytes_per_second * BUCKET_DEPTH_SECONDS * MICROS_PER_SECOND,
            filled_at: now,
        }
    }

    /// Adds the bytes for the time since the last call.
    pub fn refill(&mut self, now: Micros) {
        let elapsed = now.saturating_sub(self.filled_at).min(BUCKET_DEPTH_SECONDS * MICROS_PER_SECOND);
        let depth = self.bytes_per_second * BUCKET_DEPTH_SECONDS * MICROS_PER_SECOND;
        self.tokens = (self.tokens + elapsed * self.bytes_per_second).min(depth);
        self.filled_at = self.filled_at.max(now);
    }

    /// Takes bytes and returns whether there were enough of them: after it, `reserve_percent` of the bucket's depth
    /// has to remain.
    pub fn try_take(&mut self, bytes: usize, reserve_percent: u64) -> bool {
        let wanted = bytes as u64 * MICROS_PER_SECOND;
        let reserve =
            self.bytes_per_second * BUCKET_DEPTH_SECONDS * MICROS_PER_SECOND / 100 * reserve_percent;
        let granted = self.tokens >= wanted + reserve;
        if granted {
            self.tokens -= wanted;
        }
        granted
    }
}
