//! HTTP server on loopback, shared by the simulated services.

mod server;

pub use server::Server;

pub(crate) use server::{Body, empty_response, query_parameter, response};
