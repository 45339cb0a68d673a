use sycamore_types::Name;

use crate::job::State;
use crate::{CallClass, Decision, Record, StepId, TaskId};

/// Start a task on a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Start {
    /// The worker.
    pub host: Name,
    /// The task.
    pub task: TaskId,
    /// Number of the start.
    pub attempt: u32,
    /// Handed to the task.
    pub payload: Name,
    /// Time on the worker's clock after which the order is void, in milliseconds.
    pub deadline_ms: u64,
    /// Ticket of the advice service, where the queue needs one.
    pub ticket: Option<Name>,
    /// Progress to go on from. Empty for none.
    pub checkpoint: Name,
}

/// Stop a run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Stop {
    /// The worker.
    pub host: Name,
    /// The task.
    pub task: TaskId,
    /// Number of the start.
    pub attempt: u32,
}

/// Look at a worker and renew the lease of what it runs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Poll {
    /// The worker.
    pub host: Name,
    /// Number of the look.
    pub number: u64,
    /// Ends up to this number may be forgotten.
    pub ack: u64,
    /// End of the lease on the worker's clock, in milliseconds. `None` leaves it.
    pub deadline_ms: Option<u64>,
    /// Time to wait for an end, in milliseconds.
    pub wait_ms: u64,
}

/// Ask which workers may run a step.
#[derive(Clone, Debug, PartialEq)]
pub struct Advise {
    /// The step.
    pub step: StepId,
    /// Length class of the call.
    pub class: CallClass,
    /// Workers to ask about.
    pub hosts: Vec<Name>,
    /// Expected time of the call, in milliseconds.
    pub cost_ms: f64,
}

/// What a caller is told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answer {
    /// The job is accepted and durable.
    Accepted,
    /// The job is cancelled, and that is durable.
    Cancelled,
    /// State of a job.
    State(State),
    /// Number of jobs that wait.
    Count(u64),
    /// No such job.
    NoSuchJob,
}

/// What the engine asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Keep a record, after all earlier ones.
    Append(Record),
    /// Answer a caller.
    Answer {
        /// Token of the event.
        token: u64,
        /// The answer.
        answer: Answer,
    },
    /// Start a task.
    Start(Start),
    /// Stop a run.
    Stop(Stop),
    /// Look at a worker.
    Poll(Poll),
    /// Ask for advice.
    Advise(Advise),
    /// Put a decision on record.
    RecordDecision(Decision),
    /// A worker has seen a higher fencing token: this owner is deposed.
    Deposed,
}
