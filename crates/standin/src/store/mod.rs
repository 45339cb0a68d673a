//! Stand-in for the platform's key-value store.

mod counts;
mod server;
mod state;

pub use counts::Counts;
pub use server::Store;
