use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use sycamore_types::id::{self, Revision};

use super::{Record, quorum};
use crate::context::{Context, Purpose};
use crate::store::{self, Reply, Write, WriteProgress};

/// A round of requests for promises.
#[derive(Debug)]
struct Round {
    number: u64,
    asked_at: Duration,
}

/// What a reply from the store meant for the lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LeaseEvent {
    /// Nothing that matters to others.
    Nothing,
    /// The record stands in the store.
    Renewed,
    /// Another member has fenced this one.
    Fenced,
}

/// The lease of this process.
#[derive(Debug)]
pub(crate) struct Lease {
    record: Record,
    revision: Revision,
    /// End of the time bought by the latest renewal that is certain.
    store_deadline: Option<Duration>,
    /// End of the time for which promises can carry the member at most.
    ride_out_end: Option<Duration>,
    /// Peers named in the record that is certain.
    confirmed_peers: BTreeSet<id::Member>,
    write: Option<Renewal>,
    next_renewal: Duration,
    round: Option<Round>,
    rounds: u64,
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
            ride_out_end: None,
            confirmed_peers: BTreeSet::new(),
            write: None,
            next_renewal: Duration::ZERO,
            round: None,
            rounds: 0,
            promises: BTreeMap::new(),
            is_fenced: false,
        }
    }

    pub(crate) fn member(&self) -> &id::Member {
        &self.record.member
    }

    /// Returns the time until which work may be started, if there is any.
    pub(crate) fn deadline(&self) -> Option<Duration> {
        if self.is_fenced {
            return None;
        }
        self.store_deadline.max(self.promised_until())
    }

    /// Tells whether only promises carry the member at present.
    pub(crate) fn is_riding_out(&self, now: Duration) -> bool {
        let is_past = |deadline: Option<Duration>| deadline.is_some_and(|end| end <= now);
        !self.is_fenced && is_past(self.store_deadline) && !is_past(self.deadline())
    }

    /// Returns the revision that the record is known to have.
    pub(crate) fn revision(&self) -> Revision {
        self.revision
    }

    /// Says in the next renewal that the member is leaving.
    pub(crate) fn set_leaving(&mut self, now: Duration) {
        self.record.is_leaving = true;
        self.next_renewal = now;
    }

    /// Sets whether the next renewal speaks of unlogged keys.
    pub(crate) fn set_unlogged(&mut self, has_unlogged: bool) {
        self.record.has_unlogged = has_unlogged;
    }

    /// Sends a renewal when one is due.
    pub(crate) fn tick(&mut self, cx: &mut Context<'_>, peers: &BTreeSet<id::Member>) {
        if self.is_fenced || cx.now < self.next_renewal {
            return;
        }
        self.next_renewal = cx.now + cx.timing.renew_interval;
        match &mut self.write {
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
        self.write = Some(Renewal { write, sent_at: cx.now, peers, is_stalled: false });
    }

    pub(crate) fn on_reply(&mut self, cx: &mut Context<'_>, reply: Reply) -> LeaseEvent {
        let Some(renewal) = &mut self.write else {
            return LeaseEvent::Nothing;
        };
        match renewal.write.on_reply(reply) {
            WriteProgress::Send(op) => cx.store(Purpose::Lease, op),
            WriteProgress::Stalled => renewal.is_stalled = true,
            WriteProgress::Refused => self.write = None,
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
        let Some(renewal) = self.write.take() else {
            return;
        };
        self.revision = revision;
        self.confirmed_peers = renewal.peers;
        // The span counts from before the renewal was sent: an observer can
        // have seen the new revision at any time after that.
        self.store_deadline = Some(renewal.sent_at + cx.timing.shortened(cx.timing.ttl));
        let ride_out = cx.timing.ttl + cx.timing.ride_out;
        self.ride_out_end = Some(renewal.sent_at + cx.timing.shortened(ride_out));
        self.promises.clear();
        self.round = None;
    }

    /// Tells whether the lease is lost for good.
    pub(crate) fn is_fenced(&self) -> bool {
        self.is_fenced
    }

    /// Marks the lease as lost, on the word of a peer that knows.
    pub(crate) fn mark_fenced(&mut self) {
        self.is_fenced = true;
    }

    /// Begins a round of requests for promises when the lease is about to run out.
    ///
    /// Returns the round's number and the members to ask.
    pub(crate) fn request_promises(
        &mut self,
        cx: &Context<'_>,
    ) -> Option<(u64, BTreeSet<id::Member>)> {
        let deadline = self.store_deadline.filter(|_| !self.is_fenced)?;
        let is_due = cx.now + cx.timing.renew_interval * 2 >= deadline;
        let is_asked =
            self.round.as_ref().is_some_and(|r| cx.now < r.asked_at + cx.timing.renew_interval);
        if !is_due || is_asked {
            return None;
        }
        self.rounds += 1;
        self.round = Some(Round { number: self.rounds, asked_at: cx.now });
        Some((self.rounds, self.possible_peers()))
    }

    /// Takes in a promise.
    pub(crate) fn on_promise(
        &mut self,
        cx: &Context<'_>,
        from: id::Member,
        number: u64,
        span: Duration,
    ) {
        if let Some(round) = self.round.as_ref().filter(|round| round.number == number) {
            let until = round.asked_at + cx.timing.shortened(span);
            self.promises.insert(from, until);
        }
    }

    /// Returns every peer that some version of the record in the store may name.
    fn possible_peers(&self) -> BTreeSet<id::Member> {
        let mut peers = self.confirmed_peers.clone();
        if let Some(renewal) = &self.write {
            peers.extend(renewal.peers.iter().cloned());
        }
        peers
    }

    /// Returns the time until which promises carry the member.
    ///
    /// A renewal in doubt may have changed the set of peers, so the promises
    /// must suffice for both sets.
    fn promised_until(&self) -> Option<Duration> {
        let mut until = self.promised_by(&self.confirmed_peers)?;
        if let Some(renewal) = &self.write {
            until = until.min(self.promised_by(&renewal.peers)?);
        }
        Some(until.min(self.ride_out_end?))
    }

    fn promised_by(&self, peers: &BTreeSet<id::Member>) -> Option<Duration> {
        let needed = quorum::to_go_on(peers.len())?;
        let mut ends: Vec<Duration> =
            peers.iter().filter_map(|peer| self.promises.get(peer).copied()).collect();
        ends.sort_unstable_by(|a, b| b.cmp(a));
        ends.get(needed - 1).copied()
    }
}
