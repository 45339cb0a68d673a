use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use sycamore_types::id::Epoch;

use crate::Hash;

/// Time between two heads of one chain.
pub const HEAD_INTERVAL: Duration = Duration::from_secs(5);

/// Epochs of one shard whose heads are kept.
const KEPT_EPOCHS: usize = 64;

/// The newest record of a chain.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// Place of the record in its chain.
    pub sequence: u64,
    /// Hash of the record.
    pub hash: Hash,
}

/// The heads of one shard, by epoch.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Heads {
    /// Head of each epoch.
    pub epochs: BTreeMap<Epoch, Head>,
}

impl Heads {
    /// Takes in a newer head.
    pub fn set(&mut self, epoch: Epoch, head: Head) {
        self.epochs.insert(epoch, head);
        while self.epochs.len() > KEPT_EPOCHS {
            self.epochs.pop_first();
        }
    }
}
