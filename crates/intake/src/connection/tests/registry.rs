use std::sync::Arc;

use futures::FutureExt;
use sycamore_telemetry::metrics::Metrics;

use crate::connection::{Connection, Limit, Meters, Registry};

/// A registry of at most eight connections, two while the process is short of memory.
fn registry() -> Arc<Registry> {
    let all = Metrics::new();
    let meters =
        Meters { open: all.gauge("open", "open"), evicted: all.counter("evicted", "evicted") };
    Arc::new(Registry::new(Limit { max: 8, max_in_shortage: 2 }, meters))
}

/// Admits a connection for which there is room.
fn admit(registry: &Arc<Registry>) -> Arc<Connection> {
    Arc::new(registry.admit(|| false).now_or_never().expect("there is room"))
}

fn fill(registry: &Arc<Registry>) -> Vec<Arc<Connection>> {
    (0..8).map(|_| admit(registry)).collect()
}

/// Returns the indices of the connections that have to close.
fn evicted(connections: &[Arc<Connection>]) -> Vec<usize> {
    let is_evicted = |at: &usize| connections[*at].evicted().now_or_never().is_some();
    (0..connections.len()).filter(is_evicted).collect()
}

/// Failure: silent connections took all descriptors, and callers waited until they timed out.
#[tokio::test]
async fn a_new_connection_replaces_the_one_that_has_been_silent_longest() {
    let registry = registry();
    let mut open = fill(&registry);
    open[0].begin_request();
    drop(open[1].begin_answer());

    let mut admitted = Box::pin(registry.admit(|| false));
    assert!(admitted.as_mut().now_or_never().is_none());
    assert_eq!(evicted(&open), [2]);
    drop(open.remove(2));

    assert!(admitted.now_or_never().is_some());
    assert!(evicted(&open).is_empty());
}

/// Failure: the answer to a request that had been passed on to the owner was cut off.
#[tokio::test]
async fn a_connection_whose_request_is_being_answered_is_not_closed() {
    let registry = registry();
    let open = fill(&registry);
    let mut answering: Vec<_> = open.iter().map(|connection| connection.begin_answer()).collect();

    let mut admitted = Box::pin(registry.admit(|| false));
    assert!(admitted.as_mut().now_or_never().is_none());
    assert!(evicted(&open).is_empty());

    drop(answering.remove(5));
    assert!(admitted.as_mut().now_or_never().is_none());
    assert_eq!(evicted(&open), [5]);
}

/// Failure: each connection that waited for room closed another one whenever anything changed.
#[tokio::test]
async fn a_new_connection_closes_only_one_other() {
    let registry = registry();
    let open = fill(&registry);

    let mut admitted = Box::pin(registry.admit(|| false));
    for connection in &open {
        assert!(admitted.as_mut().now_or_never().is_none());
        drop(connection.begin_answer());
    }

    assert_eq!(evicted(&open), [0]);
}

#[tokio::test]
async fn the_number_does_not_grow_while_the_process_is_short_of_memory() {
    let registry = registry();
    let admit = || Arc::new(registry.admit(|| true).now_or_never().expect("there is room"));
    let first = [admit(), admit()];
    assert!(evicted(&first).is_empty());

    let _third = admit();

    assert_eq!(evicted(&first), [0]);
}

/// The limits must not be met by ordinary callers of the smallest machine, and leave descriptors to
/// the process's own connections.
#[test]
fn half_of_the_sockets_are_left_to_the_process() {
    let of_callers =
        |descriptors, memory_mb: usize| Limit::of_callers(descriptors, memory_mb << 20, 48 * 1_024);

    assert_eq!(of_callers(3_075, 120), Limit { max: 640, max_in_shortage: 80 });
    assert_eq!(of_callers(1_024, 260), Limit { max: 412, max_in_shortage: 51 });
    assert_eq!(of_callers(64, 16), Limit { max: 16, max_in_shortage: 2 });
}
