//! What callers ask of a shard's owner, and what they are told.

mod answer;
mod request;
mod status;
mod submission;

pub use answer::Answer;
pub use request::{KeyHash, Request};
pub use status::{Progress, Status};
pub use submission::Submission;

/// Identifies one call of a caller within one process.
pub type Token = u64;
