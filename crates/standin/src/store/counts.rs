//! Load on the simulated store, in calls since its start.

use serde::{Deserialize, Serialize};

/// Numbers of calls that the store has handled. Refused calls to a store that is down don't
/// count, nor do writes that are too large.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// Writes and removals, including those with an outdated revision.
    pub writes: u64,
    /// Reads of one value or of all values with a prefix.
    pub reads: u64,
    /// Watches that have started.
    pub watches: u64,
}
