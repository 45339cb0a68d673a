//! The callers' API: keys, routes, bounds, and the way to the owner and back.

mod forward;
mod listener;
mod readiness;
mod request;
mod response;

pub(crate) use listener::{Server, serve};
pub(crate) use readiness::serve_readiness;
