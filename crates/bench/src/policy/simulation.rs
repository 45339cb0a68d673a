//! What the comparison needs of a scheduler, real or baseline: it takes the same
//! arrivals on a virtual clock and reports what it started.

use std::collections::BTreeMap;
use std::time::Duration;

use sycamore_types::Name;
use sycamore_types::resources::Resources;

use super::workload::Arrival;

/// A simulated cluster under one scheduling policy.
pub(super) trait Simulation {
    /// Returns the virtual time.
    fn now(&self) -> Duration;

    /// Advances the virtual clock to `end`.
    fn run_until(&mut self, end: Duration);

    /// Submits a job or makes a request at the present virtual time.
    fn submit(&mut self, arrival: &Arrival);

    /// Returns the virtual times at which tasks of a job or request were started, in
    /// order.
    fn start_times(&self, number: u128) -> &[Duration];

    /// Returns the capacity that the running work of each team takes.
    fn used_by_team(&self) -> &BTreeMap<Name, Resources>;

    /// Returns the capacity that all running work takes.
    fn used_total(&self) -> Resources;

    /// Returns the number of tasks and requests that wait.
    fn waiting_count(&self) -> u32;

    /// Returns the number of tasks and requests of a team that wait.
    fn team_waiting_count(&self, team: &str) -> u32;

    /// Returns the largest free CPU of a host with a free slot, in thousandths of a
    /// core.
    fn largest_free_cpu_millis(&self) -> u32;

    /// Returns the CPU time of tasks that were stopped before their end, in core
    /// seconds.
    fn wasted_core_seconds(&self) -> f64;
}
