//! Records of decisions: the proof of who was served first and why.

mod decision;
mod why;

pub use decision::{Decision, Verdict};
pub use why::Why;
