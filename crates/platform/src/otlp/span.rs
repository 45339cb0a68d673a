//! A span, which measures one hop of a request.
//!
//! A span ends when it is dropped, so that it is also recorded when the request is cancelled.

use std::time::{SystemTime, UNIX_EPOCH};

use sycamore_telemetry::trace::TraceContext;
use tokio::sync::mpsc;

/// One hop of a request, from its start until the span is dropped.
#[derive(Debug)]
pub struct Span {
    name: &'static str,
    context: TraceContext,
    parent_span_id: Option<u64>,
    start_ns: u64,
    outcome: String,
    sender: Option<mpsc::Sender<FinishedSpan>>,
}

/// A span that has ended and is to be exported. Times are in nanoseconds since 1970.
#[derive(Clone, Debug)]
pub(super) struct FinishedSpan {
    pub(super) name: &'static str,
    pub(super) context: TraceContext,
    pub(super) parent_span_id: Option<u64>,
    pub(super) start_ns: u64,
    pub(super) end_ns: u64,
    pub(super) outcome: String,
}

impl Span {
    pub(super) fn begin(
        name: &'static str,
        parent: Option<TraceContext>,
        sender: Option<mpsc::Sender<FinishedSpan>>,
    ) -> Span {
        let context = parent.map_or_else(TraceContext::random, |parent| parent.child());
        let parent_span_id = parent.map(|parent| parent.span_id);
        Span { name, context, parent_span_id, start_ns: unix_ns(), outcome: String::new(), sender }
    }

    /// Returns the trace context to send to the next hop.
    pub fn context(&self) -> TraceContext {
        self.context
    }

    /// Sets the `outcome` attribute, which is empty by default.
    pub fn set_outcome(&mut self, outcome: &str) {
        self.outcome = outcome.to_string();
    }
}

impl Drop for Span {
    fn drop(&mut self) {
        let Some(sender) = self.sender.take() else {
            return;
        };
        // The span is dropped if the queue is full: tracing must not delay requests.
        let _ = sender.try_send(FinishedSpan {
            name: self.name,
            context: self.context,
            parent_span_id: self.parent_span_id,
            start_ns: self.start_ns,
            end_ns: unix_ns(),
            outcome: std::mem::take(&mut self.outcome),
        });
    }
}

fn unix_ns() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_nanos()).unwrap_or(u64::MAX)
}
