//! Waiting work of one shard, in scheduling order.
//!
//! There is one lane per class: urgent, interactive and batch, scheduled in this
//! order, so that urgent and interactive work doesn't wait behind batch work.
//! Within a lane the team with the smallest share comes first. Within a team,
//! work is ordered by priority, then by arrival.

mod item;
mod lane;

use rustc_hash::FxHashMap;

use sycamore_types::Name;

pub(crate) use item::{Class, Item, Place};
pub(crate) use lane::{Lane, TeamRank};

/// Waiting work of a shard in all lanes.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    lanes: [Lane; Class::COUNT],
    /// Number of items queued so far.
    arrivals: u64,
    /// Number of waiting tasks and requests by team.
    waiting: FxHashMap<Name, u32>,
}

impl Queue {
    /// Returns the first waiting item of a team in the first lane that has one.
    pub(crate) fn first(&self, team: &str) -> Option<(Place, &Item)> {
        let mut firsts = self.lanes.iter().filter_map(|lane| lane.items(team).next());
        firsts.next().map(|(place, item)| (*place, item))
    }

    /// Adds an item with a number of waiting tasks. Returns its place, which
    /// identifies it in [`Queue::remove`].
    ///
    /// `rank` is the rank of the team and `cpu_millis` the CPU that one task needs.
    #[allow(clippy::too_many_arguments)]
    pub(crate) fn push(
        &mut self,
        class: Class,
        team: &Name,
        priority: i32,
        rank: u64,
        item: Item,
        tasks: u32,
        cpu_millis: u32,
    ) -> Place {
        self.arrivals += 1;
        let place = Place::new(class, priority, self.arrivals);
        self.lanes[class.index()].insert(team, place, rank, item, cpu_millis);
        *self.waiting.entry(team.clone()).or_default() += tasks;
        place
    }

    /// Removes an item that has started completely, was cancelled or was abandoned.
    ///
    /// The counts of waiting tasks are changed by [`Queue::remove_waiting`].
    pub(crate) fn remove(&mut self, team: &Name, place: Place) {
        self.lanes[place.class.index()].remove(team, place);
    }

    /// Subtracts tasks that no longer wait from the team's count.
    pub(crate) fn remove_waiting(&mut self, team: &Name, tasks: u32) {
        if let Some(waiting) = self.waiting.get_mut(team) {
            *waiting = waiting.saturating_sub(tasks);
        }
    }

    /// Adds tasks of an item that is still queued, and that wait again, to the
    /// team's count.
    pub(crate) fn add_waiting(&mut self, team: &Name, tasks: u32) {
        *self.waiting.entry(team.clone()).or_default() += tasks;
    }

    /// Returns the number of waiting tasks and requests of a team.
    pub(crate) fn waiting(&self, team: &str) -> u32 {
        self.waiting.get(team).copied().unwrap_or(0)
    }

    /// Returns the number of all waiting tasks and requests.
    pub(crate) fn total(&self) -> u32 {
        self.waiting.values().sum()
    }

    pub(crate) fn teams(&self) -> impl Iterator<Item = &Name> {
        self.waiting.iter().filter(|(_, waiting)| **waiting > 0).map(|(team, _)| team)
    }

    pub(crate) fn lane(&self, class: Class) -> &Lane {
        &self.lanes[class.index()]
    }

    /// Updates the rank of one team.
    pub(crate) fn set_rank(&mut self, team: &Name, rank: u64) {
        for lane in &mut self.lanes {
            lane.set_rank(team, rank);
        }
    }

    /// Updates the ranks of all teams.
    pub(crate) fn set_ranks(&mut self, rank: impl Fn(&str) -> u64) {
        for lane in &mut self.lanes {
            lane.set_ranks(&rank);
        }
    }
}
