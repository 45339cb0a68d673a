//! Ranks the waiting steps.
//!
//! Steps that can still meet their objective, of teams within their share, come before all
//! others, whatever the priority class of their queue.

use sycamore_types::Name;
use sycamore_types::resources::Resources;

use super::Engine;
use crate::StepId;
use crate::catalog::Team;

/// Multiple of its objective after which a job has no value any more, by the platform's
/// documentation.
const HOPELESS_FACTOR: f64 = 3.0;

/// Multiple of its weighted share above which a team is ranked behind the others.
const SHARE_TOLERANCE_FACTOR: f64 = 1.1;

/// Rank of a waiting step. Smaller ranks are served first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Rank {
    /// The job is so late that completing it has no value any more.
    pub is_hopeless: bool,
    /// The team uses more than its weighted share.
    pub is_over_share: bool,
    /// The objective can't be met any more. Serving such jobs first would make all others
    /// late in turn.
    pub is_late: bool,
    /// Priority class of the queue; 0 goes first.
    pub priority: u32,
    /// Time left until the step has to start for the job to meet its objective, in
    /// milliseconds. Negative if it is too late.
    pub slack_ms: i64,
}

impl Engine {
    /// Returns all waiting steps, the most urgent first.
    pub(super) fn ranked_steps(&self) -> Vec<(Rank, StepId)> {
        let over_share = self.teams_over_share();
        let rank = |step_id: &StepId| Some((self.rank(*step_id, &over_share)?, *step_id));
        let mut order: Vec<(Rank, StepId)> = self.ready_steps.iter().filter_map(rank).collect();
        order.sort_unstable();
        order
    }

    fn rank(&self, step_id: StepId, over_share: &[Name]) -> Option<Rank> {
        let job = self.jobs.get(&step_id.job)?;
        let queue = self.queues.get(&job.queue)?;
        let objective_ms =
            queue.slack_factor * job.critical_path_ms as f64 + queue.objective_ms as f64;
        let age_ms = self.now.unix_ms as i64 - job.due_unix_ms(step_id.occurrence) as i64;
        let remaining_ms =
            job.remaining_path_ms.get(usize::from(step_id.index)).copied().unwrap_or(0) as i64;
        let hopeless_ms = (HOPELESS_FACTOR * objective_ms) as i64;
        let slack_ms = objective_ms as i64 - age_ms - remaining_ms;
        Some(Rank {
            is_late: slack_ms < 0,
            is_hopeless: age_ms + remaining_ms > hopeless_ms,
            is_over_share: over_share.contains(&job.team),
            priority: queue.priority,
            slack_ms,
        })
    }

    pub(super) fn listed_capacity(&self) -> Resources {
        let listed = self.hosts.values().filter(|host| host.is_listed);
        listed.fold(Resources::default(), |sum, host| sum.plus(&host.entry.capacity))
    }

    fn teams_over_share(&self) -> Vec<Name> {
        let capacity = self.listed_capacity();
        let total: u64 = self.catalog.teams.values().map(|team| u64::from(team.weight)).sum();
        let is_over = |(name, team): &(&Name, &Team)| {
            let share = f64::from(team.weight) / total.max(1) as f64;
            let used =
                self.team_usage.get(*name).map_or(0.0, |usage| usage.dominant_share(&capacity));
            used > share * SHARE_TOLERANCE_FACTOR
        };
        self.catalog.teams.iter().filter(is_over).map(|(name, _)| name.clone()).collect()
    }
}
