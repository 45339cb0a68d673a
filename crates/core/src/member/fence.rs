//! Fencing of members that are presumed dead, until their shards may be taken over.
//!
//! Overwriting the record of a member makes every later renewal fail. Promises
//! may still extend its lease, so votes must rule them out before a takeover.
//! Several observers may fence the same member: one write succeeds, and each of
//! them can then collect votes.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use sycamore_types::id::{self, Revision};

use super::table::Observation;
use super::{Promises, Record, Table, quorum};
use crate::context::{Context, Purpose};
use crate::store::{self, Reply, Write, WriteProgress};

/// Time after which missing votes are requested again.
const VOTE_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Extra delay for each live scheduler that precedes the observer in member
/// order, so that observers don't all fence at once.
const RANK_DELAY: Duration = Duration::from_millis(400);

/// State of the fencing of one member that is presumed dead.
#[derive(Debug)]
enum Fence {
    /// The record is being overwritten.
    Writing { write: Write, record: Box<Record>, unchanged_since: Duration },
    /// The record is overwritten. Votes must rule out outstanding promises.
    Voting {
        record: Box<Record>,
        unchanged_since: Duration,
        votes: BTreeSet<id::Member>,
        /// A voter gave a promise that may have extended the member's lease.
        has_promised: bool,
        requested_at: Option<Duration>,
    },
}

/// A fenced member whose shards may be taken over.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Takeover {
    pub(crate) subject: id::Member,
    /// The member may have accepted idempotency keys that are missing from the log.
    pub(crate) has_key_gap: bool,
}

/// Fencing operations that this process has started.
#[derive(Debug, Default)]
pub(crate) struct Fences {
    open: BTreeMap<id::Member, Fence>,
}

impl Fences {
    /// Starts to fence members that are presumed dead and continues open operations.
    ///
    /// Returns each member being fenced with the peers to request votes from.
    pub(crate) fn tick(
        &mut self,
        cx: &mut Context<'_>,
        me: &id::Member,
        table: &Table,
        promises: &mut Promises,
    ) -> Vec<(id::Member, BTreeSet<id::Member>)> {
        let presumed_dead: Vec<Observation> = table
            .iter()
            .filter(|observation| {
                observation.record.member != *me
                    && !self.open.contains_key(&observation.record.member)
            })
            .filter(|observation| is_presumed_dead(cx, observation, table, me))
            .cloned()
            .collect();
        for observation in presumed_dead {
            self.start(cx, me, observation, promises);
        }
        self.collect_vote_requests(cx, me, promises)
    }

    fn start(
        &mut self,
        cx: &mut Context<'_>,
        me: &id::Member,
        observation: Observation,
        promises: &mut Promises,
    ) {
        let subject = observation.record.member.clone();
        let record = Box::new(observation.record);
        let unchanged_since = observation.changed_at;
        if record.fenced_by.is_some() {
            promises.mark_fenced(&subject);
            self.open.insert(subject, voting(record, unchanged_since));
            return;
        }
        let mut fenced = (*record).clone();
        fenced.fenced_by = Some(me.clone());
        let body = serde_json::to_vec(&fenced).unwrap_or_default();
        let write =
            Write::new(store::member(&subject), observation.revision, cx.calls.write_id(), &body);
        cx.store(Purpose::Fence(subject.clone()), write.start());
        self.open.insert(subject, Fence::Writing { write, record, unchanged_since });
    }

    fn collect_vote_requests(
        &mut self,
        cx: &Context<'_>,
        me: &id::Member,
        promises: &Promises,
    ) -> Vec<(id::Member, BTreeSet<id::Member>)> {
        let mut requests = Vec::new();
        for (subject, fence) in &mut self.open {
            let Fence::Voting { record, votes, has_promised, requested_at, .. } = fence else {
                continue;
            };
            if record.peers.contains(me) && !promises.is_outstanding(cx.now, subject) {
                votes.insert(me.clone());
                *has_promised |= may_extend_lease(promises.promised_at(subject), record);
            }
            if requested_at.is_none_or(|at| cx.now >= at + VOTE_RETRY_INTERVAL) {
                *requested_at = Some(cx.now);
                let missing = record.peers.difference(votes).filter(|peer| *peer != me).cloned();
                requests.push((subject.clone(), missing.collect()));
            }
        }
        requests
    }

