//! The language of matches: `class == "view" and (group in [1, 4..9] or client in 10.0.0.0/8) and not has key`.
//!
//! ```text
//! any      = all ("or" all)*
//! all      = one ("and" one)*
//! one      = "not" one | "(" any ")" | "always" | test
//! test     = "class" "==" text | "class" "in" "[" text, ... "]" | "group" "==" number
//!          | "group" "in" "[" (number | number ".." number), ... "]" | "has" ("key" | "session" | "repeat")
//!          | "client" "in" address "/" bits | ("user" | "database") "==" text | "statement" "starts" text
//! ```

use std::fmt;
use std::net::IpAddr;

use winnow::ascii::{digit1, multispace0};
use winnow::combinator::{alt, cut_err, delimited, opt, preceded, repeat, separated, separated_pair};
use winnow::error::{ContextError, StrContext, StrContextValue};
use winnow::prelude::*;
use winnow::token::{take_till, take_while};

/// Expressions nested deeper than this are refused: each level takes stack.
const DEEPEST: usize = 32;
/// Longest expression, in bytes.
const LONGEST: usize = 4096;

/// What is known of a request when its route is sought.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Facts<'a> {
    /// Name of its class.
    pub class: &'a str,
    /// The group that it names.
    pub group: u32,
    /// Whether it carries a key.
    pub key: bool,
    /// Whether it belongs to a session.
    pub session: bool,
    /// Whether its client says that it asked before.
    pub repeat: bool,
    /// Its client's address, where the front knows it.
    pub client: Option<IpAddr>,
    /// The connection's user.
    pub user: &'a str,
    /// The connection's database.
    pub database: &'a str,
    /// Its statement, without comments.
    pub statement: &'a str,
}

/// One match.
#[derive(Clone, Debug, PartialEq)]
pub enum Match {
    /// Every request.
    Always,
    /// Any of these.
    Any(Vec<Match>),
    /// All of these.
    All(Vec<Match>),
    /// Not this.
    Not(Box<Match>),
    /// One of these classes.
    Class(Vec<String>),
    /// A group within one of these ranges, both ends included.
    Group(Vec<(u32, u32)>),
    /// Carries a key.
    Key,
    /// Belongs to a session.
    Session,
    /// A client's repeat.
    Repeat,
    /// A client in this network.
    Client(IpAddr, u8),
    /// This user.
    User(String),
    /// This database.
    Database(String),
    /// A statement that begins with these words, in any case.
    Statement(String),
}

/// What is wrong with an expression, and where: an offset in bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unreadable {
    /// Where.
    pub offset: usize,
    /// What was expected there.
    pub reason: String,
    text: String,
}

impl fmt::Display for Unreadable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let column = self.text[..self.offset].chars().count();
        write!(f, "{}\n  {}\n  {:>width$}", self.reason, self.text, '^', width = column + 1)
    }
}

impl Match {
    /// Reads an expression.
    pub fn read(text: &str) -> Result<Match, Unreadable> {
        let wrong = |offset: usize, reason: String| {
            let offset = text.floor_char_boundary(offset);
            // The caret stands under what can't be read, not under the space before it.
            let rest = &text[offset..];
            let offset = offset + (rest.len() - rest.trim_start().len());
            Unreadable { offset, reason, text: text.to_owned() }
        };
        if text.len() > LONGEST {
            return Err(wrong(0, format!("{} bytes, {LONGEST} at most", text.len())));
        }
        if let Some(offset) = too_deep(text) {
            return Err(wrong(offset, format!("nested deeper than {DEEPEST}")));
        }
        delimited(multispace0, any, multispace0).parse(text).map_err(|e| {
            let expected: Vec<String> = e.inner().context().map(ToString::to_string).collect();
            // The innermost comes first.
            let reason = match expected.first() {
                Some(expected) => format!("expected {}", expected.trim_start_matches("expected ")),
                None => "can't be read from here on; and, or, or the end was expected".into(),
            };
            wrong(e.offset(), reason)
        })
    }

    /// Whether a request matches.
    pub fn holds(&self, facts: &Facts) -> bool {
        match self {
            Match::Always => true,
            Match::Any(all) => all.iter().any(|m| m.holds(facts)),
            Match::All(all) => all.iter().all(|m| m.holds(facts)),
            Match::Not(one) => !one.holds(facts),
            Match::Class(names) => names.iter().any(|name| name == facts.class),
            Match::Group(ranges) => ranges.iter().any(|(from, to)| (*from..=*to).contains(&facts.group)),
            Match::Key => facts.key,
            Match::Session => facts.session,
            Match::Repeat => facts.repeat,
            Match::Client(network, bits) => {
                facts.client.is_some_and(|client| within(client, *network, *bits))
            }
            Match::User(name) => facts.user == name,
            Match::Database(name) => facts.database == name,
            Match::Statement(words) => starts(facts.statement, words),
        }
    }

