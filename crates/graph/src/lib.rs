//! The decision core for jobs that are graphs of steps, on workers that fence.
//!
//! [`Engine::handle`] takes the time and an [`Event`] and returns [`Action`]s. It
//! knows no clock, no socket and no random source. One engine owns all hosts of
//! a shard; its epoch is the fencing token of every order that it gives.
//!
//! Durability is the caller's part: [`Action::Append`] hands over log records in
//! order and [`Event::Committed`] reports how many of them are kept. Nothing that
//! a caller or a worker is told runs ahead of the log.

mod action;
mod call_class;
pub mod catalog;
mod decision;
mod engine;
mod event;
mod host;
pub mod job;
mod progress;
mod record;
mod task;
mod timing;
mod waiting;

pub use action::{Action, Advise, Answer, Poll, Start, Stop};
pub use call_class::CallClass;
pub use decision::{Decision, Grounds, Verdict};
pub use engine::{Engine, Rank, Recovered};
pub use event::{Event, HostEntry, Moment, Report, StartOutcome};
pub use host::RunEnd;
pub use record::{Closed, Ended, Record, Snapshot};
pub use task::{StepId, TaskId};
pub use timing::Timing;
pub use waiting::{WaitReason, WaitingStep};
