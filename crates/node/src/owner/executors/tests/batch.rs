//! Bounds of a batch.

use std::sync::Arc;
use std::time::Instant;

use super::super::batch::Batch;
use super::task;
use crate::peer::{GATHER_TIME, MAX_BATCH_LEN, Order, WorkerCall};

fn order(payload_bytes: usize) -> Order {
    let call = WorkerCall::Start {
        task: task(0),
        attempt: 1,
        payload: Arc::from("x".repeat(payload_bytes)),
        deadline_ms: 0,
        ticket: None,
        checkpoint: Arc::from(""),
    };
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    Order { id: 1, host: Arc::from("worker"), address, call }
}

/// Later orders must not extend the wait of the first one.
#[test]
fn the_first_order_decides_when_a_batch_is_due() {
    let (mut batch, now) = (Batch::default(), Instant::now());

    batch.push(order(10), now);
    batch.push(order(10), now + GATHER_TIME / 2);

    assert_eq!(batch.due(), Some(now + GATHER_TIME));
    assert_eq!(batch.take().len(), 2);
    assert_eq!(batch.due(), None);
}

/// A burst of starts must not form a frame that a slow link carries for long.
#[test]
fn a_batch_is_full_by_orders_or_bytes() {
    let now = Instant::now();
    let orders_until_full = |payload_bytes| {
        let mut batch = Batch::default();
        (1..).find(|_| batch.push(order(payload_bytes), now))
    };

    assert_eq!(orders_until_full(1), Some(MAX_BATCH_LEN));
    assert_eq!(orders_until_full(4_096), Some(16));
}
