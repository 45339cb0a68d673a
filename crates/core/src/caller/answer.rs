use std::time::Duration;

use sycamore_types::outcome::Failure;
use sycamore_types::{Name, id};

use super::Status;
use crate::worker::Launch;

/// What a caller's process is told.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Answer {
    /// The job is on record and will run.
    Accepted(id::Job),
    /// What is known of a job.
    Status(Box<Status>),
    /// The request may be sent to this worker, until the monotonic time `not_after`.
    Dispatch {
        /// Host to send the request to.
        host: Name,
        /// Address of the worker.
        address: Name,
        /// Identity and note of the task that answers the request.
        launch: Box<Launch>,
        /// Monotonic time of this process after which nothing may be sent.
        not_after: Duration,
    },
    /// The work was not answered.
    Failed(Failure),
}
