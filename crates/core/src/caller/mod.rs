//! Calls of callers to the owner of a shard, and the answers.
//!
//! A call is an event and its answer a later action, so each call carries a token that its
//! answer repeats.

mod answer;
mod request;
mod status;
mod submission;

pub use answer::Answer;
pub use request::{KeyHash, Request};
pub use status::{Progress, Status};
pub use submission::Submission;

/// Identifies one call of a caller within one process. The answer repeats it.
pub type Token = u64;
