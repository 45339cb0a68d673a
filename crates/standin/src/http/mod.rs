//! Serving HTTP on loopback.

mod server;

pub use server::{Server, query};

pub(crate) use server::{Body, empty, text};
