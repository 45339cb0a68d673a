use serde::{Deserialize, Serialize};
use sycamore_core::caller::Status;
use sycamore_core::store;
use sycamore_types::config::Document;
use sycamore_types::id::{self, Revision};
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
    #[serde(rename = "taken")]
    Received,
    /// The configuration in force.
    Config {
        /// Its revision.
        revision: Revision,
        /// The document, if it is newer than the caller's.
        document: Option<Box<Document>>,
    },
    /// What came of a call to the store.
    Store(store::Reply),
    /// The call failed.
    Failed(Failure),
}
