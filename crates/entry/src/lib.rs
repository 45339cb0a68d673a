//! The entry process: the door for callers and operators.
//!
//! It knows who owns which shard, who may hand in what, and nothing else that
//! matters: any entry process can take any call, and one that dies loses no
//! more than the calls that it was passing on.

mod api;
mod arguments;
mod directory;
mod entry;
mod forward;
mod jobs;
mod membership;
mod metrics;
mod operator;
mod retry_budget;

pub use arguments::{Arguments, parser};
pub use entry::{Entry, Error};
