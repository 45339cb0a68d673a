//! What a waiting step requires of the hosts in one dispatch pass.

use sycamore_types::resources::Resources;

use super::isolation::Isolation;
use super::lending::Borrower;
use crate::StepId;

/// Requirements of a step, looked up once per pass.
pub(super) struct Demand {
    pub step_id: StepId,
    pub is_gang: bool,
    pub prefers_one_rack: bool,
    /// Resources of a host that one task takes up.
    pub footprint: Resources,
    /// Whether the tasks have a latency objective.
    pub has_objective: bool,
    pub is_best_effort: bool,
    pub isolation: Isolation,
    /// Whether the step gets room that is kept for gangs.
    pub borrower: Borrower,
    /// Completing the job has no value any more.
    pub is_hopeless: bool,
    /// The wait of the step for a call for advice decides its place among such steps.
    pub is_in_turn: bool,
    /// Tasks that wait to be started.
    pub waiting: u32,
    /// Most tasks that the team's limit allows to start now.
    pub within_limit: u32,
}

impl Demand {
    /// Returns how many tasks may start now if there is capacity for them.
    pub fn wanted(&self) -> u32 {
        self.waiting.min(self.within_limit)
    }
}
