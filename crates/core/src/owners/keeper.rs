use std::collections::BTreeSet;
use std::time::Duration;

use sycamore_types::id::{self, Epoch, Revision};

use super::Map;
use crate::context::{Context, Purpose};
use crate::member::Takeover;
use crate::store::{self, CachedDocument, DocumentOutcome, Reply};

/// Time between two reads of the document when nothing else calls for one.
const REFRESH: Duration = Duration::from_secs(5);

/// A change of owners that this process wants to make.
#[derive(Clone, Debug)]
enum Wish {
    /// Give shards without an owner to members.
    AssignMissing,
    /// Take the shards of a fenced member.
    TakeOver(Takeover),
    /// Hand a shard of our own to another member.
    HandOver { shard: id::Shard, epoch: Epoch, to: id::Member, has_memory_gap: bool },
}

/// What the keeper needs to know to carry out wishes.
pub(crate) struct ClusterState {
    /// Shards that the host list names.
    pub(crate) shards: BTreeSet<id::Shard>,
    /// Members that may own shards.
    pub(crate) live: Vec<id::Member>,
    /// Members whose records stand in the store.
    pub(crate) known: BTreeSet<id::Member>,
}

/// Reads the owners' document and changes it.
#[derive(Debug)]
pub(crate) struct Client {
    document: CachedDocument<Map>,
    wishes: Vec<Wish>,
    in_flight: Vec<Wish>,
    is_stale: bool,
    refreshed_at: Option<Duration>,
}

impl Client {
    pub(crate) fn new() -> Client {
        Client {
            document: CachedDocument::new(store::OWNERS),
            wishes: Vec::new(),
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

    /// Tells whether the local copy was read and no change is under way.
    pub(crate) fn is_settled(&self) -> bool {
        let is_quiet = self.wishes.is_empty() && self.in_flight.is_empty();
        is_quiet && self.document.is_idle() && self.document.get().is_some()
    }

    /// Asks for a read, since the document is said to have changed.
    pub(crate) fn mark_stale(&mut self) {
        self.is_stale = true;
    }

    pub(crate) fn request_assignment(&mut self) {
        if !self.wishes.iter().any(|wish| matches!(wish, Wish::AssignMissing)) {
            self.wishes.push(Wish::AssignMissing);
        }
    }

    pub(crate) fn request_takeover(&mut self, verdict: Takeover) {
        let is_same =
            |wish: &Wish| matches!(wish, Wish::TakeOver(other) if other.subject == verdict.subject);
        if !self.wishes.iter().any(is_same) {
            self.wishes.push(Wish::TakeOver(verdict));
        }
    }

    pub(crate) fn request_handover(
        &mut self,
        shard: id::Shard,
        epoch: Epoch,
        to: id::Member,
        has_memory_gap: bool,
    ) {
        let is_same =
            |wish: &Wish| matches!(wish, Wish::HandOver { shard: other, .. } if *other == shard);
        if !self.wishes.iter().chain(&self.in_flight).any(is_same) {
            self.wishes.push(Wish::HandOver { shard, epoch, to, has_memory_gap });
        }
    }

    pub(crate) fn tick(&mut self, cx: &mut Context<'_>, around: &ClusterState) {
        let is_due = self.refreshed_at.is_none_or(|at| cx.now >= at + REFRESH);
        if (self.is_stale || is_due || self.document.get().is_none())
            && let Some(op) = self.document.refresh()
        {
            self.is_stale = false;
            self.refreshed_at = Some(cx.now);
            cx.store(Purpose::Owners, op);
            return;
        }
        if self.document.is_idle() && self.in_flight.is_empty() {
            self.propose(cx, around);
        }
    }

    fn propose(&mut self, cx: &mut Context<'_>, around: &ClusterState) {
        let Some(current) = self.document.get() else {
            return;
        };
        let wishes = std::mem::take(&mut self.wishes);
        let mut next = current.clone();
        for wish in &wishes {
            apply(&mut next, wish, around);
        }
        if next == *current {
            return;
        }
        let op = self.document.propose(next, cx.calls.write_id());
        self.in_flight = wishes;
        cx.store(Purpose::Owners, op);
    }

    /// Takes a reply.
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
                self.wishes.append(&mut self.in_flight);
                Outcome::Read
            }
            DocumentOutcome::Failed => {
                if self.document.is_idle() {
                    self.wishes.append(&mut self.in_flight);
                }
                self.is_stale = true;
                Outcome::Nothing
            }
        }
    }
}

/// What a reply meant for the owners' document.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Outcome {
    /// Nothing that matters to others.
    Nothing,
    /// The local copy may have changed.
    Read,
    /// This process has changed the document.
    Written,
}

fn apply(map: &mut Map, wish: &Wish, around: &ClusterState) {
    match wish {
        Wish::AssignMissing => map.assign_missing(&around.shards, &around.live, &around.known),
        Wish::TakeOver(verdict) => {
            let others: Vec<id::Member> =
                around.live.iter().filter(|member| **member != verdict.subject).cloned().collect();
            map.take_over(&verdict.subject, &others, verdict.has_memory_gap);
        }
        Wish::HandOver { shard, epoch, to, has_memory_gap } => {
            if map.shards.get(shard).is_some_and(|claim| claim.epoch == *epoch) {
                map.give(shard, to.clone(), *has_memory_gap);
            }
        }
    }
}
