//! The phases of an owner, from claiming a shard to handing it over.

use std::time::Duration;

use sycamore_types::id;

/// Progress of an owner from claiming a shard to handing it over.
///
/// Work is started only in [`Phase::Active`]. The phases before it ensure that
/// no action of the previous owner can still take effect unnoticed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Phase {
    /// The owner's epoch is being written to the ledger.
    Ledger,
    /// The snapshot and the log pages are being read.
    Loading,
    /// The first log page of the epoch is being written. Once it is durable, a
    /// previous owner can no longer write to the log.
    Barrier,
    /// Workers are polled for the tasks that they run.
    Inventory {
        /// Monotonic time at which the phase ends even if some workers have not reported.
        until: Duration,
    },
    /// Work is accepted and started.
    Active,
    /// No work is started any more, and the shard is handed to another member.
    Draining {
        /// The next owner.
        to: id::Member,
    },
}
