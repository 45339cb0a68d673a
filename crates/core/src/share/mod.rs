//! Weighted dominant resource fairness.
//!
//! The share of a team is the largest fraction that its running work uses of any
//! resource of the whole fleet, divided by the team's weight. Among teams with
//! waiting work, the one with the smallest share comes first. Totals over the
//! whole fleet arrive about once a second. Between two of them the shares are
//! exact for work of this scheduler and stale for work of all others.

use std::collections::BTreeMap;

use sycamore_types::Name;
use sycamore_types::resources::Resources;

/// Rank of a team of weight 1 that uses all of one resource of the fleet.
const RANK_OF_WHOLE_FLEET: f64 = 1e9;

/// Resource usage of each team in the whole fleet, as known to this scheduler.
#[derive(Debug, Default)]
pub(crate) struct FleetUsage {
    /// Capacity of all hosts. Zero until some host is known.
    capacity: Resources,
    /// Usage on other schedulers, according to the latest totals.
    elsewhere: BTreeMap<Name, Resources>,
    /// Usage on this scheduler.
    here: BTreeMap<Name, Resources>,
    /// Usage on this scheduler when it last reported to the planner.
    reported: BTreeMap<Name, Resources>,
}

impl FleetUsage {
    /// Adds work that has started on this scheduler.
    pub(crate) fn record_start(&mut self, team: &Name, size: &Resources) {
        let used = self.here.entry(team.clone()).or_default();
        *used = used.plus(size);
    }

    /// Subtracts work that has ended on this scheduler.
    pub(crate) fn record_end(&mut self, team: &Name, size: &Resources) {
        if let Some(used) = self.here.get_mut(team) {
            *used = used.minus(size);
        }
    }

    /// Records that the present usage was reported to the planner.
    pub(crate) fn mark_reported(&mut self) {
        self.reported = self.here.clone();
    }

    /// Stores the totals over the whole fleet.
    ///
    /// They include what this scheduler last reported, so that is subtracted.
    pub(crate) fn set_totals(&mut self, capacity: Resources, teams: &BTreeMap<Name, Resources>) {
        self.capacity = capacity;
        self.elsewhere.clear();
        for (team, used) in teams {
            let own = self.reported.get(team).copied().unwrap_or_default();
            self.elsewhere.insert(team.clone(), used.minus(&own));
        }
    }

    /// Raises the capacity to at least the given one, so that shares are defined
    /// before the first totals arrive.
    pub(crate) fn raise_capacity(&mut self, capacity: Resources) {
        self.capacity = self.capacity.max_per_dimension(&capacity);
    }

    /// Returns the weighted dominant share of a team.
    pub(crate) fn share(&self, team: &str, weight: u32) -> f64 {
        let here = self.here.get(team).copied().unwrap_or_default();
        let elsewhere = self.elsewhere.get(team).copied().unwrap_or_default();
        let used = here.plus(&elsewhere);
        used.dominant_share(&self.capacity) / f64::from(weight.max(1))
    }

    /// Returns the share as an integer, for ordering.
    pub(crate) fn rank(&self, team: &str, weight: u32) -> u64 {
        (self.share(team, weight) * RANK_OF_WHOLE_FLEET) as u64
    }
}
