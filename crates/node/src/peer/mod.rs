//! The protocol between processes: its messages, and the server that replies to them.

mod message;
mod serve;

pub(crate) use message::{CallerRequest, Command, Owner, Ping, Pong, Reply, RequestOutcome, Role};
pub(crate) use serve::serve;
