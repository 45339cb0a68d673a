//! The scheduler process, one per host. Every process accepts callers' requests and forwards
//! them to the owner, the one process that decides what the workers run.
//!
//! A process becomes the owner by a compare-and-swap of the owner record in the store. The
//! record's epoch is the fencing token of all requests to workers, so that a takeover is
//! safe at any moment, even if the previous owner still runs.

mod api;
mod backoff;
mod clock;
mod config;
mod metrics;
mod node;
mod options;
mod owner;
mod ownership;
mod peer;
mod revision;
mod run;
mod timing;

pub use options::Options;
pub use run::{Error, run};
