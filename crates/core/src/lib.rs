//! The decision core of sycamorechute, free of I/O.
//!
//! [`Node`] makes every decision of one scheduler process: whether it may
//! start work, under its own lease or, during a store outage, under promises
//! of its peers; which shards it owns; what each team may run; and which work
//! starts where. It is driven by [`Node::step`], which takes an [`Event`] and
//! the time and returns [`Action`]s. It holds no clock, no socket and no
//! random source, so the fault tests, the fuzz tests and the benchmarks drive
//! the same code that runs in production.
//!
//! The cost of this design is that the core can't block on a reply. Each
//! exchange with the store or a worker is a small state machine that its reply
//! resumes; most of them are built from [`store::Write`].

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
