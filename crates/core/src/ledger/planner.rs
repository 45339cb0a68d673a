use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use sycamore_types::Name;
use sycamore_types::config::{Document, Team};
use sycamore_types::id::{self, Epoch, Revision};
use sycamore_types::resources::Resources;

use super::{Account, Ledger};
use crate::peer::{Demand, Summary};

/// Age past which a summary is no longer planned with.
const FRESH: Duration = Duration::from_secs(3);

/// Divides team limits by what the shards want.
#[derive(Debug, Default)]
pub(crate) struct Planner {
    summaries: BTreeMap<id::Shard, Reported>,
}

#[derive(Debug)]
struct Reported {
    summary: Summary,
    at: Duration,
    from: id::Member,
}

/// In which order tokens move between two shards.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum TransferOrder {
    /// The owner that has too many binds itself first.
    DebitFirst,
    /// Tokens are given at once. Unsafe; only tests that show that use it.
    CreditFirst,
}

/// What the planner has worked out.
#[derive(Debug, Default)]
pub(crate) struct Plan {
    /// Ledger to write, if it differs from the present one.
    pub(crate) ledger: Option<Ledger>,
    /// Caps to ask owners for.
    pub(crate) lower: BTreeMap<id::Shard, BTreeMap<Name, u32>>,
}

/// One shard's part in the plan for one team.
struct Part<'a> {
    shard: &'a id::Shard,
    held: u32,
    demand: Demand,
    /// The shard has reported and its word counts.
    is_reported: bool,
    /// The owner has lowered its caps since the ledger was written.
    has_bound: bool,
    target: u32,
}

impl Planner {
    /// Takes in a summary; an older epoch never replaces a newer one.
    pub(crate) fn record_summary(&mut self, now: Duration, from: &id::Member, summary: Summary) {
        let is_older = self
            .summaries
            .get(&summary.shard)
            .is_some_and(|known| known.summary.epoch > summary.epoch);
        if !is_older {
            let shard = summary.shard.clone();
            self.summaries.insert(shard, Reported { summary, at: now, from: from.clone() });
        }
    }

    /// Returns the member and epoch that last reported for a shard.
    pub(crate) fn owner(&self, shard: &id::Shard) -> Option<(&id::Member, Epoch)> {
        self.summaries.get(shard).map(|known| (&known.from, known.summary.epoch))
    }

    /// Returns the shards whose owners go by an older ledger than that at `revision`.
    pub(crate) fn outdated_shards(&self, book: &Ledger, revision: Revision) -> Vec<id::Shard> {
        let is_behind = |shard: &id::Shard, known: &Reported| {
            let account = book.accounts.get(shard);
            let is_same_epoch = account.is_some_and(|a| a.epoch == known.summary.epoch);
            is_same_epoch && known.summary.ledger < revision
        };
        let behind = self.summaries.iter().filter(|(shard, known)| is_behind(shard, known));
        behind.map(|(shard, _)| shard.clone()).collect()
    }

    /// Returns capacity and usage over the whole fleet, from summaries that are fresh.
    pub(crate) fn usage(&self, now: Duration) -> (Resources, BTreeMap<Name, Resources>) {
        let mut capacity = Resources::default();
        let mut teams: BTreeMap<Name, Resources> = BTreeMap::new();
        for known in self.fresh(now) {
            capacity = capacity.plus(&known.summary.capacity);
            for (team, demand) in &known.summary.teams {
                let used = teams.entry(team.clone()).or_default();
                *used = used.plus(&demand.used);
            }
        }
        (capacity, teams)
    }

    fn fresh(&self, now: Duration) -> impl Iterator<Item = &Reported> {
        self.summaries.values().filter(move |known| now <= known.at + FRESH)
    }

    /// Works out the next ledger and the caps to ask for.
    pub(crate) fn plan(
        &self,
        now: Duration,
        book: &Ledger,
        config: &Document,
        revision: Revision,
        rule: TransferOrder,
    ) -> Plan {
        // A planner with an older configuration than the ledger's might hand
        // out tokens of a limit that has been lowered since.
        if revision < book.config {
            return Plan::default();
        }
        let mut next = book.clone();
        next.config = revision;
        let mut plan = Plan::default();
        let mut teams: BTreeSet<Name> = config.teams.keys().cloned().collect();
        teams.extend(book.accounts.values().flat_map(|account| account.tokens.keys().cloned()));
        let holders = self.holders(now, book);
        for team in &teams {
            let limit = config.teams.get(team).map_or(0, |settings| settings.limit);
            let mut parts: Vec<Part<'_>> = holders.iter().map(|h| h.part(team)).collect();
            set_targets(&mut parts, limit);
            if rule == TransferOrder::CreditFirst {
                parts.iter_mut().for_each(|part| part.held = part.held.min(part.target));
            }
            plan_team(parts, team, limit, &mut next, &mut plan);
        }
        self.note_bounds(now, &mut next);
        // While tokens above a lowered limit are still out, the caps have to be
        // cut by what is out, not by the limit.
        let out_of =
            |(name, team): (&Name, &Team)| (name.clone(), team.limit.max(next.total(name)));
        next.limits = config.teams.iter().map(out_of).collect();
        if next.accounts != book.accounts || next.limits != book.limits {
            plan.ledger = Some(next);
        }
        plan
    }

