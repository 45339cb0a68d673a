//! Hash chains of decision records, as the deciding process builds them.
//!
//! Only the head of each chain is kept: appending a record needs nothing but the hash of the
//! previous one.

use std::collections::BTreeMap;

use sycamore_core::record::Decision;
use sycamore_types::id::{self, Epoch};

use crate::record::genesis;
use crate::{Head, Record};

/// The hash chains of one process, one for each shard and epoch.
#[derive(Debug, Default)]
pub struct Chain {
    heads: BTreeMap<(id::Shard, Epoch), Head>,
}

impl Chain {
    /// Appends a decision that was made at `at_ms`, in milliseconds since the Unix epoch, to the
    /// chain of its shard and epoch. Returns the record to stream.
    pub fn append(&mut self, decision: Decision, at_ms: u64) -> Record {
        let key = (decision.shard.clone(), decision.epoch);
        let previous = match self.heads.get(&key) {
            Some(head) => head.hash.clone(),
            None => genesis(&decision.shard, decision.epoch),
        };
        let record = Record::new(decision, at_ms, previous);
        let head = Head { sequence: record.decision.sequence, hash: record.hash.clone() };
        self.heads.insert(key, head);
        record
    }

    /// Returns the newest epoch of each shard and the head of its chain.
    pub fn heads(&self) -> BTreeMap<id::Shard, (Epoch, Head)> {
        // The iteration is ordered by epoch, so a later epoch replaces the earlier ones.
        let heads = self.heads.iter();
        heads.map(|((shard, epoch), head)| (shard.clone(), (*epoch, head.clone()))).collect()
    }
}
