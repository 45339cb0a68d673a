//! Membership: the lease of this process, promises between members, and fencing.
//!
//! A member may start work only under a lease, so that another one can take over its shards
//! once the lease has certainly expired. While the store is unavailable no member can renew;
//! promises of peers then replace the renewal, and a takeover needs votes that rule such
//! promises out.

use std::collections::BTreeSet;
use std::time::Duration;

use sycamore_types::id::{self, Revision};

use super::{Node, context};
use crate::action::Action;
use crate::context::Purpose;
use crate::member::{Fences, Lease, LeaseEvent};
use crate::peer::Message;
use crate::store::{self, Op, Reply};
use crate::{ledger, owners};

impl Node {
    /// Renews the lease, asks for promises, polls the member list and fences members that are
    /// presumed dead.
    pub(super) fn tick_membership(&mut self, now: Duration, out: &mut Vec<Action>) {
        let has_unlogged = self.shards.values().any(|shard| shard.has_unlogged_keys());
        let is_lease_extended = self.lease.is_extended(now);
        self.lease.set_unlogged(has_unlogged || is_lease_extended);
        let peers = self.peers(now);
        if !self.has_left {
            let mut cx = context(&self.timing, &mut self.calls, now, out);
            self.lease.tick(&mut cx, &peers);
        }
        self.request_promises(now, out);
        self.poll_members(now, out);
        self.fence_presumed_dead(now, out);
    }

    /// Returns the schedulers, besides this one, that are alive.
    fn peers(&self, now: Duration) -> BTreeSet<id::Member> {
        let live = self.members.live_schedulers(now, &self.timing);
        live.map(|record| &record.member).filter(|peer| *peer != self.member()).cloned().collect()
    }

    /// Asks peers for promises when the lease is about to expire.
    fn request_promises(&mut self, now: Duration, out: &mut Vec<Action>) {
        let asked = {
            let cx = context(&self.timing, &mut self.calls, now, out);
            self.lease.request_promises(&cx)
        };
        if let Some((round, peers)) = asked {
            let revision = self.lease.revision();
            for peer in peers {
                self.send(out, &peer, Message::AskPromise { round, revision });
            }
        }
    }

    /// Gives a promise, but only while this process can't reach the store either.
    /// Otherwise the member records in the store show who is alive.
    pub(super) fn on_ask_promise(
        &mut self,
        now: Duration,
        out: &mut Vec<Action>,
        from: id::Member,
        round: u64,
        revision: Revision,
    ) {
        if self.promises.is_fenced(&from) {
            self.send(out, &from, Message::Fenced);
            return;
        }
        let is_store_unavailable =
            self.last_store_contact.is_some_and(|at| now >= at + self.timing.renew_interval);
        if !is_store_unavailable {
            return;
        }
        let span = {
            let cx = context(&self.timing, &mut self.calls, now, out);
            self.promises.give(&cx, &from, revision)
        };
        if let Some(span) = span {
            self.send(out, &from, Message::Promise { round, span });
        }
    }

    /// Votes for a takeover of the subject unless a promise to it is in force.
    pub(super) fn on_ask_vote(
        &mut self,
        now: Duration,
        out: &mut Vec<Action>,
        from: id::Member,
        subject: id::Member,
    ) {
        if subject == *self.member() {
            self.lease.mark_fenced();
            return;
        }
        self.promises.mark_fenced(&subject);
        if !self.promises.is_outstanding(now, &subject) {
            let promised_at = self.promises.promised_at(&subject);
            self.send(out, &from, Message::Vote { subject, promised_at });
        }
    }

    /// Reads the member list, with one read in flight at most.
    fn poll_members(&mut self, now: Duration, out: &mut Vec<Action>) {
        if now < self.next_member_poll || self.is_member_poll_pending {
            return;
        }
        self.is_member_poll_pending = true;
        self.next_member_poll = now + self.timing.member_poll_interval;
        let mut cx = context(&self.timing, &mut self.calls, now, out);
        let prefix = store::MEMBER_PREFIX.to_string();
        cx.store(Purpose::Members, Op::List { prefix });
    }

