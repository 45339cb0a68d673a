use serde::{Deserialize, Serialize};
use sycamore_types::Name;

/// Why one piece of work went before the others.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct StartReason {
    /// Class of the work: `urgent`, `interactive` or `batch`.
    pub class: Name,
    /// Weighted dominant share of the team before the decision.
    pub share: f64,
    /// Team that was next in line, if any other waited in the class.
    pub next_team: Option<Name>,
    /// Weighted dominant share of that team.
    pub next_share: f64,
    /// Place of the work in the arrival order of the shard.
    pub arrival: u64,
    /// Time for which the work had waited, in milliseconds.
    pub waited_ms: u64,
}
