//! Division of each team's limit among the shards.
//!
//! The planner works from the summaries that owners send. Tokens that a shard
//! holds move only after its owner has reported a lower cap. A shard without a
//! fresh summary keeps its tokens, since its owner may still use them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use sycamore_types::Name;
use sycamore_types::config::{Document, Team};
use sycamore_types::id::{self, Epoch, Revision};
use sycamore_types::resources::Resources;

use super::{Account, Ledger};
use crate::peer::{Demand, Summary};

/// Age past which a summary is not used for planning any more.
const MAX_SUMMARY_AGE: Duration = Duration::from_secs(3);

/// Divides team limits by the demand that the shards report.
#[derive(Debug, Default)]
pub(crate) struct Planner {
    /// Latest summary of each shard.
    summaries: BTreeMap<id::Shard, Received>,
}

#[derive(Debug)]
struct Received {
    summary: Summary,
    received_at: Duration,
    from: id::Member,
}

/// Order of the two steps in which tokens move from one shard to another.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum TransferOrder {
    /// The owner that gives up tokens lowers its cap before another shard gets them.
    DebitFirst,
    /// The other shard gets the tokens at once. Unsafe: used only by tests which
    /// show that the order matters.
    CreditFirst,
}

/// Changes that the planner asks for.
#[derive(Debug, Default)]
pub(crate) struct Plan {
    /// Ledger to write, if it differs from the current one.
    pub(crate) ledger: Option<Ledger>,
    /// Lower caps to request from owners, by shard and team.
    pub(crate) lower: BTreeMap<id::Shard, BTreeMap<Name, u32>>,
}

/// Tokens of one team in one shard.
struct Allotment<'a> {
    shard: &'a id::Shard,
    /// Tokens that the shard holds, in the current ledger at first and in the
    /// planned one in the end.
    held: u32,
    demand: Demand,
    /// A fresh summary of the current owner is known.
    is_reported: bool,
    /// The owner has lowered its caps since the ledger was written.
    has_lowered: bool,
    /// Tokens that the shard should hold.
    target: u32,
}

impl Planner {
    /// Stores a summary, unless one of a newer epoch is known for its shard.
    pub(crate) fn record_summary(&mut self, now: Duration, from: &id::Member, summary: Summary) {
        let is_older = self
            .summaries
            .get(&summary.shard)
            .is_some_and(|received| received.summary.epoch > summary.epoch);
        if !is_older {
            let shard = summary.shard.clone();
            self.summaries
                .insert(shard, Received { summary, received_at: now, from: from.clone() });
        }
    }

    /// Returns the owner that last reported for a shard, and its epoch.
    pub(crate) fn owner(&self, shard: &id::Shard) -> Option<(&id::Member, Epoch)> {
        self.summaries.get(shard).map(|received| (&received.from, received.summary.epoch))
    }

    /// Returns the shards whose owners still use a ledger older than `revision`.
    pub(crate) fn outdated_shards(&self, ledger: &Ledger, revision: Revision) -> Vec<id::Shard> {
        let is_outdated = |shard: &id::Shard, received: &Received| {
            let account = ledger.accounts.get(shard);
            let is_same_epoch = account.is_some_and(|a| a.epoch == received.summary.epoch);
            is_same_epoch && received.summary.ledger < revision
        };
        let outdated =
            self.summaries.iter().filter(|(shard, received)| is_outdated(shard, received));
        outdated.map(|(shard, _)| shard.clone()).collect()
    }

    /// Returns the capacity of the whole fleet and the usage of each team, from
    /// fresh summaries.
    pub(crate) fn usage(&self, now: Duration) -> (Resources, BTreeMap<Name, Resources>) {
        let mut capacity = Resources::default();
        let mut teams: BTreeMap<Name, Resources> = BTreeMap::new();
        for received in self.fresh(now) {
            capacity = capacity.plus(&received.summary.capacity);
            for (team, demand) in &received.summary.teams {
                let used = teams.entry(team.clone()).or_default();
                *used = used.plus(&demand.used);
            }
        }
        (capacity, teams)
    }