    /// The classes that it can hold for at all; none: any.
    pub fn classes(&self) -> Option<Vec<&str>> {
        match self {
            Match::Class(names) => Some(names.iter().map(String::as_str).collect()),
            Match::All(all) => all.iter().find_map(Match::classes),
            Match::Any(all) => {
                let each: Option<Vec<Vec<&str>>> = all.iter().map(Match::classes).collect();
                each.map(|each| each.concat())
            }
            _ => None,
        }
    }

    /// Each test that does not hold for a request, in words.
    pub fn failing(&self, facts: &Facts) -> Vec<String> {
        match self {
            _ if self.holds(facts) => Vec::new(),
            Match::All(all) | Match::Any(all) => all.iter().flat_map(|m| m.failing(facts)).collect(),
            other => vec![other.to_string()],
        }
    }

    /// Whether every request that `other` holds for is held by this as well, as far as that is plain from their
    /// form. A `false` says nothing.
    pub fn covers(&self, other: &Match) -> bool {
        match (self, other) {
            (Match::Always, _) => true,
            (a, b) if a == b => true,
            (Match::Class(mine), Match::Class(theirs)) => theirs.iter().all(|name| mine.contains(name)),
            (Match::Group(mine), Match::Group(theirs)) => {
                theirs.iter().all(|(from, to)| mine.iter().any(|(f, t)| f <= from && to <= t))
            }
            (_, Match::Any(parts)) => parts.iter().all(|part| self.covers(part)),
            (Match::All(parts), _) => parts.iter().all(|part| part.covers(other)),
            (_, Match::All(parts)) if parts.iter().any(|part| self.covers(part)) => true,
            (Match::Any(parts), _) => parts.iter().any(|part| part.covers(other)),
            _ => false,
        }
    }
}

impl fmt::Display for Match {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let joined = |f: &mut fmt::Formatter<'_>, all: &[Match], word: &str| {
            for (i, one) in all.iter().enumerate() {
                write!(f, "{}{one}", if i == 0 { "(" } else { word })?;
            }
            f.write_str(")")
        };
        let texts = |names: &[String]| names.iter().map(|n| format!("{n:?}")).collect::<Vec<_>>().join(", ");
        match self {
            Match::Always => f.write_str("always"),
            Match::Any(all) => joined(f, all, " or "),
            Match::All(all) => joined(f, all, " and "),
            Match::Not(one) => write!(f, "not {one}"),
            Match::Class(names) => write!(f, "class in [{}]", texts(names)),
            Match::Group(ranges) => {
                let range = |(from, to): &(u32, u32)| format!("{from}..{to}");
                write!(f, "group in [{}]", ranges.iter().map(range).collect::<Vec<_>>().join(", "))
            }
            Match::Key => f.write_str("has key"),
            Match::Session => f.write_str("has session"),
            Match::Repeat => f.write_str("has repeat"),
            Match::Client(network, bits) => write!(f, "client in {network}/{bits}"),
            Match::User(name) => write!(f, "user == {name:?}"),
            Match::Database(name) => write!(f, "database == {name:?}"),
            Match::Statement(words) => write!(f, "statement starts {words:?}"),
        }
    }
}

fn too_deep(text: &str) -> Option<usize> {
    let (mut depth, mut quoted) = (0_usize, false);
    for (offset, c) in text.char_indices() {
        match c {
            '"' => quoted = !quoted,
            '(' if !quoted => depth += 1,
            ')' if !quoted => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > DEEPEST {
            return Some(offset);
        }
    }
    // Chains of "not" nest as well.
    let mut nots = 0;
    for word in text.split_whitespace() {
        nots = if word == "not" { nots + 1 } else { 0 };
        if nots > DEEPEST {
            return Some(0);
        }
    }
    None
}

fn within(client: IpAddr, network: IpAddr, bits: u8) -> bool {
    let same = |a: u128, b: u128, width: u32| {
        let rest = width - u32::from(bits).min(width);
        // All bits of the width shifted out: any address fits.
        a.checked_shr(rest).unwrap_or(0) == b.checked_shr(rest).unwrap_or(0) || rest == width
    };
    match (client, network) {
        (IpAddr::V4(a), IpAddr::V4(b)) => same(u32::from(a).into(), u32::from(b).into(), 32),
        (IpAddr::V6(a), IpAddr::V6(b)) => same(a.into(), b.into(), 128),
        _ => false,
    }
}

/// Whether a statement begins with these words, whatever the case and the space between.
fn starts(statement: &str, words: &str) -> bool {
    let mut statement = statement.split_whitespace();
    words.split_whitespace().all(|word| statement.next().is_some_and(|s| s.eq_ignore_ascii_case(word)))
}

// ---- The grammar ----

type Read<T> = winnow::ModalResult<T>;

fn word<'i>(text: &'static str) -> impl Parser<&'i str, &'i str, winnow::error::ErrMode<ContextError>> {
    let bare = take_while(1.., |c: char| c.is_ascii_alphanumeric() || c == '_');
    preceded(multispace0, bare.verify(move |found: &str| found == text))
}

