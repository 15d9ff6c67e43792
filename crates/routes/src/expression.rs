//! The match language of routes: expressions over the attributes of a request, such as
//! `class == "view" and (group in [1, 4..9] or client in 10.0.0.0/8) and not has key`.
//!
//! The grammar:
//!
//! ```text
//! disjunction = conjunction ("or" conjunction)*
//! conjunction = term ("and" term)*
//! term        = "not" term | "(" disjunction ")" | "always" | test
//! test        = "class" "==" string | "class" "in" "[" string, ... "]" | "group" "==" number
//!             | "group" "in" "[" (number | number ".." number), ... "]" | "has" ("key" | "session" | "repeat")
//!             | "client" "in" address "/" bits | ("user" | "database") "==" string | "statement" "starts" string
//! ```
//!
//! `not` binds tighter than `and`, and `and` tighter than `or`.

use std::fmt;
use std::net::IpAddr;

use winnow::ascii::{digit1, multispace0};
use winnow::combinator::{alt, cut_err, delimited, opt, preceded, repeat, separated, separated_pair};
use winnow::error::{ContextError, StrContext, StrContextValue};
use winnow::prelude::*;
use winnow::token::{take_till, take_while};

/// Maximum nesting of an expression, in levels of parentheses or of `not`. The parser is recursive: each level takes
/// stack.
const MAX_NESTING: usize = 32;
/// Maximum length of an expression, in bytes.
const MAX_EXPRESSION_BYTES: usize = 4096;

/// The attributes of a request that a route can match.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestAttributes<'a> {
    /// Name of the request's class.
    pub class: &'a str,
    /// Number of the group that the request names.
    pub group: u32,
    /// Whether the request carries an idempotency key.
    pub has_key: bool,
    /// Whether the request belongs to a session.
    pub has_session: bool,
    /// Whether the client marked the request as a repeat of an earlier one.
    pub is_repeat: bool,
    /// The client's address, if the protocol front end knows it.
    pub client: Option<IpAddr>,
    /// The user of the client's connection.
    pub user: &'a str,
    /// The database of the client's connection.
    pub database: &'a str,
    /// The request's statement, without comments.
    pub statement: &'a str,
}

/// A parsed expression that a request matches or does not match.
#[derive(Clone, Debug, PartialEq)]
pub enum Matcher {
    /// Matches every request.
    Always,
    /// Matches if at least one of these does.
    Any(Vec<Matcher>),
    /// Matches if all of these do.
    All(Vec<Matcher>),
    /// Matches if this does not.
    Not(Box<Matcher>),
    /// Matches requests of these classes.
    Class(Vec<String>),
    /// Matches requests whose group is in one of these ranges, both ends included.
    Group(Vec<(u32, u32)>),
    /// Matches requests that carry an idempotency key.
    Key,
    /// Matches requests that belong to a session.
    Session,
    /// Matches requests that their client marked as a repeat.
    Repeat,
    /// Matches clients in this network: its address, and the length of its prefix in bits.
    Client(IpAddr, u8),
    /// Matches connections of this user.
    User(String),
    /// Matches connections to this database.
    Database(String),
    /// Matches statements that begin with these words, in any case and with any white space between them.
    Statement(String),
}

/// An expression that does not parse, with the place of the error. Its display shows the expression and a caret under
/// that place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParseError {
    /// Place of the error, as an offset in bytes.
    pub offset: usize,
    /// What was expected there.
    pub reason: String,
    text: String,
}

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let column = self.text[..self.offset].chars().count();
        write!(f, "{}\n  {}\n  {:>width$}", self.reason, self.text, '^', width = column + 1)
    }
}

