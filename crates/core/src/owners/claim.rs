use serde::{Deserialize, Serialize};
use sycamore_types::id::{self, Epoch};

/// Who owns a shard.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Claim {
    /// The owner.
    pub owner: id::Member,
    /// Counts the owners that the shard has had.
    pub epoch: Epoch,
    /// Idempotency keys of the epoch before may be missing from the log.
    pub has_memory_gap: bool,
}
