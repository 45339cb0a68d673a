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

/// A job as its caller describes it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Spec {
    /// Queue that takes the job. Empty for the team's own queue.
    pub queue: Name,
    /// How the tasks relate to one another.
    pub kind: Kind,
    /// Number of tasks, or of instances of a service.
    pub tasks: u32,
    /// Declared size of each task.
    pub size: Resources,
    /// Which hosts may run the job.
    pub selector: Selector,
    /// Order within the team: higher goes first.
    pub priority: i32,
    /// Asks for the urgent class, which operators grant to teams.
    pub urgent: bool,
    /// A task may be stopped and started again without harm.
    pub restartable: bool,
    /// Declared run time of each task in milliseconds. Zero when unknown.
    pub run_ms: u64,
    /// Handed to the worker with each task.
    pub payload: String,
}

/// Tells which field of a job is unusable.
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
    /// Checks what can be told from the job alone.
    ///
    /// # Errors
    ///
    /// Names the first field that is out of its range.
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
