//! Carries out what the decision core asks for.

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

/// Something that carries out actions.
pub(crate) trait Execute: Send + 'static {
    /// Carries out an action without waiting for it.
    fn execute(&self, action: Action);
}

/// Carries out actions on the runtime.
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
                // The receiver lives as long as the process.
                let _ = self.decisions.send(decision);
            }
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

    /// Looks at the clock again right before the call: the process may have
    /// been paused since the core decided.
    async fn call_unless_expired(&self, address: &str, op: worker::Op) -> worker::Reply {
        if let worker::Op::Start { not_after, .. } = &op
            && self.clock.now() > *not_after
        {
            return worker::Reply::NotSent;
        }
        self.worker.call(address, op).await
    }
}
