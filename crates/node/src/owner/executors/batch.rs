//! Gathers orders into batches that are bounded in size and time.

use std::time::Instant;

use crate::peer::{GATHER_TIME, MAX_BATCH_LEN, Order, WorkerCall};

/// Payload in one batch from which it is sent, in bytes. At 10 Mbit/s it takes 50 ms, half of the
/// time from which an executor counts as slow.
const MAX_BATCH_BYTES: usize = 64 * 1024;

/// Orders that wait to be sent together.
#[derive(Debug, Default)]
pub(crate) struct Batch {
    orders: Vec<Order>,
    bytes: usize,
    /// When the oldest order has waited for long enough.
    due: Option<Instant>,
}

impl Batch {
    /// Adds an order. Returns whether the batch has to be sent now.
    pub fn push(&mut self, order: Order, now: Instant) -> bool {
        self.bytes += match &order.call {
            WorkerCall::Start { payload, checkpoint, .. } => payload.len() + checkpoint.len(),
            WorkerCall::Stop { .. } | WorkerCall::Poll { .. } => 0,
        };
        self.orders.push(order);
        self.due.get_or_insert(now + GATHER_TIME);
        self.orders.len() >= MAX_BATCH_LEN || self.bytes >= MAX_BATCH_BYTES
    }

    /// Returns the time at which the batch has to be sent, `None` while it is empty.
    pub fn due(&self) -> Option<Instant> {
        self.due
    }

    /// Removes the orders that are to be sent.
    pub fn take(&mut self) -> Vec<Order> {
        (self.bytes, self.due) = (0, None);
        std::mem::take(&mut self.orders)
    }
}