    pub(super) fn on_members(&mut self, now: Duration, reply: Reply) {
        self.is_member_poll_pending = false;
        if let Reply::Values(values) = reply {
            for gone in self.members.update(now, values) {
                self.promises.forget(&gone);
                self.fences.forget(&gone);
            }
        }
    }

    /// Fences members that no longer renew their leases, and asks for votes on them.
    ///
    /// Does nothing without a valid lease of its own.
    fn fence_presumed_dead(&mut self, now: Duration, out: &mut Vec<Action>) {
        if self.lease.deadline().is_none_or(|deadline| now >= deadline) {
            return;
        }
        let me = self.member().clone();
        let vote_requests = {
            let mut cx = context(&self.timing, &mut self.calls, now, out);
            self.fences.tick(&mut cx, &me, &self.members, &mut self.promises)
        };
        for (subject, voters) in vote_requests {
            for voter in voters {
                self.send(out, &voter, Message::AskVote { subject: subject.clone() });
            }
        }
        self.take_over_fenced(now, out);
    }

    /// Takes over the shards of fenced members, and removes the records of those without any.
    fn take_over_fenced(&mut self, now: Duration, out: &mut Vec<Action>) {
        let takeovers = {
            let cx = context(&self.timing, &mut self.calls, now, out);
            self.fences.takeovers(&cx)
        };
        for takeover in takeovers {
            let Some(map) = self.owners.map() else {
                return;
            };
            if map.shard_count(&takeover.subject) > 0 {
                self.owners.request_takeover(takeover);
            } else if self.owners.is_settled() {
                self.remove_member(now, out, &takeover.subject);
            }
        }
    }

    /// Removes the record of a fenced member that owns no shards any more.
    fn remove_member(&mut self, now: Duration, out: &mut Vec<Action>, subject: &id::Member) {
        let Some(seen) = self.members.get(subject) else {
            return;
        };
        // The local copy may still be the record from before fencing. Its removal would
        // conflict, so it is left to a later poll of the member list.
        if seen.record.fenced_by.is_none() {
            return;
        }
        let op = Op::Delete { key: store::member(subject), expected: seen.revision };
        let mut cx = context(&self.timing, &mut self.calls, now, out);
        cx.store(Purpose::RemoveMember, op);
        self.fences.forget(subject);
    }

    pub(super) fn on_lease_reply(&mut self, now: Duration, out: &mut Vec<Action>, reply: Reply) {
        let event = {
            let mut cx = context(&self.timing, &mut self.calls, now, out);
            self.lease.on_reply(&mut cx, reply)
        };
        if event == LeaseEvent::Renewed {
            self.tick_ownership(now, out);
        }
    }

    pub(super) fn on_fence_reply(
        &mut self,
        now: Duration,
        out: &mut Vec<Action>,
        subject: &id::Member,
        reply: Reply,
    ) {
        let mut cx = context(&self.timing, &mut self.calls, now, out);
        self.fences.on_reply(&mut cx, subject, reply, &mut self.promises);
    }

    /// Rejoins as a new member if this one was fenced.
    ///
    /// All state of the old member is dropped: other members own its shards,
    /// and the promises that it gave are void.
    pub(super) fn rejoin_if_fenced(&mut self, now: Duration, out: &mut Vec<Action>) {
        if !self.lease.is_fenced() || self.has_left {
            return;
        }
        self.each_shard(now, out, |shard, env| shard.abandon(env));
        self.shards.clear();
        self.identity = self.identity.next_incarnation();
        self.calls.clear();
        self.calls.reseed(self.identity.member.incarnation);
        self.lease = Lease::new(self.identity.record());
        if self.is_stopping {
            self.lease.set_leaving(now);
        }
        self.promises = Default::default();
        self.fences = Fences::default();
        self.owners = owners::Client::new();
        self.ledger = ledger::Client::new();
        self.is_member_poll_pending = false;
        self.next_member_poll = now;
    }
}
