use std::collections::BTreeMap;
use std::time::Duration;

use sycamore_types::Name;
use sycamore_types::id::Revision;

/// How much of each team one shard may run.
#[derive(Debug, Default)]
pub(crate) struct Caps {
    caps: BTreeMap<Name, u32>,
    revision: Revision,
    /// Counts the times that a cap was lowered.
    lowerings: u64,
    /// Caps that the planner wants, while more than that still runs.
    wanted: BTreeMap<Name, Wanted>,
    /// Limits that the caps were cut from.
    limits: BTreeMap<Name, u32>,
}

/// A cap that the planner wants.
#[derive(Clone, Copy, Debug)]
struct Wanted {
    cap: u32,
    asked_at: Duration,
}

/// Time after which a wish counts no more. The planner repeats those that stand.
const WANTED_FOR: Duration = Duration::from_secs(2);

impl Caps {
    pub(crate) fn get(&self, team: &str) -> u32 {
        self.caps.get(team).copied().unwrap_or(0)
    }

    /// Returns the revision of the ledger that was taken in last.
    pub(crate) fn revision(&self) -> Revision {
        self.revision
    }

    pub(crate) fn lowerings(&self) -> u64 {
        self.lowerings
    }

    pub(crate) fn teams(&self) -> impl Iterator<Item = &Name> {
        self.caps.keys()
    }

    /// Returns how much of a team may run, now that its limit is `limit`.
    ///
    /// A limit that was lowered since the ledger was written is in force at
    /// once, without a word from the planner: every shard cuts its cap by the
    /// same factor, so that the sum stays within the new limit.
    pub(crate) fn usable(&self, team: &str, limit: u32) -> u32 {
        let cap = self.get(team);
        let wanted = self.wanted.get(team).map_or(cap, |wanted| wanted.cap);
        let granted = self.limits.get(team).copied().unwrap_or(limit);
        if limit >= granted {
            return cap.min(wanted);
        }
        let cut = u64::from(cap) * u64::from(limit) / u64::from(granted.max(1));
        wanted.min(u32::try_from(cut).unwrap_or(u32::MAX))
    }

    /// Takes in what the ledger grants at `revision`.
    ///
    /// A ledger that does not reflect the latest lowering may grant tokens that
    /// are being given to another shard, so it can only lower caps further.
    pub(crate) fn grant(
        &mut self,
        revision: Revision,
        bound: u64,
        teams: &BTreeMap<Name, u32>,
        limits: &BTreeMap<Name, u32>,
    ) -> bool {
        if revision <= self.revision {
            return false;
        }
        self.revision = revision;
        self.limits = limits.clone();
        if bound >= self.lowerings {
            self.caps = teams.clone();
            self.wanted.clear();
        } else {
            for (team, cap) in &mut self.caps {
                *cap = (*cap).min(teams.get(team).copied().unwrap_or(0));
            }
        }
        true
    }

    /// Drops wishes that were not repeated. Returns whether there were any.
    pub(crate) fn expire(&mut self, now: Duration) -> bool {
        let before = self.wanted.len();
        self.wanted.retain(|_, wanted| now < wanted.asked_at + WANTED_FOR);
        self.wanted.len() < before
    }

    /// Binds the shard to run at most `to` tasks of a team, or what already runs.
    pub(crate) fn lower(&mut self, now: Duration, team: &Name, to: u32, running: u32) {
        let next = to.max(running);
        if next < self.get(team) {
            self.caps.insert(team.clone(), next);
            self.lowerings += 1;
        }
        if next > to {
            self.wanted.insert(team.clone(), Wanted { cap: to, asked_at: now });
        } else {
            self.wanted.remove(team);
        }
    }
}
