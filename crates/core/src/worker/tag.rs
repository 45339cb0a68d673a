use serde::{Deserialize, Serialize};
use sycamore_types::Name;
use sycamore_types::id::Epoch;
use sycamore_types::resources::Resources;

/// What an owner notes on a task, and gets back when it lists a worker.
///
/// A successor learns from the tag alone what capacity and whose limit a task
/// takes, also when the task was never written to the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Tag {
    /// Team that the task runs for.
    pub team: Name,
    /// Capacity that the task takes.
    pub size: Resources,
    /// Epoch of the owner that started the task.
    pub epoch: Epoch,
    /// The task answers an interactive request.
    pub is_interactive: bool,
    /// Name of the service or of the work's queue, for the operators' eyes.
    pub label: Name,
}
