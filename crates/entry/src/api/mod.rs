//! HTTP server shared by the interfaces for callers and operators.
//!
//! It limits connections and bodies, authenticates callers and builds the responses to failed
//! calls.

mod caller;
mod limits;
mod listener;
mod response;

pub(crate) use caller::{Caller, identify};
pub(crate) use limits::{MAX_JOB_BYTES, read_limited};
pub(crate) use listener::{MAX_HEAD_BYTES, begin_answer, serve};
pub(crate) use response::{Body, failure_response, malformed, not_found, respond, unauthorized};
