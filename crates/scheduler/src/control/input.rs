//! The messages to the control thread and the handle that sends them.
//!
//! The channel is unbounded, so that sending never blocks a thread of the async runtime.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc;

use sycamore_core::caller::{Answer, Token};
use sycamore_core::{Event, View};
use tokio::sync::oneshot;

/// A message to the control thread.
#[derive(Debug)]
pub(crate) enum Input {
    /// An event for the core.
    Event(Event),
    /// An event for the core that a caller waits on, with the channel for its answer.
    Call { token: Token, event: Event, reply_to: oneshot::Sender<Answer> },
    /// A query for the state of the core.
    View(oneshot::Sender<View>),
}

/// A handle by which other threads reach the control thread.
#[derive(Clone, Debug)]
pub(crate) struct ControlHandle {
    inputs: mpsc::Sender<Input>,
    token_counter: Arc<AtomicU64>,
}

impl ControlHandle {
    pub(crate) fn new(inputs: mpsc::Sender<Input>) -> ControlHandle {
        ControlHandle { inputs, token_counter: Arc::new(AtomicU64::new(1)) }
    }

    /// Sends an event. It is dropped if the control thread has ended.
    pub(crate) fn send_event(&self, event: Event) {
        let _ = self.inputs.send(Input::Event(event));
    }

    /// Returns a token for a new call, unique within the process.
    pub(crate) fn next_token(&self) -> Token {
        self.token_counter.fetch_add(1, Ordering::Relaxed)
    }

    /// Sends an event and returns the receiver of its answer.
    ///
    /// The receiver fails if the control thread ends before it has answered.
    pub(crate) fn call(&self, token: Token, event: Event) -> oneshot::Receiver<Answer> {
        let (reply_to, answer) = oneshot::channel();
        let _ = self.inputs.send(Input::Call { token, event, reply_to });
        answer
    }

    /// Returns the state of the core. `None` if the control thread has ended.
    pub(crate) async fn view(&self) -> Option<View> {
        let (reply_to, view) = oneshot::channel();
        self.inputs.send(Input::View(reply_to)).ok()?;
        view.await.ok()
    }
}
