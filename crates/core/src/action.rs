//! The outputs of the decision core.
//!
//! The core performs no I/O itself: it returns actions, and the process around it carries
//! them out and feeds the results back as events. An action that starts work carries a time
//! limit, since a process may be paused between the decision and the send.

use std::time::Duration;

use sycamore_types::{Name, id};

use crate::caller::{Answer, Token};
use crate::record::Decision;
use crate::{peer, store, worker};

/// Identifies one call to the store or to a worker within one process.
pub type CallId = u64;

/// A side effect that the decision core asks the process around it to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Call the store and return the reply as [`Event::Store`](crate::Event::Store).
    Store {
        /// Identifies the call. The reply repeats it.
        call: CallId,
        /// Operation to call.
        op: store::Op,
    },
    /// Call a worker and return the reply as [`Event::Worker`](crate::Event::Worker).
    Worker {
        /// Identifies the call. The reply repeats it.
        call: CallId,
        /// Name of the host.
        host: Name,
        /// Address of the worker.
        address: Name,
        /// Operation to call.
        op: worker::Op,
    },
    /// Send a message to a peer. It may be lost.
    Peer {
        /// The receiver.
        to: id::Member,
        /// Address of the receiver.
        address: Name,
        /// The message.
        message: peer::Message,
    },
    /// Answer a caller.
    Answer {
        /// The call that is answered.
        token: Token,
        /// The answer.
        answer: Answer,
    },
    /// Append a decision to the decision records.
    Record(Decision),
    /// The planned stop is complete and the process may exit: nothing is left to hand over.
    Stopped,
}

impl Action {
    /// Returns the monotonic time after which the action must not be carried out.
    pub fn not_after(&self) -> Option<Duration> {
        match self {
            Action::Worker { op: worker::Op::Start { not_after, .. }, .. } => Some(*not_after),
            Action::Answer { answer: Answer::Dispatch { not_after, .. }, .. } => Some(*not_after),
            _ => None,
        }
    }
}
