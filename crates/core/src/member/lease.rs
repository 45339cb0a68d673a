//! The lease of this process, which limits until when it may start work.
//!
//! A renewal extends the lease for a fixed time. While the store is unavailable,
//! promises from a quorum of peers extend it. All spans are shortened by the
//! possible clock drift, so that the lease ends before another member acts on it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use sycamore_types::id::{self, Revision};

use super::{Record, quorum};
use crate::context::{Context, Purpose};
use crate::store::{self, Reply, Write, WriteProgress};

/// A round of requests for promises, sent to several peers at once.
#[derive(Debug)]
struct Round {
    number: u64,
    requested_at: Duration,
}

/// What a reply from the store changed in the lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LeaseEvent {
    /// Nothing that the node has to act on.
    Nothing,
    /// The renewal was written.
    Renewed,
    /// Another member has fenced this one.
    Fenced,
}

/// The lease of this process.
#[derive(Debug)]
pub(crate) struct Lease {
    record: Record,
    revision: Revision,
    /// Time until which the latest confirmed renewal is valid.
    store_deadline: Option<Duration>,
    /// Latest time until which promises can extend the lease.
    extension_end: Option<Duration>,
    /// Peers named in the latest record that was confirmed.
    confirmed_peers: BTreeSet<id::Member>,
    /// Renewal whose outcome is not known yet.
    renewal: Option<Renewal>,
    next_renewal: Duration,
    round: Option<Round>,
    round_count: u64,
    /// Ends of the promises received since the last confirmed renewal, by peer.
    promises: BTreeMap<id::Member, Duration>,
    is_fenced: bool,
}

#[derive(Debug)]
struct Renewal {
    write: Write,
    sent_at: Duration,
    peers: BTreeSet<id::Member>,
    is_stalled: bool,
}

impl Lease {
    pub(crate) fn new(record: Record) -> Lease {
        Lease {
            record,
            revision: 0,
            store_deadline: None,
            extension_end: None,
            confirmed_peers: BTreeSet::new(),
            renewal: None,
            next_renewal: Duration::ZERO,
            round: None,
            round_count: 0,
            promises: BTreeMap::new(),
            is_fenced: false,
        }
    }

    pub(crate) fn member(&self) -> &id::Member {
        &self.record.member
    }

    /// Returns the time until which work may be started. `None` if the lease never
    /// was valid or is lost.
    pub(crate) fn deadline(&self) -> Option<Duration> {
        if self.is_fenced {
            return None;
        }
        self.store_deadline.max(self.promised_until())
    }

    /// Returns whether only promises of peers keep the lease valid.
    pub(crate) fn is_extended(&self, now: Duration) -> bool {
        let is_past = |deadline: Option<Duration>| deadline.is_some_and(|end| end <= now);
        !self.is_fenced && is_past(self.store_deadline) && !is_past(self.deadline())
    }

    /// Returns the revision that the record is known to have.
    pub(crate) fn revision(&self) -> Revision {
        self.revision
    }

    /// Announces that the member is leaving, in a renewal that is due at once.
    pub(crate) fn set_leaving(&mut self, now: Duration) {
        self.record.is_leaving = true;
        self.next_renewal = now;
    }

    /// Sets [`Record::has_unlogged`] for the next renewal.
    pub(crate) fn set_unlogged(&mut self, has_unlogged: bool) {
        self.record.has_unlogged = has_unlogged;
    }

    /// Sends a renewal when one is due.
    pub(crate) fn tick(&mut self, cx: &mut Context<'_>, peers: &BTreeSet<id::Member>) {
        if self.is_fenced || cx.now < self.next_renewal {
            return;
        }
        self.next_renewal = cx.now + cx.timing.renew_interval;
        match &mut self.renewal {
            None => self.renew(cx, peers),
            Some(renewal) if renewal.is_stalled => {
                renewal.is_stalled = false;
                let op = renewal.write.resume();
                cx.store(Purpose::Lease, op);
            }
            Some(_) => {}
        }
    }

    fn renew(&mut self, cx: &mut Context<'_>, peers: &BTreeSet<id::Member>) {
        self.record.renewals += 1;
        self.record.confirmed = self.revision;
        self.record.peers = peers.clone();
        let body = serde_json::to_vec(&self.record).unwrap_or_default();
        let key = store::member(&self.record.member);
        let write = Write::new(key, self.revision, cx.calls.write_id(), &body);
        cx.store(Purpose::Lease, write.start());
        let peers = peers.clone();
        self.renewal = Some(Renewal { write, sent_at: cx.now, peers, is_stalled: false });
    }

