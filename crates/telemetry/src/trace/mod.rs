//! Trace contexts that travel with a request, in the W3C format.

mod context;

pub use context::{TRACEPARENT, TraceContext};
