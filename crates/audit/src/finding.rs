use displaydoc::Display;
use serde::Serialize;
use sycamore_types::id::{self, Epoch};

/// Something in a collected stream that can't be right.
#[derive(Clone, Debug, Display, Eq, PartialEq, Serialize)]
#[non_exhaustive]
pub enum Finding {
    /// line {0} is no record
    Unreadable(usize),
    /// record {sequence} of shard {shard}, epoch {epoch} was changed
    Changed {
        /// The shard.
        shard: id::Shard,
        /// The epoch.
        epoch: Epoch,
        /// Place of the record.
        sequence: u64,
    },
    /// record {sequence} of shard {shard}, epoch {epoch} does not follow the one before it
    Broken {
        /// The shard.
        shard: id::Shard,
        /// The epoch.
        epoch: Epoch,
        /// Place of the record.
        sequence: u64,
    },
    /// shard {shard}, epoch {epoch}: the stream ends before record {sequence}, which the store names
    Cut {
        /// The shard.
        shard: id::Shard,
        /// The epoch.
        epoch: Epoch,
        /// Place of the record that the store names.
        sequence: u64,
    },
    /// shard {shard}, epoch {epoch}: record {sequence} has another hash than the store names
    OtherHistory {
        /// The shard.
        shard: id::Shard,
        /// The epoch.
        epoch: Epoch,
        /// Place of the record that the store names.
        sequence: u64,
    },
    /// shard {shard}, epoch {epoch} is in the stream, but the store knows of no such owner
    Invented {
        /// The shard.
        shard: id::Shard,
        /// The epoch.
        epoch: Epoch,
    },
}
