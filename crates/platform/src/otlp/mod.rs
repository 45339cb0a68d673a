//! Spans of requests, exported over OTLP as JSON over HTTP.
//!
//! Export never delays a request: finished spans wait in a bounded queue, and spans that do not
//! fit are dropped. Without a collector no span is kept, and only trace contexts are passed on.

mod export;
mod span;
mod tracer;

pub use span::Span;
pub use tracer::Tracer;
