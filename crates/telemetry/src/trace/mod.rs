//! Trace contexts that travel with a request, in the W3C format.

mod parent;

pub use parent::{TRACEPARENT, TraceContext};
