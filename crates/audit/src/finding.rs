//! Findings of the verification of a collected stream.
//!
//! Each variant is printed by `sycamore-audit verify` with its doc comment as the message.

use displaydoc::Display;
use serde::Serialize;
use sycamore_types::id::{self, Epoch};

/// Evidence that a collected stream was altered or is incomplete.
#[derive(Clone, Debug, Display, Eq, PartialEq, Serialize)]
#[non_exhaustive]
pub enum Finding {
    /// line {0} is no record
    Unreadable(usize),
    /// record {sequence} of shard {shard}, epoch {epoch} was changed
    Changed {
        /// Shard whose chain is affected.
        shard: id::Shard,
        /// Epoch of the chain.
        epoch: Epoch,
        /// Sequence number of the record.
        sequence: u64,
    },
    /// record {sequence} of shard {shard}, epoch {epoch} does not follow the one before it
    Broken {
        /// Shard whose chain is affected.
        shard: id::Shard,
        /// Epoch of the chain.
        epoch: Epoch,
        /// Sequence number of the record.
        sequence: u64,
    },
    /// shard {shard}, epoch {epoch}: the stream ends before record {sequence}, which the store names
    Cut {
        /// Shard whose chain is affected.
        shard: id::Shard,
        /// Epoch of the chain.
        epoch: Epoch,
        /// Sequence number of the head in the store.
        sequence: u64,
    },
    /// shard {shard}, epoch {epoch}: record {sequence} has another hash than the store names
    OtherHistory {
        /// Shard whose chain is affected.
        shard: id::Shard,
        /// Epoch of the chain.
        epoch: Epoch,
        /// Sequence number of the head in the store.
        sequence: u64,
    },
    /// shard {shard}, epoch {epoch} is in the stream, but the store knows of no such owner
    Invented {
        /// Shard whose chain is affected.
        shard: id::Shard,
        /// Epoch of the chain.
        epoch: Epoch,
    },
}
