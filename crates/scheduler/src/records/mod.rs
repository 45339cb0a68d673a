//! Streams decision records to the operators' collector and keeps the heads of
//! their chains in the store.

mod heads;
mod sink;

use sycamore_audit::{Chain, HEAD_INTERVAL, Record};
use sycamore_core::record::{Decision, Verdict};
use sycamore_platform::store::Store;
use tokio::sync::mpsc;

use crate::arguments::RecordDestination;
use crate::clock::unix_ms;
use sink::Sink;

/// Records taken from the queue at once.
const MAX_BATCH: usize = 1_024;

fn is_first_of_epoch(record: &Record) -> bool {
    matches!(record.decision.verdict, Verdict::Owned { .. })
}

/// Chains and streams decisions until the process ends.
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
                // The store must know of an epoch before the collector does, or
                // its records could not be told from invented ones.
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
