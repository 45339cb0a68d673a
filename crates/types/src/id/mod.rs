//! Identifiers of shards, members, jobs and task attempts.
//!
//! Their displayed forms occur in stored data and in URLs, so they must not change.

mod job;
mod member;
mod shard;
mod task;

pub use job::{Job, ParseError};
pub use member::Member;
pub use shard::Shard;
pub use task::Task;

/// Sequence number of the owner of a shard. Grows with each change of owner.
pub type Epoch = u64;

/// A revision of a value in the platform's store. Zero means that the value is absent.
pub type Revision = u64;
