use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sycamore_types::Name;
use sycamore_types::id::{self, Epoch, Revision};

/// What the ledger grants to one shard.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Grant {
    /// The shard.
    pub shard: id::Shard,
    /// Epoch that the ledger names for the shard.
    pub epoch: Epoch,
    /// Revision of the ledger.
    pub revision: Revision,
    /// Latest lowering of caps that the ledger reflects.
    #[serde(rename = "bound")]
    pub lowerings: u64,
    /// Tasks and requests that the shard may run at once, by team.
    pub teams: BTreeMap<Name, u32>,
    /// Limits that these were cut from, by team.
    pub limits: BTreeMap<Name, u32>,
}
