//! A small HTTP client whose errors tell a request that was not sent from one whose outcome is
//! unknown.

mod client;
mod error;
mod progress;

pub use client::{Client, IDLE_TIMEOUT, classify, connector};
pub use error::Error;