    fn fresh(&self, now: Duration) -> impl Iterator<Item = &Received> {
        self.summaries
            .values()
            .filter(move |received| now <= received.received_at + MAX_SUMMARY_AGE)
    }

    /// Computes the next ledger and the lower caps to request.
    ///
    /// `revision` is that of `config`.
    pub(crate) fn plan(
        &self,
        now: Duration,
        ledger: &Ledger,
        config: &Document,
        revision: Revision,
        order: TransferOrder,
    ) -> Plan {
        // A planner with an older configuration than the ledger's might grant
        // tokens of a limit that was lowered since.
        if revision < ledger.config {
            return Plan::default();
        }
        let mut next = ledger.clone();
        next.config = revision;
        let mut plan = Plan::default();
        let mut teams: BTreeSet<Name> = config.teams.keys().cloned().collect();
        teams.extend(ledger.accounts.values().flat_map(|account| account.tokens.keys().cloned()));
        let reports = self.reports(now, ledger);
        for team in &teams {
            let limit = config.teams.get(team).map_or(0, |settings| settings.limit);
            let mut allotments: Vec<Allotment<'_>> =
                reports.iter().map(|report| report.allotment(team)).collect();
            set_targets(&mut allotments, limit);
            if order == TransferOrder::CreditFirst {
                allotments.iter_mut().for_each(|a| a.held = a.held.min(a.target));
            }
            plan_team(allotments, team, limit, &mut next, &mut plan);
        }
        self.update_lowerings(now, &mut next);
        // While more tokens than a lowered limit are still granted, owners must
        // reduce their caps relative to the tokens granted, not to the limit.
        let divided =
            |(name, team): (&Name, &Team)| (name.clone(), team.limit.max(next.total(name)));
        next.limits = config.teams.iter().map(divided).collect();
        if next.accounts != ledger.accounts || next.limits != ledger.limits {
            plan.ledger = Some(next);
        }
        plan
    }

    /// Returns every account with the fresh summary of its owner, if there is one.
    fn reports<'a>(&'a self, now: Duration, ledger: &'a Ledger) -> Vec<Report<'a>> {
        let report = |(shard, account): (&'a id::Shard, &'a Account)| {
            let summary = self.fresh_summary(now, shard, account);
            Report { shard, account, summary }
        };
        ledger.accounts.iter().map(report).collect()
    }

    /// Returns the summary of the owner that an account was granted to, if it is fresh.
    fn fresh_summary(
        &self,
        now: Duration,
        shard: &id::Shard,
        account: &Account,
    ) -> Option<&Summary> {
        let received = self.summaries.get(shard)?;
        let is_fresh = now <= received.received_at + MAX_SUMMARY_AGE;
        (is_fresh && received.summary.epoch == account.epoch).then_some(&received.summary)
    }

    /// Sets how many cap reductions of each owner the ledger reflects.
    fn update_lowerings(&self, now: Duration, next: &mut Ledger) {
        for (shard, account) in &mut next.accounts {
            if let Some(summary) = self.fresh_summary(now, shard, account) {
                account.lowerings = account.lowerings.max(summary.lowerings);
            }
        }
    }
}

/// One account with the latest fresh summary of its owner.
struct Report<'a> {
    shard: &'a id::Shard,
    account: &'a Account,
    summary: Option<&'a Summary>,
}

impl<'a> Report<'a> {
    fn allotment(&self, team: &Name) -> Allotment<'a> {
        let demand = self.summary.and_then(|summary| summary.teams.get(team)).copied();
        let held = self.account.tokens.get(team).copied().unwrap_or(0);
        Allotment {
            shard: self.shard,
            held,
            demand: demand.unwrap_or_default(),
            is_reported: self.summary.is_some(),
            has_lowered: self
                .summary
                .is_some_and(|summary| summary.lowerings > self.account.lowerings),
            target: held,
        }
    }
}

