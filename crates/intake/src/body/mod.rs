//! Receives the bodies of requests within a memory budget that all of them share.
//!
//! A body is copied into one buffer as it arrives, so that it takes its own size whatever the
//! parts or chunks it comes in. When the budget is full, the largest body that is not complete is
//! refused: small requests never wait for, or give way to, large bodies that don't arrive.

mod budget;
mod receive;
#[cfg(test)]
mod tests;

pub use budget::{Budget, Full, Meters, Reservation};
pub use receive::{Error, receive};
