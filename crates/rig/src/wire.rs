//! The messages of PostgreSQL's protocol that members' and clients' sides need, as the program's page on the wire says.

use std::io;
use std::net::TcpStream;

use async_io::Async;
use futures_lite::AsyncReadExt;

/// Longest message that is taken.
const MOST: usize = 256 * 1024;

/// Appends a message.
pub fn put(out: &mut Vec<u8>, kind: u8, content: &[u8]) {
    out.push(kind);
    out.extend((content.len() as u32 + 4).to_be_bytes());
    out.extend(content);
}

/// Appends an answer of one row with one binary column.
pub fn put_row(out: &mut Vec<u8>, value: &[u8]) {
    let mut column = vec![0, 1];
    column.extend(b"payload\0");
    column.extend([0, 0, 0, 0, 0, 0, 0, 0, 0, 17, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 1]);
    put(out, b'T', &column);
    let mut row = vec![0, 1];
    row.extend((value.len() as u32).to_be_bytes());
    row.extend(value);
    put(out, b'D', &row);
    put(out, b'C', b"SELECT 1\0");
}

/// Appends an error of a severity with a code.
pub fn put_error(out: &mut Vec<u8>, severity: &str, code: &str) {
    put(out, b'E', format!("S{severity}\0C{code}\0Mas told\0\0").as_bytes());
}

/// Appends a value that the server tells of itself.
pub fn put_status(out: &mut Vec<u8>, name: &str, value: &str) {
    put(out, b'S', format!("{name}\0{value}\0").as_bytes());
}

/// The startup message of a client.
pub fn startup() -> Vec<u8> {
    let content = b"\0\x03\0\0user\0web\0database\0orders\0\0";
    [&(content.len() as u32 + 4).to_be_bytes()[..], content].concat()
}

/// A simple query.
pub fn query(text: &str) -> Vec<u8> {
    let mut out = Vec::with_capacity(text.len() + 6);
    put(&mut out, b'Q', &[text.as_bytes(), &[0]].concat());
    out
}

/// The fields of an error, each with its kind.
pub fn fields(error: &[u8]) -> impl Iterator<Item = (u8, String)> + '_ {
    let fields = error.split(|b| *b == 0).filter(|field| !field.is_empty());
    fields.map(|field| (field[0], String::from_utf8_lossy(&field[1..]).into_owned()))
}

/// The value that a member gives for a statement: what its first quotes hold, between bytes that are no text.
pub fn value_of(statement: &str) -> Vec<u8> {
    let key = statement.split('\'').nth(1).unwrap_or_default();
    [&[0, 0xff], key.as_bytes(), &[0x9f, 0]].concat()
}

/// A value of a statement's comment.
pub fn named<'s>(statement: &'s str, name: &str) -> Option<&'s str> {
    let comment = statement.strip_prefix("/*")?.split("*/").next()?;
    comment.trim().split(',').find_map(|pair| pair.trim().strip_prefix(name)?.strip_prefix('='))
}

/// What was read of a connection and not yet taken.
#[derive(Default)]
pub struct Inbox(Vec<u8>);

impl Inbox {
    /// Reads until the connection has more; false at its end.
    pub async fn more(&mut self, mut stream: &Async<TcpStream>) -> io::Result<bool> {
        let mut part = [0; 8 * 1024];
        let count = stream.read(&mut part).await?;
        self.0.extend_from_slice(&part[..count]);
        Ok(count > 0)
    }

    /// Nothing is left of what was read.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The first whole message; an error where it claims to be longer than any may be.
    pub fn take(&mut self) -> io::Result<Option<(u8, Vec<u8>)>> {
        let Some(length) = self.0.get(1..).and_then(|rest| rest.first_chunk()) else { return Ok(None) };
        let length = u32::from_be_bytes(*length) as usize;
        if !(4..=MOST).contains(&length) {
            return Err(io::Error::other(format!("a message of {length} bytes")));
        }
        let Some(content) = self.0.get(5..1 + length).map(<[u8]>::to_vec) else { return Ok(None) };
        let kind = self.0[0];
        self.0.drain(..1 + length);
        Ok(Some((kind, content)))
    }

    /// The startup message, which has no kind.
    pub fn take_startup(&mut self) -> io::Result<bool> {
        let Some(length) = self.0.first_chunk() else { return Ok(false) };
        let length = u32::from_be_bytes(*length) as usize;
        if !(8..=MOST).contains(&length) {
            return Err(io::Error::other(format!("a startup message of {length} bytes")));
        }
        if self.0.len() < length {
            return Ok(false);
        }
        self.0.drain(..length);
        Ok(true)
    }
}

/// The next message; none at the connection's end.
pub async fn message(inbox: &mut Inbox, stream: &Async<TcpStream>) -> io::Result<Option<(u8, Vec<u8>)>> {
    loop {
        if let Some(message) = inbox.take()? {
            return Ok(Some(message));
        }
        if !inbox.more(stream).await? {
            return Ok(None);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn messages_are_taken_whole_and_oversized_ones_refused() {
        let bytes = query("SELECT 1");
        let mut inbox = Inbox(bytes[..6].to_vec());
        assert_eq!(inbox.take().unwrap(), None);
        inbox.0.extend_from_slice(&bytes[6..]);
        assert_eq!(inbox.take().unwrap(), Some((b'Q', b"SELECT 1\0".to_vec())));
        assert!(inbox.is_empty());
        assert!(Inbox(vec![b'Q', 0x7f, 0, 0, 0]).take().is_err());
        assert!(Inbox(vec![0, 0, 0, 1]).take_startup().is_err());
    }

    #[test]
    fn comments_hold_names_and_values() {
        let text = "/* id=00ff,c=view,d=480,cluster=2 */ SELECT payload FROM entries WHERE ref = 'ab'";
        assert_eq!(named(text, "id"), Some("00ff"));
        assert_eq!(named(text, "d"), Some("480"));
        assert_eq!(named(text, "k"), None);
        assert_eq!(value_of(text), [&[0, 0xff], &b"ab"[..], &[0x9f, 0]].concat());
    }
}
