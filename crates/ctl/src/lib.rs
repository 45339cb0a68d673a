//! The operators' command line.
//!
//! Every change reads the configuration with its revision, edits a copy, checks the whole copy and
//! writes it by compare-and-swap on that revision. If two operators change the configuration at
//! the same time, one of them gets a conflict; their changes are never mixed.

mod client;
mod command;
mod edit;
mod error;
mod output;
mod usage;

pub use client::{Client, Config};
pub use command::run;
pub use error::Error;
