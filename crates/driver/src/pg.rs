//! PostgreSQL's wire protocol, version 3, as far as simple queries need it: pure, incremental and bounded.
//!
//! Each reader looks at the bytes at hand and yields a message, which borrows from them, with its length; or
//! nothing, as long as it is not whole. Writers add a message to a buffer.

use std::fmt;
use std::ops::Range;

use crate::ids::MAX_ID;

/// Bound on a value, as the store sets it.
const MAX_VALUE: usize = 64 * 1024;
/// Bound on a client's message: a value written as a literal of two digits for each byte, and room around it.
pub const MAX_QUERY: usize = 2 * MAX_VALUE + 8 * 1024;
/// Bound on a member's message: a value with its framing.
pub const MAX_ANSWER: usize = MAX_VALUE + 4 * 1024;
/// Bound on a startup message, as servers commonly set it.
const MAX_STARTUP: usize = 10_000;
/// Bound on the messages that carry no value.
const MAX_SHORT: usize = 8 * 1024;

const PROTOCOL_3: u32 = 3 << 16;
const CANCEL_REQUEST: u32 = 80_877_102;
const SSL_REQUEST: u32 = 80_877_103;
const GSS_REQUEST: u32 = 80_877_104;

/// Codes of SQLSTATE that this program gives or acts on.
pub mod sqlstate {
    /// Turned away: too many connections, or a refusal to a client.
    pub const TOO_MANY_CONNECTIONS: &str = "53300";
    /// A write reached a member that is no primary.
    pub const READ_ONLY: &str = "25006";
    /// A read reached a member that is too far behind.
    pub const SNAPSHOT_TOO_OLD: &str = "72000";
    /// What the other side sent breaks the protocol.
    pub const PROTOCOL_VIOLATION: &str = "08P01";
    /// A part of the protocol that is not offered.
    pub const FEATURE_NOT_SUPPORTED: &str = "0A000";
    /// A statement that can't be read.
    pub const SYNTAX_ERROR: &str = "42601";
    /// A value that can't be read.
    pub const INVALID_PARAMETER_VALUE: &str = "22023";
    /// A name that is not known here.
    pub const UNDEFINED_OBJECT: &str = "42704";
    /// An id that another request has.
    pub const DUPLICATE_OBJECT: &str = "42710";
    /// A message over its bound.
    pub const PROGRAM_LIMIT_EXCEEDED: &str = "54000";
    /// The router takes no connections any more.
    pub const CANNOT_CONNECT_NOW: &str = "57P03";
    /// The client asked for the end of its statement.
    pub const QUERY_CANCELED: &str = "57014";
    /// Whether the statement took effect is not known.
    pub const COMPLETION_UNKNOWN: &str = "40003";
}

/// Why a stream can't be followed any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    /// A message's length is over the bound or under the least.
    Length,
    /// A message of an unknown kind.
    Kind(u8),
    /// A message whose content can't be read.
    Content,
    /// A protocol version other than 3.
    Version,
}

impl Broken {
    /// The code to tell it by.
    pub fn sqlstate(self) -> &'static str {
        match self {
            Broken::Length => sqlstate::PROGRAM_LIMIT_EXCEEDED,
            Broken::Version => sqlstate::FEATURE_NOT_SUPPORTED,
            Broken::Kind(_) | Broken::Content => sqlstate::PROTOCOL_VIOLATION,
        }
    }
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Broken::Length => write!(f, "a message's length is out of bounds"),
            Broken::Kind(kind) => write!(f, "message kind {kind:#04x} is not known"),
            Broken::Content => write!(f, "a message's content can't be read"),
            Broken::Version => write!(f, "only version 3 of the protocol is spoken"),
        }
    }
}

/// A message with the number of bytes that it took; none as long as it is not whole.
pub type Parsed<T> = Result<Option<(T, usize)>, Broken>;

/// What a client may open a connection with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Opening {
    /// A wish for encryption, to be declined with a single byte.
    Encryption,
    /// A cancel request with the key of the connection that it speaks of; its own carries nothing else.
    Cancel(u64),
    /// The startup message.
    Startup,
}

