//! The read buffer of a connection. Messages are slices of it until they are consumed.
//!
//! An empty buffer takes no memory, and small messages take little. The beginning of a large message is read like a small
//! one; for the rest a buffer grows only with a permit, of which there are few (see `budget`).

use std::io;

use futures_lite::{AsyncRead, AsyncReadExt};

use crate::budget::LargeMessagePermit;

/// Bytes of space that a read has at least.
const MIN_READ_BYTES: usize = 4 * 1024;
/// Longest message, in bytes, that needs no permit for large messages.
pub const SMALL_MESSAGE_BYTES: usize = 12 * 1024;

/// The bytes that were read and not yet consumed.
#[derive(Default)]
pub struct Buffer {
    bytes: Vec<u8>,
    start: usize,
    end: usize,
    /// The permit for a large message, once it was granted.
    large: Option<LargeMessagePermit>,
}

impl Buffer {
    /// The bytes that were read and not yet consumed.
    pub fn filled(&self) -> &[u8] {
        &self.bytes[self.start..self.end]
    }

    /// Removes bytes from the front. When little is left, frees the memory and returns the permit for a large message.
    pub fn consume(&mut self, count: usize) -> Option<LargeMessagePermit> {
        self.start += count.min(self.end - self.start);
        if self.start == self.end {
            return std::mem::take(self).large;
        }
        if self.large.is_none() || self.end - self.start > SMALL_MESSAGE_BYTES {
            return None;
        }
        let bytes = self.filled().to_vec();
        let small = Buffer { start: 0, end: bytes.len(), bytes, large: None };
        std::mem::replace(self, small).large
    }

    /// Whether more of a message of this length, in bytes, can be read only with a permit that the buffer does not have.
    pub fn needs_permit(&self, length: usize) -> bool {
        length > SMALL_MESSAGE_BYTES && self.large.is_none() && self.filled().len() >= SMALL_MESSAGE_BYTES
    }

    /// Whether the buffer has a permit for a large message.
    pub fn has_permit(&self) -> bool {
        self.large.is_some()
    }

    /// Allows the buffer to grow for a large message.
    pub fn grant(&mut self, large: LargeMessagePermit) {
        self.large = Some(large);
    }

    /// Whether more can be read without growing beyond the space for small reads.
    pub fn has_room(&self) -> bool {
        self.filled().len() < MIN_READ_BYTES
    }

    /// Reads once, with space for a message of this length (0: not known yet). Returns the number of bytes read; 0 is the end
    /// of the stream. The future can be dropped at any time without losing bytes.
    pub async fn fill(&mut self, length: usize, stream: &mut (impl AsyncRead + Unpin)) -> io::Result<usize> {
        let allowed = if self.large.is_some() { length } else { length.min(SMALL_MESSAGE_BYTES) };
        let capacity = allowed.max(MIN_READ_BYTES).max(self.filled().len() + 1);
        if self.end == self.bytes.len() || self.start + capacity > self.bytes.len() {
            self.bytes.copy_within(self.start..self.end, 0);
            (self.start, self.end) = (0, self.end - self.start);
            if capacity > self.bytes.len() {
                self.bytes.reserve_exact(capacity - self.bytes.len());
                self.bytes.resize(capacity, 0);
            }
        }
        let count = stream.read(&mut self.bytes[self.end..]).await?;
        self.end += count;
        Ok(count)
    }
}
