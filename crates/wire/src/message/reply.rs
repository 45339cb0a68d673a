use serde::{Deserialize, Serialize};
use sycamore_core::caller::Status;
use sycamore_types::id;
use sycamore_types::outcome::Failure;

/// The answer to a call that is no interactive request.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[non_exhaustive]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// The job is on record.
    Accepted(id::Job),
    /// What is known of a job.
    Status(Box<Status>),
    /// Messages were taken in.
    Taken,
    /// The call failed.
    Failed(Failure),
}
