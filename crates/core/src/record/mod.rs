//! Records of scheduling decisions, which show what was started first and why.
//!
//! They are returned as actions and are not part of a shard's log, so the next owner does not
//! depend on them.

mod decision;
mod grounds;
mod start_reason;

pub use decision::{Decision, Verdict};
pub use grounds::Grounds;
pub use start_reason::StartReason;
