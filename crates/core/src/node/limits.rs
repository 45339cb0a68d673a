//! Team limits: the ledger, the planner and usage reports.
//!
//! Owners report to the planner on the coordinator, which moves tokens between shards by
//! writing the ledger. Summaries and grants may be lost: both are sent again at intervals, and only the
//! ledger in the store decides how the limits are divided.

use std::collections::BTreeMap;
use std::time::Duration;

use sycamore_types::Name;
use sycamore_types::id::{self, Epoch};
use sycamore_types::resources::Resources;

use super::{Node, context};
use crate::action::Action;
use crate::ledger::{Outcome, TransferOrder};
use crate::peer::{Grant, Message, Summary};
use crate::store::Reply;

/// Time between two broadcasts of the usage of the whole fleet.
const USAGE_INTERVAL: Duration = Duration::from_secs(1);

impl Node {
    /// Keeps the ledger up to date, reports to the planner and, on the coordinator, plans.
    pub(super) fn tick_limits(&mut self, now: Duration, out: &mut Vec<Action>) {
        let is_planner = self.is_coordinator(now);
        {
            let mut cx = context(&self.timing, &mut self.calls, now, out);
            self.ledger.tick(&mut cx, is_planner);
        }
        if now >= self.next_summary {
            self.next_summary = now + self.timing.summary_interval;
            self.send_summaries(now, out);
            if is_planner {
                self.plan(now, out);
            }
        }
        if is_planner && now >= self.next_usage_broadcast {
            self.next_usage_broadcast = now + USAGE_INTERVAL;
            self.broadcast_usage(now, out);
        }
    }

    /// Reports on every shard to the planner, which runs on the coordinator.
    fn send_summaries(&mut self, now: Duration, out: &mut Vec<Action>) {
        let summaries: Vec<Summary> = self.shards.values().map(|shard| shard.summary()).collect();
        if summaries.is_empty() {
            return;
        }
        self.fleet.mark_reported();
        let me = self.member().clone();
        let planner = self.members.live_schedulers(now, &self.timing).find(|r| !r.is_leaving);
        let Some(planner) = planner.map(|record| record.member.clone()) else {
            return;
        };
        if planner == me {
            for summary in summaries {
                self.planner.record_summary(now, &me, summary);
            }
        } else {
            self.send(out, &planner, Message::Summaries(summaries));
        }
    }

    /// Asks owners to lower caps where needed, and writes the next ledger if it differs from
    /// the present one. Otherwise resends grants to owners that apply an older ledger.
    fn plan(&mut self, now: Duration, out: &mut Vec<Action>) {
        if !self.ledger.is_ready() || self.config_revision == 0 {
            return;
        }
        let Some(ledger) = self.ledger.get() else {
            return;
        };
        let transfer_order = match self.bugs.credits_before_debit {
            true => TransferOrder::CreditFirst,
            false => TransferOrder::DebitFirst,
        };
        let plan =
            self.planner.plan(now, ledger, &self.config, self.config_revision, transfer_order);
        let outdated = self.planner.outdated_shards(ledger, self.ledger.revision());
        for (shard, teams) in plan.lower {
            self.send_to_owner(now, out, &shard, |epoch, shard| Message::Lower {
                shard,
                epoch,
                teams,
            });
        }
        match plan.ledger {
            Some(ledger) => {
                let mut cx = context(&self.timing, &mut self.calls, now, out);
                self.ledger.propose(&mut cx, ledger);
            }
            None => {
                for shard in outdated {
                    self.send_grant(now, out, &shard);
                }
            }
        }
    }

    /// Processes the reply to a read or write of the ledger.
    pub(super) fn on_ledger_reply(&mut self, now: Duration, out: &mut Vec<Action>, reply: Reply) {
        let outcome = {
            let mut cx = context(&self.timing, &mut self.calls, now, out);
            self.ledger.on_reply(&mut cx, reply)
        };
        let Outcome::Written(recorded) = outcome else {
            return;
        };
        for (id, epoch) in recorded {
            self.on_epoch_recorded(now, out, &id, epoch);
        }
        if self.is_coordinator(now) {
            let shards: Vec<id::Shard> = match self.ledger.get() {
                Some(ledger) => ledger.accounts.keys().cloned().collect(),
                None => Vec::new(),
            };
            for shard in shards {
                self.send_grant(now, out, &shard);
            }
        }
    }

