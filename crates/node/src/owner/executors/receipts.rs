//! Receipts of batches, by which an executor shows that it is alive and how late it is.

use std::time::{Duration, Instant};

use crate::clock::millis;

/// Interval at which a receipt is asked for while orders are in flight.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Time after which a receipt is overdue and the executor counts as failed: the time after which
/// a silent owner does, which also covers a process that is not scheduled for some 100 ms.
const RECEIPT_TIMEOUT: Duration = Duration::from_millis(700);

/// Receipts that a session asks for, one at a time.
#[derive(Debug, Default)]
pub(crate) struct Receipts {
    last_number: u64,
    last_asked: Option<Instant>,
    /// Batch without a receipt, and when it was sent.
    awaited: Option<(u64, Instant)>,
    /// The awaited receipt was overdue at the last check.
    was_overdue: bool,
}

impl Receipts {
    /// Returns whether it is time for the next receipt.
    pub fn is_due(&self, now: Instant) -> bool {
        self.awaited.is_none()
            && self.last_asked.is_none_or(|at| now.duration_since(at) >= PROBE_INTERVAL)
    }

    /// Numbers a batch that is sent now. Returns its number and whether to ask for a receipt.
    pub fn next(&mut self, now: Instant) -> (u64, bool) {
        self.last_number += 1;
        let wants_receipt = self.is_due(now);
        if wants_receipt {
            self.last_asked = Some(now);
            self.awaited = Some((self.last_number, now));
        }
        (self.last_number, wants_receipt)
    }

    /// Takes a receipt. Returns the time that it took, if it is the awaited one.
    pub fn take(&mut self, number: u64, now: Instant) -> Option<Duration> {
        let (_, sent) = self.awaited.take_if(|(awaited, _)| *awaited == number)?;
        self.was_overdue = false;
        Some(now.saturating_duration_since(sent))
    }

    /// Returns whether the receipt was overdue at this and the previous check. The first check
    /// after a time in which this process was not scheduled may come before what has arrived.
    pub fn is_overdue(&mut self, now: Instant) -> bool {
        let is_overdue = self
            .awaited
            .is_some_and(|(_, sent)| now.saturating_duration_since(sent) >= RECEIPT_TIMEOUT);
        std::mem::replace(&mut self.was_overdue, is_overdue) && is_overdue
    }

    /// Returns for how long the receipt has been awaited, in milliseconds.
    pub fn age_ms(&self, now: Instant) -> u64 {
        self.awaited.map_or(0, |(_, sent)| millis(now.saturating_duration_since(sent)))
    }
}
