use std::collections::BTreeMap;
use std::time::Duration;

use sycamore_types::id::{self, Epoch};

use super::Ledger;
use crate::context::{Context, Purpose};
use crate::store::{self, CachedDocument, DocumentOutcome, Reply};

/// Time after which the planner reads the ledger again by itself.
const REFRESH: Duration = Duration::from_secs(10);

/// Reads the ledger and writes it.
#[derive(Debug)]
pub(crate) struct Client {
    document: CachedDocument<Ledger>,
    stamps: BTreeMap<id::Shard, Epoch>,
    in_flight: BTreeMap<id::Shard, Epoch>,
    must_refresh: bool,
    refreshed_at: Duration,
}

/// What a reply meant for the ledger.
#[derive(Debug, Eq, PartialEq)]
pub(crate) enum Outcome {
    /// Nothing that matters to others.
    Nothing,
    /// The ledger was written, with the epochs of these shards stamped.
    Written(BTreeMap<id::Shard, Epoch>),
}

impl Client {
    pub(crate) fn new() -> Client {
        Client {
            document: CachedDocument::new(store::LEDGER),
            stamps: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            must_refresh: false,
            refreshed_at: Duration::ZERO,
        }
    }

    pub(crate) fn get(&self) -> Option<&Ledger> {
        self.document.get()
    }

    pub(crate) fn revision(&self) -> u64 {
        self.document.revision()
    }

    /// Tells whether a plan may be written now.
    pub(crate) fn is_ready(&self) -> bool {
        self.document.is_idle() && self.document.get().is_some() && self.stamps.is_empty()
    }

    /// Asks for an epoch to be stamped into a shard's account.
    pub(crate) fn stamp(&mut self, shard: id::Shard, epoch: Epoch) {
        self.stamps.insert(shard, epoch);
    }

    /// Forgets a stamp that is no longer wanted.
    pub(crate) fn drop_stamp(&mut self, shard: &id::Shard) {
        self.stamps.remove(shard);
        self.in_flight.remove(shard);
    }

    pub(crate) fn tick(&mut self, cx: &mut Context<'_>, is_planner: bool) {
        // A stalled write has to be continued, whoever made it and why.
        let is_wanted = is_planner || !self.stamps.is_empty() || !self.document.is_idle();
        let is_due = cx.now >= self.refreshed_at + REFRESH;
        let must_read = self.document.get().is_none() || self.must_refresh || is_due;
        if is_wanted && must_read {
            if let Some(op) = self.document.refresh() {
                self.must_refresh = false;
                self.refreshed_at = cx.now;
                cx.store(Purpose::Ledger, op);
            }
            return;
        }
        if !self.stamps.is_empty() && self.document.is_idle() {
            self.write_stamps(cx);
        }
    }

    fn write_stamps(&mut self, cx: &mut Context<'_>) {
        let Some(mut book) = self.document.get().cloned() else {
            return;
        };
        // An epoch never goes back: a stamp that comes late must not undo that
        // of the owner after.
        self.stamps.retain(|shard, epoch| {
            book.accounts.get(shard).is_none_or(|account| account.epoch <= *epoch)
        });
        if self.stamps.is_empty() {
            return;
        }
        for (shard, epoch) in &self.stamps {
            let account = book.accounts.entry(shard.clone()).or_default();
            account.epoch = *epoch;
            account.lowerings = 0;
        }
        self.in_flight = std::mem::take(&mut self.stamps);
        self.propose(cx, book);
    }

    /// Writes a plan. The keeper must be ready.
    pub(crate) fn propose(&mut self, cx: &mut Context<'_>, book: Ledger) {
        let op = self.document.propose(book, cx.calls.write_id());
        cx.store(Purpose::Ledger, op);
    }

    pub(crate) fn on_reply(&mut self, cx: &mut Context<'_>, reply: Reply) -> Outcome {
        match self.document.on_reply(reply) {
            DocumentOutcome::Send(op) => cx.store(Purpose::Ledger, op),
            DocumentOutcome::Read => {}
            DocumentOutcome::Written => {
                return Outcome::Written(std::mem::take(&mut self.in_flight));
            }
            DocumentOutcome::Conflict => self.put_back(),
            DocumentOutcome::Failed => {
                if self.document.is_idle() {
                    self.put_back();
                }
                self.must_refresh = true;
            }
        }
        Outcome::Nothing
    }

    /// Keeps stamps that were not written, unless newer ones are wanted by now.
    fn put_back(&mut self) {
        for (shard, epoch) in std::mem::take(&mut self.in_flight) {
            self.stamps.entry(shard).or_insert(epoch);
        }
    }
}

#[cfg(test)]
mod tests;
