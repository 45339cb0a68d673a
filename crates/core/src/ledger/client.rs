//! Access to the ledger document by compare-and-swap.
//!
//! New owners record their epochs in the ledger and the planner writes plans. No
//! plan is written while an epoch is queued, since a shard starts no work before
//! its epoch is in the ledger.

use std::collections::BTreeMap;
use std::time::Duration;

use sycamore_types::id::{self, Epoch};

use super::Ledger;
use crate::context::{Context, Purpose};
use crate::store::{self, CachedDocument, DocumentOutcome, Reply};

/// Time after which the ledger is read again when nothing else calls for it.
const REFRESH_INTERVAL: Duration = Duration::from_secs(10);

/// Reads and writes the ledger in the store.
#[derive(Debug)]
pub(crate) struct Client {
    document: CachedDocument<Ledger>,
    /// Epochs still to be written into the ledger.
    queued_epochs: BTreeMap<id::Shard, Epoch>,
    /// Epochs in the write that is in flight.
    in_flight: BTreeMap<id::Shard, Epoch>,
    must_refresh: bool,
    refreshed_at: Duration,
}

/// What a reply from the store changed.
#[derive(Debug, Eq, PartialEq)]
pub(crate) enum Outcome {
    /// Nothing that the node has to act on.
    Nothing,
    /// The ledger was written, with these epochs recorded in it.
    Written(BTreeMap<id::Shard, Epoch>),
}

impl Client {
    pub(crate) fn new() -> Client {
        Client {
            document: CachedDocument::new(store::LEDGER),
            queued_epochs: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            must_refresh: false,
            refreshed_at: Duration::ZERO,
        }
    }

    /// Returns the local copy of the ledger once the store was read.
    pub(crate) fn get(&self) -> Option<&Ledger> {
        self.document.get()
    }

    pub(crate) fn revision(&self) -> u64 {
        self.document.revision()
    }

    /// Returns whether a plan may be written now.
    pub(crate) fn is_ready(&self) -> bool {
        self.document.is_idle() && self.document.get().is_some() && self.queued_epochs.is_empty()
    }

    /// Queues the epoch of a new owner to be written into its shard's account.
    pub(crate) fn queue_epoch(&mut self, shard: id::Shard, epoch: Epoch) {
        self.queued_epochs.insert(shard, epoch);
    }

    /// Withdraws the epoch of a shard that this process no longer owns.
    pub(crate) fn withdraw_epoch(&mut self, shard: &id::Shard) {
        self.queued_epochs.remove(shard);
        self.in_flight.remove(shard);
    }

    pub(crate) fn tick(&mut self, cx: &mut Context<'_>, is_planner: bool) {
        // A stalled write must be resumed even if this process is not the planner
        // and has no epochs queued.
        let is_needed = is_planner || !self.queued_epochs.is_empty() || !self.document.is_idle();
        let is_due = cx.now >= self.refreshed_at + REFRESH_INTERVAL;
        let must_read = self.document.get().is_none() || self.must_refresh || is_due;
        if is_needed && must_read {
            if let Some(op) = self.document.refresh() {
                self.must_refresh = false;
                self.refreshed_at = cx.now;
                cx.store(Purpose::Ledger, op);
            }
            return;
        }
        if !self.queued_epochs.is_empty() && self.document.is_idle() {
            self.write_epochs(cx);
        }
    }

    fn write_epochs(&mut self, cx: &mut Context<'_>) {
        let Some(mut ledger) = self.document.get().cloned() else {
            return;
        };
        // An epoch never decreases: a late write must not overwrite the
        // epoch of the next owner.
        self.queued_epochs.retain(|shard, epoch| {
            ledger.accounts.get(shard).is_none_or(|account| account.epoch <= *epoch)
        });
        if self.queued_epochs.is_empty() {
            return;
        }
        for (shard, epoch) in &self.queued_epochs {
            let account = ledger.accounts.entry(shard.clone()).or_default();
            account.epoch = *epoch;
            account.lowerings = 0;
        }
        self.in_flight = std::mem::take(&mut self.queued_epochs);
        self.propose(cx, ledger);
    }

    /// Writes a new ledger. Must only be called while [`Client::is_ready`].
    pub(crate) fn propose(&mut self, cx: &mut Context<'_>, ledger: Ledger) {
        let op = self.document.propose(ledger, cx.calls.write_id());
        cx.store(Purpose::Ledger, op);
    }

    pub(crate) fn on_reply(&mut self, cx: &mut Context<'_>, reply: Reply) -> Outcome {
        match self.document.on_reply(reply) {
            DocumentOutcome::Send(op) => cx.store(Purpose::Ledger, op),
            DocumentOutcome::Read => {}
            DocumentOutcome::Written => {
                return Outcome::Written(std::mem::take(&mut self.in_flight));
            }
            DocumentOutcome::Conflict => self.requeue_epochs(),
            DocumentOutcome::Failed => {
                if self.document.is_idle() {
                    self.requeue_epochs();
                }
                self.must_refresh = true;
            }
        }
        Outcome::Nothing
    }

    /// Queues the epochs of a failed write again, unless newer ones are queued.
    fn requeue_epochs(&mut self) {
        for (shard, epoch) in std::mem::take(&mut self.in_flight) {
            self.queued_epochs.entry(shard).or_insert(epoch);
        }
    }
}

#[cfg(test)]
mod tests;
