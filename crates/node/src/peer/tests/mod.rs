//! Tests of the protocol between processes that need no network.

mod directory;
mod members;
mod order;
