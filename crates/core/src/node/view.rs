use std::time::Duration;

use sycamore_types::Name;
use sycamore_types::id::{self, Epoch, Revision};
use sycamore_types::resources::Resources;

use super::Node;
use crate::shard::Phase;

/// What one shard of a process looks like, for metrics and tests.
#[derive(Clone, Debug, PartialEq)]
pub struct ShardView {
    /// The shard.
    pub id: id::Shard,
    /// Epoch of this owner.
    pub epoch: Epoch,
    /// How far the owner has come with the shard.
    pub phase: Phase,
    /// Number of tasks and requests that run or may run.
    pub running: usize,
    /// Number of tasks and requests that wait.
    pub waiting: u32,
    /// Number of jobs on record.
    pub jobs: usize,
    /// Room on hosts that may get new work.
    pub free: Resources,
}

/// What a process looks like from outside, for metrics and tests.
#[derive(Clone, Debug, PartialEq)]
pub struct View {
    /// Present identity.
    pub member: id::Member,
    /// Time until which work may be started.
    pub deadline: Option<Duration>,
    /// Only promises of peers carry the process.
    pub is_riding_out: bool,
    /// Revision of the configuration in force.
    pub config: Revision,
    /// The shards it owns.
    pub shards: Vec<ShardView>,
}

impl Node {
    /// Returns everything that runs or may run, with its host.
    pub fn running(&self) -> Vec<(id::Task, Name)> {
        let tasks = self.shards.values().flat_map(|shard| shard.running_tasks());
        tasks.map(|(task, host)| (task.clone(), host.clone())).collect()
    }

    /// Returns the number of tasks and requests of a team that wait.
    pub fn waiting_of(&self, team: &str) -> u32 {
        self.shards.values().map(|shard| shard.waiting_of(team)).sum()
    }

    /// Describes the process at a moment.
    pub fn view(&self, now: Duration) -> View {
        View {
            member: self.member().clone(),
            deadline: self.lease.deadline(),
            is_riding_out: self.lease.is_riding_out(now),
            config: self.config_revision,
            shards: self.shards.values().map(describe).collect(),
        }
    }
}

fn describe(shard: &crate::shard::Shard) -> ShardView {
    ShardView {
        id: shard.id.clone(),
        epoch: shard.epoch,
        phase: shard.phase.clone(),
        running: shard.running_tasks().len(),
        waiting: shard.waiting(),
        jobs: shard.jobs(),
        free: shard.free(),
    }
}
