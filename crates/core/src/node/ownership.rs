//! Ownership of shards: assignment, balancing, takeover and handover.
//!
//! The owners document in the store is the only authority. Every change of owner raises the
//! shard's epoch, by which messages and writes of a previous owner are recognised and refused.
//! A shard is drained before it is handed over, so that the next owner finds no start and
//! no log write in flight.

use std::collections::BTreeSet;
use std::time::Duration;

use sycamore_types::id::{self, Epoch};

use super::{Node, context};
use crate::action::Action;
use crate::context::Purpose;
use crate::owners::{Claim, ClusterState, Outcome};
use crate::peer::Message;
use crate::shard::Shard;
use crate::store::{self, Op, Reply};

impl Node {
    /// Coordinates if this member is the coordinator, and reads or writes the owners document.
    pub(super) fn tick_ownership(&mut self, now: Duration, out: &mut Vec<Action>) {
        self.rejoin_if_fenced(now, out);
        if self.is_coordinator(now) {
            self.coordinate(now, out);
        }
        let cluster = self.cluster_state(now);
        let mut cx = context(&self.timing, &mut self.calls, now, out);
        self.owners.tick(&mut cx, &cluster);
    }

    /// Returns whether this member coordinates: it assigns shards and plans team limits.
    ///
    /// The coordinator is the first live scheduler in member order that is not leaving. Two
    /// members may both consider themselves the coordinator for a while; compare-and-swap
    /// keeps their writes consistent.
    pub(super) fn is_coordinator(&self, now: Duration) -> bool {
        let is_alive = self.lease.deadline().is_some_and(|deadline| now < deadline);
        let first = self.eligible_owners(now).into_iter().next();
        is_alive && first.as_ref() == Some(self.member())
    }

    /// Returns the live schedulers that may be given shards, in member order.
    fn eligible_owners(&self, now: Duration) -> Vec<id::Member> {
        let live = self.members.live_schedulers(now, &self.timing);
        live.filter(|record| !record.is_leaving).map(|record| record.member.clone()).collect()
    }

    fn cluster_state(&self, now: Duration) -> ClusterState {
        ClusterState {
            shards: self.configured_shards.clone(),
            live: self.eligible_owners(now),
            known: self.members.iter().map(|seen| seen.record.member.clone()).collect(),
        }
    }

    /// Assigns shards that have no owner, and balances the number of shards per member.
    fn coordinate(&mut self, now: Duration, out: &mut Vec<Action>) {
        if self.config_revision == 0 {
            // The configuration says how many shards each failure domain is divided into.
            return;
        }
        let cluster = self.cluster_state(now);
        let Some(map) = self.owners.map() else {
            return;
        };
        let is_owned = |shard: &&id::Shard| {
            map.shards.get(*shard).is_some_and(|claim| cluster.known.contains(&claim.owner))
        };
        if cluster.shards.iter().any(|shard| !is_owned(&shard)) {
            self.owners.request_assignment();
            return;
        }
        if now < self.next_balance {
            return;
        }
        self.next_balance = now + self.timing.ttl;
        let Some((shard, to)) = map.rebalance_move(&cluster.live) else {
            return;
        };
        if let Some(claim) = map.shards.get(&shard).cloned() {
            self.request_release(now, out, shard, &claim, to);
        }
    }

    /// Asks the owner of a shard to hand it over to `to`.
    fn request_release(
        &mut self,
        now: Duration,
        out: &mut Vec<Action>,
        shard: id::Shard,
        claim: &Claim,
        to: id::Member,
    ) {
        if claim.owner == *self.member() {
            self.on_release(now, out, &shard, claim.epoch, to);
        } else {
            let message = Message::Release { shard, epoch: claim.epoch, to };
            self.send(out, &claim.owner, message);
        }
    }

    /// Drains a shard, so that it can be handed over to `to`.
    pub(super) fn on_release(
        &mut self,
        now: Duration,
        out: &mut Vec<Action>,
        id: &id::Shard,
        epoch: Epoch,
        to: id::Member,
    ) {
        let is_current = self.shards.get(id).is_some_and(|shard| shard.epoch == epoch);
        if is_current && to != *self.member() {
            self.with_shard(now, out, id, |shard, env| shard.drain(env, to));
        }
    }

    pub(super) fn on_owners_reply(&mut self, now: Duration, out: &mut Vec<Action>, reply: Reply) {
        let outcome = {
            let mut cx = context(&self.timing, &mut self.calls, now, out);
            self.owners.on_reply(&mut cx, reply)
        };
        match outcome {
            Outcome::Nothing => {}
            Outcome::Read => self.apply_owners(now, out),
            Outcome::Written => {
                self.apply_owners(now, out);
                self.notify_owners_changed(out);
            }
        }
    }