    /// Returns every account with the fresh word of its owner.
    fn holders<'a>(&'a self, now: Duration, book: &'a Ledger) -> Vec<Holder<'a>> {
        let holder = |(shard, account): (&'a id::Shard, &'a Account)| {
            let summary = self.reported(now, shard, account);
            Holder { shard, account, summary }
        };
        book.accounts.iter().map(holder).collect()
    }

    /// Returns the fresh word of the owner that an account was granted to.
    fn reported(&self, now: Duration, shard: &id::Shard, account: &Account) -> Option<&Summary> {
        let known = self.summaries.get(shard)?;
        let is_fresh = now <= known.at + FRESH;
        (is_fresh && known.summary.epoch == account.epoch).then_some(&known.summary)
    }

    /// Notes in the ledger which lowering of each owner it reflects.
    fn note_bounds(&self, now: Duration, next: &mut Ledger) {
        for (shard, account) in &mut next.accounts {
            if let Some(summary) = self.reported(now, shard, account) {
                account.lowerings = account.lowerings.max(summary.lowerings);
            }
        }
    }
}

/// One account, with what its owner last said.
struct Holder<'a> {
    shard: &'a id::Shard,
    account: &'a Account,
    summary: Option<&'a Summary>,
}

impl<'a> Holder<'a> {
    fn part(&self, team: &Name) -> Part<'a> {
        let demand = self.summary.and_then(|summary| summary.teams.get(team)).copied();
        let held = self.account.tokens.get(team).copied().unwrap_or(0);
        Part {
            shard: self.shard,
            held,
            demand: demand.unwrap_or_default(),
            is_reported: self.summary.is_some(),
            has_bound: self
                .summary
                .is_some_and(|summary| summary.lowerings > self.account.lowerings),
            target: held,
        }
    }
}

impl Part<'_> {
    fn wants(&self) -> u32 {
        self.demand.running.saturating_add(self.demand.waiting)
    }
}

/// Plans the tokens of one team.
fn plan_team(
    mut parts: Vec<Part<'_>>,
    team: &Name,
    limit: u32,
    next: &mut Ledger,
    plan: &mut Plan,
) {
    let held: u32 = parts.iter().map(|part| part.held).sum();
    let is_short = parts.iter().any(|part| part.target > part.held && part.wants() > part.held);
    if is_short || held > limit {
        ask_to_lower(&parts, team, plan);
    }
    settle(&mut parts, limit);
    for part in &parts {
        let account = next.accounts.entry(part.shard.clone()).or_default();
        if part.held > 0 {
            account.tokens.insert(team.clone(), part.held);
        } else {
            account.tokens.remove(team);
        }
    }
}

/// Sets how many tokens each shard should hold.
///
/// Wants are met first; what is left is spread evenly, so that the first work
/// of a quiet team finds tokens at hand.
fn set_targets(parts: &mut [Part<'_>], limit: u32) {
    let fixed: u32 = parts.iter().filter(|part| !part.is_reported).map(|part| part.held).sum();
    let open = limit.saturating_sub(fixed);
    let wants: u64 = parts.iter().filter(|p| p.is_reported).map(|p| u64::from(p.wants())).sum();
    let reported = parts.iter().filter(|part| part.is_reported).count();
    let Ok(count) = u32::try_from(reported) else {
        return;
    };
    if count == 0 {
        return;
    }
    let spare = u64::from(open).saturating_sub(wants);
    let mut left = open;
    for part in parts.iter_mut().filter(|part| part.is_reported) {
        let wanted = u64::from(part.wants());
        let target = if wants <= u64::from(open) {
            wanted + spare / u64::from(count)
        } else {
            wanted * u64::from(open) / wants
        };
        part.target = u32::try_from(target).unwrap_or(u32::MAX).min(left);
        left -= part.target;
    }
    // Rounding leaves less than one token per shard. They go to shards that
    // want more, so that a limit smaller than the number of shards is usable.
    for part in parts.iter_mut().filter(|part| part.is_reported) {
        if left > 0 && (part.target < part.wants() || wants <= u64::from(open)) {
            part.target += 1;
            left -= 1;
        }
    }
}

fn ask_to_lower(parts: &[Part<'_>], team: &Name, plan: &mut Plan) {
    for part in parts.iter().filter(|part| part.is_reported && part.target < part.demand.cap) {
        let wanted = plan.lower.entry(part.shard.clone()).or_default();
        wanted.insert(team.clone(), part.target);
    }
}

/// Moves tokens as far as the owners' own words allow.
fn settle(parts: &mut [Part<'_>], limit: u32) {
    // A cap below the tokens held frees the rest only if the owner has bound
    // itself since the ledger was written. Otherwise the grant may just not
    // have arrived yet, and the owner may still raise its cap.
    for part in parts.iter_mut().filter(|part| part.has_bound) {
        part.held = part.held.min(part.demand.cap.max(part.demand.running));
    }
    let held: u32 = parts.iter().map(|part| part.held).sum();
    let mut free = limit.saturating_sub(held);
    for part in parts.iter_mut().filter(|part| part.is_reported) {
        let more = part.target.saturating_sub(part.held).min(free);
        part.held += more;
        free -= more;
    }
}
