//! One attempt of a task on a host, and how it can end.
//!
//! A run occupies capacity from the moment its start is requested until the host reports
//! its end or can't have it any more, so that a lost reply does not make a task run twice.

use serde::{Deserialize, Serialize};
use sycamore_types::Name;
use sycamore_types::resources::Resources;

/// How a run ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunEnd {
    /// The task completed.
    Done,
    /// The task failed, because of its own fault or the host's.
    Failed,
    /// The run was stopped on request.
    Stopped,
    /// The host's lease expired.
    #[serde(rename = "lapsed")]
    LeaseExpired,
    /// Another member of the gang ended, which ends the whole gang.
    #[serde(rename = "broken")]
    GangBroken,
    /// The run waited too long for the other members of its gang to start.
    #[serde(rename = "alone")]
    GangTimedOut,
    /// The host crashed, perhaps because of the run.
    #[serde(rename = "crashed")]
    HostCrashed,
    /// The host crashed because of another run. In the log, it withdraws the loss of an attempt that
    /// counted until then.
    Collateral,
}

/// What is known about the start of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Phase {
    /// The start request is in flight.
    Requested,
    /// The outcome of the start request is unknown.
    Unconfirmed,
    /// The host has the run.
    Running,
}

/// One attempt of a task on a host.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub phase: Phase,
    /// The known incarnation of the host has shown this owner that it has the run.
    pub is_confirmed: bool,
    /// The start request is from before the known incarnation, which may carry it out all the same.
    pub is_carried_over: bool,
    /// Time of the start request, in milliseconds.
    pub requested_ms: u64,
    /// Time at which a new checkpoint was last reported, or that of the start request, in
    /// milliseconds.
    pub checkpoint_ms: u64,
    /// The time since the request is not that of the whole task: an earlier owner started the
    /// run, or it resumed from a checkpoint.
    pub is_partial: bool,
    /// Resources that the run takes from the host's capacity.
    pub footprint: Resources,
    /// Resources that count against the team's limit.
    pub size: Resources,
    pub team: Name,
    /// Time on the host's clock after which it refuses the start request, in milliseconds.
    pub deadline_ms: u64,
    /// Number of the last poll that may have missed the run. The report of any later poll
    /// lists the run if it exists.
    pub visible_after_poll: u64,
    /// The run is to be stopped.
    pub is_stopping: bool,
    /// A stop request is in flight.
    pub is_stop_sent: bool,
    /// The stop request in flight is from before the known incarnation. Its acceptance doesn't keep
    /// that one from starting the run.
    pub is_stop_outdated: bool,
    /// Number of the last poll that was sent before the host's acceptance of the stop
    /// arrived. The report of any later poll no longer lists the run.
    pub stop_accepted_at_poll: Option<u64>,
    /// Time until which the run is isolated, in milliseconds.
    pub isolated_until_ms: Option<u64>,
    /// The task has a latency objective.
    pub has_objective: bool,
    /// The task uses only CPU time that other tasks leave idle.
    pub is_best_effort: bool,
    /// The task runs until its job is cancelled.
    pub is_service: bool,
    /// Declared duration, in milliseconds.
    pub estimate_ms: u64,
    /// Time from which the run may be stopped for the gangs whose room it uses, in milliseconds. `None` if
    /// it uses none, or may not be.
    pub lent_until_ms: Option<u64>,
    /// Last reported progress, in percent.
    pub percent: u8,
    /// Time at which the reported progress last changed, in milliseconds.
    pub last_progress_ms: u64,
}

impl Run {
    /// Returns the resources that stay in use until the job is cancelled or the run is moved.
    pub fn lasting_use(&self) -> Resources {
        let is_lasting = self.is_service && !self.is_best_effort;
        if is_lasting { self.footprint } else { Resources::default() }
    }

    /// Returns whether the run may be stopped for the gangs whose room it uses.
    pub fn is_loan_over(&self, now_ms: u64) -> bool {
        self.lent_until_ms.is_some_and(|until_ms| until_ms <= now_ms)
    }

    /// Returns the time that the run should still take, in milliseconds: by its progress if it has shown
    /// some, or else by its estimate. A run that takes longer is expected to go on for half of the
    /// time that it has taken.
    pub fn expected_rest_ms(&self, now_ms: u64) -> u64 {
        let elapsed_ms = now_ms.saturating_sub(self.requested_ms);
        let shown_ms = self.last_progress_ms.saturating_sub(self.requested_ms);
        let percent = u64::from(self.percent);
        let (rest_ms, since_ms) = match percent {
            1..100 if self.is_partial => (self.estimate_ms / 100 * (100 - percent), shown_ms),
            1..100 => (shown_ms * (100 - percent) / percent, shown_ms),
            _ => (self.estimate_ms, 0),
        };
        let end_ms = rest_ms.saturating_add(since_ms);
        if end_ms > elapsed_ms { end_ms - elapsed_ms } else { elapsed_ms / 2 }
    }

    /// Returns whether the reported progress of the run is expected to increase.
    pub fn should_progress(&self) -> bool {
        self.phase == Phase::Running && !self.is_stopping && !self.is_service && self.percent < 100
    }
}
