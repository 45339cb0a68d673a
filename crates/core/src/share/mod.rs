//! Weighted dominant-resource fairness.
//!
//! The share of a team is the largest fraction that its running work takes of
//! any resource of the whole fleet, divided by the team's weight. While work
//! waits, the team with the smallest share goes first. What other schedulers
//! run comes as totals about once a second; between two totals the shares are
//! right for this scheduler's own starts and stale for the rest.

use std::collections::BTreeMap;

use sycamore_types::Name;
use sycamore_types::resources::Resources;

/// Units in which a whole fleet is counted when shares are compared.
const WHOLE: f64 = 1e9;

/// Usage over the whole fleet, as far as this scheduler knows.
#[derive(Debug, Default)]
pub(crate) struct FleetUsage {
    /// Capacity of all hosts. Zero until the first totals arrive.
    capacity: Resources,
    elsewhere: BTreeMap<Name, Resources>,
    here: BTreeMap<Name, Resources>,
    reported: BTreeMap<Name, Resources>,
}

impl FleetUsage {
    /// Notes that work has started here.
    pub(crate) fn started(&mut self, team: &Name, size: &Resources) {
        let used = self.here.entry(team.clone()).or_default();
        *used = used.plus(size);
    }

    /// Notes that work has ended here.
    pub(crate) fn ended(&mut self, team: &Name, size: &Resources) {
        if let Some(used) = self.here.get_mut(team) {
            *used = used.minus(size);
        }
    }

    /// Notes what was last told to the planner.
    pub(crate) fn note_reported(&mut self) {
        self.reported = self.here.clone();
    }

    /// Takes in totals over the whole fleet.
    pub(crate) fn note_totals(&mut self, capacity: Resources, teams: &BTreeMap<Name, Resources>) {
        self.capacity = capacity;
        self.elsewhere.clear();
        for (team, used) in teams {
            let own = self.reported.get(team).copied().unwrap_or_default();
            self.elsewhere.insert(team.clone(), used.minus(&own));
        }
    }

    /// Makes sure that shares mean something before the first totals arrive.
    pub(crate) fn note_local_capacity(&mut self, capacity: Resources) {
        self.capacity = self.capacity.at_least(&capacity);
    }

    /// Returns the weighted dominant share of a team.
    pub(crate) fn share(&self, team: &str, weight: u32) -> f64 {
        let here = self.here.get(team).copied().unwrap_or_default();
        let elsewhere = self.elsewhere.get(team).copied().unwrap_or_default();
        let used = here.plus(&elsewhere);
        used.dominant_share(&self.capacity) / f64::from(weight.max(1))
    }

    /// Returns the share in whole units, for ordering.
    pub(crate) fn rank(&self, team: &str, weight: u32) -> u64 {
        (self.share(team, weight) * WHOLE) as u64
    }
}