fn sign<'i>(text: &'static str) -> impl Parser<&'i str, &'i str, winnow::error::ErrMode<ContextError>> {
    preceded(multispace0, text)
}

fn want(what: &'static str) -> StrContext {
    StrContext::Expected(StrContextValue::Description(what))
}

fn joined(mut all: Vec<Match>, join: impl Fn(Vec<Match>) -> Match) -> Match {
    if all.len() == 1 {
        all.remove(0)
    } else {
        join(all)
    }
}

fn any(input: &mut &str) -> Read<Match> {
    let rest = repeat(0.., preceded(word("or"), cut_err(all)));
    let (first, rest): (Match, Vec<Match>) = (all, rest).parse_next(input)?;
    Ok(joined([vec![first], rest].concat(), Match::Any))
}

fn all(input: &mut &str) -> Read<Match> {
    let rest = repeat(0.., preceded(word("and"), cut_err(one)));
    let (first, rest): (Match, Vec<Match>) = (one, rest).parse_next(input)?;
    Ok(joined([vec![first], rest].concat(), Match::All))
}

fn one(input: &mut &str) -> Read<Match> {
    alt((
        preceded(word("not"), cut_err(one)).map(|m| Match::Not(Box::new(m))),
        delimited(sign("("), cut_err(any), cut_err(sign(")")).context(want("a closing bracket"))),
        word("always").value(Match::Always),
        class,
        group,
        has,
        client,
        preceded((word("user"), cut_err(sign("=="))), cut_err(text)).map(Match::User),
        preceded((word("database"), cut_err(sign("=="))), cut_err(text)).map(Match::Database),
        preceded((word("statement"), cut_err(word("starts"))), cut_err(text)).map(Match::Statement),
    ))
    .context(want("a test: class, group, has, client, user, database, statement, always, not, or a bracket"))
    .parse_next(input)
}

fn text(input: &mut &str) -> Read<String> {
    let quoted = delimited(sign("\""), take_till(0.., |c| c == '"'), "\"");
    quoted.map(str::to_owned).context(want("a text in quotes")).parse_next(input)
}

fn number(input: &mut &str) -> Read<u32> {
    preceded(multispace0, digit1.try_map(str::parse::<u32>)).context(want("a number")).parse_next(input)
}

fn list<'i, T>(
    element: impl Parser<&'i str, T, winnow::error::ErrMode<ContextError>>,
) -> impl Parser<&'i str, Vec<T>, winnow::error::ErrMode<ContextError>> {
    delimited(
        sign("[").context(want("a list in square brackets")),
        cut_err(separated(1.., element, sign(","))),
        cut_err(sign("]")).context(want("a comma or a closing square bracket")),
    )
}

fn class(input: &mut &str) -> Read<Match> {
    let one = preceded(sign("=="), cut_err(text)).map(|name| vec![name]);
    let some = preceded(word("in"), cut_err(list(text)));
    preceded(word("class"), cut_err(alt((one, some)).context(want("== or in"))))
        .map(Match::Class)
        .parse_next(input)
}

fn range(input: &mut &str) -> Read<(u32, u32)> {
    let (from, to) = (number, opt(preceded(sign(".."), cut_err(number)))).parse_next(input)?;
    Ok((from, to.unwrap_or(from)))
}

fn group(input: &mut &str) -> Read<Match> {
    let one = preceded(sign("=="), cut_err(number)).map(|n| vec![(n, n)]);
    let some = preceded(word("in"), cut_err(list(range)));
    preceded(word("group"), cut_err(alt((one, some)).context(want("== or in"))))
        .map(Match::Group)
        .parse_next(input)
}

fn has(input: &mut &str) -> Read<Match> {
    let what = alt((
        word("key").value(Match::Key),
        word("session").value(Match::Session),
        word("repeat").value(Match::Repeat),
    ));
    preceded(word("has"), cut_err(what.context(want("key, session or repeat")))).parse_next(input)
}

