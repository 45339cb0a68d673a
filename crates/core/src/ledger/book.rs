use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sycamore_types::Name;
use sycamore_types::id::{self, Epoch, Revision};

/// What one shard holds.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Epoch of the owner that the tokens were last granted to.
    pub epoch: Epoch,
    /// Latest lowering of caps by that owner which the account reflects.
    #[serde(rename = "bound")]
    pub lowerings: u64,
    /// Tokens by team.
    pub tokens: BTreeMap<Name, u32>,
}

/// The ledger: tokens of every team in every shard.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Ledger {
    /// Revision of the configuration that the limits were taken from.
    pub config: Revision,
    /// Limits that the tokens were cut from, by team.
    #[serde(default)]
    pub limits: BTreeMap<Name, u32>,
    /// Accounts by shard.
    pub accounts: BTreeMap<id::Shard, Account>,
}

impl Ledger {
    /// Returns the tokens of a team in all shards.
    pub fn total(&self, team: &str) -> u32 {
        self.accounts.values().map(|account| account.tokens.get(team).copied().unwrap_or(0)).sum()
    }
}
