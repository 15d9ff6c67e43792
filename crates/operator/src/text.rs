//! Protobuf text format to messages, with the place of whatever can't be used.

use std::fmt;

use miette::Diagnostic;
use prost::Message;
use prost_reflect::{DescriptorPool, DynamicMessage};

/// Files beyond this are refused unread, in bytes.
pub const LONGEST: usize = 1 << 20;

/// A place in a file, counted from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// Line.
    pub line: usize,
    /// Column, in characters.
    pub column: usize,
}

/// What is wrong with a file, where, and what would be right.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The file.
    pub file: String,
    /// Where, if it is in one place.
    pub place: Option<Place>,
    /// Reason and remedy.
    pub reason: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.place {
            Some(Place { line, column }) => write!(f, "{}:{line}:{column}: {}", self.file, self.reason),
            None => write!(f, "{}: {}", self.file, self.reason),
        }
    }
}

impl std::error::Error for Problem {}

/// Decodes a message of this name by the descriptors of its schema. Unknown fields are errors.
pub fn decode<M: Message + Default>(
    descriptors: &[u8],
    name: &str,
    file: &str,
    text: &str,
) -> Result<M, Problem> {
    let problem = |place, reason| Problem { file: file.into(), place, reason };
    if text.len() > LONGEST {
        return Err(problem(None, format!("{} bytes, {LONGEST} at most", text.len())));
    }
    let pool = DescriptorPool::decode(descriptors).map_err(|e| problem(None, e.to_string()))?;
    let descriptor = pool.get_message_by_name(name);
    let descriptor = descriptor.ok_or_else(|| problem(None, format!("no message {name} in the schema")))?;
    let message = DynamicMessage::parse_text_format(descriptor, text).map_err(|e| {
        let label = e.labels().and_then(|mut labels| labels.next());
        let place = label.map(|label| place_of(text, label.offset()));
        problem(place, e.to_string())
    })?;
    message.transcode_to().map_err(|e| problem(None, e.to_string()))
}

/// An impossible value in a field such as `zones.zone[1].prefer`, with its place.
pub fn impossible(file: &str, text: &str, field: &str, reason: &str) -> Problem {
    Problem { file: file.into(), place: locate(text, field), reason: format!("{field}: {reason}") }
}

fn place_of(text: &str, offset: usize) -> Place {
    let before = &text[..text.floor_char_boundary(offset)];
    let line = before.matches('\n').count() + 1;
    let column = before.rsplit('\n').next().unwrap_or("").chars().count() + 1;
    Place { line, column }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Token<'t> {
    Word(&'t str),
    Open,
    Close,
    ListOpen,
    ListClose,
    Comma,
    /// A string.
    Text,
    /// A colon, a minus.
    Sign,
}

/// The text's tokens with their offsets: no more than is needed to find a field in a text that was decoded.
fn tokens(text: &str) -> Vec<(usize, Token<'_>)> {
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
                Token::Text
            }
            b'{' | b'<' => Token::Open,
            b'}' | b'>' => Token::Close,
            b'[' => Token::ListOpen,
            b']' => Token::ListClose,
            b',' | b';' => Token::Comma,
            b if b.is_ascii_alphanumeric() || b == b'_' => {
                let word = |b: &u8| b.is_ascii_alphanumeric() || matches!(b, b'_' | b'.' | b'-' | b'+');
                at = from + bytes[from..].iter().take_while(|b| word(b)).count();
                Token::Word(&text[from..at])
            }
            _ => Token::Sign,
        };
        found.push((from, token));
    }
    found
}

/// Where a field stands in a text that was decoded; the field itself if it has no element of that number.
pub fn locate(text: &str, field: &str) -> Option<Place> {
    let step = |part: &str| match part.split_once('[') {
        Some((name, index)) => Some((name.to_owned(), Some(index.strip_suffix(']')?.parse().ok()?))),
        None => Some((part.to_owned(), None)),
    };
    let path: Vec<(String, Option<usize>)> = field.split('.').map(step).collect::<Option<_>>()?;
    let tokens = tokens(text);
    let mut best: Option<(usize, usize)> = None;
    let mut seek = Seek { tokens: &tokens, path: &path, best: &mut best };
    seek.body(0, 0, true);
    best.map(|(_, offset)| place_of(text, offset))
}

struct Seek<'s, 't> {
    tokens: &'s [(usize, Token<'t>)],
    path: &'s [(String, Option<usize>)],
    /// The deepest part of the path that was found, and where.
    best: &'s mut Option<(usize, usize)>,
}

impl Seek<'_, '_> {
    /// Goes through the fields of one message; `on_path` if it is the one that the path leads through.
    fn body(&mut self, mut at: usize, depth: usize, on_path: bool) -> usize {
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
            at = self.value(at, offset, depth, wanted, &mut seen);
        }
        at
    }

    /// Goes through a field's value, or the elements of its list.
    fn value(
        &mut self,
        mut at: usize,
        name: usize,
        depth: usize,
        wanted: Option<Option<usize>>,
        seen: &mut usize,
    ) -> usize {
        let mut in_list = false;
        while let Some(&(offset, token)) = self.tokens.get(at) {
            at += 1;
            match token {
                Token::Sign | Token::Comma => continue,
                Token::ListOpen => in_list = true,
                Token::ListClose => return at,
                Token::Close => return at - 1,
                Token::Open | Token::Word(_) | Token::Text => {
                    let here = wanted.is_some_and(|index| index.unwrap_or(*seen) == *seen);
                    *seen += usize::from(wanted.is_some());
                    if here {
                        self.found(depth, if in_list { offset } else { name });
                    }
                    if token == Token::Open {
                        at = self.body(at, depth + 1, here);
                    }
                    if !in_list {
                        return at;
                    }
                }
            }
        }
        at
    }

    fn found(&mut self, depth: usize, offset: usize) {
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

    #[test]
    fn fields_are_found_where_they_stand() {
        let place = |line, column| Some(Place { line, column });
        assert_eq!(locate(TEXT, "zones.spill_share"), place(3, 3));
        assert_eq!(locate(TEXT, "zones.zone[0].prefer[1]"), place(4, 35));
        assert_eq!(locate(TEXT, "zones.zone[1]"), place(5, 3));
        assert_eq!(locate(TEXT, "zones.zone[1].prefer[1]"), place(6, 17));
        assert_eq!(locate(TEXT, "zones.zone[1].capacity"), place(5, 3), "its message, where it is left out");
        assert_eq!(locate(TEXT, "routes"), None);
    }
}
