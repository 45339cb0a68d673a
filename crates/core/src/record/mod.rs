//! Records of scheduling decisions, which show what was served first and why.

mod decision;
mod grounds;
mod start_reason;

pub use decision::{Decision, Verdict};
pub use grounds::Grounds;
pub use start_reason::StartReason;
