//! The proof of who was served first: decision records in hash chains.
//!
//! Each owner of a shard chains its decisions: every record carries the hash
//! of the one before, and the hash of the newest goes to the platform's store
//! every few seconds as the [`Head`]. A collected stream that was changed,
//! shortened, reordered or added to no longer agrees with itself or with the
//! heads. What was decided after the last head of an owner that died can be
//! cut off unseen; that is at most one [`HEAD_INTERVAL`].

mod chain;
mod explain;
mod finding;
mod head;
mod record;
mod verify;

pub use chain::Chain;
pub use explain::explain;
pub use finding::Finding;
pub use head::{HEAD_INTERVAL, Head, Heads};
pub use record::{Hash, Record};
pub use verify::verify;
