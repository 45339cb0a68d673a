//! Access to the owners document by compare-and-swap.
//!
//! Changes are queued and written together. After a conflict they are applied
//! again to the new document, where a handover of a shard that has changed its
//! epoch since is dropped.

use std::collections::BTreeSet;
use std::time::Duration;

use sycamore_types::id::{self, Epoch, Revision};

use super::Map;
use crate::context::{Context, Purpose};
use crate::member::Takeover;
use crate::store::{self, CachedDocument, DocumentOutcome, Reply};

/// Time after which the document is read again when nothing else calls for it.
const REFRESH_INTERVAL: Duration = Duration::from_secs(5);

/// A change of owners that this process is to write.
#[derive(Clone, Debug)]
enum OwnerChange {
    /// Assigns shards without an owner to members.
    AssignUnowned,
    /// Takes over the shards of a fenced member.
    TakeOver(Takeover),
    /// Hands a shard of this member to another one.
    HandOver { shard: id::Shard, epoch: Epoch, to: id::Member, has_key_gap: bool },
}

/// Shards and members that changes of owners are computed from.
pub(crate) struct ClusterState {
    /// Shards that the hosts in the platform's list belong to.
    pub(crate) shards: BTreeSet<id::Shard>,
    /// Live members that may be assigned shards.
    pub(crate) live: Vec<id::Member>,
    /// Members that have a record in the store.
    pub(crate) known: BTreeSet<id::Member>,
}

/// Reads and changes the owners document in the store.
#[derive(Debug)]
pub(crate) struct Client {
    document: CachedDocument<Map>,
    /// Changes still to be written.
    pending: Vec<OwnerChange>,
    /// Changes in the write that is in flight.
    in_flight: Vec<OwnerChange>,
    is_stale: bool,
    refreshed_at: Option<Duration>,
}

impl Client {
    pub(crate) fn new() -> Client {
        Client {
            document: CachedDocument::new(store::OWNERS),
            pending: Vec::new(),
            in_flight: Vec::new(),
            is_stale: true,
            refreshed_at: None,
        }
    }

    pub(crate) fn map(&self) -> Option<&Map> {
        self.document.get()
    }

    pub(crate) fn revision(&self) -> Revision {
        self.document.revision()
    }

    /// Returns whether the document was read and no change is pending or in flight.
    pub(crate) fn is_settled(&self) -> bool {
        let has_no_changes = self.pending.is_empty() && self.in_flight.is_empty();
        has_no_changes && self.document.is_idle() && self.document.get().is_some()
    }

    /// Requests a read, after a report that the document has changed.
    pub(crate) fn mark_stale(&mut self) {
        self.is_stale = true;
    }

    pub(crate) fn request_assignment(&mut self) {
        if !self.pending.iter().any(|change| matches!(change, OwnerChange::AssignUnowned)) {
            self.pending.push(OwnerChange::AssignUnowned);
        }
    }

    pub(crate) fn request_takeover(&mut self, takeover: Takeover) {
        let is_same = |change: &OwnerChange| {
            matches!(
                change,
                OwnerChange::TakeOver(other) if other.subject == takeover.subject
            )
        };
        if !self.pending.iter().any(is_same) {
            self.pending.push(OwnerChange::TakeOver(takeover));
        }
    }

    pub(crate) fn request_handover(
        &mut self,
        shard: id::Shard,
        epoch: Epoch,
        to: id::Member,
        has_key_gap: bool,
    ) {
        let is_same = |change: &OwnerChange| {
            matches!(
                change,
                OwnerChange::HandOver { shard: other, .. } if *other == shard
            )
        };
        if !self.pending.iter().chain(&self.in_flight).any(is_same) {
            self.pending.push(OwnerChange::HandOver { shard, epoch, to, has_key_gap });
        }
    }

    pub(crate) fn tick(&mut self, cx: &mut Context<'_>, cluster: &ClusterState) {
        let is_due = self.refreshed_at.is_none_or(|at| cx.now >= at + REFRESH_INTERVAL);
        if (self.is_stale || is_due || self.document.get().is_none())
            && let Some(op) = self.document.refresh()
        {
            self.is_stale = false;
            self.refreshed_at = Some(cx.now);
            cx.store(Purpose::Owners, op);
            return;
        }
        if self.document.is_idle() && self.in_flight.is_empty() {
            self.propose(cx, cluster);
        }
    }

    fn propose(&mut self, cx: &mut Context<'_>, cluster: &ClusterState) {
        let Some(current) = self.document.get() else {
            return;
        };
        let pending = std::mem::take(&mut self.pending);
        let mut next = current.clone();
        for change in &pending {
            apply(&mut next, change, cluster);
        }
        if next == *current {
            return;
        }
        let op = self.document.propose(next, cx.calls.write_id());
        self.in_flight = pending;
        cx.store(Purpose::Owners, op);
    }

    /// Handles a reply from the store.
    pub(crate) fn on_reply(&mut self, cx: &mut Context<'_>, reply: Reply) -> Outcome {
        match self.document.on_reply(reply) {
            DocumentOutcome::Send(op) => {
                cx.store(Purpose::Owners, op);
                Outcome::Nothing
            }
            DocumentOutcome::Read => Outcome::Read,
            DocumentOutcome::Written => {
                self.in_flight.clear();
                Outcome::Written
            }
            DocumentOutcome::Conflict => {
                self.pending.append(&mut self.in_flight);
                Outcome::Read
            }
            DocumentOutcome::Failed => {
                if self.document.is_idle() {
                    self.pending.append(&mut self.in_flight);
                }
                self.is_stale = true;
                Outcome::Nothing
            }
        }
    }
}

/// What a reply from the store changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Outcome {
    /// Nothing that the node has to act on.
    Nothing,
    /// The local copy may have changed.
    Read,
    /// This process has changed the document.
    Written,
}

fn apply(map: &mut Map, change: &OwnerChange, cluster: &ClusterState) {
    match change {
        OwnerChange::AssignUnowned => {
            map.assign_unowned(&cluster.shards, &cluster.live, &cluster.known)
        }
        OwnerChange::TakeOver(takeover) => {
            let others: Vec<id::Member> = cluster
                .live
                .iter()
                .filter(|member| **member != takeover.subject)
                .cloned()
                .collect();
            map.take_over(&takeover.subject, &others, takeover.has_key_gap);
        }
        OwnerChange::HandOver { shard, epoch, to, has_key_gap } => {
            if map.shards.get(shard).is_some_and(|claim| claim.epoch == *epoch) {
                map.set_owner(shard, to.clone(), *has_key_gap);
            }
        }
    }
}
