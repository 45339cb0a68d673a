//! The configuration in force in one process, and how it gets there.
//!
//! A change reaches a process on three ways: a watch on the store, a push by
//! the entry process that made it, and an exchange with a random peer once a
//! second. The last one also serves a process that the store can't reach and
//! one that starts while the store is down. On every way the same rule holds:
//! a revision replaces a lower one only.

mod current;
mod exchange;
mod follow;

pub use current::{Current, Rollout};
pub use exchange::{EXCHANGE, gossip, push};
pub use follow::follow;
