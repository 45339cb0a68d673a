use sycamore_types::config::Document;
use sycamore_types::host::Host;
use sycamore_types::id::{self, Revision};

use crate::action::CallId;
use crate::caller::{Request, Submission, Token};
use crate::{peer, store, worker};

/// How an interactive request ended on its worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ending {
    /// The worker answered, or the request certainly never reached it.
    Finished,
    /// The worker may still be at work on the request.
    InDoubt,
}

/// Something that happened outside the decision core.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// The store replied.
    Store {
        /// The call.
        call: CallId,
        /// The reply.
        reply: store::Reply,
    },
    /// A worker replied.
    Worker {
        /// The call.
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
    /// A configuration that is on record in the store was seen.
    Config {
        /// Revision of the document.
        revision: Revision,
        /// The document.
        document: Box<Document>,
    },
    /// A value was seen to change in the store.
    OwnersChanged,
    /// A caller hands in a job.
    Submit {
        /// The caller's call.
        token: Token,
        /// The job.
        submission: Submission,
    },
    /// A caller makes an interactive request.
    Request {
        /// The caller's call.
        token: Token,
        /// The request.
        request: Request,
    },
    /// An interactive request that was dispatched has ended.
    Ended {
        /// The caller's call.
        token: Token,
        /// How it ended.
        ending: Ending,
    },
    /// A caller went away.
    Gone {
        /// The caller's call.
        token: Token,
    },
    /// A caller asks for the status of a job.
    Status {
        /// The caller's call.
        token: Token,
        /// The job.
        job: id::Job,
    },
    /// A caller cancels a job.
    Cancel {
        /// The caller's call.
        token: Token,
        /// The job.
        job: id::Job,
    },
    /// The process was told to stop.
    Stop,
}
