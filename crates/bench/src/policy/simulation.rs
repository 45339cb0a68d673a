use std::collections::BTreeMap;
use std::time::Duration;

use sycamore_types::Name;
use sycamore_types::resources::Resources;

use super::workload::Arrival;

/// A policy that is played against the workload.
pub(super) trait Simulation {
    /// Returns the virtual time.
    fn now(&self) -> Duration;

    /// Lets virtual time pass.
    fn run_until(&mut self, end: Duration);

    /// Hands in work.
    fn submit(&mut self, arrival: &Arrival);

    /// Returns the virtual times at which tasks of a piece of work were started.
    fn start_times(&self, number: u128) -> &[Duration];

    /// Returns the capacity in use by team.
    fn used_by_team(&self) -> &BTreeMap<Name, Resources>;

    /// Returns the capacity in use in all.
    fn used_total(&self) -> Resources;

    /// Returns the number of tasks and requests that wait.
    fn waiting_count(&self) -> u32;

    /// Returns the number of tasks and requests of a team that wait.
    fn team_waiting_count(&self, team: &str) -> u32;

    /// Returns the largest number of free millicores on a host with a free slot.
    fn largest_free_cpu_millis(&self) -> u32;

    /// Returns the processor time thrown away by stopping work, in core seconds.
    fn wasted_core_seconds(&self) -> f64;
}
