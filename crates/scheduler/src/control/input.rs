use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc;

use sycamore_core::caller::{Answer, Token};
use sycamore_core::{Event, View};
use tokio::sync::oneshot;

/// Something for the control thread.
#[derive(Debug)]
pub(crate) enum Input {
    /// An event for the core.
    Event(Event),
    /// A call of a caller, with where its answer goes.
    Call { token: Token, event: Event, reply_to: oneshot::Sender<Answer> },
    /// A description of the core is wanted.
    View(oneshot::Sender<View>),
}

/// The way to the control thread.
#[derive(Clone, Debug)]
pub(crate) struct ControlHandle {
    inputs: mpsc::Sender<Input>,
    token_counter: Arc<AtomicU64>,
}

impl ControlHandle {
    pub(crate) fn new(inputs: mpsc::Sender<Input>) -> ControlHandle {
        ControlHandle { inputs, token_counter: Arc::new(AtomicU64::new(1)) }
    }

    /// Hands in an event. After the thread has ended it goes nowhere.
    pub(crate) fn send_event(&self, event: Event) {
        let _ = self.inputs.send(Input::Event(event));
    }

    /// Returns a number for a new call.
    pub(crate) fn next_token(&self) -> Token {
        self.token_counter.fetch_add(1, Ordering::Relaxed)
    }

    /// Hands in a call. The receiver fails when the thread has ended.
    pub(crate) fn call(&self, token: Token, event: Event) -> oneshot::Receiver<Answer> {
        let (reply_to, answer) = oneshot::channel();
        let _ = self.inputs.send(Input::Call { token, event, reply_to });
        answer
    }

    /// Describes the core.
    pub(crate) async fn view(&self) -> Option<View> {
        let (reply_to, view) = oneshot::channel();
        self.inputs.send(Input::View(reply_to)).ok()?;
        view.await.ok()
    }
}