/// Reads the first message of a connection, which has no kind.
pub fn opening(bytes: &[u8]) -> Parsed<Opening> {
    let Some(length) = be_u32(bytes, 0) else { return Ok(None) };
    let length = length as usize;
    if !(8..=MAX_STARTUP).contains(&length) {
        return Err(Broken::Length);
    }
    let Some(message) = bytes.get(..length) else { return Ok(None) };
    let opening = match be_u32(message, 4) {
        Some(SSL_REQUEST | GSS_REQUEST) => Opening::Encryption,
        Some(CANCEL_REQUEST) => {
            let key = message.get(8..).and_then(|key| Some(u64::from_be_bytes(key.try_into().ok()?)));
            Opening::Cancel(key.ok_or(Broken::Content)?)
        }
        Some(version) if version & 0xffff_0000 == PROTOCOL_3 => Opening::Startup,
        _ => return Err(Broken::Version),
    };
    Ok(Some((opening, length)))
}

/// A name of a startup message longer than this is taken for none: servers cut names at 63 bytes.
const MAX_NAME: usize = 128;

/// The user and the database that a startup message names; empty where it names none, or none that can be read.
pub fn login(startup: &[u8]) -> (&str, &str) {
    let (mut user, mut database) = ("", "");
    let mut parts = startup.get(8..).unwrap_or_default().split(|b| *b == 0);
    while let (Some(name), Some(value)) = (parts.next(), parts.next()) {
        let value = std::str::from_utf8(value).ok().filter(|v| v.len() <= MAX_NAME).unwrap_or("");
        match name {
            b"user" => user = value,
            b"database" => database = value,
            _ => {}
        }
    }
    // A server takes the user's name for the database's where none is given.
    (user, if database.is_empty() { user } else { database })
}

/// A client's statement, without the request comment before it; empty if it is no text.
pub fn statement(query: &[u8]) -> &str {
    let end = query.windows(2).position(|w| w == b"*/").map_or(0, |at| at + 2);
    std::str::from_utf8(&query[end..]).unwrap_or("").trim_start()
}

/// Whole length of the first message of a connection; 0 as long as it is not known.
pub fn opening_length(bytes: &[u8]) -> usize {
    be_u32(bytes, 0).map_or(0, |length| length as usize)
}

/// Whole length of a later message; 0 as long as it is not known.
pub fn length(bytes: &[u8]) -> usize {
    be_u32(bytes, 1).map_or(0, |length| 1 + length as usize)
}

/// A client's message after its startup.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Frontend<'a> {
    /// A simple query's text.
    Query(&'a [u8]),
    /// Part of the extended protocol, which is not offered.
    Extended,
    /// The end of a series of extended messages.
    Sync,
    /// Copy data that nobody asked for, or a flush; passed over as servers do.
    Ignored,
    /// The end of the connection.
    Terminate,
}

/// Reads a client's next message.
pub fn frontend(bytes: &[u8]) -> Parsed<Frontend<'_>> {
    let bound = |kind| match kind {
        b'Q' | b'P' | b'B' | b'F' | b'd' => Ok(MAX_QUERY),
        b'E' | b'D' | b'C' | b'S' | b'H' | b'X' | b'c' | b'f' => Ok(MAX_SHORT),
        other => Err(Broken::Kind(other)),
    };
    let Some(((kind, body), length)) = frame(bytes, bound)? else { return Ok(None) };
    let message = match kind {
        b'Q' => Frontend::Query(body.strip_suffix(&[0]).filter(|q| !q.contains(&0)).ok_or(Broken::Content)?),
        b'S' => Frontend::Sync,
        b'X' => Frontend::Terminate,
        b'c' | b'd' | b'f' | b'H' => Frontend::Ignored,
        _ => Frontend::Extended,
    };
    Ok(Some((message, length)))
}

