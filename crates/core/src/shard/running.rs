//! Tasks that run or may run.
//!
//! A task counts as running, and takes capacity, from the decision to start it
//! until it certainly no longer runs. So a lost message can leave capacity unused
//! for a while, but can't overload a host.

use std::time::Duration;

use sycamore_types::Name;
use sycamore_types::resources::Resources;

use crate::caller::Token;

/// Reason for which a task was started.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Origin {
    /// Task of a job.
    Job,
    /// Interactive request of a caller that is connected to this process.
    Request(Token),
    /// Interactive request that this process no longer serves: a previous owner
    /// started it, or the caller's connection to the worker broke.
    Adopted,
}

/// Progress of the start or stop of a task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Stage {
    /// The log entry of the start is not durable yet, and nothing was sent.
    Logging,
    /// The start was sent, and no reply has arrived.
    Starting,
    /// The start can no longer reach the worker after this time. So a poll that
    /// was sent later and does not list the task proves that it does not run.
    Settled(Duration),
    /// A stop was sent. The time means the same as in `Settled`.
    Stopping(Duration),
}

/// A task that runs or may run, and takes capacity.
#[derive(Clone, Debug)]
pub(crate) struct Running {
    pub(crate) team: Name,
    pub(crate) size: Resources,
    pub(crate) host: Name,
    pub(crate) origin: Origin,
    pub(crate) stage: Stage,
    pub(crate) started_at: Duration,
    /// The task may be stopped in favour of urgent work or a lowered limit.
    pub(crate) is_preemptible: bool,
    /// Declared run time in milliseconds, zero if unknown.
    pub(crate) run_ms: u64,
}

impl Running {
    /// Returns whether the outcome of the start is still open.
    pub(crate) fn is_starting(&self) -> bool {
        matches!(self.stage, Stage::Logging | Stage::Starting)
    }

    /// Returns whether a poll that was sent at `sent_at` and does not list the
    /// task proves that the task does not run.
    pub(crate) fn is_ruled_out_by(&self, sent_at: Duration) -> bool {
        match self.stage {
            Stage::Logging | Stage::Starting => false,
            Stage::Settled(at) | Stage::Stopping(at) => sent_at >= at,
        }
    }
}
