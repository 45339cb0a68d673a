//! Serving HTTP on loopback.

mod server;

pub use server::Server;

pub(crate) use server::{Body, empty_response, query_parameter, response};
