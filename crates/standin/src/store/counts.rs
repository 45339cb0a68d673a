use serde::{Deserialize, Serialize};

/// Calls that the store has taken.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// Writes, removals included.
    pub writes: u64,
    /// Reads of one value or of several.
    pub reads: u64,
    /// Watches that were begun.
    pub watches: u64,
}