fn client(input: &mut &str) -> Read<Match> {
    let address = take_while(1.., |c: char| c.is_ascii_hexdigit() || c == '.' || c == ':');
    let address = preceded(multispace0, address.try_map(str::parse::<IpAddr>));
    let bits = digit1.try_map(str::parse::<u8>);
    let network = separated_pair(address, "/", bits)
        .verify(|(address, bits): &(IpAddr, u8)| *bits <= if address.is_ipv4() { 32 } else { 128 });
    preceded(
        (word("client"), cut_err(word("in"))),
        cut_err(network.context(want("a network such as 10.0.0.0/8"))),
    )
    .map(|(address, bits)| Match::Client(address, bits))
    .parse_next(input)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn facts() -> Facts<'static> {
        Facts {
            class: "view",
            group: 7,
            key: true,
            client: Some("10.1.2.3".parse().unwrap()),
            user: "web",
            statement: "SELECT  payload FROM entries",
            ..Facts::default()
        }
    }

    #[test]
    fn tests_hold_and_join_by_precedence() {
        let cases = [
            ("always", true),
            ("class == \"view\"", true),
            ("class in [\"log\", \"view\"] and group == 7", true),
            ("group in [1, 4..9]", true),
            ("group in [1,8]", false),
            ("not has session and has key", true),
            ("not (has session or has key)", false),
            ("has session and has repeat or group==7", true),
            ("has session and (has repeat or group==7)", false),
            ("client in 10.0.0.0/8", true),
            ("client in 10.1.3.0/24", false),
            ("client in 0.0.0.0/0", true),
            ("client in ::/0", false),
            ("user == \"web\" and database == \"\"", true),
            ("statement starts \"select payload\"", true),
            ("statement starts \"select pay\"", false),
        ];
        for (text, expected) in cases {
            let read = Match::read(text).unwrap_or_else(|e| panic!("{e}"));
            assert_eq!(read.holds(&facts()), expected, "{text}");
            assert_eq!(Match::read(&read.to_string()).unwrap().holds(&facts()), expected, "{read}");
            assert_eq!(read.failing(&facts()).is_empty(), expected, "{text}");
        }
    }

    #[test]
    fn what_cannot_be_read_is_shown_with_a_caret() {
        let cases = [
            ("class = \"view\"", 6, "== or in"),
            ("class == view", 9, "a text in quotes"),
            ("group in [1, x]", 11, "a comma or a closing square bracket"),
            ("has kex", 4, "key, session or repeat"),
            ("client in 10.0.0.0/33", 10, "a network such as"),
            ("(always", 7, "a closing bracket"),
            ("always always", 7, "and, or, or the end"),
            ("always and", 10, "a test"),
            ("", 0, "a test"),
            ("group == 99999999999", 9, "a number"),
        ];
        for (text, offset, reason) in cases {
            let wrong = Match::read(text).unwrap_err();
            assert!(wrong.reason.contains(reason), "{text:?}: {}", wrong.reason);
            assert_eq!(wrong.offset, offset, "{wrong}");
        }
        let shown = Match::read("has kex").unwrap_err().to_string();
        assert!(shown.ends_with("  has kex\n      ^"), "{shown}");
    }

    #[test]
    fn nesting_and_length_are_bounded() {
        let deep = |n: usize| format!("{}always{}", "(".repeat(n), ")".repeat(n));
        assert_eq!(Match::read(&deep(32)), Ok(Match::Always));
        assert!(Match::read(&deep(33)).unwrap_err().reason.contains("deeper"));
        assert!(Match::read(&"not ".repeat(40)).unwrap_err().reason.contains("deeper"));
        assert!(Match::read(&"x".repeat(5000)).unwrap_err().reason.contains("4096"));
    }

    #[test]
    fn what_covers_another_is_told_where_it_is_plain() {
        let read = |text: &str| Match::read(text).unwrap();
        for (mine, theirs, expected) in [
            ("always", "has key", true),
            ("class in [\"a\", \"b\"]", "class == \"a\" and has key", true),
            ("class == \"a\" and has key", "class == \"a\"", false),
            ("group in [1..9]", "group in [2, 4..5]", true),
            ("group in [1..9]", "group in [2, 14]", false),
            ("has key or class == \"a\"", "class == \"a\"", true),
            ("has key", "class == \"a\" or has key", false),
        ] {
            assert_eq!(read(mine).covers(&read(theirs)), expected, "{mine} over {theirs}");
        }
    }
}
