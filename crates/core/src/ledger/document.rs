//! The ledger document as it is stored.
//!
//! Tokens are granted per shard and team, so that an owner decides alone whether
//! work may start. Each account names the epoch of its owner and the cap
//! reductions that it reflects, by which an owner recognises an outdated grant.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sycamore_types::Name;
use sycamore_types::id::{self, Epoch, Revision};

/// Tokens that the ledger grants to one shard.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Epoch of the owner that the tokens were last granted to.
    pub epoch: Epoch,
    /// Number of cap reductions by that owner that the tokens reflect.
    #[serde(rename = "bound")]
    pub lowerings: u64,
    /// Tokens by team. One token allows one task or request to run.
    pub tokens: BTreeMap<Name, u32>,
}

/// Document in the store that holds the tokens of every team in every shard.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Ledger {
    /// Revision of the configuration that the limits were read from.
    pub config: Revision,
    /// Limits that the tokens were divided from, by team. After a limit was
    /// lowered, this is the number of tokens still granted if that is larger.
    #[serde(default)]
    pub limits: BTreeMap<Name, u32>,
    /// Accounts by shard.
    pub accounts: BTreeMap<id::Shard, Account>,
}

impl Ledger {
    /// Returns the number of tokens of a team in all shards.
    pub fn total(&self, team: &str) -> u32 {
        self.accounts.values().map(|account| account.tokens.get(team).copied().unwrap_or(0)).sum()
    }
}
