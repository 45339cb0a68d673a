//! The values that frames carry.

mod command;
mod head;
mod reply;

pub use command::{Command, InteractiveRequest, PeerMessage};
pub use head::{Header, ReplyHead, RequestHead};
pub use reply::Reply;
