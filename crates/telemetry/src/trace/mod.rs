//! Trace contexts in the W3C format, passed on with each request.

mod context;

pub use context::{TRACEPARENT, TraceContext};
