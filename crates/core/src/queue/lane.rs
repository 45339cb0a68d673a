use rustc_hash::FxHashMap;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use sycamore_types::Name;

use super::{Item, Place};

/// Pieces of work of one size that a look at few hosts considers.
const PER_SIZE: usize = 16;

/// Waiting work of one class.
#[derive(Debug, Default)]
pub(crate) struct Lane {
    teams: FxHashMap<Name, Line>,
    order: BTreeSet<TeamRank>,
}

/// Place of a team in its lane: its share, then its name.
pub(crate) type TeamRank = (u64, Name);

/// Waiting work of one team.
#[derive(Debug, Default)]
struct Line {
    rank: u64,
    items: BTreeMap<Place, Entry>,
    /// Places of work by the processor time that a task needs.
    sizes: BTreeMap<u32, BTreeSet<Place>>,
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
        line.sizes.entry(cpu_millis).or_default().insert(place);
    }

    /// Returns one piece of work.
    pub(crate) fn get(&self, team: &str, place: Place) -> Option<&Item> {
        self.teams.get(team)?.items.get(&place).map(|entry| &entry.item)
    }

    pub(crate) fn remove(&mut self, team: &Name, place: Place) {
        let Some(line) = self.teams.get_mut(team) else {
            return;
        };
        if let Some(entry) = line.items.remove(&place)
            && let Some(places) = line.sizes.get_mut(&entry.cpu_millis)
        {
            places.remove(&place);
            if places.is_empty() {
                line.sizes.remove(&entry.cpu_millis);
            }
        }
        if line.items.is_empty() {
            self.order.remove(&(line.rank, team.clone()));
            self.teams.remove(team);
        }
    }

    /// Returns work of a team whose tasks need at most this much processor
    /// time, in the order in which it is served: `count` pieces at most.
    pub(crate) fn fitting(&self, team: &str, cpu_millis: u32, count: usize) -> Vec<(Place, Item)> {
        let Some(line) = self.teams.get(team) else {
            return Vec::new();
        };
        let small = line.sizes.range(..=cpu_millis);
        // Each size gives its first pieces, so that one size can't crowd out
        // the others.
        let mut places: Vec<Place> =
            small.flat_map(|(_, places)| places.iter().take(PER_SIZE)).copied().collect();
        places.sort_unstable();
        places.truncate(count);
        let entry = |place: Place| line.items.get(&place).map(|entry| (place, entry.item.clone()));
        places.into_iter().filter_map(entry).collect()
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

    /// Returns the team that is served after the given position.
    pub(crate) fn after(&self, position: Option<&TeamRank>) -> Option<TeamRank> {
        let start = position.map_or(Bound::Unbounded, Bound::Excluded);
        self.order.range((start, Bound::Unbounded)).next().cloned()
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
