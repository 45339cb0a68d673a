use serde::{Deserialize, Serialize};
use sycamore_types::job::Spec;
use sycamore_types::{Name, id};

/// A job that a caller hands in.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Submission {
    /// Identifier that the entry host drew. Handing in the same one again is harmless.
    pub id: id::Job,
    /// Team that the job counts for.
    pub team: Name,
    /// The job itself, with the selector of its queue merged in.
    pub spec: Spec,
}
