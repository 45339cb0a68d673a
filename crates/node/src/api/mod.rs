//! HTTP API for callers and readiness probes: checks keys and limits, finds the queue of a
//! request, and forwards the request to the owner.

mod forward;
mod internal;
mod listener;
mod readiness;
mod request;
mod response;

pub(crate) use internal::serve_internal;
pub(crate) use listener::{Server, serve};
pub(crate) use readiness::serve_readiness;
