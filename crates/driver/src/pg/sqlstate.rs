//! The SQLSTATE codes that this program sends or acts on.

/// There are too many connections. Clients also get it when a request is refused.
pub const TOO_MANY_CONNECTIONS: &str = "53300";
/// A write reached a member that is not the primary.
pub const READ_ONLY: &str = "25006";
/// A read reached a member that lags too far behind.
pub const SNAPSHOT_TOO_OLD: &str = "72000";
/// The other side sent something that violates the protocol.
pub const PROTOCOL_VIOLATION: &str = "08P01";
/// A part of the protocol that is not supported.
pub const FEATURE_NOT_SUPPORTED: &str = "0A000";
/// A statement that can't be parsed.
pub const SYNTAX_ERROR: &str = "42601";
/// A value that can't be parsed.
pub const INVALID_PARAMETER_VALUE: &str = "22023";
/// An unknown name.
pub const UNDEFINED_OBJECT: &str = "42704";
/// Another request has this id.
pub const DUPLICATE_OBJECT: &str = "42710";
/// A message that is longer than allowed.
pub const PROGRAM_LIMIT_EXCEEDED: &str = "54000";
/// The driver no longer accepts connections.
pub const CANNOT_CONNECT_NOW: &str = "57P03";
/// The client cancelled its statement.
pub const QUERY_CANCELED: &str = "57014";
/// Whether the statement took effect is not known.
pub const COMPLETION_UNKNOWN: &str = "40003";