    /// Starts the shards that this member was given, and drops those that it lost.
    fn apply_owners(&mut self, now: Duration, out: &mut Vec<Action>) {
        let Some(map) = self.owners.map() else {
            return;
        };
        let me = self.member().clone();
        let owned: Vec<(id::Shard, Claim)> = map
            .shards
            .iter()
            .filter(|(_, claim)| claim.owner == me)
            .map(|(id, claim)| (id.clone(), claim.clone()))
            .collect();
        let epochs: BTreeSet<(id::Shard, Epoch)> =
            owned.iter().map(|(id, claim)| (id.clone(), claim.epoch)).collect();
        let lost: Vec<id::Shard> = self
            .shards
            .values()
            .filter(|shard| !epochs.contains(&(shard.id.clone(), shard.epoch)))
            .map(|shard| shard.id.clone())
            .collect();
        for id in lost {
            self.drop_shard(now, out, &id);
        }
        for (id, claim) in owned {
            self.start_shard(id, &claim);
        }
    }

    /// Begins the takeover of a shard that this member was given.
    fn start_shard(&mut self, id: id::Shard, claim: &Claim) {
        if self.shards.contains_key(&id) {
            return;
        }
        let mut shard = Shard::new(id.clone(), claim.epoch, claim.has_key_gap);
        shard.set_hosts(&self.hosts, &self.config);
        self.shards.insert(id.clone(), shard);
        self.ledger.queue_epoch(id, claim.epoch);
    }

    /// Drops a shard that has another owner now.
    pub(super) fn drop_shard(&mut self, now: Duration, out: &mut Vec<Action>, id: &id::Shard) {
        self.with_shard(now, out, id, |shard, env| shard.abandon(env));
        self.shards.remove(id);
        self.ledger.withdraw_epoch(id);
    }

    /// Notifies peers that this process has changed the owners document.
    fn notify_owners_changed(&mut self, out: &mut Vec<Action>) {
        let revision = self.owners.revision();
        let me = self.member().clone();
        let others = self.members.iter().map(|seen| &seen.record.member);
        let others: Vec<id::Member> = others.filter(|member| **member != me).cloned().collect();
        for member in others {
            self.send(out, &member, Message::OwnersChanged { revision });
        }
    }

    /// Hands over drained shards that have nothing in flight any more.
    pub(super) fn tick_handover(&mut self, now: Duration, out: &mut Vec<Action>) {
        let mut ready = Vec::new();
        self.each_shard(now, out, |shard, env| {
            if let Some(to) = shard.handover_target(env) {
                ready.push((shard.id.clone(), shard.epoch, to, shard.has_unlogged_key_gap()));
            }
        });
        for (shard, epoch, to, has_unlogged_key_gap) in ready {
            self.owners.request_handover(shard, epoch, to, has_unlogged_key_gap);
        }
    }

    /// Starts a planned stop.
    pub(super) fn on_stop(&mut self, now: Duration) {
        self.is_stopping = true;
        self.lease.set_leaving(now);
    }

    /// Hands over all shards, then removes this member's record.
    pub(super) fn tick_leaving(&mut self, now: Duration, out: &mut Vec<Action>) {
        if !self.is_stopping || self.has_left {
            return;
        }
        let me = self.member().clone();
        let others: Vec<id::Member> =
            self.eligible_owners(now).into_iter().filter(|member| *member != me).collect();
        let owned: Vec<id::Shard> = self.shards.keys().cloned().collect();
        for (at, id) in owned.iter().enumerate() {
            // Without another member the shard is drained all the same. Once this
            // member's record is gone, the shard counts as having no owner.
            let to = if others.is_empty() { me.clone() } else { others[at % others.len()].clone() };
            self.with_shard(now, out, id, |shard, env| shard.drain(env, to));
        }
        let may_leave = if others.is_empty() {
            let mut is_drained = true;
            self.each_shard(now, out, |shard, env| {
                is_drained &= shard.handover_target(env).is_some()
            });
            is_drained
        } else {
            self.shards.is_empty() && self.owners.is_settled()
        };
        if may_leave {
            self.leave(now, out);
        }
    }

    /// Removes this member's record and reports that the planned stop is complete.
    fn leave(&mut self, now: Duration, out: &mut Vec<Action>) {
        self.has_left = true;
        let key = store::member(self.member());
        let expected = self.lease.revision();
        let mut cx = context(&self.timing, &mut self.calls, now, out);
        cx.store(Purpose::RemoveMember, Op::Delete { key, expected });
        out.push(Action::Stopped);
    }
}
