//! What the processes say to one another.

mod message;
mod serve;

pub(crate) use message::{Ask, Command, Owner, Ping, Pong, Reply, Role, Verdict};
pub(crate) use serve::serve;
