//! Access to the control thread from the other threads of the process.
//!
//! The channel is unbounded, so that sending never blocks the async tasks. Callers wait for
//! their answer, events need none.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Sender;

use sycamore_graph::{Answer, Event, Record, job};
use sycamore_types::Name;
use tokio::sync::oneshot;

use super::Shared;
use super::advice::Callers;
use super::listing::Addresses;
use crate::config::Evacuated;
use crate::node::Node;
use crate::peer::{CallerRequest, RequestOutcome};
use crate::timing::UNCONFIRMED_DENIAL_TIME;

/// A message to the control thread.
#[derive(Debug)]
pub(super) enum Input {
    Event(Event),
    /// The evacuated failure domains have changed.
    Evacuated(Evacuated),
    /// A caller's request.
    Request {
        request: CallerRequest,
        respond: oneshot::Sender<RequestOutcome>,
    },
    /// Asks for records that replace all earlier log records of some jobs, workers and queues, and
    /// of the past use of the teams if that is wanted.
    Snapshots {
        jobs: Vec<job::Id>,
        hosts: Vec<Name>,
        queues: Vec<Name>,
        with_team_use: bool,
        respond: oneshot::Sender<Vec<Record>>,
    },
    /// Ends the thread.
    Stop,
}

/// Sends messages to the control thread of the owner in this process.
#[derive(Clone, Debug)]
pub(crate) struct Handle {
    /// Fencing token of the owner.
    pub epoch: u64,
    pub(super) addresses: Arc<Addresses>,
    control: Sender<Input>,
    shared: Arc<Shared>,
}

impl Handle {
    pub(super) fn new(epoch: u64, control: Sender<Input>, shared: Arc<Shared>) -> Handle {
        Handle { epoch, addresses: Arc::default(), control, shared }
    }

    /// Returns the hosts that make calls for advice.
    pub(super) fn callers(&self) -> &Callers {
        &self.shared.callers
    }

    /// Sends an event to the engine. Has no effect once the control thread has ended.
    pub(super) fn send(&self, event: Event) {
        let _ = self.control.send(Input::Event(event));
    }

    /// Passes the evacuated failure domains to the engine.
    pub(super) fn evacuate(&self, evacuated: Evacuated) {
        let _ = self.control.send(Input::Evacuated(evacuated));
    }

    /// Returns whether log writes have been failing for a while.
    pub fn is_store_unavailable(&self) -> bool {
        self.shared.is_store_unavailable.load(Ordering::Relaxed)
    }

    pub(super) fn stop(&self) {
        let _ = self.control.send(Input::Stop);
    }

    /// Returns the answer to a caller's request.
    ///
    /// Refuses submissions and cancellations at once while the log can't be written, since
    /// they are answered only when they are durable. Denies that a job exists only while no
    /// successor can have accepted it long ago.
    pub async fn ask(&self, request: CallerRequest, node: &Node) -> RequestOutcome {
        let outcome = self.ask_engine(request).await;
        if !matches!(outcome, RequestOutcome::NoSuchJob)
            || self.shared.is_recently_confirmed(UNCONFIRMED_DENIAL_TIME)
        {
            return outcome;
        }
        match self.shared.confirm(&node.store).await {
            Ok(true) => outcome,
            Ok(false) => {
                node.outranked.notify_waiters();
                RequestOutcome::NotOwner
            }
            Err(_) => RequestOutcome::StoreAway,
        }
    }

    async fn ask_engine(&self, request: CallerRequest) -> RequestOutcome {
        let must_be_durable =
            matches!(request, CallerRequest::Submit { .. } | CallerRequest::Cancel { .. });
        if must_be_durable && self.is_store_unavailable() {
            return RequestOutcome::StoreAway;
        }
        let (respond, answer) = oneshot::channel();
        if self.control.send(Input::Request { request, respond }).is_err() {
            return RequestOutcome::NotOwner;
        }
        answer.await.unwrap_or(RequestOutcome::Unknown)
    }

    /// Returns records that replace all earlier log records of some jobs, workers and queues, and of
    /// the past use of the teams if that is wanted. Empty when the control thread has ended.
    pub(super) async fn snapshots(
        &self,
        jobs: Vec<job::Id>,
        hosts: Vec<Name>,
        queues: Vec<Name>,
        with_team_use: bool,
    ) -> Vec<Record> {
        let (respond, answer) = oneshot::channel();
        let input = Input::Snapshots { jobs, hosts, queues, with_team_use, respond };
        if self.control.send(input).is_err() {
            return Vec::new();
        }
        answer.await.unwrap_or_default()
    }
}

impl From<Answer> for RequestOutcome {
    fn from(answer: Answer) -> RequestOutcome {
        match answer {
            Answer::Accepted => RequestOutcome::Accepted,
            Answer::Cancelled => RequestOutcome::Cancelled,
            Answer::State(state) => RequestOutcome::State(state),
            Answer::Count(count) => RequestOutcome::Count(count),
            Answer::NoSuchJob => RequestOutcome::NoSuchJob,
            Answer::Overloaded => RequestOutcome::Overloaded,
            Answer::NoMemory => RequestOutcome::NoMemory,
        }
    }
}
