//! The comment with which a client's statement describes its request, and the numbers in it.

use std::ops::Range;

use super::sqlstate;
use crate::ids::MAX_ID_BYTES;

/// Why a client's statement is rejected: the SQLSTATE and the message.
pub type BadRequest = (&'static str, &'static str);

/// What a client's statement says about its request.
#[derive(Debug, PartialEq, Eq)]
pub struct ParsedRequest<'a> {
    /// The id that the client gave the request.
    pub id: &'a str,
    /// The name of its class.
    pub class: &'a str,
    /// How long the client waits, in milliseconds.
    pub wait_ms: u32,
    /// Where the statement holds that number.
    pub wait_range: Range<usize>,
    /// Whether the client says that it sent this request before.
    pub is_repeat: bool,
    /// The number of the group.
    pub group: u32,
    /// The position that a read has to see, as Unix time in milliseconds.
    pub min_position_ms: Option<u64>,
    /// Whether there is an idempotency key.
    pub has_idempotency_key: bool,
    /// The key, which is the first quoted text of the statement.
    pub key: &'a [u8],
}

/// Parses a statement with its request comment: `/* name=value,... */ statement`.
pub fn parse_request(query: &[u8]) -> Result<ParsedRequest<'_>, BadRequest> {
    let (request, statement) = parse_request_comment(query)?;
    Ok(ParsedRequest { key: find_quoted_key(statement)?, ..request })
}

/// Parses the request comment that a statement begins with, of which the rest may be missing. Returns what it
/// says, without a key, and what follows it.
pub fn parse_request_comment(query: &[u8]) -> Result<(ParsedRequest<'_>, &[u8]), BadRequest> {
    const BAD_FORM: BadRequest =
        (sqlstate::SYNTAX_ERROR, "the statement does not begin with a request comment");
    const BAD_VALUE: BadRequest =
        (sqlstate::INVALID_PARAMETER_VALUE, "a value of the request comment can't be read");
    const MISSING_VALUE: BadRequest =
        (sqlstate::INVALID_PARAMETER_VALUE, "the request comment lacks a value");
    const DUPLICATE_VALUE: BadRequest = (sqlstate::SYNTAX_ERROR, "the request comment gives a value twice");

    let leading = query.len() - query.trim_ascii_start().len();
    let rest = query[leading..].strip_prefix(b"/*").ok_or(BAD_FORM)?;
    let end = memchr::memmem::find(rest, b"*/").ok_or(BAD_FORM)?;
    let comment = std::str::from_utf8(&rest[..end]).map_err(|_| BAD_VALUE)?;
    let comment_at = leading + 2;

    let mut wait: Option<(&str, Range<usize>)> = None;
    let (mut id, mut class, mut key, mut repeat, mut group, mut after) = Default::default();
    let mut at = comment_at;
    for pair in comment.split(',') {
        let pair_at = at;
        at += pair.len() + 1;
        let (name, value) = pair.split_once('=').ok_or(BAD_FORM)?;
        let value_at = pair_at + name.len() + 1;
        let slot: &mut Option<&str> = match name.trim() {
            "id" => &mut id,
            "c" => &mut class,
            "d" => {
                let wait_text = value.trim();
                let from = value_at + (value.len() - value.trim_start().len());
                if wait.replace((wait_text, from..from + wait_text.len())).is_some() {
                    return Err(DUPLICATE_VALUE);
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
            return Err(DUPLICATE_VALUE);
        }
    }
    let (wait, wait_range) = wait.ok_or(MISSING_VALUE)?;
    let id = id.ok_or(MISSING_VALUE)?;
    if !(1..=MAX_ID_BYTES).contains(&id.len()) || key.is_some_and(str::is_empty) {
        return Err(BAD_VALUE);
    }
    let request = ParsedRequest {
        id,
        class: class.ok_or(MISSING_VALUE)?,
        wait_ms: parse_digits(wait).ok_or(BAD_VALUE)?,
        wait_range,
        is_repeat: match repeat {
            None | Some("0") => false,
            Some("1") => true,
            Some(_) => return Err(BAD_VALUE),
        },
        group: parse_digits(group.ok_or(MISSING_VALUE)?).ok_or(BAD_VALUE)?,
        min_position_ms: after.map(|a| parse_digits(a).ok_or(BAD_VALUE)).transpose()?,
        has_idempotency_key: key.is_some(),
        key: b"",
    };
    Ok((request, &rest[end + 2..]))
}

/// The first quoted text of a query that holds a single statement.
fn find_quoted_key(statement: &[u8]) -> Result<&[u8], BadRequest> {
    const UNSUPPORTED_STATEMENT: BadRequest =
        (sqlstate::SYNTAX_ERROR, "neither a SELECT nor an INSERT follows the request comment");
    const NOT_SINGLE: BadRequest =
        (sqlstate::SYNTAX_ERROR, "a query holds a single statement with closed quotes");

    let statement = statement.trim_ascii();
    let keyword = statement.split(|b| !b.is_ascii_alphabetic()).next().unwrap_or_default();
    if !keyword.eq_ignore_ascii_case(b"SELECT") && !keyword.eq_ignore_ascii_case(b"INSERT") {
        return Err(UNSUPPORTED_STATEMENT);
    }
    let mut key = None;
    let mut quote_start = None;
    for (i, &b) in statement.iter().enumerate() {
        match (b, quote_start) {
            (b'\'', None) => quote_start = Some(i + 1),
            (b'\'', Some(from)) => {
                key = key.or(Some(&statement[from..i]));
                quote_start = None;
            }
            (b';', None) if i + 1 < statement.len() => return Err(NOT_SINGLE),
            _ => {}
        }
    }
    if quote_start.is_some() {
        return Err(NOT_SINGLE);
    }
    key.ok_or((sqlstate::SYNTAX_ERROR, "the statement quotes no key"))
}

/// A client's statement without the request comment before it. Empty if it is not valid text.
pub fn strip_request_comment(query: &[u8]) -> &str {
    let end = query.windows(2).position(|w| w == b"*/").map_or(0, |at| at + 2);
    std::str::from_utf8(&query[end..]).unwrap_or("").trim_start()
}

/// Parses a decimal number of a load report, in millionths, rounded down. None if it is malformed.
pub fn parse_millionths(text: &str) -> Option<u64> {
    let (whole, part) = text.split_once('.').unwrap_or((text, ""));
    let part = part.get(..part.len().min(6))?;
    let scale = 10u64.checked_pow(6 - part.len() as u32)?;
    let part = if part.is_empty() { 0 } else { parse_digits::<u64>(part)? };
    parse_digits::<u64>(whole)?.checked_mul(1_000_000)?.checked_add(part * scale)
}

/// Parses a number that consists of digits only.
fn parse_digits<N: std::str::FromStr>(text: &str) -> Option<N> {
    text.parse().ok().filter(|_| text.bytes().all(|b| b.is_ascii_digit()))
}
