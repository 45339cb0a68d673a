//! Decisions of the engine, with the inputs that led to them.
//!
//! They go to the audit records, not to the log: a successor does not need them to rebuild
//! its state.

use sycamore_types::Name;

use crate::host::RunEnd;
use crate::job::{self, State};
use crate::{Rank, StepId, TaskId};

/// Decision of the engine, as the audit records keep it.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// Team that owns the job.
    pub team: Name,
    /// Version of the configuration in force.
    pub config: u64,
    /// What was decided.
    pub verdict: Verdict,
}

/// What was decided.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// A job was accepted.
    Accepted(job::Id),
    /// A task was placed on a host.
    Placed {
        /// Task that is started.
        task: TaskId,
        /// Attempt number of the start.
        attempt: u32,
        /// Host that runs the task.
        host: Name,
        /// Why the task was started then and there.
        grounds: Grounds,
    },
    /// A run ended.
    Ended {
        /// Task of the run.
        task: TaskId,
        /// Attempt number of the run.
        attempt: u32,
        /// Host of the run.
        host: Name,
        /// How the run ended.
        how: RunEnd,
    },
    /// A job was given up because hosts crash under one of its tasks.
    GivenUp {
        /// The task.
        task: TaskId,
        /// Number of hosts that crashed or were lost under it.
        crashes: u32,
    },
    /// A job reached its final state.
    Closed(job::Id, State),
    /// A run is stopped to give room to a step of a more urgent queue. A best-effort run is stopped so
    /// that its host may run a step with a latency objective.
    Preempted {
        /// Task of the run.
        task: TaskId,
        /// Attempt number of the run.
        attempt: u32,
        /// Host of the run.
        host: Name,
        /// Step that gets the room.
        beneficiary: StepId,
        /// Work that is lost and time to resume, in core-milliseconds.
        cost_core_ms: u64,
    },
    /// A run that uses room kept for a gang is stopped, as only such runs are in its way.
    Recalled {
        /// Task of the run.
        task: TaskId,
        /// Attempt number of the run.
        attempt: u32,
        /// Host of the run.
        host: Name,
        /// The gang.
        beneficiary: StepId,
        /// Work that is lost, in core-milliseconds.
        cost_core_ms: u64,
    },
}

/// Inputs of the decision to start a task at this moment on this host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Grounds {
    /// Rank of the step among all waiting steps.
    pub rank: Rank,
    /// Position of the step in the order of waiting steps, from 1.
    pub place: u32,
    /// Number of waiting steps.
    pub waiting: u32,
    /// Time since the job became due, in milliseconds.
    pub waited_ms: u64,
    /// Dominant share of the team before the decision, as a fraction of the capacity.
    pub share: f64,
    /// What the team is entitled to as a part of what it has used in the past, from 0.5 to 1.
    /// `None` where past use plays no part.
    pub usage_factor: Option<f64>,
    /// CPU that was free on the host, in thousandths of a core.
    pub free_cpu_millis: u32,
    /// Age of the host's last report, in milliseconds.
    pub report_age_ms: u64,
    /// Remaining lifetime of the advice ticket, in milliseconds, if one was needed.
    pub ticket_left_ms: Option<u64>,
    /// Time for which the step had waited for its turn to call for advice, or a gang for room, in
    /// milliseconds. `None` if its rank decided its place.
    pub turn_wait_ms: Option<u64>,
}
