//! Validation of submitted jobs: limits on their size, and the order of their steps.
//!
//! The engine relies on it. Since each step depends on earlier ones only, the graph has no
//! cycles and one pass over the steps visits it in order.

use displaydoc::Display;

use super::Spec;

/// Longest payload of a job, in bytes. Limit of the platform.
const MAX_PAYLOAD_BYTES: usize = 4_000;

/// Largest number of steps of a job. Bounds the memory that one caller can use.
pub const MAX_STEPS: usize = 256;

/// Largest number of tasks of one occurrence. Bounds the memory that one caller can use.
pub(crate) const MAX_TASKS: u32 = 10_000;

/// Why the specification of a job is invalid.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[non_exhaustive]
pub enum SpecError {
    /// the payload is longer than 4000 bytes
    Payload,
    /// a job has between 1 and 256 steps
    Steps,
    /// step {0} has no tasks
    NoTasks(usize),
    /// a job has at most 10000 tasks
    Tasks,
    /// a job with long-running tasks has at most 10000 tasks at all its times
    ServiceTasks,
    /// A step depends on itself or on a later step.
    #[displaydoc("step {0} may only come after earlier steps")]
    After(usize),
    /// A schedule with several occurrences has an interval of zero.
    #[displaydoc("a job that runs at set times needs an interval")]
    Interval,
}

impl std::error::Error for SpecError {}

impl Spec {
    /// Checks the specification by itself, without the configuration.
    ///
    /// # Errors
    ///
    /// Returns the first violation found.
    pub fn check(&self) -> Result<(), SpecError> {
        if self.payload.len() > MAX_PAYLOAD_BYTES {
            return Err(SpecError::Payload);
        }
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            return Err(SpecError::Steps);
        }
        for (at, step) in self.steps.iter().enumerate() {
            if step.tasks == 0 {
                return Err(SpecError::NoTasks(at));
            }
            if step.after.iter().any(|earlier| usize::from(*earlier) >= at) {
                return Err(SpecError::After(at));
            }
        }
        let occurrences = match self.schedule {
            // Those of services stay, while others are over at some time.
            Some(schedule) if self.steps.iter().any(|step| step.is_service) => schedule.occurrences,
            _ => 1,
        };
        if self.tasks() > u64::from(MAX_TASKS) {
            return Err(SpecError::Tasks);
        }
        if self.tasks() * u64::from(occurrences) > u64::from(MAX_TASKS) {
            return Err(SpecError::ServiceTasks);
        }
        match self.schedule {
            Some(schedule) if schedule.occurrences > 1 && schedule.interval_ms == 0 => {
                Err(SpecError::Interval)
            }
            _ => Ok(()),
        }
    }
}
