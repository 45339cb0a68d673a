//! The RPC protocol among the processes of sycamorechute: `bincode` frames
//! on HTTP/2 streams.
//!
//! Each call is one stream. The call and its response each begin with a frame,
//! which is a length followed by a `bincode` value. An interactive request
//! continues with the raw bytes of its body, and so does its response.
//! Heartbeats and other control messages use separate connections, so that
//! bulk traffic can't delay them.

mod channel;
mod error;
mod frame;
mod message;
mod server;

pub use channel::{Call, ConnectionKind, PendingResponse, Pool};
pub use error::Error;
pub use frame::{MAX_FRAME_BYTES, Reader, Writer, encode_frame};
pub use message::{
    Command, Header, InteractiveRequest, PeerMessage, Reply, ReplyHead, RequestHead,
};
pub use server::{Incoming, serve};
