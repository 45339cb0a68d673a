use serde::{Deserialize, Serialize};
use sycamore_types::outcome::Failure;

/// The head of an HTTP request or answer that is passed on.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RequestHead {
    /// Method of the request.
    pub method: String,
    /// Path with the query.
    pub path: String,
    /// Headers that are passed on.
    pub headers: Vec<Header>,
}

/// One header.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Header {
    /// Name in lower case.
    pub name: String,
    /// Value as it was sent.
    pub value: Vec<u8>,
}

/// The first frame of the answer to an interactive request.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplyHead {
    /// The worker answers. Raw bytes of its answer follow.
    Answered {
        /// Status of the answer.
        status: u16,
        /// Headers that are passed on.
        headers: Vec<Header>,
    },
    /// The request was not answered.
    Failed(Failure),
}
