//! Which step goes first.

use sycamore_types::Name;
use sycamore_types::resources::Resources;

use super::Engine;
use crate::StepId;
use crate::catalog::Team;

/// Multiple of the objective after which a job earns nothing. Platform documentation.
const HOPELESS_FACTOR: f64 = 3.0;

/// Part by which a team may exceed its weighted share before it goes behind the others.
const SHARE_TOLERANCE: f64 = 1.1;

/// Order of a step among all that wait. Smaller goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Rank {
    /// The job can't earn anything any more.
    pub is_hopeless: bool,
    /// The team is over its weighted share.
    pub is_over_share: bool,
    /// The objective can't be met any more. Serving such jobs first would make all
    /// others late in turn.
    pub is_late: bool,
    /// Priority class of the queue.
    pub priority: u32,
    /// Time left until the job must go on to meet its objective, in milliseconds.
    pub slack_ms: i64,
}

impl Engine {
    /// Returns all steps that wait, first the one to serve first.
    pub(super) fn ranked(&self) -> Vec<(Rank, StepId)> {
        let over_share = self.teams_over_share();
        let rank = |key: &StepId| Some((self.rank(*key, &over_share)?, *key));
        let mut order: Vec<(Rank, StepId)> = self.ready.iter().filter_map(rank).collect();
        order.sort_unstable();
        order
    }

    fn rank(&self, key: StepId, over_share: &[Name]) -> Option<Rank> {
        let job = self.jobs.get(&key.job)?;
        let queue = self.queues.get(&job.queue)?;
        let objective_ms =
            queue.slack_factor * job.critical_path_ms as f64 + queue.objective_ms as f64;
        let age_ms = self.now.unix_ms as i64 - job.due_unix_ms(key.occurrence) as i64;
        let rest_ms =
            job.remaining_path_ms.get(usize::from(key.index)).copied().unwrap_or(0) as i64;
        let last_ms = (HOPELESS_FACTOR * objective_ms) as i64;
        let slack_ms = objective_ms as i64 - age_ms - rest_ms;
        Some(Rank {
            is_late: slack_ms < 0,
            is_hopeless: age_ms + rest_ms > last_ms,
            is_over_share: over_share.contains(&job.team),
            priority: queue.priority,
            slack_ms,
        })
    }

    pub(super) fn capacity(&self) -> Resources {
        let listed = self.hosts.values().filter(|host| host.is_listed);
        listed.fold(Resources::default(), |sum, host| sum.plus(&host.entry.capacity))
    }

    fn teams_over_share(&self) -> Vec<Name> {
        let capacity = self.capacity();
        let total: u64 = self.catalog.teams.values().map(|team| u64::from(team.weight)).sum();
        let is_over = |(name, team): &(&Name, &Team)| {
            let share = f64::from(team.weight) / total.max(1) as f64;
            let used = self.usage.get(*name).map_or(0.0, |usage| usage.dominant_share(&capacity));
            used > share * SHARE_TOLERANCE
        };
        self.catalog.teams.iter().filter(is_over).map(|(name, _)| name.clone()).collect()
    }
}
