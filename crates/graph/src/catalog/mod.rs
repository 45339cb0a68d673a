//! Queues and teams: the part of the operators' configuration that affects scheduling.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sycamore_types::Name;
use sycamore_types::resources::Resources;

/// Queues and teams of one version of the configuration.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Catalog {
    /// Version of the configuration; a newer one has a higher number.
    pub version: u64,
    /// Queues by name.
    pub queues: BTreeMap<Name, Queue>,
    /// Teams by name.
    pub teams: BTreeMap<Name, Team>,
}

/// Scheduling settings of a queue.
///
/// The objective of a job is to finish within `slack_factor` times its critical path
/// plus `objective_ms` after it became due.
///
/// The log holds it in JSON: a further field needs a default, for definitions of older builds.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Queue {
    /// Service whose hosts run the queue's tasks.
    pub service: Name,
    /// Priority class; 0 is the highest priority.
    pub priority: u32,
    /// Number of failed attempts of one task after which its job fails.
    pub max_attempts: u32,
    /// Multiple of the job's critical path that its objective allows.
    pub slack_factor: f64,
    /// Time that the objective allows in addition, in milliseconds.
    pub objective_ms: u64,
    /// Cost of placement advice. `None` if the queue's tasks need no advice.
    pub advice: Option<AdviceCost>,
}

/// Duration of calls to the advice service and lifetime of its tickets.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct AdviceCost {
    /// Fixed duration of a call, in milliseconds.
    pub base_ms: f64,
    /// Additional duration for each host asked about, in milliseconds.
    pub per_host_ms: f64,
    /// Lifetime of a ticket, in milliseconds.
    pub valid_ms: u64,
}

impl AdviceCost {
    /// Returns the expected duration of a call about some number of hosts, in milliseconds.
    pub(crate) fn call_ms(&self, hosts: usize) -> f64 {
        self.base_ms + self.per_host_ms * hosts as f64
    }
}

/// Share and limit of a team.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Team {
    /// Weight of the team's share of the capacity while demand exceeds it.
    pub weight: u32,
    /// Most resources that the team's runs may use on all hosts together. Zero means
    /// unlimited, for each resource on its own.
    pub limit: Resources,
}
