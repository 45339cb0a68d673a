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

/// Time between two announcements of what runs over the whole fleet.
const TOTALS: Duration = Duration::from_secs(1);

impl Node {
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
        if is_planner && now >= self.next_totals {
            self.next_totals = now + TOTALS;
            self.announce_totals(now, out);
        }
    }

    fn send_summaries(&mut self, now: Duration, out: &mut Vec<Action>) {
        let summaries: Vec<Summary> = self.shards.values().map(|shard| shard.summary()).collect();
        if summaries.is_empty() {
            return;
        }
        self.fleet.note_reported();
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

    /// Works out the next ledger and asks owners for what it needs.
    fn plan(&mut self, now: Duration, out: &mut Vec<Action>) {
        if !self.ledger.is_ready() || self.config_revision == 0 {
            return;
        }
        let Some(book) = self.ledger.get() else {
            return;
        };
        let rule = match self.bugs.credits_before_debit {
            true => TransferOrder::CreditFirst,
            false => TransferOrder::DebitFirst,
        };
        let plan = self.planner.plan(now, book, &self.config, self.config_revision, rule);
        let out_of_step = self.planner.outdated_shards(book, self.ledger.revision());
        for (shard, teams) in plan.lower {
            self.tell_owner(now, out, &shard, |epoch, shard| Message::Lower {
                shard,
                epoch,
                teams,
            });
        }
        match plan.ledger {
            Some(book) => {
                let mut cx = context(&self.timing, &mut self.calls, now, out);
                self.ledger.propose(&mut cx, book);
            }
            None => {
                for shard in out_of_step {
                    self.send_grant(now, out, &shard);
                }
            }
        }
    }

    pub(super) fn on_ledger_reply(&mut self, now: Duration, out: &mut Vec<Action>, reply: Reply) {
        let outcome = {
            let mut cx = context(&self.timing, &mut self.calls, now, out);
            self.ledger.on_reply(&mut cx, reply)
        };
        let Outcome::Written(stamped) = outcome else {
            return;
        };
        for (id, epoch) in stamped {
            self.on_stamped(now, out, &id, epoch);
        }
        if self.is_coordinator(now) {
            let shards: Vec<id::Shard> = match self.ledger.get() {
                Some(book) => book.accounts.keys().cloned().collect(),
                None => Vec::new(),
            };
            for shard in shards {
                self.send_grant(now, out, &shard);
            }
        }
    }

    /// The ledger names this owner's epoch: its account may be used.
    fn on_stamped(&mut self, now: Duration, out: &mut Vec<Action>, id: &id::Shard, epoch: Epoch) {
        let Some(book) = self.ledger.get() else {
            return;
        };
        let account = book.accounts.get(id).cloned().unwrap_or_default();
        let limits = book.limits.clone();
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

    fn send_grant(&mut self, now: Duration, out: &mut Vec<Action>, id: &id::Shard) {
        let Some(book) = self.ledger.get() else {
            return;
        };
        let Some(account) = book.accounts.get(id).cloned() else {
            return;
        };
        let revision = self.ledger.revision();
        let mut limits = book.limits.clone();
        limits.retain(|team, _| account.tokens.contains_key(team));
        self.tell_owner(now, out, id, |_, shard| {
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

    /// Sends a message to the owner that last reported for a shard.
    fn tell_owner(
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

    fn announce_totals(&mut self, now: Duration, out: &mut Vec<Action>) {
        let (capacity, teams) = self.planner.usage(now);
        let me = self.member().clone();
        let live = self.members.live_schedulers(now, &self.timing);
        let others: Vec<id::Member> =
            live.map(|record| record.member.clone()).filter(|member| *member != me).collect();
        for member in others {
            let message = Message::Usage { capacity, teams: teams.clone() };
            self.send(out, &member, message);
        }
        self.on_totals(capacity, &teams);
    }

    pub(super) fn on_totals(&mut self, capacity: Resources, teams: &BTreeMap<Name, Resources>) {
        self.fleet.note_totals(capacity, teams);
        for shard in self.shards.values_mut() {
            shard.set_shares(&self.fleet, &self.config);
        }
    }
}
