//! Limits on file descriptors: how many connections of clients and of members may be open, so that neither kind can use up
//! the descriptors of the other.

use crate::permit_pool::PermitPool;

/// Number of descriptors reserved for everything else: calls to discovery (sixteen at most, eight to each of two addresses while the address
/// changes), the socket for peers, the reactor, signals, the listener, the standard streams, a file that is being read, and
/// one connection that is accepted in advance.
const RESERVED: usize = 32;

/// The permits for connections of both kinds.
pub struct Descriptors {
    /// For connections of clients.
    pub clients: PermitPool,
    /// For connections to members. These are fewer, since a waiting request occupies a client connection but none to a
    /// member.
    pub members: PermitPool,
}

impl Descriptors {
    /// Divides the number of descriptors that the process may have open.
    pub fn divide(sockets: usize) -> Self {
        let free = sockets.saturating_sub(RESERVED).max(2);
        let members = (free * 2 / 5).max(1);
        Descriptors { clients: PermitPool::new(free - members), members: PermitPool::new(members) }
    }
}
