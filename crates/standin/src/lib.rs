//! Simulated platform for the demo, the tests and the benchmarks: store, workers and host list.
//!
//! The servers speak HTTP on loopback, so that no outside system is needed. [`Platform`] serves
//! `sycamore-entry` and `sycamore-scheduler`. Its workers carry out every start, even one that
//! overloads them or comes from a stale owner, and count the broken safety rules for tests to
//! read. The module [`fenced`] serves `sycamore-node`; its workers check fencing tokens. The
//! module [`ports`] reserves ports for the processes that a test starts, and [`link`] puts faulty
//! links between them and the servers.

pub mod fenced;
pub mod hosts;
mod http;
pub mod link;
pub mod ports;
pub mod store;
pub mod worker;

mod platform;

pub use http::Server;
pub use platform::{Platform, PlatformOptions};