/// A member's message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Backend<'a> {
    /// The welcome's first part; 0 asks for nothing.
    Authentication(u32),
    /// A value that the member tells of itself.
    ParameterStatus(&'a [u8], &'a [u8]),
    /// The columns of the rows to come, and how many they are.
    RowDescription(u16),
    /// A row: the value, where it has a single column that is not null.
    DataRow(Option<&'a [u8]>),
    /// The statement is done.
    CommandComplete,
    /// An error's SQLSTATE, and how far it reaches.
    Error(&'a [u8], Severity),
    /// The next query may come.
    Ready,
    /// Passed over: notices, a cancel key, notifications, an empty query's answer.
    Other,
}

/// Reads a member's next message. All of it is checked: lengths within lengths, counts, ends of texts.
pub fn backend(bytes: &[u8]) -> Parsed<Backend<'_>> {
    let bound = |kind| match kind {
        b'D' => Ok(MAX_ANSWER),
        b'R' | b'S' | b'K' | b'Z' | b'T' | b'C' | b'E' | b'N' | b'A' | b'I' => Ok(MAX_SHORT),
        other => Err(Broken::Kind(other)),
    };
    let Some(((kind, body), length)) = frame(bytes, bound)? else {
        // A value that won't fit its message is known before all of it has come.
        let row = Some((bytes, length(bytes))).filter(|(b, _)| b.first() == Some(&b'D'));
        return row
            .map_or(Ok(()), |(bytes, whole)| row_fits(bytes.get(5..).unwrap_or_default(), whole))
            .map(|()| None);
    };
    let message = match kind {
        b'R' => Backend::Authentication(be_u32(body, 0).ok_or(Broken::Content)?),
        b'S' => {
            let (name, rest) = text(body).ok_or(Broken::Content)?;
            let (value, _) = text(rest).filter(|(_, end)| end.is_empty()).ok_or(Broken::Content)?;
            Backend::ParameterStatus(name, value)
        }
        b'T' => Backend::RowDescription(columns(body).ok_or(Broken::Content)?),
        b'D' => Backend::DataRow(single_column(body)?),
        b'C' => {
            text(body).filter(|(tag, end)| !tag.is_empty() && end.is_empty()).ok_or(Broken::Content)?;
            Backend::CommandComplete
        }
        b'E' => {
            let code = error_field(body, b'C').filter(|_| body.ends_with(&[0, 0])).ok_or(Broken::Content)?;
            let severity = error_field(body, b'V').or(error_field(body, b'S')).unwrap_or_default();
            let fatal = matches!(severity, b"FATAL" | b"PANIC");
            Backend::Error(code, if fatal { Severity::Fatal } else { Severity::Error })
        }
        b'Z' if matches!(body, b"I" | b"T" | b"E") => Backend::Ready,
        b'Z' => return Err(Broken::Content),
        _ => Backend::Other,
    };
    Ok(Some((message, length)))
}

/// How many columns a row's description describes, if it does so to its end.
fn columns(body: &[u8]) -> Option<u16> {
    /// Table, column, type, its length, its modifier, format.
    const FACTS: usize = 4 + 2 + 4 + 2 + 4 + 2;
    let count = be_u16(body, 0)?;
    let described = (0..count).try_fold(&body[2..], |rest, _| text(rest)?.1.get(FACTS..));
    described.is_some_and(<[u8]>::is_empty).then_some(count)
}

/// Whether the start of a row's content goes with the whole length of its message, as far as it has come.
fn row_fits(body: &[u8], whole: usize) -> Result<(), Broken> {
    match (be_u16(body, 0), be_u32(body, 2)) {
        (Some(1), Some(length)) if length != u32::MAX && length as usize + 11 != whole => {
            Err(Broken::Content)
        }
        _ => Ok(()),
    }
}

fn single_column(body: &[u8]) -> Result<Option<&[u8]>, Broken> {
    if be_u16(body, 0).ok_or(Broken::Content)? != 1 {
        return Ok(None);
    }
    match be_u32(body, 2).ok_or(Broken::Content)? {
        u32::MAX => Ok(None),
        length => body.get(6..).filter(|v| v.len() == length as usize).map(Some).ok_or(Broken::Content),
    }
}

/// Splits a message into its kind, its content and its whole length.
fn frame(bytes: &[u8], bound: impl Fn(u8) -> Result<usize, Broken>) -> Parsed<(u8, &[u8])> {
    let Some(&kind) = bytes.first() else { return Ok(None) };
    let bound = bound(kind)?;
    let Some(length) = be_u32(bytes, 1) else { return Ok(None) };
    let length = length as usize;
    if !(4..=bound).contains(&length) {
        return Err(Broken::Length);
    }
    Ok(bytes.get(5..1 + length).map(|body| ((kind, body), 1 + length)))
}

fn be_u32(bytes: &[u8], at: usize) -> Option<u32> {
    bytes.get(at..)?.first_chunk().map(|b| u32::from_be_bytes(*b))
}

fn be_u16(bytes: &[u8], at: usize) -> Option<u16> {
    bytes.get(at..)?.first_chunk().map(|b| u16::from_be_bytes(*b))
}

/// A text that ends with a zero byte, and what follows it.
fn text(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let end = bytes.iter().position(|&b| b == 0)?;
    Some((&bytes[..end], &bytes[end + 1..]))
}

/// One field of an error or a notice.
fn error_field(mut body: &[u8], wanted: u8) -> Option<&[u8]> {
    while let Some((&field, rest)) = body.split_first().filter(|(&f, _)| f != 0) {
        let (value, rest) = text(rest)?;
        if field == wanted {
            return Some(value);
        }
        body = rest;
    }
    None
}

