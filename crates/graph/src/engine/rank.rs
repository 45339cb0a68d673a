//! Which step goes first.

use sycamore_types::resources::Resources;

use super::Engine;
use crate::Step;

/// Multiple of the objective after which a job earns nothing. Platform documentation.
const HOPELESS_FACTOR: f64 = 3.0;

/// Part by which a team may exceed its weighted share before it goes behind the others.
const SHARE_TOLERANCE: f64 = 1.1;

/// Order of a step among all that wait. Smaller goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Rank {
    is_hopeless: bool,
    is_over_share: bool,
    priority: u32,
    /// Time left until the job must go on to meet its objective, in milliseconds.
    slack_ms: i64,
}

impl Engine {
    /// Returns all steps that wait, first the one to serve first.
    pub(super) fn ranked(&self) -> Vec<(Rank, Step)> {
        let capacity = self.capacity();
        let mut order: Vec<(Rank, Step)> =
            self.ready.iter().filter_map(|key| Some((self.rank(*key, &capacity)?, *key))).collect();
        order.sort_unstable();
        order
    }

    fn capacity(&self) -> Resources {
        let listed = self.hosts.values().filter(|host| host.is_listed);
        listed.fold(Resources::default(), |sum, host| sum.plus(&host.entry.capacity))
    }

    fn rank(&self, key: Step, capacity: &Resources) -> Option<Rank> {
        let job = self.jobs.get(&key.job)?;
        let queue = self.queues.get(&job.queue)?;
        let chain_ms = job.spec.longest_chain_ms() as f64;
        let objective_ms = queue.slack_factor * chain_ms + queue.objective_ms as f64;
        let age_ms = self.now.unix_ms as i64 - job.due_unix_ms(key.occurrence) as i64;
        let rest_ms = job.rest_of_chain_ms(key.index) as i64;
        let slack_ms = objective_ms as i64 - age_ms - rest_ms;
        let last_ms = (HOPELESS_FACTOR * objective_ms) as i64;
        Some(Rank {
            is_hopeless: age_ms + rest_ms > last_ms,
            is_over_share: self.is_over_share(&job.team, capacity),
            priority: queue.priority,
            slack_ms,
        })
    }

    fn is_over_share(&self, team: &str, capacity: &Resources) -> bool {
        let Some(own) = self.catalog.teams.get(team) else { return false };
        let total: u64 = self.catalog.teams.values().map(|team| u64::from(team.weight)).sum();
        if total == 0 {
            return false;
        }
        let share = f64::from(own.weight) / total as f64;
        let used = self.usage.get(team).map_or(0.0, |usage| usage.dominant_share(capacity));
        used > share * SHARE_TOLERANCE
    }
}
