//! A connection's read buffer: messages are slices of it until they are consumed.

use std::io;

use futures_lite::{AsyncRead, AsyncReadExt};

/// Room made for each read, and kept between messages; what a large value took beyond it is given back.
const ROOM: usize = 4 * 1024;

/// Bytes that were read and not yet consumed.
#[derive(Debug, Default)]
pub struct Buffer {
    bytes: Vec<u8>,
    start: usize,
    end: usize,
}

impl Buffer {
    /// What was read and not consumed.
    pub fn filled(&self) -> &[u8] {
        &self.bytes[self.start..self.end]
    }

    /// Drops so many bytes from the front.
    pub fn consume(&mut self, count: usize) {
        self.start += count.min(self.end - self.start);
        if self.start == self.end {
            (self.start, self.end) = (0, 0);
            if self.bytes.len() > ROOM {
                self.bytes = Vec::new();
            }
        }
    }

    /// Reads once; 0 is the end of the stream. Losing this future loses no bytes.
    pub async fn fill(&mut self, stream: &mut (impl AsyncRead + Unpin)) -> io::Result<usize> {
        if self.bytes.len() - self.end < ROOM / 4 {
            self.bytes.copy_within(self.start..self.end, 0);
            (self.start, self.end) = (0, self.end - self.start);
            let wanted = (self.end + ROOM).max(if self.end > ROOM { 2 * self.end } else { 0 });
            self.bytes.resize(wanted.max(self.bytes.len()), 0);
        }
        let count = stream.read(&mut self.bytes[self.end..]).await?;
        self.end += count;
        Ok(count)
    }
}
