//! The callers' door: keys, routes, bounds, and the way to the owner and back.

mod answer;
mod ask;
mod listener;
mod readiness;
mod request;

pub(crate) use listener::{Door, serve};
pub(crate) use readiness::serve_readiness;
