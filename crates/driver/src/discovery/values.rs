//! Incremental decoder for the body of a watch, a sequence of JSON values, each one an update of the membership list.
//!
//! Keeps the bytes that are not yet part of a decoded value; does no I/O. A value ends where its JSON ends, not at the end of
//! a line, because updates may be indented, share a line, or be split anywhere between reads.

use crate::listing::Listing;

/// The received part of a watch's body that has not been decoded yet.
#[derive(Debug, Default)]
pub struct Values {
    bytes: Vec<u8>,
}

impl Values {
    /// The buffer to which received bytes of the body are appended.
    pub fn end(&mut self) -> &mut Vec<u8> {
        &mut self.bytes
    }

    /// Decodes the next update; `None` while it is incomplete. Bytes that cannot become an update are an error, after which
    /// nothing else in the body can be trusted.
    pub fn listing(&mut self) -> Result<Option<Listing>, serde_json::Error> {
        let mut decoded = serde_json::Deserializer::from_slice(&self.bytes).into_iter::<Listing>();
        let listing = match decoded.next() {
            Some(Err(e)) if e.is_eof() => return Ok(None),
            value => value.transpose()?,
        };
        let consumed = if listing.is_some() { decoded.byte_offset() } else { self.bytes.len() };
        drop(self.bytes.drain(..consumed));
        Ok(listing)
    }

    /// Number of bytes of an update that has begun but is not complete.
    pub fn begun(&self) -> usize {
        self.bytes.len()
    }
}
