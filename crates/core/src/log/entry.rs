//! Entries of a shard's log.
//!
//! An entry is durable before the action that it permits: the start of a task that must not run
//! twice, or the use of an idempotency key. The exception is a key that is accepted during a
//! store outage, which is logged afterwards. Entries are stored in bincode, so variants and
//! fields must keep their order.

use serde::{Deserialize, Serialize};
use sycamore_types::id::{self, Epoch};

use crate::caller::{KeyHash, Submission};

/// One entry of a shard's log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Entry {
    /// First entry of a new owner. No page of an earlier epoch follows it.
    Barrier(Epoch),
    /// Idempotency keys that were accepted before this entry may be missing from the log.
    Gap,
    /// A job was accepted.
    Accepted(Submission),
    /// A task that must not run twice may be sent to a worker from now on.
    Started {
        /// The job.
        job: id::Job,
        /// Index of the task.
        index: u32,
    },
    /// A task with an [`Entry::Started`] entry was certainly not started.
    NotStarted {
        /// The job.
        job: id::Job,
        /// Index of the task.
        index: u32,
    },
    /// A task of a job has ended and will not run again.
    Finished {
        /// The job.
        job: id::Job,
        /// Index of the task.
        index: u32,
        /// Whether the task succeeded.
        is_success: bool,
    },
    /// A job was cancelled.
    Cancelled(id::Job),
    /// A request with this idempotency key may be sent to a worker from now on.
    Key(KeyHash),
    /// The request with this idempotency key certainly did not run; the key may be used again.
    KeyReleased(KeyHash),
}
