//! The scheduler process: a decision core with a shell around it.
//!
//! One thread owns the core ([`control`]); everything that touches the network
//! runs on the runtime's threads. Data of requests never passes through the
//! control thread: it only learns that a request waits, and says which worker
//! may have it.

mod admin;
mod arguments;
mod clock;
mod control;
mod execute;
mod metrics;
mod outbox;
mod records;
mod relay;
mod scheduler;
mod traffic;
mod watch;

pub use admin::serve as serve_admin;
pub use arguments::{Arguments, RecordDestination, parser};
pub use scheduler::{Error, Scheduler};
