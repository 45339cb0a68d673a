use std::time::Duration;

use sycamore_types::id;

/// How far an owner has come with a shard.
///
/// Work is started only in [`Phase::Active`]. The phases before it make sure
/// that nothing of the owner before can still take effect unseen.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Phase {
    /// The epoch is being stamped into the ledger.
    Ledger,
    /// Log and snapshot are being read.
    Loading,
    /// The first page of the epoch is being written.
    Barrier,
    /// Workers are listing what they run.
    Inventory {
        /// Time at which hosts that have not answered count as full.
        until: Duration,
    },
    /// Work is started.
    Active,
    /// Nothing is started any more; the shard goes to another member.
    Draining {
        /// The next owner.
        to: id::Member,
    },
}
