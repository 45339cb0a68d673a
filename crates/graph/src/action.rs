//! What the engine asks its caller to carry out.
//!
//! The engine performs no I/O: it returns requests to hosts, replies to callers and log
//! records as values, so that tests can delay or lose any of them.

use sycamore_types::Name;

use crate::job::State;
use crate::{CallClass, Decision, ExpiredLease, HostLoss, Record, StepId, TaskId};

/// Request to a host to start a task.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Start {
    /// Host that runs the task.
    pub host: Name,
    /// Task to start.
    pub task: TaskId,
    /// Attempt number of the task; each start has a higher one than those before it.
    pub attempt: u32,
    /// Payload of the job, passed to the task unchanged.
    pub payload: Name,
    /// Time on the host's clock after which the host refuses the request, in milliseconds.
    pub deadline_ms: u64,
    /// Ticket of the advice service for this host, if the queue needs advice.
    pub ticket: Option<Name>,
    /// Checkpoint to resume from. Empty to start from the beginning.
    pub checkpoint: Name,
}

/// Request to a host to stop a run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Stop {
    /// Host that runs the task.
    pub host: Name,
    /// Task to stop.
    pub task: TaskId,
    /// Attempt number of the run to stop.
    pub attempt: u32,
}

/// Request to a host to report its runs, which also renews its lease.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Poll {
    /// Host to poll.
    pub host: Name,
    /// Number of the poll; the engine numbers the polls of all hosts in one sequence.
    pub number: u64,
    /// Number of the last run end that is durable. The host may drop it and all before it.
    pub ack: u64,
    /// New end of the lease on the host's clock, in milliseconds. `None` does not renew it.
    pub deadline_ms: Option<u64>,
    /// Longest time that the host may wait for a run to end before it replies, in
    /// milliseconds.
    pub wait_ms: u64,
}

/// Request to the advice service: which of these hosts may run a step.
#[derive(Clone, Debug, PartialEq)]
pub struct Advise {
    /// Step to place.
    pub step: StepId,
    /// Duration class of the call.
    pub class: CallClass,
    /// Hosts to ask about.
    pub hosts: Vec<Name>,
    /// Expected duration of the call, in milliseconds.
    pub cost_ms: f64,
    /// Time for which the step has waited since its last call, in milliseconds.
    pub waited_ms: u64,
}

/// Reply to a caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answer {
    /// The job is accepted, and its acceptance is durable.
    Accepted,
    /// The job is cancelled, and its cancellation is durable.
    Cancelled,
    /// State of the job.
    State(State),
    /// Number of jobs of a queue of which no task has started.
    Count(u64),
    /// The job is unknown or belongs to another team.
    NoSuchJob,
    /// The job was refused and has no effect: its queue is restricted, and more jobs wait than it
    /// can start in time.
    Overloaded,
    /// The job was refused and has no effect: there is no memory for more jobs of its team.
    NoMemory,
}

/// Effect that the engine asks its caller to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Appends a record to the log, after all earlier ones.
    Append(Record),
    /// Replies to a caller.
    Answer {
        /// Token of the event that the reply belongs to.
        token: u64,
        /// The reply.
        answer: Answer,
    },
    /// Starts a task on a host.
    Start(Start),
    /// Stops a run on a host.
    Stop(Stop),
    /// Polls a host and renews its lease.
    Poll(Poll),
    /// Calls the advice service.
    Advise(Advise),
    /// Adds a decision to the audit records.
    RecordDecision(Decision),
    /// Reports the loss of a host with its runs to operators.
    ReportLoss(HostLoss),
    /// Reports to operators that a lease counts as expired.
    ReportExpiredLease(ExpiredLease),
    /// Reports the past use of the teams to operators: team, use in seconds of the whole capacity,
    /// factor.
    ReportTeamUse(Vec<(Name, f64, f64)>),
    /// Reports to operators that a queue is restricted, since its jobs bring hosts down.
    ReportRestriction(Name),
    /// Reports that room which runs had given up for a step was not used by it in time.
    ReportUnusedReservation {
        /// Step that the room was reserved for.
        step: StepId,
        /// Host of the room.
        host: Name,
    },
    /// Ends this owner: a host has seen a higher fencing token.
    Deposed,
}
