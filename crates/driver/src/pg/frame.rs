//! Framing: the lengths of messages, their bounds, and the fields that they are made of.

use std::fmt;

use super::sqlstate;

/// Longest value in bytes, as the store limits it.
const MAX_VALUE_BYTES: usize = 64 * 1024;
/// Longest message of a client in bytes: a value that is written as a literal with two digits for each byte,
/// and room for the rest of the statement.
pub const MAX_QUERY_BYTES: usize = 2 * MAX_VALUE_BYTES + 8 * 1024;
/// Longest message of a member in bytes: a value with its framing.
pub const MAX_ANSWER_BYTES: usize = MAX_VALUE_BYTES + 4 * 1024;
/// Longest startup message in bytes, a common limit of servers.
pub(super) const MAX_STARTUP_BYTES: usize = 10_000;
/// Longest message in bytes of a kind that carries no value.
pub(super) const MAX_SHORT_MESSAGE_BYTES: usize = 8 * 1024;

/// Version of the protocol, as it stands in a startup message.
pub(super) const PROTOCOL_3: u32 = 3 << 16;

/// Why a byte stream can't be parsed any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProtocolError {
    /// The length of a message is too large or too small.
    InvalidLength,
    /// A message of an unknown type.
    UnknownType(u8),
    /// A message with malformed content.
    MalformedContent,
    /// A protocol version other than 3.
    UnsupportedVersion,
}

impl ProtocolError {
    /// The SQLSTATE that reports this error.
    pub fn sqlstate(self) -> &'static str {
        match self {
            ProtocolError::InvalidLength => sqlstate::PROGRAM_LIMIT_EXCEEDED,
            ProtocolError::UnsupportedVersion => sqlstate::FEATURE_NOT_SUPPORTED,
            ProtocolError::UnknownType(_) | ProtocolError::MalformedContent => sqlstate::PROTOCOL_VIOLATION,
        }
    }
}

impl fmt::Display for ProtocolError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ProtocolError::InvalidLength => write!(f, "a message's length is out of bounds"),
            ProtocolError::UnknownType(kind) => write!(f, "message kind {kind:#04x} is not known"),
            ProtocolError::MalformedContent => write!(f, "a message's content can't be read"),
            ProtocolError::UnsupportedVersion => write!(f, "only version 3 of the protocol is spoken"),
        }
    }
}

/// A message with the number of bytes that it took; None while it is incomplete.
pub type Parsed<T> = Result<Option<(T, usize)>, ProtocolError>;

/// The whole length of the first message of a connection; 0 while it is not known.
pub fn first_message_length(bytes: &[u8]) -> usize {
    read_be_u32(bytes, 0).map_or(0, |length| length as usize)
}

/// The whole length of any later message; 0 while it is not known.
pub fn message_length(bytes: &[u8]) -> usize {
    read_be_u32(bytes, 1).map_or(0, |length| 1 + length as usize)
}

/// Splits off a message: its type, its content and its whole length.
pub(super) fn split_frame(
    bytes: &[u8],
    bound: impl Fn(u8) -> Result<usize, ProtocolError>,
) -> Parsed<(u8, &[u8])> {
    let Some(&kind) = bytes.first() else { return Ok(None) };
    let bound = bound(kind)?;
    let Some(length) = read_be_u32(bytes, 1) else { return Ok(None) };
    let length = length as usize;
    if !(4..=bound).contains(&length) {
        return Err(ProtocolError::InvalidLength);
    }
    Ok(bytes.get(5..1 + length).map(|body| ((kind, body), 1 + length)))
}

pub(super) fn read_be_u32(bytes: &[u8], at: usize) -> Option<u32> {
    bytes.get(at..)?.first_chunk().map(|b| u32::from_be_bytes(*b))
}

pub(super) fn read_be_u16(bytes: &[u8], at: usize) -> Option<u16> {
    bytes.get(at..)?.first_chunk().map(|b| u16::from_be_bytes(*b))
}

/// Splits off a string that ends with a zero byte. Returns it and the bytes after it.
pub(super) fn split_c_string(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let end = bytes.iter().position(|&b| b == 0)?;
    Some((&bytes[..end], &bytes[end + 1..]))
}
