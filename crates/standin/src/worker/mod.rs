//! Simulated workers that carry out every start and count the violations.
//!
//! A worker runs a task by waiting for its declared run time. If the payload of a task
//! (`team=NAME`) or the header `x-expect-team` of a request names a team, a start for another
//! team counts as a violation.

mod run_tracker;
mod server;
mod state;

pub use run_tracker::{RunTracker, Violations};
pub use server::{Faults, Worker};
