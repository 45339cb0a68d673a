use std::time::Duration;

use sycamore_types::Name;
use sycamore_types::resources::Resources;

use crate::caller::Token;

/// What a task was started for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Origin {
    /// A task of a job that this owner has on record.
    Job,
    /// An interactive request that a caller of this process waits for.
    Request(Token),
    /// A request of an earlier owner, known only from the worker's list.
    Adopted,
}

/// How far a task has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Stage {
    /// The start is being put on record, and nothing was sent.
    Logging,
    /// The start was sent and not answered yet.
    Starting,
    /// The worker has it, or may have it. A poll that was sent after this time
    /// and does not list the task proves that it does not run.
    Settled(Duration),
    /// A stop was sent.
    Stopping(Duration),
}

/// Something that runs or may run, and takes capacity.
#[derive(Clone, Debug)]
pub(crate) struct Running {
    pub(crate) team: Name,
    pub(crate) size: Resources,
    pub(crate) host: Name,
    pub(crate) origin: Origin,
    pub(crate) stage: Stage,
    pub(crate) started_at: Duration,
    /// It may be stopped to make room.
    pub(crate) is_preemptible: bool,
    pub(crate) run_ms: u64,
}

impl Running {
    /// Tells whether a start is on its way.
    pub(crate) fn is_starting(&self) -> bool {
        matches!(self.stage, Stage::Logging | Stage::Starting)
    }

    /// Tells whether a poll sent at `sent_at` that does not list the task
    /// proves that it does not run.
    pub(crate) fn is_ruled_out_by(&self, sent_at: Duration) -> bool {
        match self.stage {
            Stage::Logging | Stage::Starting => false,
            Stage::Settled(at) | Stage::Stopping(at) => sent_at >= at,
        }
    }
}
