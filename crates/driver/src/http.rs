//! HTTP/1.1 as far as discovery needs it: the text of a request, the head of a response, and its body,
//! chunked or not. Pure, incremental and bounded.

use std::fmt;

/// Longest head of a response in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Longest line of a chunked body in bytes, such as a chunk's size.
const MAX_CHUNK_LINE_BYTES: usize = 256;

/// Why a response can't be parsed any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseError {
    /// The head is too long or malformed.
    MalformedHead,
    /// The framing of a chunk is malformed.
    MalformedChunk,
}

impl fmt::Display for ResponseError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            ResponseError::MalformedHead => "the response's head can't be read",
            ResponseError::MalformedChunk => "a chunk can't be read",
        })
    }
}

/// The text of a GET request. The connection carries no further request.
pub fn get_request(target: &str, host: &str) -> String {
    format!("GET {target} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\nConnection: close\r\n\r\n")
}

/// How the body of a response is framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    /// A body of known length, with the number of bytes that are left.
    Length(u64),
    /// A chunked body. Next is the line with a chunk's size, the given number of bytes of its data, or the
    /// line end behind them.
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    /// The lines after the last chunk.
    Trailer,
    /// The body ends with the connection.
    UntilClose,
    /// The body is complete.
    Done,
}

/// A response: its head, and the state of reading its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    framing: Framing,
}

/// Parses the head of a response. Returns the response and the number of bytes that its head took, or None
/// while the head is incomplete.
pub fn parse_head(bytes: &[u8]) -> Result<Option<(Response, usize)>, ResponseError> {
    let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") else {
        return if bytes.len() > MAX_HEAD_BYTES { Err(ResponseError::MalformedHead) } else { Ok(None) };
    };
    let text = std::str::from_utf8(&bytes[..end])
        .ok()
        .filter(|t| t.len() <= MAX_HEAD_BYTES)
        .ok_or(ResponseError::MalformedHead)?;
    let mut lines = text.split("\r\n");
    let status =
        lines.next().and_then(|line| line.strip_prefix("HTTP/1.")).ok_or(ResponseError::MalformedHead)?;
    let status = status.split(' ').nth(1).and_then(|s| s.parse().ok()).ok_or(ResponseError::MalformedHead)?;
    let mut framing = Framing::UntilClose;
    for line in lines {
        let (name, value) = line.split_once(':').ok_or(ResponseError::MalformedHead)?;
        let value = value.trim();
        if name.eq_ignore_ascii_case("transfer-encoding") {
            let chunked = value.eq_ignore_ascii_case("chunked");
            framing = if chunked { Framing::ChunkSize } else { return Err(ResponseError::MalformedHead) };
        } else if name.eq_ignore_ascii_case("content-length") && framing != Framing::ChunkSize {
            framing = Framing::Length(value.parse().map_err(|_| ResponseError::MalformedHead)?);
        }
    }
    Ok(Some((Response { status, framing }, end + 4)))
}

impl Response {
    /// Reads the body as far as these bytes go, and appends its data. Returns the number of bytes that were
    /// read.
    pub fn read_body(&mut self, bytes: &[u8], data: &mut Vec<u8>) -> Result<usize, ResponseError> {
        let mut at = 0;
        loop {
            let rest = &bytes[at..];
            match self.framing {
                Framing::Done | Framing::Length(0) => {
                    self.framing = Framing::Done;
                    return Ok(at);
                }
                _ if rest.is_empty() => return Ok(at),
                Framing::Length(left) | Framing::ChunkData(left) => {
                    let taken = usize::try_from(left).unwrap_or(usize::MAX).min(rest.len());
                    data.extend_from_slice(&rest[..taken]);
                    at += taken;
                    let left = left - taken as u64;
                    self.framing = match self.framing {
                        Framing::Length(_) => Framing::Length(left),
                        _ if left == 0 => Framing::ChunkEnd,
                        _ => Framing::ChunkData(left),
                    };
                }
                Framing::UntilClose => {
                    data.extend_from_slice(rest);
                    return Ok(bytes.len());
                }
                Framing::ChunkSize | Framing::ChunkEnd | Framing::Trailer => {
                    let Some(line) = split_line(rest)? else { return Ok(at) };
                    at += line.len() + 2;
                    self.framing = self.framing_after_line(line)?;
                }
            }
        }
    }

    /// Whether the body ends with the connection.
    pub fn ends_with_connection(&self) -> bool {
        self.framing == Framing::UntilClose
    }

    /// Whether the body is complete.
    pub fn is_complete(&self) -> bool {
        matches!(self.framing, Framing::Done | Framing::Length(0))
    }

    /// What follows a line of a chunked body.
    fn framing_after_line(&self, line: &[u8]) -> Result<Framing, ResponseError> {
        match self.framing {
            Framing::ChunkSize => {
                let digits = line.split(|&b| b == b';').next().unwrap_or_default().trim_ascii();
                let size =
                    std::str::from_utf8(digits).ok().filter(|d| d.bytes().all(|b| b.is_ascii_hexdigit()));
                match size
                    .and_then(|d| u64::from_str_radix(d, 16).ok())
                    .ok_or(ResponseError::MalformedChunk)?
                {
                    0 => Ok(Framing::Trailer),
                    size => Ok(Framing::ChunkData(size)),
                }
            }
            Framing::ChunkEnd if line.is_empty() => Ok(Framing::ChunkSize),
            Framing::Trailer if line.is_empty() => Ok(Framing::Done),
            Framing::Trailer => Ok(Framing::Trailer),
            _ => Err(ResponseError::MalformedChunk),
        }
    }
}

/// Splits off a line, without its line end. None while the line is incomplete.
fn split_line(bytes: &[u8]) -> Result<Option<&[u8]>, ResponseError> {
    match bytes.windows(2).position(|w| w == b"\r\n") {
        Some(end) if end <= MAX_CHUNK_LINE_BYTES => Ok(Some(&bytes[..end])),
        None if bytes.len() <= MAX_CHUNK_LINE_BYTES + 1 => Ok(None),
        _ => Err(ResponseError::MalformedChunk),
    }
}