    /// Lets a shard use its account, since the ledger now names the epoch of this owner.
    fn on_epoch_recorded(
        &mut self,
        now: Duration,
        out: &mut Vec<Action>,
        id: &id::Shard,
        epoch: Epoch,
    ) {
        let Some(ledger) = self.ledger.get() else {
            return;
        };
        let account = ledger.accounts.get(id).cloned().unwrap_or_default();
        let limits = ledger.limits.clone();
        let revision = self.ledger.revision();
        let is_current = self.shards.get(id).is_some_and(|shard| shard.epoch == epoch);
        if !is_current || account.epoch != epoch {
            return;
        }
        self.with_shard(now, out, id, |shard, env| {
            shard.caps.grant(revision, account.lowerings, &account.tokens, &limits);
            shard.on_epoch_recorded(env);
        });
    }

    /// Sends the owner of a shard what the ledger grants to it.
    fn send_grant(&mut self, now: Duration, out: &mut Vec<Action>, id: &id::Shard) {
        let Some(ledger) = self.ledger.get() else {
            return;
        };
        let Some(account) = ledger.accounts.get(id).cloned() else {
            return;
        };
        let revision = self.ledger.revision();
        let mut limits = ledger.limits.clone();
        limits.retain(|team, _| account.tokens.contains_key(team));
        self.send_to_owner(now, out, id, |_, shard| {
            Message::Grant(Grant {
                shard,
                epoch: account.epoch,
                revision,
                lowerings: account.lowerings,
                teams: account.tokens,
                limits,
            })
        });
    }

    /// Sends a message to the member that last sent a summary of a shard.
    fn send_to_owner(
        &mut self,
        now: Duration,
        out: &mut Vec<Action>,
        shard: &id::Shard,
        message: impl FnOnce(Epoch, id::Shard) -> Message,
    ) {
        let Some((owner, epoch)) = self.planner.owner(shard) else {
            return;
        };
        let owner = owner.clone();
        let message = message(epoch, shard.clone());
        if owner == *self.member() {
            self.on_peer(now, out, owner, message);
        } else {
            self.send(out, &owner, message);
        }
    }

    /// Applies a grant to a shard, unless it is for another epoch.
    pub(super) fn on_grant(&mut self, now: Duration, out: &mut Vec<Action>, grant: &Grant) {
        let is_current =
            self.shards.get(&grant.shard).is_some_and(|shard| shard.epoch == grant.epoch);
        if !is_current {
            return;
        }
        self.with_shard(now, out, &grant.shard, |shard, env| {
            if shard.caps.grant(grant.revision, grant.lowerings, &grant.teams, &grant.limits) {
                shard.request_full_pass();
                shard.tick(env);
            }
        });
    }

    /// Sends the usage of the whole fleet to the other schedulers, for fair sharing.
    fn broadcast_usage(&mut self, now: Duration, out: &mut Vec<Action>) {
        let (capacity, teams) = self.planner.usage(now);
        let me = self.member().clone();
        let live = self.members.live_schedulers(now, &self.timing);
        let others: Vec<id::Member> =
            live.map(|record| record.member.clone()).filter(|member| *member != me).collect();
        for member in others {
            let message = Message::Usage { capacity, teams: teams.clone() };
            self.send(out, &member, message);
        }
        self.on_usage(capacity, &teams);
    }

    pub(super) fn on_usage(&mut self, capacity: Resources, teams: &BTreeMap<Name, Resources>) {
        self.fleet.set_totals(capacity, teams);
        for shard in self.shards.values_mut() {
            shard.set_shares(&self.fleet, &self.config);
        }
    }
}
