//! Decodes messages in protobuf text format, and finds the place of an invalid value in the text.

use std::fmt;

use miette::Diagnostic;
use prost::Message;
use prost_reflect::{DescriptorPool, DynamicMessage};

/// Maximum size of a file, in bytes. Larger files are rejected without decoding.
pub const MAX_FILE_BYTES: usize = 1 << 20;

/// A location in a file. Lines and columns count from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Location {
    /// Line number.
    pub line: usize,
    /// Column number, in characters.
    pub column: usize,
}

/// An error in a file, with its place and a remedy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileError {
    /// Name of the file.
    pub file: String,
    /// Where the error is, if it has one place.
    pub location: Option<Location>,
    /// What is wrong, and what would be valid.
    pub reason: String,
}

impl fmt::Display for FileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.location {
            Some(Location { line, column }) => write!(f, "{}:{line}:{column}: {}", self.file, self.reason),
            None => write!(f, "{}: {}", self.file, self.reason),
        }
    }
}

impl std::error::Error for FileError {}

/// Decodes a text as the message `name` of the schema with these descriptors. Unknown fields are errors. `file` is
/// the name of the file in errors.
pub fn decode<M: Message + Default>(
    descriptors: &[u8],
    name: &str,
    file: &str,
    text: &str,
) -> Result<M, FileError> {
    let error = |location, reason| FileError { file: file.into(), location, reason };
    if text.len() > MAX_FILE_BYTES {
        return Err(error(None, format!("the file has {} bytes, {MAX_FILE_BYTES} at most", text.len())));
    }
    let pool = DescriptorPool::decode(descriptors).map_err(|e| error(None, e.to_string()))?;
    let descriptor = pool.get_message_by_name(name);
    let descriptor = descriptor.ok_or_else(|| error(None, format!("no message {name} in the schema")))?;
    let message = DynamicMessage::parse_text_format(descriptor, text).map_err(|e| {
        let label = e.labels().and_then(|mut labels| labels.next());
        let location = label.map(|label| location_at(text, label.offset()));
        error(location, e.to_string())
    })?;
    message.transcode_to().map_err(|e| error(None, e.to_string()))
}

/// An error for an invalid value of a field such as `zones.zone[1].prefer`, with the place of the field.
pub fn invalid_value(file: &str, text: &str, field: &str, reason: &str) -> FileError {
    FileError { file: file.into(), location: locate_field(text, field), reason: format!("{field}: {reason}") }
}

/// The location of an offset in bytes.
fn location_at(text: &str, offset: usize) -> Location {
    let before = &text[..text.floor_char_boundary(offset)];
    let line = before.matches('\n').count() + 1;
    let column = before.rsplit('\n').next().unwrap_or("").chars().count() + 1;
    Location { line, column }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Token<'t> {
    Word(&'t str),
    Open,
    Close,
    ListOpen,
    ListClose,
    Comma,
    /// A quoted string.
    Quoted,
    /// A colon or a minus sign.
    Symbol,
}

/// Splits a text into tokens with their offsets. It knows just enough of the format to find a field in a text that was
/// decoded before.
fn tokenize(text: &str) -> Vec<(usize, Token<'_>)> {
    let (bytes, mut at, mut found) = (text.as_bytes(), 0, Vec::new());
    while at < bytes.len() {
        let from = at;
        at += 1;
        let token = match bytes[from] {
            b'#' => {
                at = text[from..].find('\n').map_or(bytes.len(), |length| from + length);
                continue;
            }
            b if b.is_ascii_whitespace() => continue,
            quote @ (b'"' | b'\'') => {
                while at < bytes.len() && bytes[at] != quote {
                    at += if bytes[at] == b'\\' { 2 } else { 1 };
                }
                at = (at + 1).min(bytes.len());
                Token::Quoted
            }
            b'{' | b'<' => Token::Open,
            b'}' | b'>' => Token::Close,
            b'[' => Token::ListOpen,
            b']' => Token::ListClose,
            b',' | b';' => Token::Comma,
            b if b.is_ascii_alphanumeric() || b == b'_' => {
                let is_word = |b: &u8| b.is_ascii_alphanumeric() || matches!(b, b'_' | b'.' | b'-' | b'+');
                at = from + bytes[from..].iter().take_while(|b| is_word(b)).count();
                Token::Word(&text[from..at])
            }
            _ => Token::Symbol,
        };
        found.push((from, token));
    }
    found
}

/// Finds the place of a field in a text that was decoded before. If the text leaves the field out, the result is the
/// place of the deepest message on its path that is there; `None` if there is none.
pub fn locate_field(text: &str, field: &str) -> Option<Location> {
    let parse_part = |part: &str| match part.split_once('[') {
        Some((name, index)) => Some((name.to_owned(), Some(index.strip_suffix(']')?.parse().ok()?))),
        None => Some((part.to_owned(), None)),
    };
    let path: Vec<(String, Option<usize>)> = field.split('.').map(parse_part).collect::<Option<_>>()?;
    let tokens = tokenize(text);
    let mut best: Option<(usize, usize)> = None;
    let mut search = FieldSearch { tokens: &tokens, path: &path, best: &mut best };
    search.search_message(0, 0, true);
    best.map(|(_, offset)| location_at(text, offset))
}

/// A search for a field by its path, in the tokens of a text.
struct FieldSearch<'s, 't> {
    tokens: &'s [(usize, Token<'t>)],
    /// Names of the nested fields, with the index of an element where a field is repeated.
    path: &'s [(String, Option<usize>)],
    /// The deepest part of the path that was found: its depth and its offset.
    best: &'s mut Option<(usize, usize)>,
}

