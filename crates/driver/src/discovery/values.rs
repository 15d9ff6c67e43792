//! The lists in a watch's body, one JSON value after another: pure and incremental.
//!
//! Owns the bytes that no value has taken yet; never waits. A value ends where its JSON does, not where a line does: lists may come
//! indented, several on a line, or cut anywhere.

use crate::listing::Listing;

/// The body of a watch as far as it has come.
#[derive(Debug, Default)]
pub struct Values {
    bytes: Vec<u8>,
}

impl Values {
    /// Where the next bytes of the body are added.
    pub fn end(&mut self) -> &mut Vec<u8> {
        &mut self.bytes
    }

    /// The next list; none while it is not whole. What can't become one is an error: nothing after it can be trusted.
    pub fn listing(&mut self) -> Result<Option<Listing>, serde_json::Error> {
        let mut values = serde_json::Deserializer::from_slice(&self.bytes).into_iter::<Listing>();
        let listing = match values.next() {
            Some(Err(e)) if e.is_eof() => return Ok(None),
            value => value.transpose()?,
        };
        let taken = if listing.is_some() { values.byte_offset() } else { self.bytes.len() };
        drop(self.bytes.drain(..taken));
        Ok(listing)
    }

    /// Bytes of a list that has begun and is not whole.
    pub fn begun(&self) -> usize {
        self.bytes.len()
    }
}
