//! The inputs of the decision core.
//!
//! Everything that the core learns from outside arrives as an event, one at a time, so a run
//! can be reproduced from its events and their times.

use sycamore_types::config::Document;
use sycamore_types::host::Host;
use sycamore_types::id::{self, Revision};

use crate::action::CallId;
use crate::caller::{Request, Submission, Token};
use crate::{peer, store, worker};

/// Whether an interactive request that was dispatched can still be running.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ending {
    /// The request no longer runs: the worker has replied, or the request never reached it.
    Finished,
    /// The worker may still be running the request.
    InDoubt,
}

/// An input to the decision core.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// The store replied.
    Store {
        /// The call that the reply belongs to.
        call: CallId,
        /// The reply.
        reply: store::Reply,
    },
    /// A worker replied.
    Worker {
        /// The call that the reply belongs to.
        call: CallId,
        /// The reply.
        reply: worker::Reply,
    },
    /// A peer sent a message.
    Peer {
        /// The sender.
        from: id::Member,
        /// The message.
        message: peer::Message,
    },
    /// The platform's list of hosts was read.
    Hosts(Vec<Host>),
    /// A configuration was read from the store.
    Config {
        /// Revision of the document.
        revision: Revision,
        /// The document.
        document: Box<Document>,
    },
    /// The owners document was seen to change in the store.
    OwnersChanged,
    /// A caller submits a job.
    Submit {
        /// Identifies the caller's call.
        token: Token,
        /// The job.
        submission: Submission,
    },
    /// A caller makes an interactive request.
    Request {
        /// Identifies the caller's call.
        token: Token,
        /// The request.
        request: Request,
    },
    /// An interactive request that was dispatched has ended, or its connection has failed.
    Ended {
        /// Identifies the caller's call.
        token: Token,
        /// Whether the request can still be running.
        ending: Ending,
    },
    /// The caller of an interactive request disconnected.
    Gone {
        /// Identifies the caller's call.
        token: Token,
    },
    /// A caller queries the status of a job.
    Status {
        /// Identifies the caller's call.
        token: Token,
        /// The job.
        job: id::Job,
    },
    /// A caller cancels a job.
    Cancel {
        /// Identifies the caller's call.
        token: Token,
        /// The job.
        job: id::Job,
    },
    /// The process was told to stop.
    Stop,
}
