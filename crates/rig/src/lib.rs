//! Many processes of the program on loopback, with the emulator's fleet around them: one model of members, logs, lists,
//! clients and faults, here on the machine's clock and on sockets.
//!
//! Owns the processes that it starts, every socket that they reach, and the audit of what members and clients saw. It never
//! takes a router's decision, never asks a router about itself, and never touches a process that it did not start.
//!
//! Every way of a process leads through here: clients' connections, its agent of discovery, a listener of its own for each
//! member, and datagrams by way of a hub. So the day's faults act on any of them, by direction, without rights on the
//! machine's network.

mod agent;
mod clients;
mod config;
pub mod embedded;
mod hub;
mod mail;
mod play;
mod process;
mod spawner;
mod store;
pub mod wire;

pub use play::{run, run_fleet, Fleet, Outcome, Progress};
pub use process::{Process, Program};