impl Matcher {
    /// Parses an expression.
    pub fn parse(text: &str) -> Result<Matcher, ParseError> {
        let error = |offset: usize, reason: String| {
            let offset = text.floor_char_boundary(offset);
            // The caret points to what does not parse, not to the white space before it.
            let rest = &text[offset..];
            let offset = offset + (rest.len() - rest.trim_start().len());
            ParseError { offset, reason, text: text.to_owned() }
        };
        if text.len() > MAX_EXPRESSION_BYTES {
            return Err(error(
                0,
                format!("the expression has {} bytes, {MAX_EXPRESSION_BYTES} at most", text.len()),
            ));
        }
        if let Some(offset) = excess_nesting(text) {
            return Err(error(offset, format!("nested deeper than {MAX_NESTING} levels")));
        }
        delimited(multispace0, disjunction, multispace0).parse(text).map_err(|e| {
            let contexts: Vec<String> = e.inner().context().map(ToString::to_string).collect();
            // The innermost context comes first.
            let reason = match contexts.first() {
                Some(context) => format!("expected {}", context.trim_start_matches("expected ")),
                None => "expected and, or, or the end of the expression".into(),
            };
            error(e.offset(), reason)
        })
    }

    /// Whether a request with these attributes matches.
    pub fn matches(&self, attributes: &RequestAttributes) -> bool {
        match self {
            Matcher::Always => true,
            Matcher::Any(all) => all.iter().any(|m| m.matches(attributes)),
            Matcher::All(all) => all.iter().all(|m| m.matches(attributes)),
            Matcher::Not(one) => !one.matches(attributes),
            Matcher::Class(names) => names.iter().any(|name| name == attributes.class),
            Matcher::Group(ranges) => {
                ranges.iter().any(|(from, to)| (*from..=*to).contains(&attributes.group))
            }
            Matcher::Key => attributes.has_key,
            Matcher::Session => attributes.has_session,
            Matcher::Repeat => attributes.is_repeat,
            Matcher::Client(network, bits) => {
                attributes.client.is_some_and(|client| is_in_network(client, *network, *bits))
            }
            Matcher::User(name) => attributes.user == name,
            Matcher::Database(name) => attributes.database == name,
            Matcher::Statement(words) => starts_with_words(attributes.statement, words),
        }
    }

    /// The only classes whose requests can match. `None`: the expression does not restrict classes.
    pub fn classes(&self) -> Option<Vec<&str>> {
        match self {
            Matcher::Class(names) => Some(names.iter().map(String::as_str).collect()),
            Matcher::All(all) => all.iter().find_map(Matcher::classes),
            Matcher::Any(all) => {
                let each: Option<Vec<Vec<&str>>> = all.iter().map(Matcher::classes).collect();
                each.map(|each| each.concat())
            }
            _ => None,
        }
    }

    /// The tests of the expression that do not hold for a request, in the match language. Empty if the request matches.
    pub fn failing_tests(&self, attributes: &RequestAttributes) -> Vec<String> {
        match self {
            _ if self.matches(attributes) => Vec::new(),
            Matcher::All(all) | Matcher::Any(all) => {
                all.iter().flat_map(|m| m.failing_tests(attributes)).collect()
            }
            other => vec![other.to_string()],
        }
    }

    /// Whether every request that `other` matches is matched by this expression too. Only the form of the expressions
    /// is compared, so `false` does not prove that there is a request which only `other` matches.
    pub fn covers(&self, other: &Matcher) -> bool {
        match (self, other) {
            (Matcher::Always, _) => true,
            (a, b) if a == b => true,
            (Matcher::Class(own), Matcher::Class(others)) => others.iter().all(|name| own.contains(name)),
            (Matcher::Group(own), Matcher::Group(others)) => {
                others.iter().all(|(from, to)| own.iter().any(|(f, t)| f <= from && to <= t))
            }
            (_, Matcher::Any(parts)) => parts.iter().all(|part| self.covers(part)),
            (Matcher::All(parts), _) => parts.iter().all(|part| part.covers(other)),
            (_, Matcher::All(parts)) if parts.iter().any(|part| self.covers(part)) => true,
            (Matcher::Any(parts), _) => parts.iter().any(|part| part.covers(other)),
            _ => false,
        }
    }
}

