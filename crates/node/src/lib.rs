//! One process a host: takes callers' jobs, and owns the workers when it is its turn.
//!
//! Every process serves callers and follows the owner; the owner decides. The
//! owner's epoch, won in the store by compare-and-swap, is the fencing token of all
//! its orders, so that a takeover is safe at any moment, also by mistake.

mod api;
mod backoff;
mod clock;
mod config;
mod metrics;
mod node;
mod owner;
mod ownership;
mod peer;
mod run;
mod timing;

pub use run::{Error, run};
