//! Limits of time and count for a client's connection.

use std::time::Duration;

/// A connection is closed if its client takes no output for this long.
pub const OUTPUT_STALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Time within which a new connection's first request has to be complete, and any later message once it has
/// begun.
pub const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);
/// A connection without a request for this long is closed.
pub(super) const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// The same once the driver shuts down. A client that sends requests more often keeps being served.
pub(super) const SHUTDOWN_IDLE_TIMEOUT: Duration = Duration::from_secs(1);
/// A connection that has just begun, begun a message, or been answered is not evicted for this long: its next request may be on
/// its way.
pub const EVICTION_GRACE: Duration = Duration::from_millis(100);
/// Messages in a row that are no requests, after which a connection is closed.
pub(super) const MAX_CONSECUTIVE_NON_REQUESTS: u32 = 16;
/// Requests of one connection that may be open at the same time. Further ones stay unread.
pub const MAX_OPEN_REQUESTS: usize = 64;
/// How long a connection reads on after the shutdown of its sending side, until its client closes it. Closing
/// a socket with unread input resets the connection, and that may destroy output that the client has not read
/// yet.
pub const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// How many bytes it reads in that time at most.
pub const MAX_LINGER_BYTES: usize = 256 * 1024;
/// Interval at which the socket is polled for a disconnection while its input is not read.
pub const DISCONNECT_CHECK_INTERVAL: Duration = Duration::from_millis(25);