// ---- Writers ----

/// Adds a message whose content the closure writes.
fn put(out: &mut Vec<u8>, kind: u8, content: impl FnOnce(&mut Vec<u8>)) {
    out.push(kind);
    let at = out.len();
    out.extend([0; 4]);
    content(out);
    let length = (out.len() - at) as u32;
    out[at..at + 4].copy_from_slice(&length.to_be_bytes());
}

fn put_text(out: &mut Vec<u8>, text: &str) {
    out.extend_from_slice(text.as_bytes());
    out.push(0);
}

/// The byte that declines encryption.
pub const NO_ENCRYPTION: u8 = b'N';

/// A client's welcome: no password, what libraries want to know, ready.
pub fn put_welcome(out: &mut Vec<u8>, key: u64) {
    put(out, b'R', |out| out.extend([0; 4]));
    for (name, value) in [
        ("server_version", "15.0"),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("DateStyle", "ISO, MDY"),
        ("integer_datetimes", "on"),
        ("standard_conforming_strings", "on"),
    ] {
        put(out, b'S', |out| {
            put_text(out, name);
            put_text(out, value);
        });
    }
    put(out, b'K', |out| out.extend(key.to_be_bytes()));
    put_ready(out);
}

/// ReadyForQuery, outside any transaction.
pub fn put_ready(out: &mut Vec<u8>) {
    put(out, b'Z', |out| out.push(b'I'));
}

/// EmptyQueryResponse.
pub fn put_empty(out: &mut Vec<u8>) {
    put(out, b'I', |_| {});
}

/// How far an error reaches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Severity {
    /// The statement's end.
    Error,
    /// The connection's end.
    Fatal,
}

/// ErrorResponse, with a detail if there is one.
pub fn put_error(out: &mut Vec<u8>, severity: Severity, code: &str, message: &str, detail: Option<&str>) {
    let severity = match severity {
        Severity::Error => "ERROR",
        Severity::Fatal => "FATAL",
    };
    put(out, b'E', |out| {
        let fields = [(b'S', severity), (b'V', severity), (b'C', code), (b'M', message)];
        for (field, value) in fields.into_iter().chain(detail.map(|d| (b'D', d))) {
            out.push(field);
            put_text(out, value);
        }
        out.push(0);
    });
}

/// The startup message of a connection to a member.
pub fn put_startup(out: &mut Vec<u8>) {
    let at = out.len();
    out.extend([0; 4]);
    out.extend(PROTOCOL_3.to_be_bytes());
    for text in ["user", "web", "database", "orders"] {
        put_text(out, text);
    }
    out.push(0);
    let length = (out.len() - at) as u32;
    out[at..at + 4].copy_from_slice(&length.to_be_bytes());
}

/// A simple query, given in pieces.
pub fn put_query(out: &mut Vec<u8>, pieces: &[&[u8]]) {
    put(out, b'Q', |out| {
        pieces.iter().for_each(|piece| out.extend_from_slice(piece));
        out.push(0);
    });
}

// ---- The request comment ----

/// Why a statement is not in the clients' form: a code and a message.
pub type BadRequest = (&'static str, &'static str);

/// What a client's statement says of its request.
#[derive(Debug, PartialEq, Eq)]
pub struct RequestText<'a> {
    /// What its client calls it.
    pub id: &'a str,
    /// The class, by name.
    pub class: &'a str,
    /// How long the client waits, in milliseconds.
    pub wait_ms: u32,
    /// Where the statement holds that figure.
    pub wait_at: Range<usize>,
    /// Whether the client asked before.
    pub repeat: bool,
    /// The group.
    pub group: u32,
    /// Position that a read must see, in milliseconds.
    pub after: Option<u64>,
    /// Whether there is an idempotency key.
    pub keyed: bool,
    /// The key that the statement quotes first.
    pub key: &'a [u8],
}