impl FieldSearch<'_, '_> {
    /// Searches the fields of one message, starting at the token `at`; `on_path` tells whether the path leads through
    /// this message. Returns the index of the token after the message.
    fn search_message(&mut self, mut at: usize, depth: usize, on_path: bool) -> usize {
        let mut seen = 0;
        while let Some(&(offset, token)) = self.tokens.get(at) {
            at += 1;
            let Token::Word(name) = token else {
                if token == Token::Close {
                    return at;
                }
                continue;
            };
            let wanted = self.path.get(depth).filter(|(n, _)| on_path && n == name).map(|(_, index)| *index);
            at = self.search_value(at, offset, depth, wanted, &mut seen);
        }
        at
    }

    /// Searches the value of a field, or the elements of its list. `name_offset` is the offset of the field's name,
    /// `wanted` the index that the path asks for if the field is on the path, and `seen` counts the elements so far.
    /// Returns the index of the token after the value.
    fn search_value(
        &mut self,
        mut at: usize,
        name_offset: usize,
        depth: usize,
        wanted: Option<Option<usize>>,
        seen: &mut usize,
    ) -> usize {
        let mut in_list = false;
        while let Some(&(offset, token)) = self.tokens.get(at) {
            at += 1;
            match token {
                Token::Symbol | Token::Comma => continue,
                Token::ListOpen => in_list = true,
                Token::ListClose => return at,
                Token::Close => return at - 1,
                Token::Open | Token::Word(_) | Token::Quoted => {
                    let is_match = wanted.is_some_and(|index| index.unwrap_or(*seen) == *seen);
                    *seen += usize::from(wanted.is_some());
                    if is_match {
                        self.record_match(depth, if in_list { offset } else { name_offset });
                    }
                    if token == Token::Open {
                        at = self.search_message(at, depth + 1, is_match);
                    }
                    if !in_list {
                        return at;
                    }
                }
            }
        }
        at
    }

    /// Records a match if it is deeper than the best one so far.
    fn record_match(&mut self, depth: usize, offset: usize) {
        if self.best.is_none_or(|(d, _)| depth > d) {
            *self.best = Some((depth, offset));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const TEXT: &str =
        "# zones { }\nzones {\n  spill_share: -0.5\n  zone { name: \"a}\" prefer: [\"a\", \"b\"] }\n  \
                        zone <name: 'b'\n    prefer: \"b\" prefer: \"b\" >\n}\n";

    /// Guards against errors that point to a comment, to another element of a repeated field, or to nothing.
    #[test]
    fn fields_are_located_in_the_text() {
        let location = |line, column| Some(Location { line, column });
        assert_eq!(locate_field(TEXT, "zones.spill_share"), location(3, 3));
        assert_eq!(locate_field(TEXT, "zones.zone[0].prefer[1]"), location(4, 35));
        assert_eq!(locate_field(TEXT, "zones.zone[1]"), location(5, 3));
        assert_eq!(locate_field(TEXT, "zones.zone[1].prefer[1]"), location(6, 17));
        assert_eq!(
            locate_field(TEXT, "zones.zone[1].capacity"),
            location(5, 3),
            "a field that is left out is located at its message"
        );
        assert_eq!(locate_field(TEXT, "routes"), None);
    }
}
