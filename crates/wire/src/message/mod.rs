//! The values that frames carry.

mod command;
mod head;
mod reply;

pub use command::{Command, Peer, Start};
pub use head::{Head, Header, ReplyHead};
pub use reply::Reply;
