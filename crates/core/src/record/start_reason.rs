//! The reason why one item of work was started before the others.
//!
//! It is recorded with the decision, so that an audit can explain the order without the state
//! of the scheduler at that time.

use serde::{Deserialize, Serialize};
use sycamore_types::Name;

/// Why one item of work was started before the others that waited.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct StartReason {
    /// Class of the work: `urgent`, `interactive` or `batch`.
    pub class: Name,
    /// Weighted dominant share of the team before the decision.
    pub share: f64,
    /// Team that would have been served next, if another one waited in the class.
    pub next_team: Option<Name>,
    /// Weighted dominant share of `next_team`.
    pub next_share: f64,
    /// Position of the work in the order of arrival at the shard.
    pub arrival: u64,
    /// Time for which the work had waited, in milliseconds.
    pub waited_ms: u64,
}
