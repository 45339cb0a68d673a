//! Decision core for jobs whose steps form a graph, on hosts that check fencing tokens.
//!
//! [`Engine::handle`] takes the time and an [`Event`] and returns [`Action`]s. It uses
//! no clock, no socket and no random source of its own. One engine owns all hosts of a
//! shard; its epoch is the fencing token of every request that it sends to them.
//!
//! The caller provides durability: [`Action::Append`] hands over log records in order,
//! and [`Event::Committed`] reports how many of them are durable. Confirmations to callers,
//! task starts, final job states and acknowledgements of run ends wait until the records
//! that they rely on are durable.

mod action;
mod call_class;
pub mod catalog;
mod decision;
mod engine;
mod event;
mod host;
pub mod job;
mod loss;
mod progress;
mod record;
mod task;
mod timing;
mod waiting;

pub use action::{Action, Advise, Answer, Poll, Start, Stop};
pub use call_class::CallClass;
pub use decision::{Decision, Grounds, Verdict};
pub use engine::{DomainLoad, Engine, Rank, Recovered};
pub use event::{Event, HostEntry, Moment, Reading, Report, StartOutcome};
pub use host::RunEnd;
pub use loss::{ExpiredLease, HostLoss, LossCause};
pub use record::{Closed, Ended, QueueDefined, Record, Snapshot, TaskRow, TeamUse};
pub use task::{StepId, TaskId};
pub use timing::{PreemptionTiming, Timing};
pub use waiting::{CallLoad, LastCall, WaitReason, WaitingStep};
