//! What the processes say to one another.

mod message;
mod serve;

pub(crate) use message::{CallerRequest, Command, Owner, Ping, Pong, Reply, RequestOutcome, Role};
pub(crate) use serve::serve;
