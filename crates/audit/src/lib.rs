//! Tamper-evident decision records: which work was served first, and why.
//!
//! Each owner of a shard keeps its decisions in a hash chain: every record contains the hash of
//! the previous one, and the hash of the newest record is written to the platform's store every
//! few seconds as the [`Head`]. A collected stream that was changed, truncated, reordered or
//! extended is inconsistent in itself or contradicts the heads. Decisions after the last head of
//! an owner that crashed can be removed unnoticed; they span at most one [`HEAD_INTERVAL`].

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
