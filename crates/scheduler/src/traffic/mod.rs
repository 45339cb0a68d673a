//! Calls from entry processes and peers.
//!
//! Each call runs as a task of its own. Only the decisions are made on the control thread.

mod request;

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;

use sycamore_core::Event;
use sycamore_core::caller::Answer;
use sycamore_platform::otlp::Tracer;
use sycamore_platform::store::Store;
use sycamore_platform::worker::Worker;
use sycamore_rollout::Rollout;
use sycamore_types::id;
use sycamore_types::outcome::{Failure, Reason};
use sycamore_wire::{Command, Incoming, PeerMessage, Reply, Writer};
use tokio::sync::watch;

use crate::clock::Clock;
use crate::control::ControlHandle;
use crate::metrics::Meters;

/// Serves calls and holds what each of them needs.
#[derive(Debug)]
pub(crate) struct Traffic<S, W> {
    pub(crate) control: ControlHandle,
    /// The store, always called directly, so that a call is relayed at most once.
    pub(crate) store: S,
    pub(crate) worker: W,
    pub(crate) rollout: Rollout,
    /// Number of interactive requests that have not ended.
    pub(crate) in_flight: Arc<AtomicUsize>,
    pub(crate) clock: Clock,
    pub(crate) tracer: Tracer,
    pub(crate) meters: Meters,
    /// Member as which the process takes part at present. It changes when the lease is lost.
    pub(crate) member: watch::Receiver<id::Member>,
}

impl<S: Store, W: Worker> Traffic<S, W> {
    /// Handles one call of any kind.
    pub(crate) async fn handle(self: Arc<Self>, incoming: Incoming) {
        match incoming.command.clone() {
            Command::Request(call) => self.handle_request(incoming, *call).await,
            Command::Submit(submission) => {
                let token = self.control.next_token();
                let event = Event::Submit { token, submission: *submission };
                self.call_core(incoming, token, event).await;
            }
            Command::Status(job) => {
                let token = self.control.next_token();
                self.call_core(incoming, token, Event::Status { token, job }).await;
            }
            Command::Cancel(job) => {
                let token = self.control.next_token();
                self.call_core(incoming, token, Event::Cancel { token, job }).await;
            }
            Command::Peer(messages) => {
                self.handle_peer_messages(messages);
                reply_with(incoming, &Reply::Received).await;
            }
            Command::Config { revision, document } => {
                reply_with(incoming, &self.rollout.handle_config(revision, document)).await;
            }
            Command::Store(op) => {
                let reply = self.store.call(op).await;
                reply_with(incoming, &Reply::Store(reply)).await;
            }
            _ => {}
        }
    }

    /// Passes messages to the core, except those for an earlier identity of this process.
    fn handle_peer_messages(&self, messages: Vec<PeerMessage>) {
        let local = self.member.borrow().clone();
        for PeerMessage { from, to, message } in messages {
            self.meters.peer_messages.with_label_values(&["in"]).inc();
            if to == local {
                self.control.send_event(Event::Peer { from, message });
            }
        }
    }

    /// Passes a call to the core and replies with its answer.
    async fn call_core(&self, incoming: Incoming, token: u64, event: Event) {
        let reply = match self.control.call(token, event).await {
            Ok(Answer::Accepted(job)) => Reply::Accepted(job),
            Ok(Answer::Status(status)) => Reply::Status(status),
            Ok(Answer::Failed(failure)) => Reply::Failed(failure),
            Ok(Answer::Dispatch { .. }) => return,
            // The control thread has ended, but may have handled the call before.
            Err(_) => Reply::Failed(Failure::unknown(Reason::Moved)),
        };
        reply_with(incoming, &reply).await;
    }
}

/// Replies to a call with a single frame. A failure is ignored, since the caller is gone.
async fn reply_with(incoming: Incoming, reply: &Reply) {
    if let Ok((_reader, mut writer)) = incoming.respond() {
        let _ = Writer::write_frame(&mut writer, reply, true).await;
    }
}
