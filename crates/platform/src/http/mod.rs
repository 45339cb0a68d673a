//! A small HTTP client whose errors tell a request that was not sent from one whose outcome is
//! unknown.

mod activity;
mod call_limit;
mod client;
mod error;
mod progress;

pub use activity::Activity;
pub use call_limit::CallLimit;
pub use client::{Client, IDLE_TIMEOUT, classify, connector};
pub use error::Error;
