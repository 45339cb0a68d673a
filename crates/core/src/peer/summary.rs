use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sycamore_types::id::{Epoch, Revision};
use sycamore_types::resources::Resources;
use sycamore_types::{Name, id};

/// What one team has and wants in one shard.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Demand {
    /// Tasks and requests that run or may run.
    pub running: u32,
    /// Tasks and requests that wait.
    pub waiting: u32,
    /// Most that the owner has bound itself to run until told otherwise.
    pub cap: u32,
    /// Capacity that the running work takes.
    pub used: Resources,
}

/// What an owner tells the planner of limits about one shard.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Summary {
    /// The shard.
    pub shard: id::Shard,
    /// Epoch of the owner.
    pub epoch: Epoch,
    /// Revision of the ledger that the owner goes by.
    pub ledger: Revision,
    /// Grows each time the owner lowers a cap. The ledger notes the latest one it reflects.
    #[serde(rename = "bound")]
    pub lowerings: u64,
    /// Capacity of all hosts of the shard.
    pub capacity: Resources,
    /// Demand by team.
    pub teams: BTreeMap<Name, Demand>,
}
