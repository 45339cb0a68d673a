use sycamore_telemetry::trace::TraceContext;
use tokio::sync::mpsc;

use super::span::FinishedSpan;
use super::{Span, export};
use crate::Address;

/// Spans that wait for export at most.
const QUEUE_CAPACITY: usize = 4_096;

/// Begins spans and exports them when they have ended.
#[derive(Clone, Debug, Default)]
pub struct Tracer {
    sender: Option<mpsc::Sender<FinishedSpan>>,
}

impl Tracer {
    /// Builds a tracer; without an endpoint spans only carry contexts on.
    ///
    /// Has to be called on a runtime.
    pub fn new(endpoint: Option<Address>, service: &str) -> Tracer {
        let Some(endpoint) = endpoint else {
            return Tracer::default();
        };
        let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
        tokio::spawn(export::run(endpoint, service.to_string(), receiver));
        Tracer { sender: Some(sender) }
    }

    /// Begins a span.
    pub fn begin(&self, name: &'static str, parent: Option<TraceContext>) -> Span {
        Span::begin(name, parent, self.sender.clone())
    }
}
