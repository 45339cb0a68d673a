//! The durable log of a shard.
//!
//! Accepted jobs, starts that must not be repeated, finished tasks,
//! cancellations and idempotency keys are written to the store in pages.
//! Entries that arrive while a page is being written go into the next page, so
//! the write rate is bounded by the store's latency and a minimum interval
//! between pages, not by the rate of work.
//!
//! Pages are written by compare-and-swap to a ring of [`PAGE_SLOTS`] keys, so a
//! shard takes bounded space and nothing has to be deleted. No page is
//! overwritten before a snapshot covers it. A new owner first writes a page of
//! its own, the barrier: from then on every page that the previous owner tries
//! to write conflicts.

mod entry;
mod page;
mod snapshot;
mod writer;

pub use entry::Entry;
pub use page::Page;
pub use snapshot::{KeyState, SavedJob, SavedKey, Snapshot};

pub(crate) use writer::{AfterCommit, LogOutcome, Writer};

/// Number of keys in the ring that holds the pages of one shard.
pub const PAGE_SLOTS: u64 = 256;
