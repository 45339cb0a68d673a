//! Workers, as the decision core sees them.
//!
//! A worker runs whatever it is told to run: it refuses neither an overload
//! nor a stale start. All care lies with the owner of the worker's shard.

mod op;
mod reply;
mod tag;

pub use op::{Launch, Op, StopMode};
pub use reply::{FinishedTask, Reply, Report, RunningTask};
pub use tag::Tag;
