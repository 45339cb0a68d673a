//! Answers to callers.
//!
//! An answer states only what is certain: a job is accepted once it is durable, and a failure
//! says whether the work may have run.

use std::time::Duration;

use sycamore_types::outcome::Failure;
use sycamore_types::{Name, id};

use super::Status;
use crate::worker::Launch;

/// An answer to a call of a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Answer {
    /// The job is durable and will run.
    Accepted(id::Job),
    /// The status of a job.
    Status(Box<Status>),
    /// The request may be sent to this worker, until the monotonic time `not_after`.
    Dispatch {
        /// Host to send the request to.
        host: Name,
        /// Address of the worker.
        address: Name,
        /// What the worker needs to run the request as a task.
        launch: Box<Launch>,
        /// Monotonic time of this process after which nothing may be sent.
        not_after: Duration,
    },
    /// The call failed.
    Failed(Failure),
}
