//! Waiting work of one shard, in the order in which it is served.
//!
//! There are three lanes: urgent, interactive, batch. Within a lane the team
//! with the smallest share goes first; within a team work goes by priority,
//! then by arrival.

mod item;
mod lane;

use rustc_hash::FxHashMap;

use sycamore_types::Name;

pub(crate) use item::{Class, Item, Place};
pub(crate) use lane::{Lane, TeamRank};

/// All lanes of a shard.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    lanes: [Lane; Class::COUNT],
    arrivals: u64,
    waiting: FxHashMap<Name, u32>,
}

impl Queue {
    /// Returns the first piece of a team's work that waits, in the order of lanes.
    pub(crate) fn first(&self, team: &str) -> Option<(Place, &Item)> {
        let mut firsts = self.lanes.iter().filter_map(|lane| lane.items(team).next());
        firsts.next().map(|(place, item)| (*place, item))
    }

    /// Adds work. Returns its place, by which it is removed.
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

    /// Removes work that is served, cancelled or given up.
    pub(crate) fn remove(&mut self, team: &Name, place: Place) {
        self.lanes[place.class.index()].remove(team, place);
    }

    /// Notes that some tasks of waiting work no longer wait.
    pub(crate) fn remove_waiting(&mut self, team: &Name, tasks: u32) {
        if let Some(waiting) = self.waiting.get_mut(team) {
            *waiting = waiting.saturating_sub(tasks);
        }
    }

    /// Notes that some tasks of work that is still queued wait again.
    pub(crate) fn add_waiting(&mut self, team: &Name, tasks: u32) {
        *self.waiting.entry(team.clone()).or_default() += tasks;
    }

    /// Returns the number of tasks and requests of a team that wait.
    pub(crate) fn waiting(&self, team: &str) -> u32 {
        self.waiting.get(team).copied().unwrap_or(0)
    }

    /// Returns the number of tasks and requests that wait.
    pub(crate) fn total(&self) -> u32 {
        self.waiting.values().sum()
    }

    pub(crate) fn teams(&self) -> impl Iterator<Item = &Name> {
        self.waiting.iter().filter(|(_, waiting)| **waiting > 0).map(|(team, _)| team)
    }

    pub(crate) fn lane(&self, class: Class) -> &Lane {
        &self.lanes[class.index()]
    }

    /// Takes in the new share of a team.
    pub(crate) fn set_rank(&mut self, team: &Name, rank: u64) {
        for lane in &mut self.lanes {
            lane.set_rank(team, rank);
        }
    }

    /// Takes in the shares of all teams.
    pub(crate) fn set_ranks(&mut self, rank: impl Fn(&str) -> u64) {
        for lane in &mut self.lanes {
            lane.set_ranks(&rank);
        }
    }
}
