//! The part of the operators' configuration that steers decisions.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sycamore_types::Name;
use sycamore_types::resources::Resources;

/// Queues and teams of one version of the configuration.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Catalog {
    /// Version of the configuration.
    pub version: u64,
    /// Queues by name.
    pub queues: BTreeMap<Name, Queue>,
    /// Teams by name.
    pub teams: BTreeMap<Name, Team>,
}

/// How the work of a queue is treated.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Queue {
    /// Service whose workers run the queue's tasks.
    pub service: Name,
    /// Priority class; 0 goes first.
    pub priority: u32,
    /// Failed attempts of a task after which its job has failed.
    pub max_attempts: u32,
    /// Multiple of the longest chain of work that the objective allows.
    pub slack_factor: f64,
    /// Allowance of the objective on top of the chain, in milliseconds.
    pub objective_ms: u64,
    /// Cost of placement advice, where the queue needs it.
    pub advice: Option<AdviceCost>,
}

/// Cost and validity of placement advice.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct AdviceCost {
    /// Time of each call, in milliseconds.
    pub base_ms: f64,
    /// Further time for each worker asked about, in milliseconds.
    pub per_host_ms: f64,
    /// Life of a ticket, in milliseconds.
    pub valid_ms: u64,
}

impl AdviceCost {
    /// Expected length of a call about so many workers, in milliseconds.
    pub(crate) fn call_ms(&self, hosts: usize) -> f64 {
        self.base_ms + self.per_host_ms * hosts as f64
    }
}

/// What a team was promised.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Team {
    /// Weight of the team's share while everything is full.
    pub weight: u32,
    /// Most that the team may have running over all hosts. Zero means no limit.
    pub limit: Resources,
}
