use std::collections::BTreeMap;

use sycamore_types::Name;
use sycamore_types::id::Revision;

/// How much of each team one shard may run.
#[derive(Debug, Default)]
pub(crate) struct Caps {
    caps: BTreeMap<Name, u32>,
    revision: Revision,
    /// Counts the times that a cap was lowered.
    bound: u64,
    /// Caps that the planner wants, while more than that still runs.
    wanted: BTreeMap<Name, u32>,
}

impl Caps {
    pub(crate) fn get(&self, team: &str) -> u32 {
        self.caps.get(team).copied().unwrap_or(0)
    }

    pub(crate) fn bound(&self) -> u64 {
        self.bound
    }

    pub(crate) fn teams(&self) -> impl Iterator<Item = &Name> {
        self.caps.keys()
    }

    /// Returns the cap that the planner wants for a team below the present one.
    pub(crate) fn wanted(&self, team: &str) -> Option<u32> {
        self.wanted.get(team).copied()
    }

    pub(crate) fn wanted_teams(&self) -> impl Iterator<Item = (&Name, u32)> {
        self.wanted.iter().map(|(team, cap)| (team, *cap))
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
    ) -> bool {
        if revision <= self.revision {
            return false;
        }
        self.revision = revision;
        if bound >= self.bound {
            self.caps = teams.clone();
            self.wanted.clear();
        } else {
            for (team, cap) in &mut self.caps {
                *cap = (*cap).min(teams.get(team).copied().unwrap_or(0));
            }
        }
        true
    }

    /// Binds the shard to run at most `to` tasks of a team, or what already runs.
    pub(crate) fn lower(&mut self, team: &Name, to: u32, running: u32) {
        let next = to.max(running);
        if next < self.get(team) {
            self.caps.insert(team.clone(), next);
            self.bound += 1;
        }
        if next > to {
            self.wanted.insert(team.clone(), to);
        } else {
            self.wanted.remove(team);
        }
    }
}
