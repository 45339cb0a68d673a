//! Spans of requests, exported by OTLP over HTTP with JSON.
//!
//! Export never holds up a request: spans wait in a bounded queue, and what
//! does not fit is dropped and counted. Without an endpoint nothing is kept.

mod export;
mod span;
mod tracer;

pub use span::Span;
pub use tracer::Tracer;