    pub(crate) fn on_reply(&mut self, cx: &mut Context<'_>, reply: Reply) -> LeaseEvent {
        let Some(renewal) = &mut self.renewal else {
            return LeaseEvent::Nothing;
        };
        match renewal.write.on_reply(reply) {
            WriteProgress::Send(op) => cx.store(Purpose::Lease, op),
            WriteProgress::Stalled => renewal.is_stalled = true,
            WriteProgress::Refused => self.renewal = None,
            WriteProgress::Written(revision) => {
                self.confirm(cx, revision);
                return LeaseEvent::Renewed;
            }
            WriteProgress::Conflict(_) => {
                self.is_fenced = true;
                return LeaseEvent::Fenced;
            }
        }
        LeaseEvent::Nothing
    }

    fn confirm(&mut self, cx: &Context<'_>, revision: Revision) {
        let Some(renewal) = self.renewal.take() else {
            return;
        };
        self.revision = revision;
        self.confirmed_peers = renewal.peers;
        // The lease is counted from before the renewal was sent, since an
        // observer may have read the new revision at any time after that.
        self.store_deadline = Some(renewal.sent_at + cx.timing.shortened(cx.timing.ttl));
        let longest_lease = cx.timing.ttl + cx.timing.max_lease_extension;
        self.extension_end = Some(renewal.sent_at + cx.timing.shortened(longest_lease));
        self.promises.clear();
        self.round = None;
    }

    /// Returns whether the lease is permanently lost.
    pub(crate) fn is_fenced(&self) -> bool {
        self.is_fenced
    }

    /// Marks the lease as permanently lost, as reported by a peer.
    pub(crate) fn mark_fenced(&mut self) {
        self.is_fenced = true;
    }

    /// Starts a round of requests for promises when the lease is about to expire.
    ///
    /// Returns the number of the round and the members to send requests to.
    pub(crate) fn request_promises(
        &mut self,
        cx: &Context<'_>,
    ) -> Option<(u64, BTreeSet<id::Member>)> {
        let deadline = self.store_deadline.filter(|_| !self.is_fenced)?;
        let is_due = cx.now + cx.timing.renew_interval * 2 >= deadline;
        let was_requested =
            self.round.as_ref().is_some_and(|r| cx.now < r.requested_at + cx.timing.renew_interval);
        if !is_due || was_requested {
            return None;
        }
        self.round_count += 1;
        self.round = Some(Round { number: self.round_count, requested_at: cx.now });
        Some((self.round_count, self.possible_peers()))
    }

    /// Stores a promise for `span`, unless it belongs to an earlier round.
    pub(crate) fn on_promise(
        &mut self,
        cx: &Context<'_>,
        from: id::Member,
        number: u64,
        span: Duration,
    ) {
        if let Some(round) = self.round.as_ref().filter(|round| round.number == number) {
            let until = round.requested_at + cx.timing.shortened(span);
            self.promises.insert(from, until);
        }
    }

    /// Returns every peer that the record in the store may name, whether or not
    /// the renewal in flight has succeeded.
    fn possible_peers(&self) -> BTreeSet<id::Member> {
        let mut peers = self.confirmed_peers.clone();
        if let Some(renewal) = &self.renewal {
            peers.extend(renewal.peers.iter().cloned());
        }
        peers
    }

    /// Returns the time until which promises extend the lease.
    ///
    /// A renewal with an unknown outcome may have changed the set of peers, so
    /// the promises must form a quorum in both sets.
    fn promised_until(&self) -> Option<Duration> {
        let mut until = self.promised_until_by(&self.confirmed_peers)?;
        if let Some(renewal) = &self.renewal {
            until = until.min(self.promised_until_by(&renewal.peers)?);
        }
        Some(until.min(self.extension_end?))
    }

    fn promised_until_by(&self, peers: &BTreeSet<id::Member>) -> Option<Duration> {
        let needed = quorum::to_continue(peers.len())?;
        let mut ends: Vec<Duration> =
            peers.iter().filter_map(|peer| self.promises.get(peer).copied()).collect();
        ends.sort_unstable_by(|a, b| b.cmp(a));
        ends.get(needed - 1).copied()
    }
}
