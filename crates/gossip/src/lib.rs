//! Epidemic dissemination of member state between routers, within a budget of bytes and free of I/O.
//!
//! Each router pushes what is new to a few random peers in each round, and now and then compares digests with one. Changes
//! of role go before positions, and are forwarded; positions get what is left of the budget, and are not.
//! Events and the clock come in, messages to send come out. Whatever is lost costs time only: no rule rests on it.
//! Sources: Demers et al., "Epidemic algorithms for replicated database maintenance", 1987 (rumour mongering,
//! anti-entropy); Das, Gupta and Motivala, "SWIM", 2002 (bounded retransmission of piggybacked updates).

mod budget;
mod digest;
mod policy;
mod spread;
mod state;

pub use budget::ByteBudget;
pub use digest::{Digest, BUCKETS};
pub use policy::{Fault, Policy};
pub use spread::{Gossip, Message, PeerNumber, Send};
pub use state::{MemberState, MemberTag, StateTable, Update};
