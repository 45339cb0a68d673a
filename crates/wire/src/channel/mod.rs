//! The calling side of calls between processes.

mod call;
mod connection;
mod pool;

pub use call::{Answer, Call};
pub use pool::{Lane, Pool};
