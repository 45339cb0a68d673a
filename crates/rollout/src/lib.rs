//! Holds the configuration in force in one process and keeps it up to date.
//!
//! A change reaches a process in three ways: by a watch on the store, by a push from the entry
//! process that wrote it, and by gossip with a random peer once a second. Gossip also reaches a
//! process that is cut off from the store and one that starts while the store is down. In all
//! three cases a configuration is replaced only by one with a higher revision.

mod current;
mod follow;
mod gossip;

pub use current::{CurrentConfig, Rollout};
pub use follow::follow;
pub use gossip::{gossip, push};
