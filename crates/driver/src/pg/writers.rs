//! Writers of messages, to clients and to members.

use beaconshore::interface::Micros;

use super::frame::PROTOCOL_3;
use super::sqlstate;

/// Appends a message whose content the closure writes.
fn put_message(out: &mut Vec<u8>, kind: u8, content: impl FnOnce(&mut Vec<u8>)) {
    out.push(kind);
    let at = out.len();
    out.extend([0; 4]);
    content(out);
    let length = (out.len() - at) as u32;
    out[at..at + 4].copy_from_slice(&length.to_be_bytes());
}

fn put_c_string(out: &mut Vec<u8>, text: &str) {
    out.extend_from_slice(text.as_bytes());
    out.push(0);
}

/// The byte that declines encryption.
pub const NO_ENCRYPTION: u8 = b'N';

/// Appends the startup response to a client: no password, the parameters that client libraries expect, the
/// cancel key, and ReadyForQuery.
pub fn put_startup_response(out: &mut Vec<u8>, key: u64) {
    put_message(out, b'R', |out| out.extend([0; 4]));
    for (name, value) in [
        ("server_version", "15.0"),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("DateStyle", "ISO, MDY"),
        ("integer_datetimes", "on"),
        ("standard_conforming_strings", "on"),
    ] {
        put_message(out, b'S', |out| {
            put_c_string(out, name);
            put_c_string(out, value);
        });
    }
    put_message(out, b'K', |out| out.extend(key.to_be_bytes()));
    put_ready_for_query(out);
}

/// Appends ReadyForQuery, outside any transaction.
pub fn put_ready_for_query(out: &mut Vec<u8>) {
    put_message(out, b'Z', |out| out.push(b'I'));
}

/// Appends EmptyQueryResponse.
pub fn put_empty_query_response(out: &mut Vec<u8>) {
    put_message(out, b'I', |_| {});
}

/// How much an error ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Severity {
    /// The statement.
    Error,
    /// The connection.
    Fatal,
}

/// Appends ErrorResponse, with a detail if there is one.
pub fn put_error(out: &mut Vec<u8>, severity: Severity, code: &str, message: &str, detail: Option<&str>) {
    let severity = match severity {
        Severity::Error => "ERROR",
        Severity::Fatal => "FATAL",
    };
    put_message(out, b'E', |out| {
        let fields = [(b'S', severity), (b'V', severity), (b'C', code), (b'M', message)];
        for (field, value) in fields.into_iter().chain(detail.map(|d| (b'D', d))) {
            out.push(field);
            put_c_string(out, value);
        }
        out.push(0);
    });
}

/// Appends the error that refuses a request, with the time in microseconds after which to retry (0: no advice).
pub fn put_refusal(out: &mut Vec<u8>, retry_after: Micros) {
    let detail = (retry_after > 0).then(|| retry_after.div_ceil(1000).to_string());
    let (code, text) = (sqlstate::TOO_MANY_CONNECTIONS, "refused; trying again is harmless");
    put_error(out, Severity::Error, code, text, detail.as_deref());
}

/// Appends the startup message of a connection to a member.
pub fn put_startup(out: &mut Vec<u8>) {
    let at = out.len();
    out.extend([0; 4]);
    out.extend(PROTOCOL_3.to_be_bytes());
    for text in ["user", "web", "database", "orders"] {
        put_c_string(out, text);
    }
    out.push(0);
    let length = (out.len() - at) as u32;
    out[at..at + 4].copy_from_slice(&length.to_be_bytes());
}

/// Appends a simple query, which is given in pieces.
pub fn put_query(out: &mut Vec<u8>, pieces: &[&[u8]]) {
    put_message(out, b'Q', |out| {
        pieces.iter().for_each(|piece| out.extend_from_slice(piece));
        out.push(0);
    });
}
