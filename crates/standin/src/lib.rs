//! Small stand-ins for the platform: store, workers and host list.
//!
//! They speak HTTP on loopback and exist so that a first look, the tests and
//! the benchmarks need no outside system. The workers have no guards: they
//! take an overload or a stale start and note it as a violation that tests
//! can read.

pub mod fenced;
pub mod hosts;
mod http;
pub mod store;
pub mod worker;

mod platform;

pub use http::Server;
pub use platform::{Platform, PlatformOptions};
