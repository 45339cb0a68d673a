use serde::{Deserialize, Serialize};
use sycamore_types::Name;
use sycamore_types::resources::Resources;

/// How a run ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunEnd {
    /// It has done its work.
    Done,
    /// It has failed, through its own fault or the worker's.
    Failed,
    /// It was told to stop.
    Stopped,
    /// The worker's lease ended.
    #[serde(rename = "lapsed")]
    LeaseExpired,
    /// Another member of its gang ended.
    #[serde(rename = "broken")]
    GangBroken,
    /// It waited too long for the other members of its gang.
    #[serde(rename = "alone")]
    GangTimedOut,
}

/// Where a run stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Phase {
    /// The start order is under way.
    Ordered,
    /// The start order got no answer.
    Unconfirmed,
    /// The worker has taken the start order.
    Running,
}

/// One start of a task on one worker.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub phase: Phase,
    /// What it takes of the worker.
    pub footprint: Resources,
    /// What it takes of the team's limit.
    pub size: Resources,
    pub team: Name,
    /// Time on the worker's clock after which the order is void, in milliseconds.
    pub deadline_ms: u64,
    /// Looks after this one show the run if it is there.
    pub visible_after_poll: u64,
    /// A stop is wanted.
    pub is_stopping: bool,
    /// A stop order is under way.
    pub is_stop_sent: bool,
    /// The stop was taken before looks after this one.
    pub stop_accepted_at_poll: Option<u64>,
    /// The task has a latency objective.
    pub has_objective: bool,
    /// The task uses processor time that others leave.
    pub is_best_effort: bool,
    /// The task runs until its job is cancelled.
    pub is_service: bool,
    /// Declared run time, in milliseconds.
    pub estimate_ms: u64,
    /// Last progress seen, in percent.
    pub percent: u8,
    /// Time at which the progress last changed, in milliseconds.
    pub last_progress_ms: u64,
}

impl Run {
    /// Tells whether the run should be moving on.
    pub fn should_progress(&self) -> bool {
        self.phase == Phase::Running && !self.is_stopping && !self.is_service && self.percent < 100
    }
}
