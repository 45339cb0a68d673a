//! Entry process: serves the HTTP interfaces for callers and operators.
//!
//! It authenticates calls and forwards them to the owners of shards. It keeps no state of its
//! own beyond copies of the configuration, the owners and the hosts, so any entry process can
//! serve any call, and a crash loses only the calls that are in flight through it.

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
