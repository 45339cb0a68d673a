//! The configuration in force in one process, and how it gets there.
//!
//! A change reaches a process on three ways: a watch on the store, a push by
//! the entry process that made it, and an exchange with a random peer once a
//! second. The last one also serves a process that the store can't reach and
//! one that starts while the store is down. On every way the same rule holds:
//! a revision replaces a lower one only.

mod current;
mod follow;
mod gossip;

pub use current::{CurrentConfig, Rollout};
pub use follow::follow;
pub use gossip::{gossip, push};