impl fmt::Display for Matcher {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let join = |f: &mut fmt::Formatter<'_>, parts: &[Matcher], operator: &str| {
            for (i, part) in parts.iter().enumerate() {
                write!(f, "{}{part}", if i == 0 { "(" } else { operator })?;
            }
            f.write_str(")")
        };
        let quoted = |names: &[String]| names.iter().map(|n| format!("{n:?}")).collect::<Vec<_>>().join(", ");
        match self {
            Matcher::Always => f.write_str("always"),
            Matcher::Any(parts) => join(f, parts, " or "),
            Matcher::All(parts) => join(f, parts, " and "),
            Matcher::Not(one) => write!(f, "not {one}"),
            Matcher::Class(names) => write!(f, "class in [{}]", quoted(names)),
            Matcher::Group(ranges) => {
                let range = |(from, to): &(u32, u32)| format!("{from}..{to}");
                write!(f, "group in [{}]", ranges.iter().map(range).collect::<Vec<_>>().join(", "))
            }
            Matcher::Key => f.write_str("has key"),
            Matcher::Session => f.write_str("has session"),
            Matcher::Repeat => f.write_str("has repeat"),
            Matcher::Client(network, bits) => write!(f, "client in {network}/{bits}"),
            Matcher::User(name) => write!(f, "user == {name:?}"),
            Matcher::Database(name) => write!(f, "database == {name:?}"),
            Matcher::Statement(words) => write!(f, "statement starts {words:?}"),
        }
    }
}

/// The place, in bytes, at which an expression exceeds the maximum nesting; the start of the expression if a chain of
/// `not` does.
fn excess_nesting(text: &str) -> Option<usize> {
    let (mut depth, mut in_quotes) = (0_usize, false);
    for (offset, c) in text.char_indices() {
        match c {
            '"' => in_quotes = !in_quotes,
            '(' if !in_quotes => depth += 1,
            ')' if !in_quotes => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > MAX_NESTING {
            return Some(offset);
        }
    }
    // Each "not" of a chain is a level of its own for the parser.
    let mut chain = 0;
    for word in text.split_whitespace() {
        chain = if word == "not" { chain + 1 } else { 0 };
        if chain > MAX_NESTING {
            return Some(0);
        }
    }
    None
}

/// Whether a client's address is in a network whose prefix has this many bits.
fn is_in_network(client: IpAddr, network: IpAddr, prefix_bits: u8) -> bool {
    let same_prefix = |a: u128, b: u128, width: u32| {
        let host_bits = width - u32::from(prefix_bits).min(width);
        // With a prefix of 0 bits every address is in the network.
        a.checked_shr(host_bits).unwrap_or(0) == b.checked_shr(host_bits).unwrap_or(0) || host_bits == width
    };
    match (client, network) {
        (IpAddr::V4(a), IpAddr::V4(b)) => same_prefix(u32::from(a).into(), u32::from(b).into(), 32),
        (IpAddr::V6(a), IpAddr::V6(b)) => same_prefix(a.into(), b.into(), 128),
        _ => false,
    }
}

/// Whether a statement begins with these words, in any case and with any white space between them.
fn starts_with_words(statement: &str, words: &str) -> bool {
    let mut statement = statement.split_whitespace();
    words.split_whitespace().all(|word| statement.next().is_some_and(|s| s.eq_ignore_ascii_case(word)))
}

// ---- Grammar: a parser for each nonterminal in the head of this module ----

type ParseResult<T> = winnow::ModalResult<T>;

/// A whole word of the language, after any white space.
fn keyword<'i>(text: &'static str) -> impl Parser<&'i str, &'i str, winnow::error::ErrMode<ContextError>> {
    let identifier = take_while(1.., |c: char| c.is_ascii_alphanumeric() || c == '_');
    preceded(multispace0, identifier.verify(move |found: &str| found == text))
}

/// A symbol of the language, after any white space.
fn symbol<'i>(text: &'static str) -> impl Parser<&'i str, &'i str, winnow::error::ErrMode<ContextError>> {
    preceded(multispace0, text)
}

/// Names what the grammar expects, for error messages.
fn expected(description: &'static str) -> StrContext {
    StrContext::Expected(StrContextValue::Description(description))
}

/// Combines operands by an operator; a single operand stands for itself.
fn combine(mut operands: Vec<Matcher>, operator: impl Fn(Vec<Matcher>) -> Matcher) -> Matcher {
    if operands.len() == 1 {
        operands.remove(0)
    } else {
        operator(operands)
    }
}

