use std::time::Duration;

use serde::{Deserialize, Serialize};
use sycamore_core::caller::{Request, Submission};
use sycamore_core::{peer, store};
use sycamore_types::config::Document;
use sycamore_types::id::{self, Revision};

use super::RequestHead;

/// A message from one process to another, with its sender.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PeerMessage {
    /// The sender.
    pub from: id::Member,
    /// The receiver. A process that has started anew drops what was meant
    /// for its predecessor.
    pub to: id::Member,
    /// The message.
    pub message: peer::Message,
}

/// The first frame of an interactive request.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct InteractiveRequest {
    /// What the decision core has to know.
    pub request: Request,
    /// What the worker has to know.
    pub head: RequestHead,
    /// Time left for the whole answer.
    pub timeout: Duration,
}

/// The first frame of a stream: what is asked.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[non_exhaustive]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// An interactive request. Raw bytes of its body follow.
    #[serde(rename = "start")]
    Request(Box<InteractiveRequest>),
    /// Hand in a job.
    Submit(Box<Submission>),
    /// Ask for the status of a job.
    Status(id::Job),
    /// Cancel a job.
    Cancel(id::Job),
    /// Messages of a peer.
    Peer(Vec<PeerMessage>),
    /// Compares configurations. A newer document that comes along is taken in.
    Config {
        /// Revision that the caller has in force.
        revision: Revision,
        /// The caller's document, if it thinks that it is the newer one.
        document: Option<Box<Document>>,
    },
    /// Carry out a call to the store for a process that can't reach it.
    Store(store::Op),
}
