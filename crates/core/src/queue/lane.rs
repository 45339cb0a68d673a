//! Waiting work of one class, by team.
//!
//! Teams are kept in the order of their shares. The items of a team are also
//! indexed by CPU, so that the search for work that fits little free CPU skips
//! larger items.

use rustc_hash::FxHashMap;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use sycamore_types::Name;

use super::{Item, Place};

/// Items of one CPU size that [`Lane::fitting`] considers, so that items of one
/// size can't exclude those of other sizes.
const ITEMS_PER_SIZE: usize = 16;

/// Waiting work of one class.
#[derive(Debug, Default)]
pub(crate) struct Lane {
    teams: FxHashMap<Name, TeamQueue>,
    /// Teams in scheduling order.
    order: BTreeSet<TeamRank>,
}

/// Sort key of a team in its lane: the rank of its share, then its name.
pub(crate) type TeamRank = (u64, Name);

/// Waiting work of one team.
#[derive(Debug, Default)]
struct TeamQueue {
    /// Rank of the team's share. See [`crate::share::FleetUsage::rank`].
    rank: u64,
    items: BTreeMap<Place, Entry>,
    /// Places of items by the CPU that one task needs, in thousandths of a core.
    places_by_cpu: BTreeMap<u32, BTreeSet<Place>>,
}

#[derive(Debug)]
struct Entry {
    item: Item,
    /// CPU that one task needs, in thousandths of a core.
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
        let queue = self.teams.entry(team.clone()).or_default();
        if queue.items.is_empty() {
            queue.rank = rank;
            self.order.insert((rank, team.clone()));
        }
        queue.items.insert(place, Entry { item, cpu_millis });
        queue.places_by_cpu.entry(cpu_millis).or_default().insert(place);
    }

    /// Returns the item of a team at a place.
    pub(crate) fn get(&self, team: &str, place: Place) -> Option<&Item> {
        self.teams.get(team)?.items.get(&place).map(|entry| &entry.item)
    }

    pub(crate) fn remove(&mut self, team: &Name, place: Place) {
        let Some(queue) = self.teams.get_mut(team) else {
            return;
        };
        if let Some(entry) = queue.items.remove(&place)
            && let Some(places) = queue.places_by_cpu.get_mut(&entry.cpu_millis)
        {
            places.remove(&place);
            if places.is_empty() {
                queue.places_by_cpu.remove(&entry.cpu_millis);
            }
        }
        if queue.items.is_empty() {
            self.order.remove(&(queue.rank, team.clone()));
            self.teams.remove(team);
        }
    }

    /// Returns items of a team whose tasks need at most this much CPU, in
    /// scheduling order. Returns at most `count` items, and at most
    /// [`ITEMS_PER_SIZE`] of one size.
    pub(crate) fn fitting(&self, team: &str, cpu_millis: u32, count: usize) -> Vec<(Place, Item)> {
        let Some(queue) = self.teams.get(team) else {
            return Vec::new();
        };
        let small = queue.places_by_cpu.range(..=cpu_millis);
        let mut places: Vec<Place> =
            small.flat_map(|(_, places)| places.iter().take(ITEMS_PER_SIZE)).copied().collect();
        places.sort_unstable();
        places.truncate(count);
        let entry = |place: Place| queue.items.get(&place).map(|entry| (place, entry.item.clone()));
        places.into_iter().filter_map(entry).collect()
    }

    pub(crate) fn set_rank(&mut self, team: &Name, rank: u64) {
        if let Some(queue) = self.teams.get_mut(team)
            && queue.rank != rank
        {
            self.order.remove(&(queue.rank, team.clone()));
            queue.rank = rank;
            self.order.insert((rank, team.clone()));
        }
    }

    pub(crate) fn set_ranks(&mut self, rank: impl Fn(&str) -> u64) {
        self.order.clear();
        for (team, queue) in &mut self.teams {
            queue.rank = rank(team);
            self.order.insert((queue.rank, team.clone()));
        }
    }

    /// Returns the team that follows `previous` in scheduling order, or the first
    /// team.
    pub(crate) fn after(&self, previous: Option<&TeamRank>) -> Option<TeamRank> {
        let start = previous.map_or(Bound::Unbounded, Bound::Excluded);
        self.order.range((start, Bound::Unbounded)).next().cloned()
    }

    /// Returns the teams in scheduling order.
    pub(crate) fn teams(&self) -> impl Iterator<Item = &Name> {
        self.order.iter().map(|(_, team)| team)
    }

    /// Returns the items of a team in scheduling order.
    pub(crate) fn items(&self, team: &str) -> impl Iterator<Item = (&Place, &Item)> {
        let queues = self.teams.get(team).into_iter();
        queues.flat_map(|queue| &queue.items).map(|(place, entry)| (place, &entry.item))
    }
}
