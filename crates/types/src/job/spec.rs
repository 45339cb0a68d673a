//! The specification of a job, and the checks that need nothing but the specification.
//!
//! Checks that depend on the configuration or on the hosts are made by the callers of
//! this crate.

use displaydoc::Display;
use serde::{Deserialize, Serialize};

use super::Kind;
use crate::Name;
use crate::resources::Resources;
use crate::selector::Selector;

/// Largest number of tasks in one job.
pub const MAX_TASKS: u32 = 10_000;

/// Largest payload of a job, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 16 * 1024;

/// A job as the caller submits it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Spec {
    /// Queue that the job is submitted to. Empty for the team's own queue.
    pub queue: Name,
    /// How the tasks are scheduled in relation to one another.
    pub kind: Kind,
    /// Number of tasks, or of instances of a service.
    pub tasks: u32,
    /// Resources that each task occupies, as declared by the caller.
    pub size: Resources,
    /// Hosts that may run the job.
    pub selector: Selector,
    /// Priority within the team. Higher values are scheduled first.
    pub priority: i32,
    /// Whether the job is urgent. Operators grant this permission to teams.
    pub urgent: bool,
    /// Whether a task can be stopped and started again without harm.
    pub restartable: bool,
    /// Run time of each task in milliseconds, as declared by the caller. Zero if unknown.
    pub run_ms: u64,
    /// Text that is sent to the worker with each task.
    pub payload: String,
}

/// Which field of a job is invalid.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[non_exhaustive]
pub enum SpecError {
    /// field `tasks` must lie between 1 and 10000
    Tasks,
    /// field `size.slots` must be at least 1
    Slots,
    /// field `payload` is longer than 16384 bytes
    Payload,
    /// field `urgent` is not granted to this team
    Urgent,
}

impl std::error::Error for SpecError {}

impl Spec {
    /// Checks the number of tasks, the slots of each task and the payload size.
    ///
    /// # Errors
    ///
    /// Names the first field that is out of range.
    pub fn check(&self) -> Result<(), SpecError> {
        if !(1..=MAX_TASKS).contains(&self.tasks) {
            return Err(SpecError::Tasks);
        }
        if self.size.slots == 0 {
            return Err(SpecError::Slots);
        }
        if self.payload.len() > MAX_PAYLOAD_BYTES {
            return Err(SpecError::Payload);
        }
        Ok(())
    }
}
