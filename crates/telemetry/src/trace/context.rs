//! The `traceparent` header of the W3C Trace Context recommendation.
//!
//! Later versions are parsed like version 00. Fields that follow the known ones are
//! ignored.

use std::fmt;

use rand::Rng;

/// Name of the HTTP header that carries a trace context.
pub const TRACEPARENT: &str = "traceparent";

/// The trace that an operation belongs to, and one span within it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TraceContext {
    /// Identifier of the trace.
    pub trace_id: u128,
    /// Identifier of the span, the parent of spans derived with [`TraceContext::child`].
    pub span_id: u64,
    /// Whether the caller asked for the trace to be recorded.
    pub is_sampled: bool,
}

impl TraceContext {
    /// Starts a new trace with random identifiers.
    pub fn random() -> TraceContext {
        let mut rng = rand::rng();
        TraceContext { trace_id: rng.random(), span_id: rng.random(), is_sampled: false }
    }

    /// Parses the value of a `traceparent` header. Returns `None` if it is malformed.
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

    /// Returns the context of a new span in the same trace.
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