fn disjunction(input: &mut &str) -> ParseResult<Matcher> {
    let rest = repeat(0.., preceded(keyword("or"), cut_err(conjunction)));
    let (first, rest): (Matcher, Vec<Matcher>) = (conjunction, rest).parse_next(input)?;
    Ok(combine([vec![first], rest].concat(), Matcher::Any))
}

fn conjunction(input: &mut &str) -> ParseResult<Matcher> {
    let rest = repeat(0.., preceded(keyword("and"), cut_err(term)));
    let (first, rest): (Matcher, Vec<Matcher>) = (term, rest).parse_next(input)?;
    Ok(combine([vec![first], rest].concat(), Matcher::All))
}

fn term(input: &mut &str) -> ParseResult<Matcher> {
    alt((
        preceded(keyword("not"), cut_err(term)).map(|m| Matcher::Not(Box::new(m))),
        delimited(
            symbol("("),
            cut_err(disjunction),
            cut_err(symbol(")")).context(expected("a closing parenthesis")),
        ),
        keyword("always").value(Matcher::Always),
        class_test,
        group_test,
        attribute_test,
        client_test,
        preceded((keyword("user"), cut_err(symbol("=="))), cut_err(quoted_string)).map(Matcher::User),
        preceded((keyword("database"), cut_err(symbol("=="))), cut_err(quoted_string)).map(Matcher::Database),
        preceded((keyword("statement"), cut_err(keyword("starts"))), cut_err(quoted_string))
            .map(Matcher::Statement),
    ))
    .context(expected(
        "a test: class, group, has, client, user, database, statement, always, not, or a parenthesis",
    ))
    .parse_next(input)
}

/// A string in double quotes. There are no escapes, so that it cannot contain a quote.
fn quoted_string(input: &mut &str) -> ParseResult<String> {
    let quoted = delimited(symbol("\""), take_till(0.., |c| c == '"'), "\"");
    quoted.map(str::to_owned).context(expected("a quoted string")).parse_next(input)
}

fn number(input: &mut &str) -> ParseResult<u32> {
    preceded(multispace0, digit1.try_map(str::parse::<u32>)).context(expected("a number")).parse_next(input)
}

/// A list in square brackets with at least one element.
fn list<'i, T>(
    element: impl Parser<&'i str, T, winnow::error::ErrMode<ContextError>>,
) -> impl Parser<&'i str, Vec<T>, winnow::error::ErrMode<ContextError>> {
    delimited(
        symbol("[").context(expected("a list in square brackets")),
        cut_err(separated(1.., element, symbol(","))),
        cut_err(symbol("]")).context(expected("a comma or a closing square bracket")),
    )
}

fn class_test(input: &mut &str) -> ParseResult<Matcher> {
    let one = preceded(symbol("=="), cut_err(quoted_string)).map(|name| vec![name]);
    let several = preceded(keyword("in"), cut_err(list(quoted_string)));
    preceded(keyword("class"), cut_err(alt((one, several)).context(expected("== or in"))))
        .map(Matcher::Class)
        .parse_next(input)
}

/// A number or a range of numbers; a number is a range of one.
fn group_range(input: &mut &str) -> ParseResult<(u32, u32)> {
    let (from, to) = (number, opt(preceded(symbol(".."), cut_err(number)))).parse_next(input)?;
    Ok((from, to.unwrap_or(from)))
}

fn group_test(input: &mut &str) -> ParseResult<Matcher> {
    let one = preceded(symbol("=="), cut_err(number)).map(|n| vec![(n, n)]);
    let several = preceded(keyword("in"), cut_err(list(group_range)));
    preceded(keyword("group"), cut_err(alt((one, several)).context(expected("== or in"))))
        .map(Matcher::Group)
        .parse_next(input)
}

fn attribute_test(input: &mut &str) -> ParseResult<Matcher> {
    let attribute = alt((
        keyword("key").value(Matcher::Key),
        keyword("session").value(Matcher::Session),
        keyword("repeat").value(Matcher::Repeat),
    ));
    preceded(keyword("has"), cut_err(attribute.context(expected("key, session or repeat")))).parse_next(input)
}

