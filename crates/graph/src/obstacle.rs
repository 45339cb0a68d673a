use displaydoc::Display;

use crate::Step;

/// Why a step's tasks wait.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum Obstacle {
    /// workers of the owner before are not all accounted for
    Recovering,
    /// runs of the gang's last attempt have not all ended
    GangEnding,
    /// the team is at its limit
    Limit,
    /// the job is not durable yet
    NotDurable,
    /// no worker with room may run it
    NoRoom,
    /// advice is under way
    Advice,
    /// steps that go first take all calls for advice
    AdviceTurn,
}

/// A step that waits.
#[derive(Clone, Copy, Debug)]
pub struct Wait {
    /// The step.
    pub step: Step,
    /// Time since it was due, in milliseconds.
    pub age_ms: u64,
    /// Why it waits.
    pub obstacle: Obstacle,
    /// Workers that advice has allowed.
    pub allowed: usize,
    /// Workers that advice has denied.
    pub denied: usize,
}
