//! The source of spans.
//!
//! Spans wait for export in a bounded queue, so that a slow collector never blocks a request.

use sycamore_telemetry::trace::TraceContext;
use tokio::sync::mpsc;

use super::span::FinishedSpan;
use super::{Span, export};
use crate::Address;

/// Largest number of finished spans that wait for export.
const QUEUE_CAPACITY: usize = 4_096;

/// Begins spans, which are exported once they end. Clones share the export queue.
#[derive(Clone, Debug, Default)]
pub struct Tracer {
    sender: Option<mpsc::Sender<FinishedSpan>>,
}

impl Tracer {
    /// Builds a tracer that exports to the collector at `endpoint` under a service name.
    ///
    /// Without an endpoint spans only pass on trace contexts. With one, the call must be made
    /// within a Tokio runtime, since it spawns the export task.
    pub fn new(endpoint: Option<Address>, service: &str) -> Tracer {
        let Some(endpoint) = endpoint else {
            return Tracer::default();
        };
        let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
        tokio::spawn(export::run(endpoint, service.to_string(), receiver));
        Tracer { sender: Some(sender) }
    }

    /// Begins a span as a child of `parent`, or of a new trace if there is none.
    pub fn begin(&self, name: &'static str, parent: Option<TraceContext>) -> Span {
        Span::begin(name, parent, self.sender.clone())
    }
}