fn client_test(input: &mut &str) -> ParseResult<Matcher> {
    let address = take_while(1.., |c: char| c.is_ascii_hexdigit() || c == '.' || c == ':');
    let address = preceded(multispace0, address.try_map(str::parse::<IpAddr>));
    let bits = digit1.try_map(str::parse::<u8>);
    let network = separated_pair(address, "/", bits)
        .verify(|(address, bits): &(IpAddr, u8)| *bits <= if address.is_ipv4() { 32 } else { 128 });
    preceded(
        (keyword("client"), cut_err(keyword("in"))),
        cut_err(network.context(expected("a network such as 10.0.0.0/8"))),
    )
    .map(|(address, bits)| Matcher::Client(address, bits))
    .parse_next(input)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn attributes() -> RequestAttributes<'static> {
        RequestAttributes {
            class: "view",
            group: 7,
            has_key: true,
            client: Some("10.1.2.3".parse().unwrap()),
            user: "web",
            statement: "SELECT  payload FROM entries",
            ..RequestAttributes::default()
        }
    }

    /// Guards against wrong precedence of `not`, `and` and `or`, against tests that hold for the wrong requests, and
    /// against a display that parses to another expression.
    #[test]
    fn expressions_follow_precedence_and_match_the_right_requests() {
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
            let matcher = Matcher::parse(text).unwrap_or_else(|e| panic!("{e}"));
            assert_eq!(matcher.matches(&attributes()), expected, "{text}");
            assert_eq!(
                Matcher::parse(&matcher.to_string()).unwrap().matches(&attributes()),
                expected,
                "{matcher}"
            );
            assert_eq!(matcher.failing_tests(&attributes()).is_empty(), expected, "{text}");
        }
    }

    /// Guards against parse errors that point to the wrong place or do not name what is expected there.
    #[test]
    fn parse_errors_name_what_is_expected_and_show_a_caret() {
        let cases = [
            ("class = \"view\"", 6, "== or in"),
            ("class == view", 9, "a quoted string"),
            ("group in [1, x]", 11, "a comma or a closing square bracket"),
            ("has kex", 4, "key, session or repeat"),
            ("client in 10.0.0.0/33", 10, "a network such as"),
            ("(always", 7, "a closing parenthesis"),
            ("always always", 7, "and, or, or the end"),
            ("always and", 10, "a test"),
            ("", 0, "a test"),
            ("group == 99999999999", 9, "a number"),
        ];
        for (text, offset, reason) in cases {
            let error = Matcher::parse(text).unwrap_err();
            assert!(error.reason.contains(reason), "{text:?}: {}", error.reason);
            assert_eq!(error.offset, offset, "{error}");
        }
        let displayed = Matcher::parse("has kex").unwrap_err().to_string();
        assert!(displayed.ends_with("  has kex\n      ^"), "{displayed}");
    }

    /// Guards against an expression that overflows the parser's stack.
    #[test]
    fn nesting_and_length_are_bounded() {
        let deep = |n: usize| format!("{}always{}", "(".repeat(n), ")".repeat(n));
        assert_eq!(Matcher::parse(&deep(32)), Ok(Matcher::Always));
        assert!(Matcher::parse(&deep(33)).unwrap_err().reason.contains("deeper"));
        assert!(Matcher::parse(&"not ".repeat(40)).unwrap_err().reason.contains("deeper"));
        assert!(Matcher::parse(&"x".repeat(5000)).unwrap_err().reason.contains("4096"));
    }

    /// Guards against reporting a route as unreachable that some request can reach: `covers` must not claim too much.
    #[test]
    fn covers_holds_only_where_the_form_of_the_expressions_proves_it() {
        let parse = |text: &str| Matcher::parse(text).unwrap();
        for (covering, covered, expected) in [
            ("always", "has key", true),
            ("class in [\"a\", \"b\"]", "class == \"a\" and has key", true),
            ("class == \"a\" and has key", "class == \"a\"", false),
            ("group in [1..9]", "group in [2, 4..5]", true),
            ("group in [1..9]", "group in [2, 14]", false),
            ("has key or class == \"a\"", "class == \"a\"", true),
            ("has key", "class == \"a\" or has key", false),
        ] {
            assert_eq!(parse(covering).covers(&parse(covered)), expected, "{covering} over {covered}");
        }
    }
}
