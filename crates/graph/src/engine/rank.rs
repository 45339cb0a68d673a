//! Ranks the waiting steps.
//!
//! Steps that can still meet their objective, of teams within their share, come before all
//! others, whatever the priority class of their queue.

use rustc_hash::FxHashSet;
use sycamore_types::Name;
use sycamore_types::resources::Resources;

use super::Engine;
use super::backlog::{Shares, Urgency};
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
    /// How much more the team has used in the past than its weight entitles it to, from 0 to 10.
    /// Zero for steps that can meet their objective within the share of their team: these are
    /// served by need.
    pub past_use: u8,
    /// Time left until the step has to start for the job to meet its objective, in
    /// milliseconds. Negative if it is too late.
    pub slack_ms: i64,
}

impl Engine {
    /// Returns what the rank of a step depends on. `None` if the step's queue is not known.
    pub(super) fn urgency(&self, step_id: StepId) -> Option<Urgency> {
        let job = self.jobs.get(&step_id.job)?;
        let queue = self.queues.get(&job.queue)?;
        let objective_ms =
            queue.slack_factor * job.critical_path_ms as f64 + queue.objective_ms as f64;
        let remaining_ms =
            job.remaining_path_ms.get(usize::from(step_id.index)).copied().unwrap_or(0) as i64;
        let last_value_ms = (HOPELESS_FACTOR * objective_ms) as i64;
        let due_unix_ms = job.due_unix_ms(step_id.occurrence) as i64;
        Some(Urgency {
            team: job.team.clone(),
            priority: queue.priority,
            latest_start_unix_ms: due_unix_ms + objective_ms as i64 - remaining_ms,
            hopeless_unix_ms: due_unix_ms + last_value_ms - remaining_ms,
            gang_since_ms: None,
        })
    }

    /// Returns the total capacity of the listed hosts outside evacuated failure domains, as the last
    /// event or pass has left them.
    pub(super) fn listed_capacity(&self) -> Resources {
        self.totals.capacity()
    }

    /// Returns what ranks take from the teams now.
    pub(super) fn shares(&self, capacity: &Resources) -> Shares {
        let over_share = self.teams_over_share(capacity);
        let teams = self.catalog.teams.keys();
        let past_use =
            teams.map(|team| (team.clone(), self.past_use.level(team, self.entitlement(team))));
        Shares { over_share, past_use: past_use.filter(|(_, level)| *level > 0).collect() }
    }

    /// Returns the teams that use more than their weighted share of `capacity`.
    pub(super) fn teams_over_share(&self, capacity: &Resources) -> FxHashSet<Name> {
        let total: u64 = self.catalog.teams.values().map(|team| u64::from(team.weight)).sum();
        let is_over = |(name, team): &(&Name, &Team)| {
            let share = f64::from(team.weight) / total.max(1) as f64;
            let used =
                self.team_usage.get(*name).map_or(0.0, |usage| usage.dominant_share(capacity));
            used > share * SHARE_TOLERANCE_FACTOR
        };
        self.catalog.teams.iter().filter(is_over).map(|(name, _)| name.clone()).collect()
    }
}
