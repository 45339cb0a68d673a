use displaydoc::Display;

use crate::StepId;

/// Why a step's tasks wait.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum WaitReason {
    /// workers of the owner before are not all accounted for
    Recovering,
    /// runs of the gang's last attempt have not all ended
    GangEnding,
    /// the team is at its limit
    TeamLimit,
    /// the job is not durable yet
    NotDurable,
    /// no worker with room may run it
    NoRoom,
    /// advice is under way
    AdvicePending,
    /// steps that go first take all calls for advice
    AdviceBusy,
}

/// A step that waits.
#[derive(Clone, Copy, Debug)]
pub struct WaitingStep {
    /// The step.
    pub step: StepId,
    /// Time since it was due, in milliseconds.
    pub age_ms: u64,
    /// Why it waits.
    pub reason: WaitReason,
    /// Workers that advice has allowed.
    pub allowed: usize,
    /// Workers that advice has denied.
    pub denied: usize,
}
