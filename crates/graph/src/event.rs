use std::sync::Arc;

use sycamore_types::Name;
use sycamore_types::resources::Resources;

use crate::catalog::Catalog;
use crate::host::RunEnd;
use crate::job::{self, Spec};
use crate::{CallClass, StepId, TaskId};

/// The time at which an event is handled.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Moment {
    /// Steady clock of the owner, in milliseconds.
    pub monotonic_ms: u64,
    /// Time of day, in milliseconds since 1970.
    pub unix_ms: u64,
}

/// A worker as the platform's list shows it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HostEntry {
    /// Name of the worker.
    pub id: Name,
    /// Start of this incarnation, in milliseconds since 1970.
    pub incarnation: u64,
    /// Service that the worker belongs to.
    pub service: Name,
    /// What the worker can hold.
    pub capacity: Resources,
    /// Labels of the worker.
    pub labels: Arc<[Name]>,
    /// Rack that the worker stands in.
    pub rack: Name,
    /// The worker is leaving.
    pub is_draining: bool,
}

/// What a worker answered to a look.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Start of the incarnation that answered, in milliseconds since 1970.
    pub incarnation: u64,
    /// The worker's clock, in milliseconds.
    pub clock_ms: u64,
    /// Runs that are there: task, attempt, checkpoint, percent.
    pub running: Vec<(TaskId, u32, Name, u8)>,
    /// Ends in order: number, task, attempt, how, checkpoint.
    pub ended: Vec<(u64, TaskId, u32, RunEnd, Name)>,
    /// More ends are waiting than fit into one answer.
    pub is_truncated: bool,
}

/// What became of a start order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartOutcome {
    /// The run is there.
    Started,
    /// The order was certainly not carried out and never will be.
    Rejected,
    /// The worker has seen a higher fencing token.
    Fenced,
    /// The worker lacks the room.
    NoRoom,
    /// The ticket was not accepted.
    BadTicket,
    /// Another incarnation answers at this address.
    Gone,
    /// Nobody can tell.
    Unknown,
}

/// What the engine is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A newer configuration is in force.
    Configured(Catalog),
    /// The platform's list of workers was read.
    Listed(Vec<HostEntry>),
    /// A caller hands in a job.
    Submit {
        /// Answered with this token.
        token: u64,
        /// Name of the job.
        job: job::Id,
        /// Queue that takes it.
        queue: Name,
        /// Team that it counts for.
        team: Name,
        /// What is to be done.
        spec: Spec,
    },
    /// A caller cancels a job.
    Cancel {
        /// Answered with this token.
        token: u64,
        /// Name of the job.
        job: job::Id,
        /// Team of the caller.
        team: Name,
    },
    /// A caller asks for the state of a job.
    Query {
        /// Answered with this token.
        token: u64,
        /// Name of the job.
        job: job::Id,
        /// Team of the caller.
        team: Name,
    },
    /// A caller asks how many jobs of a queue wait.
    Count {
        /// Answered with this token.
        token: u64,
        /// The queue.
        queue: Name,
    },
    /// So many records, counted from the first, are durable.
    Committed(u64),
    /// A worker answered a look.
    Polled {
        /// The worker.
        host: Name,
        /// Number of the look.
        poll: u64,
        /// Its answer.
        report: Report,
    },
    /// A look got no answer.
    PollFailed {
        /// The worker.
        host: Name,
        /// Number of the look.
        poll: u64,
        /// Another incarnation answers at the worker's address.
        is_gone: bool,
    },
    /// A start order got its outcome.
    Started {
        /// The worker.
        host: Name,
        /// The task.
        task: TaskId,
        /// Number of the start.
        attempt: u32,
        /// What became of it.
        outcome: StartOutcome,
        /// The worker's clock, in milliseconds. Zero when unknown.
        clock_ms: u64,
    },
    /// A stop order was answered, or not.
    Stopped {
        /// The worker.
        host: Name,
        /// The task.
        task: TaskId,
        /// Number of the start.
        attempt: u32,
        /// The worker has taken the order.
        is_accepted: bool,
    },
    /// So many calls for advice can be under way at once, by class of their length.
    AdviceConcurrency([u32; CallClass::COUNT]),
    /// Advice came for a step.
    Advised {
        /// The step.
        step: StepId,
        /// Length class of the call.
        class: CallClass,
        /// Workers that were asked about.
        asked: Vec<Name>,
        /// Workers that may run the step, with their tickets. `None` when the call failed.
        allowed: Option<Vec<(Name, Name)>>,
        /// Time since the advice was given, at most, in milliseconds.
        age_ms: u64,
    },
}
