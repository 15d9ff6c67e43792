//! Times and counts that bound a client's connection.

use std::time::Duration;

/// A client that takes nothing of its answer for so long is gone.
pub const WRITE_WAIT: Duration = Duration::from_secs(5);
/// A new connection's first request is whole within this, as is any message once it has begun.
pub const MESSAGE_WAIT: Duration = Duration::from_secs(2);
/// A connection without a request for so long ends.
pub(super) const IDLE_WAIT: Duration = Duration::from_secs(20);
/// The same once the driver is asked to end: who asks again sooner keeps being served.
pub(super) const LEAVING_IDLE_WAIT: Duration = Duration::from_secs(1);
/// What has just begun, a connection or a message, is not asked to make room for so long.
pub const SPARED: Duration = Duration::from_millis(100);
/// Messages in a row that are no requests end a connection.
pub(super) const MAX_USELESS: u32 = 16;
/// Requests of one connection that may be open at once; further ones wait to be read.
pub const MAX_OPEN: usize = 64;
/// After its own shutdown a connection takes in so much for so long, until its client ends it: closing over unread
/// input resets the connection, which may destroy what the client was told.
pub const LINGER: Duration = Duration::from_millis(500);
/// The bytes of that.
pub const LINGER_BYTES: usize = 256 * 1024;
/// Where its input is not read, a client's departure is looked for this often.
pub const DEPARTURE_CHECK: Duration = Duration::from_millis(25);
