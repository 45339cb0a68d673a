//! Claim of one member on one shard.
//!
//! Every new owner gets a higher epoch, by which messages to a previous owner are
//! recognised as outdated.

use serde::{Deserialize, Serialize};
use sycamore_types::id::{self, Epoch};

/// Ownership of one shard by one member.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Claim {
    /// The owner.
    pub owner: id::Member,
    /// Number of the claim: 1 for the first owner of the shard, one more for each later one.
    pub epoch: Epoch,
    /// Idempotency keys accepted in an earlier epoch may be missing from the log.
    #[serde(rename = "has_memory_gap")]
    pub has_key_gap: bool,
}
