//! Summaries, by which an owner reports usage and demand to the planner.
//!
//! A summary also confirms how far the owner has lowered its caps. The planner gives tokens to
//! another shard only after that, so that the sum of all caps never exceeds a limit.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sycamore_types::id::{Epoch, Revision};
use sycamore_types::resources::Resources;
use sycamore_types::{Name, id};

/// What one team runs, and wants to run, in one shard.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Demand {
    /// Number of tasks and requests that run or may run.
    pub running: u32,
    /// Number of tasks and requests that wait.
    pub waiting: u32,
    /// Number of tasks and requests that the owner runs at most until it is granted more.
    pub cap: u32,
    /// Capacity that the running work takes up.
    pub used: Resources,
}

/// An owner's report on one shard to the planner, which divides team limits among shards.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Summary {
    /// The shard.
    pub shard: id::Shard,
    /// Epoch of the owner.
    pub epoch: Epoch,
    /// Revision of the ledger that the owner applies.
    pub ledger: Revision,
    /// Number of times that the owner has lowered a cap. The ledger records the number
    /// that it reflects.
    #[serde(rename = "bound")]
    pub lowerings: u64,
    /// Total capacity of the hosts of the shard.
    pub capacity: Resources,
    /// Demand by team.
    pub teams: BTreeMap<Name, Demand>,
}
