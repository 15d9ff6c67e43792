//! Messages of clients.

use super::frame::{
    read_be_u32, split_frame, Parsed, ProtocolError, MAX_QUERY_BYTES, MAX_SHORT_MESSAGE_BYTES,
    MAX_STARTUP_BYTES, PROTOCOL_3,
};

const CANCEL_REQUEST: u32 = 80_877_102;
const SSL_REQUEST: u32 = 80_877_103;
const GSS_REQUEST: u32 = 80_877_104;

/// What a client may open a connection with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FirstMessage {
    /// A request for encryption, which is declined with a single byte.
    EncryptionRequest,
    /// A cancel request with the key of the connection that it is about. It is the only message of its own
    /// connection.
    CancelRequest(u64),
    /// The startup message.
    Startup,
}

/// Parses the first message of a connection, which has no type byte.
pub fn parse_first_message(bytes: &[u8]) -> Parsed<FirstMessage> {
    let Some(length) = read_be_u32(bytes, 0) else { return Ok(None) };
    let length = length as usize;
    if !(8..=MAX_STARTUP_BYTES).contains(&length) {
        return Err(ProtocolError::InvalidLength);
    }
    let Some(message) = bytes.get(..length) else { return Ok(None) };
    let first_message = match read_be_u32(message, 4) {
        Some(SSL_REQUEST | GSS_REQUEST) => FirstMessage::EncryptionRequest,
        Some(CANCEL_REQUEST) => {
            let key = message.get(8..).and_then(|key| Some(u64::from_be_bytes(key.try_into().ok()?)));
            FirstMessage::CancelRequest(key.ok_or(ProtocolError::MalformedContent)?)
        }
        Some(version) if version & 0xffff_0000 == PROTOCOL_3 => FirstMessage::Startup,
        _ => return Err(ProtocolError::UnsupportedVersion),
    };
    Ok(Some((first_message, length)))
}

/// Longest name in bytes that is taken from a startup message; a longer one counts as missing. Servers
/// truncate names to 63 bytes.
const MAX_NAME_BYTES: usize = 128;

/// The user and the database that a startup message names. Empty where it names none, or none that is valid
/// text.
pub fn startup_parameters(startup: &[u8]) -> (&str, &str) {
    let (mut user, mut database) = ("", "");
    let mut parts = startup.get(8..).unwrap_or_default().split(|b| *b == 0);
    while let (Some(name), Some(value)) = (parts.next(), parts.next()) {
        let value = std::str::from_utf8(value).ok().filter(|v| v.len() <= MAX_NAME_BYTES).unwrap_or("");
        match name {
            b"user" => user = value,
            b"database" => database = value,
            _ => {}
        }
    }
    // Servers use the user's name for the database where none is given.
    (user, if database.is_empty() { user } else { database })
}

/// A message of a client after its startup message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrontendMessage<'a> {
    /// The text of a simple query.
    Query(&'a [u8]),
    /// A message of the extended protocol, which is not supported.
    Extended,
    /// Sync, which ends a series of extended messages.
    Sync,
    /// Copy data that was not asked for, or Flush. Skipped, as servers do.
    Ignored,
    /// Terminate, which ends the connection.
    Terminate,
}

/// Whether a message of a client that begins with this byte is a simple query.
pub fn is_query(kind: u8) -> bool {
    kind == b'Q'
}

/// Whether a message of a client that begins with this byte belongs to the extended protocol.
pub fn is_extended(kind: u8) -> bool {
    matches!(kind, b'P' | b'B' | b'F' | b'E' | b'D' | b'C')
}

/// The text of a simple query, given its whole message.
pub fn query_text(message: &[u8]) -> &[u8] {
    message.get(5..message.len().saturating_sub(1)).unwrap_or_default()
}

/// Parses the next message of a client.
pub fn parse_frontend(bytes: &[u8]) -> Parsed<FrontendMessage<'_>> {
    let bound = |kind| match kind {
        b'Q' | b'P' | b'B' | b'F' | b'd' => Ok(MAX_QUERY_BYTES),
        b'E' | b'D' | b'C' | b'S' | b'H' | b'X' | b'c' | b'f' => Ok(MAX_SHORT_MESSAGE_BYTES),
        other => Err(ProtocolError::UnknownType(other)),
    };
    let Some(((kind, body), length)) = split_frame(bytes, bound)? else { return Ok(None) };
    let message = match kind {
        kind if is_query(kind) => FrontendMessage::Query(
            body.strip_suffix(&[0]).filter(|q| !q.contains(&0)).ok_or(ProtocolError::MalformedContent)?,
        ),
        b'S' => FrontendMessage::Sync,
        b'X' => FrontendMessage::Terminate,
        kind if is_extended(kind) => FrontendMessage::Extended,
        _ => FrontendMessage::Ignored,
    };
    Ok(Some((message, length)))
}
