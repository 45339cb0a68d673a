//! Decision records: who was served first and why, as evidence for operators.
//!
//! The records of each shard and epoch form a hash chain. They are streamed to the operators'
//! collector, and the newest hash of each chain, its head, is written to the store, so that
//! records that were changed or removed later can be detected.

mod heads;
mod sink;

use sycamore_audit::{Chain, HEAD_INTERVAL, Record};
use sycamore_core::record::{Decision, Verdict};
use sycamore_platform::store::Store;
use tokio::sync::mpsc;

use crate::arguments::RecordDestination;
use crate::clock::unix_ms;
use sink::Sink;

/// Maximum number of decisions taken from the queue at once.
const MAX_BATCH: usize = 1_024;

/// Returns whether a record is the first one of a new owner, and so begins a chain.
fn is_first_of_epoch(record: &Record) -> bool {
    matches!(record.decision.verdict, Verdict::Owned { .. })
}

/// Chains and streams decisions until all senders are dropped, then writes the last heads.
pub(crate) async fn run<S: Store>(
    mut decisions: mpsc::UnboundedReceiver<Decision>,
    destination: RecordDestination,
    store: S,
) {
    let mut chain = Chain::default();
    let mut sink = Sink::new(destination);
    let mut batch = Vec::new();
    let mut heads = heads::HeadWriter::default();
    let mut interval = tokio::time::interval(HEAD_INTERVAL);
    loop {
        tokio::select! {
            count = decisions.recv_many(&mut batch, MAX_BATCH) => {
                if count == 0 {
                    break;
                }
                let records: Vec<_> =
                    batch.drain(..).map(|decision| chain.append(decision, unix_ms())).collect();
                // The head of a new epoch is written before its records are streamed: records
                // of an epoch that the store does not know count as forged.
                if records.iter().any(is_first_of_epoch) {
                    heads.write_changed(&store, &chain).await;
                }
                sink.write(&records).await;
            }
            _ = interval.tick() => heads.write_changed(&store, &chain).await,
        }
    }
    heads.write_changed(&store, &chain).await;
}
