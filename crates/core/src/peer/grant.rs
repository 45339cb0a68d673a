//! Grants, by which the planner tells an owner its part of the team limits.
//!
//! A grant repeats what the ledger in the store says, so a lost one delays an owner but can't
//! put it over a limit.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sycamore_types::Name;
use sycamore_types::id::{self, Epoch, Revision};

/// The concurrency limits that the ledger grants to one shard.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Grant {
    /// The shard.
    pub shard: id::Shard,
    /// Epoch of the owner that the ledger grants to.
    pub epoch: Epoch,
    /// Revision of the ledger.
    pub revision: Revision,
    /// Value of [`Summary::lowerings`](super::Summary::lowerings) that the ledger reflects.
    #[serde(rename = "bound")]
    pub lowerings: u64,
    /// Tasks and requests that the shard may run at once, by team.
    pub teams: BTreeMap<Name, u32>,
    /// Limits of the whole fleet that `teams` was divided from, by team.
    pub limits: BTreeMap<Name, u32>,
}
