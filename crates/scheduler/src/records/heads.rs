//! Writes the heads of the hash chains to the store.
//!
//! The head of a chain is the sequence number and the hash of its newest record.

use std::collections::BTreeMap;

use sycamore_audit::{Chain, Head, Heads as ShardHeads};
use sycamore_core::store::{Op, Reply, decode_value, encode_value};
use sycamore_platform::store::Store;
use sycamore_types::id::{self, Epoch};

/// Writes the heads of hash chains to the store.
#[derive(Debug, Default)]
pub(super) struct HeadWriter {
    /// Heads that the store is known to have.
    written: BTreeMap<id::Shard, (Epoch, Head)>,
}

impl HeadWriter {
    /// Writes the heads that have changed since they were last written.
    pub(super) async fn write_changed<S: Store>(&mut self, store: &S, chain: &Chain) {
        for (shard, head) in chain.heads() {
            if self.written.get(&shard) == Some(&head) {
                continue;
            }
            if write_head(store, &shard, &head).await {
                self.written.insert(shard, head);
            }
        }
    }
}

/// Adds a head to the document that holds the heads of its shard.
///
/// Returns whether it was written. After a conflict or an unclear outcome the head is written
/// again the next time.
async fn write_head<S: Store>(store: &S, shard: &id::Shard, head: &(Epoch, Head)) -> bool {
    let key = format!("heads/{shard}");
    let Reply::Value(found) = store.call(Op::Get { key: key.clone() }).await else {
        return false;
    };
    let expected = found.as_ref().map_or(0, |value| value.revision);
    let decode = |value: &[u8]| serde_json::from_slice::<ShardHeads>(decode_value(value)?.1).ok();
    let mut kept = found.and_then(|value| decode(&value.value)).unwrap_or_default();
    kept.set(head.0, head.1.clone());
    let body = serde_json::to_vec(&kept).unwrap_or_default();
    // Writing the same head twice has no further effect, so the write needs no identifier.
    let value = encode_value(0, &body);
    matches!(store.call(Op::Put { key, expected, value }).await, Reply::Written(_))
}