    /// Handles the reply to the write that overwrites a record.
    pub(crate) fn on_reply(
        &mut self,
        cx: &mut Context<'_>,
        subject: &id::Member,
        reply: Reply,
        promises: &mut Promises,
    ) {
        let Some(Fence::Writing { write, record, unchanged_since }) = self.open.get_mut(subject)
        else {
            return;
        };
        match write.on_reply(reply) {
            WriteProgress::Send(op) => cx.store(Purpose::Fence(subject.clone()), op),
            WriteProgress::Written(_) => {
                promises.mark_fenced(subject);
                let next = voting(record.clone(), *unchanged_since);
                self.open.insert(subject.clone(), next);
            }
            // The subject renewed, another member fenced it first, or the store
            // is unavailable: the next read of the member list shows which.
            WriteProgress::Conflict(_) | WriteProgress::Refused | WriteProgress::Stalled => {
                self.open.remove(subject);
            }
        }
    }

    /// Counts a vote, if the fenced record names the voter.
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
            *has_promised |= may_extend_lease(promised_at, record);
        }
    }

    /// Returns the members whose shards may be taken over now.
    pub(crate) fn takeovers(&self, cx: &Context<'_>) -> Vec<Takeover> {
        self.open.iter().filter_map(|(subject, fence)| takeover(cx, subject, fence)).collect()
    }

    /// Forgets the fencing of a member whose record is gone or being removed.
    pub(crate) fn forget(&mut self, subject: &id::Member) {
        self.open.remove(subject);
    }
}

fn voting(record: Box<Record>, unchanged_since: Duration) -> Fence {
    Fence::Voting {
        record,
        unchanged_since,
        votes: BTreeSet::new(),
        has_promised: false,
        requested_at: None,
    }
}

fn takeover(cx: &Context<'_>, subject: &id::Member, fence: &Fence) -> Option<Takeover> {
    let Fence::Voting { record, unchanged_since, votes, has_promised, .. } = fence else {
        return None;
    };
    // After the longest extension no promise is valid any more, whoever gave it.
    let longest_lease = cx.timing.lengthened(cx.timing.ttl + cx.timing.max_lease_extension);
    let is_past_extension = cx.now >= *unchanged_since + longest_lease;
    let has_quorum = votes.len() >= quorum::to_take_over(record.peers.len());
    if !is_past_extension && !has_quorum {
        return None;
    }
    let has_key_gap = record.has_unlogged || *has_promised || !has_quorum;
    Some(Takeover { subject: subject.clone(), has_key_gap })
}

/// Returns whether a promise may have extended the lease beyond the latest record.
///
/// The member may not know whether its latest renewal succeeded, so promises
/// are compared with the revision that the record names as confirmed.
fn may_extend_lease(promised_at: Option<Revision>, record: &Record) -> bool {
    promised_at.is_some_and(|revision| revision >= record.confirmed)
}

/// Returns whether a record has been unchanged for so long that this process
/// should fence the member.
///
/// The first live scheduler in member order acts first.
fn is_presumed_dead(
    cx: &Context<'_>,
    observation: &Observation,
    table: &Table,
    me: &id::Member,
) -> bool {
    let is_fresh =
        table.read_at.is_some_and(|at| cx.now <= at + cx.timing.member_poll_interval * 2);
    let span = cx.timing.lengthened(cx.timing.ttl) + RANK_DELAY * rank(cx, table, me);
    is_fresh && cx.now >= observation.changed_at + span
}

/// Returns the number of live schedulers that precede this one in member order.
fn rank(cx: &Context<'_>, table: &Table, me: &id::Member) -> u32 {
    let before = table.live_schedulers(cx.now, cx.timing).filter(|record| record.member < *me);
    u32::try_from(before.count()).unwrap_or(u32::MAX)
}
