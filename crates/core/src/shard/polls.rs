use std::collections::BTreeSet;
use std::time::Duration;

use sycamore_types::{Name, id};

/// The conversation with one worker.
#[derive(Debug, Default)]
pub(crate) struct Poll {
    /// Time at which the poll on its way was sent.
    pub(crate) sent_at: Option<Duration>,
    pub(crate) next_at: Duration,
    /// Time at which a renewal of task leases was last sent.
    pub(crate) renewed_at: Duration,
    /// Time of the latest report.
    pub(crate) reported_at: Option<Duration>,
    /// Finished tasks that the worker may forget.
    pub(crate) forget: Vec<id::Task>,
    /// Tasks that run or may run on the worker.
    pub(crate) tasks: BTreeSet<id::Task>,
    /// The latest poll was not answered.
    pub(crate) is_unresponsive: bool,
}

/// What a worker has to be asked.
pub(crate) struct DuePoll {
    pub(crate) host: Name,
    pub(crate) address: Name,
}
