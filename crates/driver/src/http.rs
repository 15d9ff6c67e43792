//! HTTP/1.1 as far as discovery needs it: a request's text, a response's head, and its chunked or plain body.
//! Pure, incremental and bounded.

use std::fmt;

/// Bound on a response's head.
const MAX_HEAD: usize = 8 * 1024;
/// Bound on a chunk's size line.
const MAX_SIZE_LINE: usize = 256;

/// Why a response can't be followed any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    /// The head is over its bound or can't be read.
    Head,
    /// A chunk's frame can't be read.
    Chunk,
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Broken::Head => "the response's head can't be read",
            Broken::Chunk => "a chunk can't be read",
        })
    }
}

/// The text of a GET request on a connection that serves no other.
pub fn get(target: &str, host: &str) -> String {
    format!("GET {target} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\nConnection: close\r\n\r\n")
}

/// How a response's body is framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    /// So many bytes are left.
    Length(u64),
    /// Chunks; what comes next is a size line, so many bytes of data, or the line end after them.
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    /// The lines after the last chunk.
    Trailer,
    /// All until the connection ends.
    UntilClose,
    /// The body is whole.
    Done,
}

/// A response's head, then what is left of its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    framing: Framing,
}

/// Reads a response's head; none as long as it is not whole. With it comes the number of bytes that it took.
pub fn head(bytes: &[u8]) -> Result<Option<(Response, usize)>, Broken> {
    let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") else {
        return if bytes.len() > MAX_HEAD { Err(Broken::Head) } else { Ok(None) };
    };
    let text = std::str::from_utf8(&bytes[..end]).ok().filter(|t| t.len() <= MAX_HEAD).ok_or(Broken::Head)?;
    let mut lines = text.split("\r\n");
    let status = lines.next().and_then(|line| line.strip_prefix("HTTP/1.")).ok_or(Broken::Head)?;
    let status = status.split(' ').nth(1).and_then(|s| s.parse().ok()).ok_or(Broken::Head)?;
    let mut framing = Framing::UntilClose;
    for line in lines {
        let (name, value) = line.split_once(':').ok_or(Broken::Head)?;
        let value = value.trim();
        if name.eq_ignore_ascii_case("transfer-encoding") {
            let chunked = value.eq_ignore_ascii_case("chunked");
            framing = if chunked { Framing::ChunkSize } else { return Err(Broken::Head) };
        } else if name.eq_ignore_ascii_case("content-length") && framing != Framing::ChunkSize {
            framing = Framing::Length(value.parse().map_err(|_| Broken::Head)?);
        }
    }
    Ok(Some((Response { status, framing }, end + 4)))
}

impl Response {
    /// Takes what it can of the body and adds its data; tells how many bytes that took.
    pub fn body(&mut self, bytes: &[u8], data: &mut Vec<u8>) -> Result<usize, Broken> {
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
                    let Some(line) = line(rest)? else { return Ok(at) };
                    at += line.len() + 2;
                    self.framing = self.after_line(line)?;
                }
            }
        }
    }

    /// Whether the body lasts until the connection ends.
    pub fn ends_with_connection(&self) -> bool {
        self.framing == Framing::UntilClose
    }

    /// Whether the body is whole.
    pub fn is_done(&self) -> bool {
        matches!(self.framing, Framing::Done | Framing::Length(0))
    }

    fn after_line(&self, line: &[u8]) -> Result<Framing, Broken> {
        match self.framing {
            Framing::ChunkSize => {
                let digits = line.split(|&b| b == b';').next().unwrap_or_default().trim_ascii();
                let size =
                    std::str::from_utf8(digits).ok().filter(|d| d.bytes().all(|b| b.is_ascii_hexdigit()));
                match size.and_then(|d| u64::from_str_radix(d, 16).ok()).ok_or(Broken::Chunk)? {
                    0 => Ok(Framing::Trailer),
                    size => Ok(Framing::ChunkData(size)),
                }
            }
            Framing::ChunkEnd if line.is_empty() => Ok(Framing::ChunkSize),
            Framing::Trailer if line.is_empty() => Ok(Framing::Done),
            Framing::Trailer => Ok(Framing::Trailer),
            _ => Err(Broken::Chunk),
        }
    }
}

/// A line without its end; none as long as it is not whole.
fn line(bytes: &[u8]) -> Result<Option<&[u8]>, Broken> {
    match bytes.windows(2).position(|w| w == b"\r\n") {
        Some(end) if end <= MAX_SIZE_LINE => Ok(Some(&bytes[..end])),
        None if bytes.len() <= MAX_SIZE_LINE + 1 => Ok(None),
        _ => Err(Broken::Chunk),
    }
}
