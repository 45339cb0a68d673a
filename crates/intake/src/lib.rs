//! Bounds what callers take of a process: memory by the bodies of their requests, descriptors by
//! their connections.
//!
//! The limits are those that the platform grants the process. What gives way when one is reached is
//! chosen so that ordinary requests are served beside clients that don't end what they begin.

pub mod body;
pub mod connection;
pub mod memory;
