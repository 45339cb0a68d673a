use std::time::{SystemTime, UNIX_EPOCH};

use sycamore_telemetry::trace::TraceContext;
use tokio::sync::mpsc;

/// One hop of a request, from its beginning until it is dropped.
#[derive(Debug)]
pub struct Span {
    name: &'static str,
    context: TraceContext,
    parent: Option<u64>,
    begun_ns: u64,
    outcome: String,
    sender: Option<mpsc::Sender<Finished>>,
}

/// A span that has ended.
#[derive(Clone, Debug)]
pub(super) struct Finished {
    pub(super) name: &'static str,
    pub(super) context: TraceContext,
    pub(super) parent: Option<u64>,
    pub(super) begun_ns: u64,
    pub(super) ended_ns: u64,
    pub(super) outcome: String,
}

impl Span {
    pub(super) fn begin(
        name: &'static str,
        caused_by: Option<TraceContext>,
        sender: Option<mpsc::Sender<Finished>>,
    ) -> Span {
        let context = caused_by.map_or_else(TraceContext::random, |parent| parent.child());
        let parent = caused_by.map(|parent| parent.span_id);
        Span { name, context, parent, begun_ns: unix_ns(), outcome: String::new(), sender }
    }

    /// Returns the context that the next hop is given.
    pub fn context(&self) -> TraceContext {
        self.context
    }

    /// Notes how the hop ended.
    pub fn set_outcome(&mut self, outcome: &str) {
        self.outcome = outcome.to_string();
    }
}

impl Drop for Span {
    fn drop(&mut self) {
        let Some(sender) = self.sender.take() else {
            return;
        };
        // A full queue drops the span: tracing must not hold up requests.
        let _ = sender.try_send(Finished {
            name: self.name,
            context: self.context,
            parent: self.parent,
            begun_ns: self.begun_ns,
            ended_ns: unix_ns(),
            outcome: std::mem::take(&mut self.outcome),
        });
    }
}

fn unix_ns() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_nanos()).unwrap_or(u64::MAX)
}
