use serde::{Deserialize, Serialize};
use sycamore_types::id::{self, Epoch};

use crate::caller::{KeyHash, Submission};

/// One durable fact.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Entry {
    /// A new owner begins. Pages of earlier epochs end here.
    Barrier(Epoch),
    /// Idempotency keys that were taken in before may be missing from the log.
    Gap,
    /// A job is on record.
    Accepted(Submission),
    /// A task that must not run twice may be sent to a worker.
    Started {
        /// The job.
        job: id::Job,
        /// Index of the task.
        index: u32,
    },
    /// A task that was to be started certainly was not.
    NotStarted {
        /// The job.
        job: id::Job,
        /// Index of the task.
        index: u32,
    },
    /// A task of a job has ended for good.
    Finished {
        /// The job.
        job: id::Job,
        /// Index of the task.
        index: u32,
        /// It ended well.
        is_success: bool,
    },
    /// A job was cancelled.
    Cancelled(id::Job),
    /// A request with this idempotency key may be sent to a worker.
    Key(KeyHash),
    /// The request with this idempotency key certainly was not run.
    KeyReleased(KeyHash),
}
