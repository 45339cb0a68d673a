use std::fmt;

use rand::Rng;

/// Header that carries a trace context.
pub const TRACEPARENT: &str = "traceparent";

/// The trace that a piece of work belongs to, and the span that caused it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TraceContext {
    /// Identifies the whole trace.
    pub trace_id: u128,
    /// Identifies the span.
    pub span_id: u64,
    /// The caller asks for the trace to be kept.
    pub is_sampled: bool,
}

impl TraceContext {
    /// Begins a trace.
    pub fn random() -> TraceContext {
        let mut rng = rand::rng();
        TraceContext { trace_id: rng.random(), span_id: rng.random(), is_sampled: false }
    }

    /// Reads the header. Returns `None` when it is malformed.
    pub fn parse(text: &str) -> Option<TraceContext> {
        let mut parts = text.split('-');
        let version = parts.next()?;
        let trace = parts.next().filter(|part| part.len() == 32)?;
        let span = parts.next().filter(|part| part.len() == 16)?;
        let flags = parts.next().filter(|part| part.len() == 2)?;
        if version.len() != 2 || version == "ff" {
            return None;
        }
        let trace_id = u128::from_str_radix(trace, 16).ok().filter(|trace| *trace != 0)?;
        let span_id = u64::from_str_radix(span, 16).ok().filter(|span| *span != 0)?;
        let flags = u8::from_str_radix(flags, 16).ok()?;
        Some(TraceContext { trace_id, span_id, is_sampled: flags & 1 == 1 })
    }

    /// Returns the context of a new span within the same trace.
    pub fn child(&self) -> TraceContext {
        TraceContext { span_id: rand::rng().random(), ..*self }
    }
}

impl fmt::Display for TraceContext {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let flags = u8::from(self.is_sampled);
        write!(f, "00-{:032x}-{:016x}-{flags:02x}", self.trace_id, self.span_id)
    }
}

#[cfg(test)]
mod tests;
