//! Experiments on the emulator: plays a file over many seeds and kinds of routers, and writes what came of it as
//! tables and charts. Owns arguments, the order of plays, tables, charts; it models nothing and decides nothing.

pub mod capacity;
pub mod charts;
pub mod cli;
pub mod demo;
pub mod fleet;
pub mod measures;
pub mod plays;
pub mod scale;
pub mod settling;
pub mod tables;
