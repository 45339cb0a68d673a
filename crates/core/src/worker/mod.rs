//! Calls to workers.
//!
//! A worker runs whatever it is told to run: it refuses neither an overload
//! nor a stale start. The owner of the worker's shard has to prevent both.

mod op;
mod reply;
mod tag;

pub use op::{Launch, Op, StopMode};
pub use reply::{FinishedTask, Reply, Report, RunningTask};
pub use tag::Tag;
