//! HTTP heads of interactive requests and of their responses.

use serde::{Deserialize, Serialize};
use sycamore_types::outcome::Failure;

/// The head of an HTTP request that is forwarded to a worker.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RequestHead {
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers that are forwarded.
    pub headers: Vec<Header>,
}

/// An HTTP header.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Header {
    /// Name of the header in lower case.
    pub name: String,
    /// Value of the header, unchanged.
    pub value: Vec<u8>,
}

/// The first frame of the response to an interactive request.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplyHead {
    /// The worker responded. The raw bytes of the response body follow.
    Answered {
        /// HTTP status code.
        status: u16,
        /// Headers that are forwarded to the caller.
        headers: Vec<Header>,
    },
    /// The request failed without a response from a worker.
    Failed(Failure),
}
