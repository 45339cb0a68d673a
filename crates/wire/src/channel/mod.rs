//! The client side of calls between processes.
//!
//! Calls to one process share its connections, and each call is a stream of its own.

mod call;
mod connection;
mod pool;

pub use call::{Call, PendingResponse};
pub use pool::{ConnectionKind, Pool};
