//! The messages that frames carry.
//!
//! `bincode` encodes fields and variants by position, so their order is part of the
//! protocol.

mod command;
mod head;
mod reply;

pub use command::{Command, InteractiveRequest, PeerMessage};
pub use head::{Header, ReplyHead, RequestHead};
pub use reply::Reply;
