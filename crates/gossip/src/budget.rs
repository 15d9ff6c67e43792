//! A token bucket of bytes.

use beaconshore::interface::Micros;

/// The bucket holds what the budget gives in this time, in seconds: a burst of news, no more.
const DEPTH_SECONDS: u64 = 2;
const SECOND: Micros = 1_000_000;

/// Bytes that may be sent, refilled evenly.
#[derive(Clone, Debug)]
pub struct ByteBudget {
    bytes_per_second: u64,
    /// In millionths of a byte.
    tokens: u64,
    filled_at: Micros,
}

impl ByteBudget {
    /// A full bucket.
    pub fn new(bytes_per_second: u32, now: Micros) -> Self {
        let bytes_per_second = u64::from(bytes_per_second);
        ByteBudget { bytes_per_second, tokens: bytes_per_second * DEPTH_SECONDS * SECOND, filled_at: now }
    }

    /// Adds what the time since the last call gave.
    pub fn refill(&mut self, now: Micros) {
        let elapsed = now.saturating_sub(self.filled_at).min(DEPTH_SECONDS * SECOND);
        let most = self.bytes_per_second * DEPTH_SECONDS * SECOND;
        self.tokens = (self.tokens + elapsed * self.bytes_per_second).min(most);
        self.filled_at = self.filled_at.max(now);
    }

    /// Takes so many bytes if they are there and this part of the bucket, in percent, stays in it.
    pub fn take(&mut self, bytes: usize, reserve_percent: u64) -> bool {
        let wanted = bytes as u64 * SECOND;
        let reserve = self.bytes_per_second * DEPTH_SECONDS * SECOND / 100 * reserve_percent;
        let granted = self.tokens >= wanted + reserve;
        if granted {
            self.tokens -= wanted;
        }
        granted
    }
}
