//! Messages that start a call.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use sycamore_core::caller::{Request, Submission};
use sycamore_core::{peer, store};
use sycamore_types::config::Document;
use sycamore_types::id::{self, Revision};

use super::RequestHead;

/// A message of the decision core to another process, with its sender and receiver.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PeerMessage {
    /// Process that sent the message.
    pub from: id::Member,
    /// Process that the message is meant for. A restarted process drops messages to
    /// its earlier incarnation.
    pub to: id::Member,
    /// Content of the message.
    pub message: peer::Message,
}

/// The first frame of an interactive request.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct InteractiveRequest {
    /// What the decision core needs to schedule the request.
    pub request: Request,
    /// Head of the HTTP request, forwarded to the worker.
    pub head: RequestHead,
    /// Time left for the head of the response. Its body has the same time again.
    pub timeout: Duration,
}

/// The first frame of a call, which states its purpose.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[non_exhaustive]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// Runs an interactive request. The raw bytes of its body follow.
    #[serde(rename = "start")]
    Request(Box<InteractiveRequest>),
    /// Submits a job.
    Submit(Box<Submission>),
    /// Queries the status of a job.
    Status(id::Job),
    /// Cancels a job.
    Cancel(id::Job),
    /// Delivers messages of the decision core.
    Peer(Vec<PeerMessage>),
    /// Compares configurations. The receiver adopts the document if it is newer.
    Config {
        /// Revision of the configuration in force at the caller.
        revision: Revision,
        /// The caller's document. Absent if only the revisions are compared.
        document: Option<Box<Document>>,
    },
    /// Calls the store on behalf of a process that can't reach it.
    Store(store::Op),
}
