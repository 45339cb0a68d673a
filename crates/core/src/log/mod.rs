//! The durable log of a shard.
//!
//! Accepted jobs, finished tasks, cancellations and idempotency keys are
//! written to the store in pages. Everything that arrives while a page is on
//! its way goes into the next one, so the number of writes is bounded by the
//! store's latency and a minimal gap, not by the rate of work.
//!
//! Pages go round a ring of [`SLOTS`] keys by compare-and-swap, so a shard
//! never takes more space and nothing has to be deleted. A snapshot is written
//! before a page could be overwritten that it does not cover. A new owner
//! first writes a page of its own, the barrier: from then on every page of the
//! owner before it conflicts.

mod entry;
mod page;
mod snapshot;
mod writer;

pub use entry::Entry;
pub use page::Page;
pub use snapshot::{KeyState, SavedJob, SavedKey, Snapshot};

pub(crate) use writer::{AfterCommit, LogOutcome, Writer};

/// Number of keys that the pages of one shard go round.
pub const SLOTS: u64 = 256;
