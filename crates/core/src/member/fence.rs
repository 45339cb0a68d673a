use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use sycamore_types::id::{self, Revision};

use super::table::Seen;
use super::{Promises, Record, Table, quorum};
use crate::context::{Context, Purpose};
use crate::store::{self, Reply, Write, WriteProgress};

/// Time between two requests for the same votes.
const ASK_AGAIN: Duration = Duration::from_millis(500);

/// Added delay per rank, so that observers do not all fence at once.
const RANK_DELAY: Duration = Duration::from_millis(400);

/// The end of a member that has fallen silent.
#[derive(Debug)]
enum Fence {
    /// The record is being overwritten.
    Writing { write: Write, record: Box<Record>, silent_since: Duration },
    /// The record is overwritten; promises must be ruled out.
    Voting {
        record: Box<Record>,
        silent_since: Duration,
        votes: BTreeSet<id::Member>,
        has_promised: bool,
        asked_at: Option<Duration>,
    },
}

/// A member whose shards may be taken over.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Takeover {
    pub(crate) subject: id::Member,
    /// Idempotency keys may have been taken in that no log holds.
    pub(crate) has_memory_gap: bool,
}

/// Every fencing that this process takes part in as the one who fences.
#[derive(Debug, Default)]
pub(crate) struct Fences {
    open: BTreeMap<id::Member, Fence>,
}

impl Fences {
    /// Looks for silent members and moves open fencings on.
    ///
    /// Returns the members to ask for votes, by subject.
    pub(crate) fn tick(
        &mut self,
        cx: &mut Context<'_>,
        me: &id::Member,
        table: &Table,
        promises: &mut Promises,
    ) -> Vec<(id::Member, BTreeSet<id::Member>)> {
        let silent: Vec<Seen> = table
            .iter()
            .filter(|seen| {
                seen.record.member != *me && !self.open.contains_key(&seen.record.member)
            })
            .filter(|seen| is_silent(cx, seen, table, me))
            .cloned()
            .collect();
        for seen in silent {
            self.begin(cx, me, seen, promises);
        }
        self.collect_asks(cx, me, promises)
    }

    fn begin(
        &mut self,
        cx: &mut Context<'_>,
        me: &id::Member,
        seen: Seen,
        promises: &mut Promises,
    ) {
        let subject = seen.record.member.clone();
        let record = Box::new(seen.record);
        let silent_since = seen.changed_at;
        if record.fenced_by.is_some() {
            promises.mark_fenced(&subject);
            self.open.insert(subject, voting(record, silent_since));
            return;
        }
        let mut fenced = (*record).clone();
        fenced.fenced_by = Some(me.clone());
        let body = serde_json::to_vec(&fenced).unwrap_or_default();
        let write = Write::new(store::member(&subject), seen.revision, cx.calls.write_id(), &body);
        cx.store(Purpose::Fence(subject.clone()), write.start());
        self.open.insert(subject, Fence::Writing { write, record, silent_since });
    }

    fn collect_asks(
        &mut self,
        cx: &Context<'_>,
        me: &id::Member,
        promises: &Promises,
    ) -> Vec<(id::Member, BTreeSet<id::Member>)> {
        let mut asks = Vec::new();
        for (subject, fence) in &mut self.open {
            let Fence::Voting { record, votes, has_promised, asked_at, .. } = fence else {
                continue;
            };
            if record.peers.contains(me) && !promises.is_outstanding(cx.now, subject) {
                votes.insert(me.clone());
                *has_promised |= is_since(promises.promised_at(subject), record);
            }
            if asked_at.is_none_or(|at| cx.now >= at + ASK_AGAIN) {
                *asked_at = Some(cx.now);
                let missing = record.peers.difference(votes).filter(|peer| *peer != me).cloned();
                asks.push((subject.clone(), missing.collect()));
            }
        }
        asks
    }

    /// Takes the reply to a fencing write.
    pub(crate) fn on_reply(
        &mut self,
        cx: &mut Context<'_>,
        subject: &id::Member,
        reply: Reply,
        promises: &mut Promises,
    ) {
        let Some(Fence::Writing { write, record, silent_since }) = self.open.get_mut(subject)
        else {
            return;
        };
        match write.on_reply(reply) {
            WriteProgress::Send(op) => cx.store(Purpose::Fence(subject.clone()), op),
            WriteProgress::Written(_) => {
                promises.mark_fenced(subject);
                let next = voting(record.clone(), *silent_since);
                self.open.insert(subject.clone(), next);
            }
            // The subject renewed, somebody else was first, or the store is
            // out: in each case the next read of the list tells what to do.
            WriteProgress::Conflict(_) | WriteProgress::Refused | WriteProgress::Stalled => {
                self.open.remove(subject);
            }
        }
    }

    /// Takes in a vote.
    pub(crate) fn on_vote(
        &mut self,
        from: id::Member,
        subject: &id::Member,
        promised_at: Option<Revision>,
    ) {
        if let Some(Fence::Voting { record, votes, has_promised, .. }) = self.open.get_mut(subject)
            && record.peers.contains(&from)
        {
            votes.insert(from);
            *has_promised |= is_since(promised_at, record);
        }
    }

    /// Returns the members whose shards may be taken over now.
    pub(crate) fn takeovers(&self, cx: &Context<'_>) -> Vec<Takeover> {
        self.open.iter().filter_map(|(subject, fence)| verdict(cx, subject, fence)).collect()
    }

    /// Ends a fencing.
    pub(crate) fn close(&mut self, subject: &id::Member) {
        self.open.remove(subject);
    }
}

fn voting(record: Box<Record>, silent_since: Duration) -> Fence {
    Fence::Voting {
        record,
        silent_since,
        votes: BTreeSet::new(),
        has_promised: false,
        asked_at: None,
    }
}

fn verdict(cx: &Context<'_>, subject: &id::Member, fence: &Fence) -> Option<Takeover> {
    let Fence::Voting { record, silent_since, votes, has_promised, .. } = fence else {
        return None;
    };
    // Past the longest ride-out no promise counts any more, whoever gave it.
    let ride_out = cx.timing.lengthened(cx.timing.ttl + cx.timing.ride_out);
    let is_waited_out = cx.now >= *silent_since + ride_out;
    let is_voted_out = votes.len() >= quorum::to_take_over(record.peers.len());
    if !is_waited_out && !is_voted_out {
        return None;
    }
    let has_memory_gap = record.has_unlogged || *has_promised || !is_voted_out;
    Some(Takeover { subject: subject.clone(), has_memory_gap })
}

/// Tells whether a promise may have carried the member past its latest record.
///
/// A renewal can be in doubt for the member that made it, so the revision that
/// the record names as confirmed is what promises are compared with.
fn is_since(promised_at: Option<Revision>, record: &Record) -> bool {
    promised_at.is_some_and(|revision| revision >= record.confirmed)
}

/// Tells whether a member has been silent for long enough that this process
/// should act, the closest in rank first.
fn is_silent(cx: &Context<'_>, seen: &Seen, table: &Table, me: &id::Member) -> bool {
    let is_fresh =
        table.read_at.is_some_and(|at| cx.now <= at + cx.timing.member_poll_interval * 2);
    let span = cx.timing.lengthened(cx.timing.ttl) + RANK_DELAY * rank(cx, table, me);
    is_fresh && cx.now >= seen.changed_at + span
}

fn rank(cx: &Context<'_>, table: &Table, me: &id::Member) -> u32 {
    let before = table.live_schedulers(cx.now, cx.timing).filter(|record| record.member < *me);
    u32::try_from(before.count()).unwrap_or(u32::MAX)
}
