//! A connection's read buffer: messages are slices of it until they are consumed.
//!
//! It takes no memory while nothing is in it, little for usual messages, and more for a large one only with a
//! place among the few that may be large at once.

use std::io;

use futures_lite::{AsyncRead, AsyncReadExt};

use crate::budget::Share;

/// Room made for usual reads.
const ROOM: usize = 4 * 1024;
/// A message up to this needs no place among the large ones.
pub const USUAL: usize = 12 * 1024;

/// Bytes that were read and not yet consumed.
#[derive(Default)]
pub struct Buffer {
    bytes: Vec<u8>,
    start: usize,
    end: usize,
    large: Option<Share>,
}

impl Buffer {
    /// What was read and not consumed.
    pub fn filled(&self) -> &[u8] {
        &self.bytes[self.start..self.end]
    }

    /// Drops so many bytes from the front, and the memory with the last one; yields the place of a large message.
    pub fn consume(&mut self, count: usize) -> Option<Share> {
        self.start += count.min(self.end - self.start);
        if self.start < self.end {
            return None;
        }
        std::mem::take(self).large
    }

    /// Whether a message of this length is whole only with more room, which needs a place among the large ones.
    pub fn lacks_room(&self, length: usize) -> bool {
        length > USUAL && self.large.is_none()
    }

    /// Gives room to a large message.
    pub fn grant(&mut self, large: Share) {
        self.large = Some(large);
    }

    /// Whether there is room to read on in any case: for what usual messages take.
    pub fn has_room(&self) -> bool {
        self.filled().len() < ROOM
    }

    /// Reads once, towards a message of this length (0: not known yet); 0 is the end of the stream. Losing this future
    /// loses no bytes.
    pub async fn fill(&mut self, length: usize, stream: &mut (impl AsyncRead + Unpin)) -> io::Result<usize> {
        let wanted = length.max(ROOM);
        if self.end == self.bytes.len() || self.start + wanted > self.bytes.len() {
            self.bytes.copy_within(self.start..self.end, 0);
            (self.start, self.end) = (0, self.end - self.start);
            if wanted > self.bytes.len() {
                self.bytes.reserve_exact(wanted - self.bytes.len());
                self.bytes.resize(wanted, 0);
            }
        }
        let count = stream.read(&mut self.bytes[self.end..]).await?;
        self.end += count;
        Ok(count)
    }
}