/// Reads a statement with its comment: `/* name=value,... */ statement`.
pub fn request(query: &[u8]) -> Result<RequestText<'_>, BadRequest> {
    const FORM: BadRequest = (sqlstate::SYNTAX_ERROR, "the statement does not begin with a request comment");
    const VALUE: BadRequest =
        (sqlstate::INVALID_PARAMETER_VALUE, "a value of the request comment can't be read");
    const MISSING: BadRequest = (sqlstate::INVALID_PARAMETER_VALUE, "the request comment lacks a value");
    const TWICE: BadRequest = (sqlstate::SYNTAX_ERROR, "the request comment gives a value twice");

    let lead = query.iter().take_while(|b| b.is_ascii_whitespace()).count();
    let rest = query[lead..].strip_prefix(b"/*").ok_or(FORM)?;
    let end = rest.windows(2).position(|w| w == b"*/").ok_or(FORM)?;
    let comment = std::str::from_utf8(&rest[..end]).map_err(|_| VALUE)?;
    let comment_at = lead + 2;

    let mut wait: Option<(&str, Range<usize>)> = None;
    let (mut id, mut class, mut key, mut repeat, mut group, mut after) = Default::default();
    let mut at = comment_at;
    for pair in comment.split(',') {
        let pair_at = at;
        at += pair.len() + 1;
        let (name, value) = pair.split_once('=').ok_or(FORM)?;
        let value_at = pair_at + name.len() + 1;
        let slot: &mut Option<&str> = match name.trim() {
            "id" => &mut id,
            "c" => &mut class,
            "d" => {
                let digits = value.trim();
                let from = value_at + (value.len() - value.trim_start().len());
                if wait.replace((digits, from..from + digits.len())).is_some() {
                    return Err(TWICE);
                }
                continue;
            }
            "k" => &mut key,
            "r" => &mut repeat,
            "cluster" => &mut group,
            "after" => &mut after,
            _ => continue,
        };
        if slot.replace(value.trim()).is_some() {
            return Err(TWICE);
        }
    }
    let (wait, wait_at) = wait.ok_or(MISSING)?;
    let id = id.ok_or(MISSING)?;
    if !(1..=MAX_ID).contains(&id.len()) || key.is_some_and(str::is_empty) {
        return Err(VALUE);
    }
    Ok(RequestText {
        id,
        class: class.ok_or(MISSING)?,
        wait_ms: digits(wait).ok_or(VALUE)?,
        wait_at,
        repeat: match repeat {
            None | Some("0") => false,
            Some("1") => true,
            Some(_) => return Err(VALUE),
        },
        group: digits(group.ok_or(MISSING)?).ok_or(VALUE)?,
        after: after.map(|a| digits(a).ok_or(VALUE)).transpose()?,
        keyed: key.is_some(),
        key: quoted_key(&rest[end + 2..])?,
    })
}

/// A number of digits alone.
fn digits<N: std::str::FromStr>(text: &str) -> Option<N> {
    text.parse().ok().filter(|_| text.bytes().all(|b| b.is_ascii_digit()))
}

/// The first quoted text of a single statement.
fn quoted_key(statement: &[u8]) -> Result<&[u8], BadRequest> {
    const KIND: BadRequest =
        (sqlstate::SYNTAX_ERROR, "neither a SELECT nor an INSERT follows the request comment");
    const SINGLE: BadRequest =
        (sqlstate::SYNTAX_ERROR, "a query holds a single statement with closed quotes");

    let statement = statement.trim_ascii();
    let word = statement.split(|b| !b.is_ascii_alphabetic()).next().unwrap_or_default();
    if !word.eq_ignore_ascii_case(b"SELECT") && !word.eq_ignore_ascii_case(b"INSERT") {
        return Err(KIND);
    }
    let mut key = None;
    let mut opened = None;
    for (i, &b) in statement.iter().enumerate() {
        match (b, opened) {
            (b'\'', None) => opened = Some(i + 1),
            (b'\'', Some(from)) => {
                key = key.or(Some(&statement[from..i]));
                opened = None;
            }
            (b';', None) if i + 1 < statement.len() => return Err(SINGLE),
            _ => {}
        }
    }
    if opened.is_some() {
        return Err(SINGLE);
    }
    key.ok_or((sqlstate::SYNTAX_ERROR, "the statement quotes no key"))
}

/// A number as it stands in a load report, in millionths, rounded down; junk is none.
pub fn micro_units(text: &str) -> Option<u64> {
    let (whole, part) = text.split_once('.').unwrap_or((text, ""));
    let part = part.get(..part.len().min(6))?;
    let scale = 10u64.checked_pow(6 - part.len() as u32)?;
    let part = if part.is_empty() { 0 } else { digits::<u64>(part)? };
    digits::<u64>(whole)?.checked_mul(1_000_000)?.checked_add(part * scale)
}

/// The single value of an answer's row.
pub fn single_value(mut answer: &[u8]) -> Option<&[u8]> {
    while let Ok(Some((message, length))) = backend(answer) {
        if let Backend::DataRow(value) = message {
            return value;
        }
        answer = &answer[length..];
    }
    None
}
