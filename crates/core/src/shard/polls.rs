//! The state of the polling of workers.
//!
//! Polls list what a worker runs, renew the leases of its tasks and tell it which
//! ended tasks it may forget. One poll per worker is in flight at a time.

use std::collections::BTreeSet;
use std::time::Duration;

use sycamore_types::{Name, id};

/// State of the polling of one worker.
#[derive(Debug, Default)]
pub(crate) struct Poll {
    /// Time at which the poll in flight was sent; `None` if there is none.
    pub(crate) sent_at: Option<Duration>,
    /// Time before which the next poll is not sent.
    pub(crate) next_at: Duration,
    /// Time at which a poll that renews task leases was last sent.
    pub(crate) renewed_at: Duration,
    /// Time of the latest report.
    pub(crate) reported_at: Option<Duration>,
    /// Ended tasks that the worker may forget, since their end is durable or
    /// needs no log entry.
    pub(crate) forget: Vec<id::Task>,
    /// Tasks that run or may run on the worker.
    pub(crate) tasks: BTreeSet<id::Task>,
    /// The last poll got no report.
    pub(crate) is_unresponsive: bool,
}

/// A poll that is to be sent.
pub(crate) struct DuePoll {
    pub(crate) host: Name,
    pub(crate) address: Name,
}
