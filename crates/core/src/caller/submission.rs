//! Submissions of jobs.
//!
//! The identifier is drawn before the job reaches its owner, so that a submission whose answer
//! was lost can be sent again without creating a second job.

use serde::{Deserialize, Serialize};
use sycamore_types::job::Spec;
use sycamore_types::{Name, id};

/// A job that a caller submits.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Submission {
    /// Identifier that the entry process drew. Submitting the same one again has no effect.
    pub id: id::Job,
    /// Team that the job is charged to.
    pub team: Name,
    /// The job itself, with the selector of its queue merged in.
    pub spec: Spec,
}
