//! Executes the actions of the decision core.
//!
//! Calls to the store and to workers run as tasks of their own, and their replies return to the
//! core as events.

use sycamore_core::{Action, Event, store, worker};
use sycamore_platform::store::Store;
use sycamore_platform::worker::Worker;
use tokio::runtime::Handle;
use tokio::sync::mpsc;

use crate::clock::Clock;
use crate::control::ControlHandle;
use crate::metrics::Meters;
use crate::outbox::Outbox;
use sycamore_core::record::Decision;

/// Executes actions of the decision core.
pub(crate) trait Execute: Send + 'static {
    /// Starts an action and returns without waiting for its result.
    fn execute(&self, action: Action);
}

/// Executes actions on the async runtime.
#[derive(Clone, Debug)]
pub(crate) struct Executor<S, W> {
    pub(crate) runtime: Handle,
    pub(crate) clock: Clock,
    pub(crate) store: S,
    pub(crate) worker: W,
    pub(crate) outbox: Outbox,
    pub(crate) decisions: mpsc::UnboundedSender<Decision>,
    pub(crate) control: ControlHandle,
    pub(crate) meters: Meters,
}

impl<S: Store, W: Worker> Execute for Executor<S, W> {
    fn execute(&self, action: Action) {
        match action {
            Action::Store { call, op } => {
                let this = self.clone();
                self.runtime.spawn(async move { this.call_store(call, op).await });
            }
            Action::Worker { call, address, op, .. } => {
                let this = self.clone();
                self.runtime.spawn(async move { this.call_worker(call, &address, op).await });
            }
            Action::Peer { to, address, message } => {
                self.meters.peer_messages.with_label_values(&["out"]).inc();
                self.outbox.send(to, &address, message);
            }
            Action::Record(decision) => {
                // Can't fail before the process exits: the receiver lives as long as the senders.
                let _ = self.decisions.send(decision);
            }
            // The control thread handles these itself.
            Action::Answer { .. } | Action::Stopped => {}
        }
    }
}

impl<S: Store, W: Worker> Executor<S, W> {
    async fn call_store(&self, call: u64, op: store::Op) {
        let kind = if op.is_write() { "write" } else { "read" };
        let reply = self.store.call(op).await;
        let outcome = match reply {
            store::Reply::Conflict => "conflict",
            store::Reply::Unavailable => "unavailable",
            store::Reply::Unknown => "unknown",
            _ => "ok",
        };
        self.meters.store_calls.with_label_values(&[kind, outcome]).inc();
        self.control.send_event(Event::Store { call, reply });
    }

    async fn call_worker(&self, call: u64, address: &str, op: worker::Op) {
        let kind = match op {
            worker::Op::Start { .. } => "start",
            worker::Op::Poll { .. } => "poll",
            worker::Op::Stop { .. } => "stop",
        };
        let reply = self.call_unless_expired(address, op).await;
        let outcome = match reply {
            worker::Reply::NotSent => "not_sent",
            worker::Reply::Unknown => "unknown",
            _ => "ok",
        };
        self.meters.worker_calls.with_label_values(&[kind, outcome]).inc();
        self.control.send_event(Event::Worker { call, reply });
    }

    /// Calls a worker, except to start a task after the time limit of the start.
    ///
    /// The clock is read right before the call, since the process may have been paused after
    /// the core made the decision.
    async fn call_unless_expired(&self, address: &str, op: worker::Op) -> worker::Reply {
        if let worker::Op::Start { not_after, .. } = &op
            && self.clock.now() > *not_after
        {
            return worker::Reply::NotSent;
        }
        self.worker.call(address, op).await
    }
}
