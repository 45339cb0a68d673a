//! Bounds the connections that a listener keeps open.
//!
//! When there are as many as the process can afford, a new connection takes the place of the one
//! that has gone longest without a request being answered. A connection whose request is with the
//! owner is never closed for another one.

mod listen;
mod registry;
#[cfg(test)]
mod tests;

pub use listen::{RECEIVE_BUFFER_BYTES, listen};
pub use registry::{Answering, Connection, Limit, Meters, Registry};
