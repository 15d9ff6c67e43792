//! Incremental decoder for the body of a watch, a sequence of JSON values, each one an update of the membership list.
//!
//! Keeps the bytes that are not yet part of a decoded value; does no I/O. A value ends where its JSON ends, not at the end of
//! a line, because updates may be indented, share a line, or be split anywhere between reads.

use crate::membership::MembershipUpdate;

/// The received part of a watch's body that has not been decoded yet.
#[derive(Debug, Default)]
pub struct UpdateDecoder {
    bytes: Vec<u8>,
}

impl UpdateDecoder {
    /// The buffer to which received bytes of the body are appended.
    pub fn input(&mut self) -> &mut Vec<u8> {
        &mut self.bytes
    }

    /// Decodes the next update; `None` while it is incomplete. Bytes that cannot become an update are an error, after which
    /// nothing else in the body can be trusted.
    pub fn next_update(&mut self) -> Result<Option<MembershipUpdate>, serde_json::Error> {
        let mut decoded = serde_json::Deserializer::from_slice(&self.bytes).into_iter::<MembershipUpdate>();
        let update = match decoded.next() {
            Some(Err(e)) if e.is_eof() => return Ok(None),
            value => value.transpose()?,
        };
        let consumed = if update.is_some() { decoded.byte_offset() } else { self.bytes.len() };
        drop(self.bytes.drain(..consumed));
        Ok(update)
    }

    /// Number of bytes of an update that has begun but is not complete.
    pub fn pending_bytes(&self) -> usize {
        self.bytes.len()
    }
}
