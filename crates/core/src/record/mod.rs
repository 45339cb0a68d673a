//! Records of decisions: the proof of who was served first and why.

mod decision;
mod grounds;
mod why;

pub use decision::{Decision, Verdict};
pub use grounds::Grounds;
pub use why::StartReason;
