//! The metadata from which a new owner rebuilds its state when its workers list their tasks.

use serde::{Deserialize, Serialize};
use sycamore_types::Name;
use sycamore_types::id::Epoch;
use sycamore_types::resources::Resources;

/// Metadata that an owner attaches to a task and that the worker returns with each poll.
///
/// A new owner learns from the tag alone how much capacity a task takes and
/// which team's limit it counts towards, even if the task was never written to
/// the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Tag {
    /// Team that the task runs for.
    pub team: Name,
    /// Capacity that the task takes.
    pub size: Resources,
    /// Epoch of the owner that started the task.
    pub epoch: Epoch,
    /// Whether the task is an interactive request.
    pub is_interactive: bool,
    /// Name of the service or of the queue of the work, shown to operators.
    pub label: Name,
}