impl Allotment<'_> {
    /// Returns the number of tokens that the shard could use now.
    fn wanted(&self) -> u32 {
        self.demand.running.saturating_add(self.demand.waiting)
    }
}

/// Plans the tokens of one team.
fn plan_team(
    mut allotments: Vec<Allotment<'_>>,
    team: &Name,
    limit: u32,
    next: &mut Ledger,
    plan: &mut Plan,
) {
    let held: u32 = allotments.iter().map(|allotment| allotment.held).sum();
    let is_short = allotments.iter().any(|a| a.target > a.held && a.wanted() > a.held);
    if is_short || held > limit {
        request_lowering(&allotments, team, plan);
    }
    move_tokens(&mut allotments, limit);
    for allotment in &allotments {
        let account = next.accounts.entry(allotment.shard.clone()).or_default();
        if allotment.held > 0 {
            account.tokens.insert(team.clone(), allotment.held);
        } else {
            account.tokens.remove(team);
        }
    }
}

/// Sets how many tokens each shard should hold.
///
/// Demand is met first. The rest is spread evenly, so that the first work of an
/// idle team can start without waiting for the planner.
fn set_targets(allotments: &mut [Allotment<'_>], limit: u32) {
    // Shards without a fresh summary keep the tokens that they hold.
    let fixed: u32 = allotments.iter().filter(|a| !a.is_reported).map(|a| a.held).sum();
    let available = limit.saturating_sub(fixed);
    let wanted: u64 =
        allotments.iter().filter(|a| a.is_reported).map(|a| u64::from(a.wanted())).sum();
    let reported = allotments.iter().filter(|a| a.is_reported).count();
    let Ok(count) = u32::try_from(reported) else {
        return;
    };
    if count == 0 {
        return;
    }
    let spare = u64::from(available).saturating_sub(wanted);
    let mut left = available;
    for allotment in allotments.iter_mut().filter(|a| a.is_reported) {
        let own = u64::from(allotment.wanted());
        let target = if wanted <= u64::from(available) {
            own + spare / u64::from(count)
        } else {
            own * u64::from(available) / wanted
        };
        allotment.target = u32::try_from(target).unwrap_or(u32::MAX).min(left);
        left -= allotment.target;
    }
    // Rounding leaves fewer tokens than there are shards. They go to shards that
    // want more, so that a limit smaller than the number of shards is usable.
    for allotment in allotments.iter_mut().filter(|a| a.is_reported) {
        if left > 0 && (allotment.target < allotment.wanted() || wanted <= u64::from(available)) {
            allotment.target += 1;
            left -= 1;
        }
    }
}

fn request_lowering(allotments: &[Allotment<'_>], team: &Name, plan: &mut Plan) {
    for allotment in allotments.iter().filter(|a| a.is_reported && a.target < a.demand.cap) {
        let caps = plan.lower.entry(allotment.shard.clone()).or_default();
        caps.insert(team.clone(), allotment.target);
    }
}

/// Moves tokens as far as the caps that the owners reported allow.
fn move_tokens(allotments: &mut [Allotment<'_>], limit: u32) {
    // A cap below the tokens held frees the rest only if the owner has lowered
    // it since the ledger was written. Otherwise the grant may not have arrived
    // yet, and the owner may still raise its cap.
    for allotment in allotments.iter_mut().filter(|a| a.has_lowered) {
        allotment.held = allotment.held.min(allotment.demand.cap.max(allotment.demand.running));
    }
    let held: u32 = allotments.iter().map(|a| a.held).sum();
    let mut free = limit.saturating_sub(held);
    for allotment in allotments.iter_mut().filter(|a| a.is_reported) {
        let more = allotment.target.saturating_sub(allotment.held).min(free);
        allotment.held += more;
        free -= more;
    }
}
