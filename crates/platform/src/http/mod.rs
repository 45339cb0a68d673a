//! A small HTTP client that tells "not sent" from "unknown".

mod client;
mod error;

pub use client::{Client, IDLE_TIMEOUT, classify, connector};
pub use error::Error;
