//! Read-only views of a node, for metrics and tests.

use std::time::Duration;

use sycamore_types::Name;
use sycamore_types::id::{self, Epoch, Revision};
use sycamore_types::resources::Resources;

use super::Node;
use crate::shard::Phase;

/// The state of one shard of a process, for metrics and tests.
#[derive(Clone, Debug, PartialEq)]
pub struct ShardView {
    /// The shard.
    pub id: id::Shard,
    /// Epoch in which the process owns the shard.
    pub epoch: Epoch,
    /// Phase that the shard is in, from takeover to handover.
    pub phase: Phase,
    /// Number of tasks and requests that run or may run.
    pub running: usize,
    /// Number of tasks and requests that wait.
    pub waiting: u32,
    /// Number of jobs that the owner keeps, with finished ones within the retention time.
    pub jobs: usize,
    /// Free capacity of the hosts that are reachable and neither leaving nor drained.
    pub free: Resources,
}

/// The state of a process, for metrics and tests.
#[derive(Clone, Debug, PartialEq)]
pub struct View {
    /// Present identity of the process.
    pub member: id::Member,
    /// Monotonic time of the process until which it may start work. `None` without a
    /// lease.
    pub deadline: Option<Duration>,
    /// Whether the lease has expired and the process may start work only by promises of its
    /// peers.
    pub is_lease_extended: bool,
    /// Revision of the configuration in force.
    pub config: Revision,
    /// Shards that the process owns.
    pub shards: Vec<ShardView>,
}

impl Node {
    /// Returns all tasks and requests that run or may run, each with its host.
    pub fn running(&self) -> Vec<(id::Task, Name)> {
        let tasks = self.shards.values().flat_map(|shard| shard.running_tasks());
        tasks.map(|(task, host)| (task.clone(), host.clone())).collect()
    }

    /// Returns the number of tasks and requests of a team that wait.
    pub fn waiting_of(&self, team: &str) -> u32 {
        self.shards.values().map(|shard| shard.waiting_of(team)).sum()
    }

    /// Returns the state of the process at the monotonic time `now`.
    pub fn view(&self, now: Duration) -> View {
        View {
            member: self.member().clone(),
            deadline: self.lease.deadline(),
            is_lease_extended: self.lease.is_extended(now),
            config: self.config_revision,
            shards: self.shards.values().map(shard_view).collect(),
        }
    }
}

fn shard_view(shard: &crate::shard::Shard) -> ShardView {
    ShardView {
        id: shard.id.clone(),
        epoch: shard.epoch,
        phase: shard.phase.clone(),
        running: shard.running_tasks().len(),
        waiting: shard.waiting(),
        jobs: shard.job_count(),
        free: shard.free(),
    }
}
