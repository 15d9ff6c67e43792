//! Messages of members.

use super::frame::{
    message_length, read_be_u16, read_be_u32, split_c_string, split_frame, Parsed, ProtocolError,
    MAX_ANSWER_BYTES, MAX_SHORT_MESSAGE_BYTES,
};
use super::Severity;

/// A message of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendMessage<'a> {
    /// The first part of the startup response. 0 means that no password is wanted.
    Authentication(u32),
    /// A parameter of the member, by name and value.
    ParameterStatus(&'a [u8], &'a [u8]),
    /// The description of the rows to come, as the number of their columns.
    RowDescription(u16),
    /// A row, as its value if it has a single column that is not null.
    DataRow(Option<&'a [u8]>),
    /// The statement has completed.
    CommandComplete,
    /// An error's SQLSTATE, and how much it ends.
    Error(&'a [u8], Severity),
    /// ReadyForQuery: the next query may be sent.
    Ready,
    /// Messages that are skipped: notices, a cancel key, notifications, the answer to an empty query.
    Other,
}

/// Parses the next message of a member. Everything in it is checked: nested lengths, counts, terminators.
pub fn parse_backend(bytes: &[u8]) -> Parsed<BackendMessage<'_>> {
    let bound = |kind| match kind {
        b'D' => Ok(MAX_ANSWER_BYTES),
        b'R' | b'S' | b'K' | b'Z' | b'T' | b'C' | b'E' | b'N' | b'A' | b'I' => Ok(MAX_SHORT_MESSAGE_BYTES),
        other => Err(ProtocolError::UnknownType(other)),
    };
    let Some(((kind, body), length)) = split_frame(bytes, bound)? else {
        // A row whose value does not fit its message is recognized before all of it has arrived.
        let row = Some((bytes, message_length(bytes))).filter(|(b, _)| b.first() == Some(&b'D'));
        return row
            .map_or(Ok(()), |(bytes, whole)| check_row_length(bytes.get(5..).unwrap_or_default(), whole))
            .map(|()| None);
    };
    let message = match kind {
        b'R' => BackendMessage::Authentication(read_be_u32(body, 0).ok_or(ProtocolError::MalformedContent)?),
        b'S' => {
            let (name, rest) = split_c_string(body).ok_or(ProtocolError::MalformedContent)?;
            let (value, _) = split_c_string(rest)
                .filter(|(_, end)| end.is_empty())
                .ok_or(ProtocolError::MalformedContent)?;
            BackendMessage::ParameterStatus(name, value)
        }
        b'T' => {
            BackendMessage::RowDescription(parse_column_count(body).ok_or(ProtocolError::MalformedContent)?)
        }
        b'D' => BackendMessage::DataRow(parse_single_column(body)?),
        b'C' => {
            split_c_string(body)
                .filter(|(tag, end)| !tag.is_empty() && end.is_empty())
                .ok_or(ProtocolError::MalformedContent)?;
            BackendMessage::CommandComplete
        }
        b'E' => {
            let code = find_error_field(body, b'C')
                .filter(|_| body.ends_with(&[0, 0]))
                .ok_or(ProtocolError::MalformedContent)?;
            let severity = find_error_field(body, b'V').or(find_error_field(body, b'S')).unwrap_or_default();
            let is_fatal = matches!(severity, b"FATAL" | b"PANIC");
            BackendMessage::Error(code, if is_fatal { Severity::Fatal } else { Severity::Error })
        }
        b'Z' if matches!(body, b"I" | b"T" | b"E") => BackendMessage::Ready,
        b'Z' => return Err(ProtocolError::MalformedContent),
        _ => BackendMessage::Other,
    };
    Ok(Some((message, length)))
}

/// The number of columns of a row description, if the descriptions fill it exactly.
fn parse_column_count(body: &[u8]) -> Option<u16> {
    /// The fixed part of a column's description: table, column, type, type length, type modifier, format.
    const FIXED_FIELDS_BYTES: usize = 4 + 2 + 4 + 2 + 4 + 2;
    let count = read_be_u16(body, 0)?;
    let described =
        (0..count).try_fold(&body[2..], |rest, _| split_c_string(rest)?.1.get(FIXED_FIELDS_BYTES..));
    described.is_some_and(<[u8]>::is_empty).then_some(count)
}

/// Checks the value's length of a single-column row against the length of the whole message, as far as the
/// row has arrived.
fn check_row_length(body: &[u8], whole: usize) -> Result<(), ProtocolError> {
    match (read_be_u16(body, 0), read_be_u32(body, 2)) {
        (Some(1), Some(length)) if length != u32::MAX && length as usize + 11 != whole => {
            Err(ProtocolError::MalformedContent)
        }
        _ => Ok(()),
    }
}

/// The value of a row with a single column; None for a null or for another number of columns.
fn parse_single_column(body: &[u8]) -> Result<Option<&[u8]>, ProtocolError> {
    if read_be_u16(body, 0).ok_or(ProtocolError::MalformedContent)? != 1 {
        return Ok(None);
    }
    match read_be_u32(body, 2).ok_or(ProtocolError::MalformedContent)? {
        u32::MAX => Ok(None),
        length => body
            .get(6..)
            .filter(|v| v.len() == length as usize)
            .map(Some)
            .ok_or(ProtocolError::MalformedContent),
    }
}

/// The value of one field of an error or a notice.
fn find_error_field(mut body: &[u8], wanted: u8) -> Option<&[u8]> {
    while let Some((&field, rest)) = body.split_first().filter(|(&f, _)| f != 0) {
        let (value, rest) = split_c_string(rest)?;
        if field == wanted {
            return Some(value);
        }
        body = rest;
    }
    None
}

/// The value of the row in an answer.
pub fn find_single_value(mut answer: &[u8]) -> Option<&[u8]> {
    while let Ok(Some((message, length))) = parse_backend(answer) {
        if let BackendMessage::DataRow(value) = message {
            return value;
        }
        answer = &answer[length..];
    }
    None
}
