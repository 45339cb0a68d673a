//! The client side of calls between processes.

mod call;
mod connection;
mod pool;

pub use call::{Call, PendingResponse};
pub use pool::{ConnectionKind, Pool};
