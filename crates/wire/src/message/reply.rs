//! Responses to calls that consist of a single frame.

use serde::{Deserialize, Serialize};
use sycamore_core::caller::Status;
use sycamore_core::store;
use sycamore_types::config::Document;
use sycamore_types::id::{self, Revision};
use sycamore_types::outcome::Failure;

/// The response to any call but an interactive request.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[non_exhaustive]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// The job is durable.
    Accepted(id::Job),
    /// Status of a job.
    Status(Box<Status>),
    /// The messages were received.
    #[serde(rename = "taken")]
    Received,
    /// Configuration in force at the responding process.
    Config {
        /// Revision of the configuration.
        revision: Revision,
        /// The document, if it is newer than the caller's.
        document: Option<Box<Document>>,
    },
    /// Result of a call to the store.
    Store(store::Reply),
    /// The call failed.
    Failed(Failure),
}
