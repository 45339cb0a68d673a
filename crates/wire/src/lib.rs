//! What the processes of sycamorechute say to one another: `bincode` frames
//! on `h2` streams.
//!
//! Each call is one stream. It begins with one frame, a length and a
//! `bincode` value; interactive requests then carry raw bytes both ways.
//! Heartbeats and other control messages travel on connections of their own,
//! so that bulk traffic can't delay them.

mod channel;
mod error;
mod frame;
mod message;
mod server;

pub use channel::{Call, ConnectionKind, PendingResponse, Pool};
pub use error::Error;
pub use frame::{MAX_FRAME_BYTES, Reader, Writer};
pub use message::{
    Command, Header, InteractiveRequest, PeerMessage, Reply, ReplyHead, RequestHead,
};
pub use server::{Incoming, serve};
