use rustc_hash::FxHashMap;
use std::collections::{BTreeMap, BTreeSet};

use sycamore_types::Name;

use super::{Item, Place};

/// Waiting work of one class.
#[derive(Debug, Default)]
pub(crate) struct Lane {
    teams: FxHashMap<Name, Line>,
    order: BTreeSet<(u64, Name)>,
}

/// Waiting work of one team.
#[derive(Debug, Default)]
struct Line {
    rank: u64,
    items: BTreeMap<Place, Entry>,
    /// Number of pieces of work by processor time that a task needs.
    sizes: BTreeMap<u32, u32>,
}

#[derive(Debug)]
struct Entry {
    item: Item,
    cpu_millis: u32,
}

impl Lane {
    pub(crate) fn insert(
        &mut self,
        team: &Name,
        place: Place,
        rank: u64,
        item: Item,
        cpu_millis: u32,
    ) {
        let line = self.teams.entry(team.clone()).or_default();
        if line.items.is_empty() {
            line.rank = rank;
            self.order.insert((rank, team.clone()));
        }
        line.items.insert(place, Entry { item, cpu_millis });
        *line.sizes.entry(cpu_millis).or_default() += 1;
    }

    /// Returns one piece of work.
    pub(crate) fn get(&self, team: &str, place: Place) -> Option<&Item> {
        self.teams.get(team)?.items.get(&place).map(|entry| &entry.item)
    }

    /// Returns the least processor time that any task of a team needs.
    pub(crate) fn least_cpu(&self, team: &str) -> u32 {
        let line = self.teams.get(team);
        line.and_then(|line| line.sizes.keys().next().copied()).unwrap_or(u32::MAX)
    }

    pub(crate) fn remove(&mut self, team: &Name, place: Place) {
        let Some(line) = self.teams.get_mut(team) else {
            return;
        };
        if let Some(entry) = line.items.remove(&place)
            && let Some(count) = line.sizes.get_mut(&entry.cpu_millis)
        {
            *count -= 1;
            if *count == 0 {
                line.sizes.remove(&entry.cpu_millis);
            }
        }
        if line.items.is_empty() {
            self.order.remove(&(line.rank, team.clone()));
            self.teams.remove(team);
        }
    }

    pub(crate) fn set_rank(&mut self, team: &Name, rank: u64) {
        if let Some(line) = self.teams.get_mut(team)
            && line.rank != rank
        {
            self.order.remove(&(line.rank, team.clone()));
            line.rank = rank;
            self.order.insert((rank, team.clone()));
        }
    }

    pub(crate) fn set_ranks(&mut self, rank: impl Fn(&str) -> u64) {
        self.order.clear();
        for (team, line) in &mut self.teams {
            line.rank = rank(team);
            self.order.insert((line.rank, team.clone()));
        }
    }

    /// Returns the teams in the order in which they are served.
    pub(crate) fn teams(&self) -> impl Iterator<Item = &Name> {
        self.order.iter().map(|(_, team)| team)
    }

    /// Returns a team's work in the order in which it is served.
    pub(crate) fn items(&self, team: &str) -> impl Iterator<Item = (&Place, &Item)> {
        let lines = self.teams.get(team).into_iter();
        lines.flat_map(|line| &line.items).map(|(place, entry)| (place, &entry.item))
    }
}
