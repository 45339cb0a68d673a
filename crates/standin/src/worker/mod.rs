//! Stand-ins for workers.
//!
//! A worker runs tasks by waiting for their declared run time. A task whose
//! payload or request names a team (`team=NAME`, or the header `x-expect-team`)
//! counts as a violation when it is started for another one.

mod run_tracker;
mod server;
mod state;

pub use run_tracker::{RunTracker, Violations};
pub use server::{Faults, Worker};
