//! The scheduler process: a decision core and the I/O around it.
//!
//! One thread runs the decision core (`control`); all network I/O runs on the threads of the
//! async runtime. The core performs no I/O itself, so a slow store, worker or peer never delays
//! a decision.
//!
//! The bodies of interactive requests bypass the control thread, which only decides which
//! worker gets each request.
//!
//! - `traffic`: calls from entry processes and from peers.
//! - `control`: the thread that runs the decision core.
//! - `execute`: the core's calls to the store, to workers and to peers.
//! - `outbox`: messages to peers.
//! - `relay`: the store, reached through a peer while it can't be reached directly.
//! - `watch`: changes of the configuration, the owners document and the host list.
//! - `records`: decision records for operators.

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
