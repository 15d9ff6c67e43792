//! Epidemic dissemination of member state between routers, within a byte budget and free of I/O.
//!
//! In each round a router pushes its news to a few random peers, and from time to time it compares digests with one
//! peer. Changes of role have priority over positions, and receivers forward them. Positions get what is left of the
//! budget, and are not forwarded.
//!
//! The crate takes events and the time, and returns messages to send. A lost message only costs time: no guarantee of
//! the router depends on gossip.
//!
//! Sources: Demers et al., "Epidemic algorithms for replicated database maintenance", 1987 (rumour mongering,
//! anti-entropy); Das, Gupta and Motivala, "SWIM", 2002 (bounded retransmission of piggybacked updates).

mod budget;
mod digest;
mod policy;
mod protocol;
mod state;

pub use budget::ByteBudget;
pub use digest::{Digest, BUCKETS};
pub use policy::{Policy, PolicyError};
pub use protocol::{AddressedMessage, Gossip, Message, PeerIndex};
pub use state::{MemberState, MemberTag, StateTable, Update};
