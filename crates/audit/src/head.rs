//! Heads of hash chains, as they are written to the platform's store.
//!
//! The heads let an audit detect that the end of a stream was cut off or that a whole stream was
//! rewritten, which the chain itself cannot show.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use sycamore_types::id::Epoch;

use crate::Hash;

/// Interval at which the head of a chain is written to the store. Records after the last head
/// can be removed unnoticed.
pub const HEAD_INTERVAL: Duration = Duration::from_secs(5);

/// Maximum number of epochs of one shard whose heads are kept.
const MAX_EPOCHS: usize = 64;

/// Sequence number and hash of the newest record of a chain.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// Sequence number of the record, counted from 1 in each epoch.
    pub sequence: u64,
    /// Hash of the record.
    pub hash: Hash,
}

/// The chain heads of one shard, by epoch.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Heads {
    /// Newest known head of each epoch.
    pub epochs: BTreeMap<Epoch, Head>,
}

impl Heads {
    /// Replaces the head of an epoch. Drops the oldest epochs beyond the maximum that is kept.
    pub fn set(&mut self, epoch: Epoch, head: Head) {
        self.epochs.insert(epoch, head);
        while self.epochs.len() > MAX_EPOCHS {
            self.epochs.pop_first();
        }
    }
}
