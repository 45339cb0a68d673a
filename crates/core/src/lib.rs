//! The decision core of sycamorechute, free of I/O.
//!
//! [`Node`] is everything that one scheduler process decides: its own lease
//! and the promises that carry it through a store outage, which shards it
//! owns, what each team may run, and which work starts where. It is driven by
//! [`Node::step`]: an [`Event`] and the time go in, [`Action`]s come out. It
//! holds no clock, no socket and no random source, so the fault tests, the
//! fuzzing and the benchmarks drive the very code that runs in production.
//!
//! The price of that shape is that nothing can simply wait. Each conversation
//! with the store or a worker is a small state machine that is resumed by its
//! reply; [`store::Write`] is the one that most others are built from.

mod action;
pub mod caller;
mod context;
mod event;
pub mod ledger;
pub mod log;
pub mod member;
mod node;
pub mod owners;
pub mod peer;
pub mod placement;
mod queue;
pub mod record;
mod shard;
mod share;
pub mod store;
mod timing;
pub mod worker;

pub use action::{Action, CallId};
pub use event::{Ending, Event};
pub use node::{Identity, InjectedBugs, Node, ShardView, View};
pub use shard::Phase;
pub use timing::Timing;
