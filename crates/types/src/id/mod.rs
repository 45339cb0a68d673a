//! Identifiers.

mod job;
mod member;
mod shard;
mod task;

pub use job::{Job, ParseError};
pub use member::Member;
pub use shard::Shard;
pub use task::Task;

/// Counts the owners that a shard has had. It grows with every change of owner.
pub type Epoch = u64;

/// A revision of a value in the platform's store. Zero means "absent".
pub type Revision = u64;
