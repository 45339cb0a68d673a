//! Simulated key-value store of the platform.
//!
//! Values live in memory. A write takes effect only if the value has the expected revision.

mod counts;
mod server;
mod state;

pub use counts::Counts;
pub use server::Store;
