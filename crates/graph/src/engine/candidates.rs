//! Finds the hosts on which a step's tasks fit, and how many fit on each.
//!
//! It works on a copy of the hosts that is made once per pass, so that capacity that the
//! pass has allocated or reserved is not offered again.

use std::ops::{Index, IndexMut};
use std::sync::Arc;

use rustc_hash::FxHashMap;
use sycamore_types::Name;
use sycamore_types::resources::Resources;

use super::Engine;
use super::demand::Demand;
use super::isolation::{Isolation, IsolationLimits};
use crate::host::Host;
use crate::job;
use crate::progress::StepProgress;

/// Hosts that a search visits before it first checks whether it has found enough.
const MIN_VISITED: usize = 8;

/// A host that accepts new work, as seen by one dispatch pass.
#[derive(Clone, Debug)]
pub(super) struct HostView {
    pub host: Name,
    pub number: u32,
    pub rack: Name,
    service: Name,
    labels: Arc<[Name]>,
    capacity: Resources,
    is_slow: bool,
    /// Whether the host has runs that may crash it.
    pub has_isolated_run: bool,
    /// Whether the host runs a task with a latency objective.
    has_latency_task: bool,
    /// Whether the host runs a best-effort task.
    has_best_effort_task: bool,
    /// Capacity that this pass has neither allocated nor reserved for steps of higher rank.
    pub free: Resources,
}

/// The hosts of one dispatch pass.
#[derive(Debug)]
pub(super) struct HostViews {
    all: Vec<HostView>,
    /// Free CPU at the start of the pass and index into `all`, the most free CPU first.
    /// Free capacity only shrinks within a pass.
    by_free_cpu: Vec<(u32, usize)>,
    /// Index into `all` by number of the host.
    by_number: FxHashMap<u32, usize>,
    /// Upper bound of the free capacity of any single host, by kind of resource.
    max_free: Resources,
    /// Hosts with isolated runs, and those with isolated runs of prime suspects.
    pub isolated_hosts: u32,
    pub prime_hosts: u32,
    /// Most of either.
    pub limits: IsolationLimits,
}

impl HostViews {
    fn new(all: Vec<HostView>) -> HostViews {
        let max_free =
            all.iter().fold(Resources::default(), |most, view| most.max_per_dimension(&view.free));
        let mut by_free_cpu: Vec<(u32, usize)> =
            all.iter().enumerate().map(|(at, view)| (view.free.cpu_millis, at)).collect();
        by_free_cpu.sort_unstable_by(|(one, first), (other, second)| {
            other.cmp(one).then(first.cmp(second))
        });
        let by_number = all.iter().enumerate().map(|(at, view)| (view.number, at)).collect();
        HostViews {
            all,
            by_free_cpu,
            by_number,
            max_free,
            isolated_hosts: 0,
            prime_hosts: 0,
            limits: IsolationLimits::default(),
        }
    }

    /// Returns whether a task may fit on some host. A cheap check: only `false` is certain.
    pub fn may_fit(&self, footprint: &Resources) -> bool {
        footprint.fits_in(&self.max_free)
    }

    /// Counts a host that gets runs in isolation.
    pub fn add_isolated(&mut self, index: usize, isolation: Isolation) {
        if isolation.is_isolated() {
            self.all[index].has_isolated_run = true;
            self.isolated_hosts += 1;
            self.prime_hosts += u32::from(isolation == Isolation::Prime);
        }
    }

    /// Returns whether one more host may get runs in this kind of isolation.
    pub fn has_isolated_host_left(&self, isolation: Isolation) -> bool {
        let limits = &self.limits;
        match isolation {
            Isolation::None => true,
            Isolation::Unproven | Isolation::LikelySuspect => {
                self.isolated_hosts < limits.restricted
            }
            Isolation::Suspect => self.isolated_hosts < limits.all,
            Isolation::Prime => self.isolated_hosts < limits.all && self.prime_hosts < limits.prime,
        }
    }

    /// Returns the hosts that may have at least `min_cpu` free CPU, in thousandths of a
    /// core: their free CPU at the start of the pass and their indices.
    fn most_cpu_first(&self, min_cpu: u32) -> impl Iterator<Item = (u32, usize)> {
        self.by_free_cpu.iter().copied().take_while(move |(cpu, _)| *cpu >= min_cpu)
    }
}

impl Index<usize> for HostViews {
    type Output = HostView;

    fn index(&self, at: usize) -> &HostView {
        &self.all[at]
    }
}

impl IndexMut<usize> for HostViews {
    fn index_mut(&mut self, at: usize) -> &mut HostView {
        &mut self.all[at]
    }
}

/// A host that may run a step, with the number of tasks that fit.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    /// Index of the host in the pass's views.
    pub index: usize,
    /// Tasks that fit now.
    pub fits_now: u32,
    /// Tasks that fit when the host is idle.
    pub fits_idle: u32,
    /// Free CPU, in thousandths of a core.
    pub free_cpu: u32,
    /// Whether the host takes far longer than others for the same work.
    pub is_slow: bool,
    /// Whether the host is near the step's data. True if the step has no data location.
    pub is_near: bool,
}

/// Room that a host has now: how many tasks of a step fit, and its free CPU in thousandths of a
/// core.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Room {
    pub fits_now: u32,
    pub free_cpu: u32,
}

impl Candidate {
    pub fn room(&self) -> Room {
        Room { fits_now: self.fits_now, free_cpu: self.free_cpu }
    }
}

impl HostView {
    /// Updates the kinds of tasks on the host after one was placed there.
    pub fn add_task(&mut self, demand: &Demand) {
        self.has_latency_task |= demand.has_objective;
        self.has_best_effort_task |= demand.is_best_effort;
    }

    fn has_label(&self, label: &Name) -> bool {
        self.labels.contains(label)
    }
}

impl Engine {
    /// Returns the hosts that accept new work.
    pub(super) fn host_views(&self) -> HostViews {
        let now_ms = self.now.monotonic_ms;
        let usable = self.hosts.values().filter(|host| host.is_usable(now_ms));
        let view = |host: &Host| HostView {
            host: host.entry.id.clone(),
            number: host.number,
            rack: host.entry.rack.clone(),
            service: host.entry.service.clone(),
            labels: host.entry.labels.clone(),
            capacity: host.entry.capacity,
            is_slow: host.speed.is_slow(),
            has_isolated_run: !host.isolated_runs.is_empty(),
            has_latency_task: host.latency_runs > 0,
            has_best_effort_task: host.best_effort_runs > 0,
            free: host.free(),
        };
        let mut views = HostViews::new(usable.map(view).collect());
        (views.isolated_hosts, views.prime_hosts) = self.isolated_hosts();
        views.limits = self.isolation_limits();
        views
    }

    /// Returns how many tasks of a size still fit into the team's limit.
    pub(super) fn tasks_within_limit(&self, team: &str, size: &Resources) -> u32 {
        let Some(catalog_team) = self.catalog.teams.get(team) else { return u32::MAX };
        let usage = self
            .team_usage
            .get(team)
            .copied()
            .unwrap_or_default()
            .plus(&self.unaccounted_capacity());
        let mut fitting = u32::MAX;
        let pairs = [
            (size.cpu_millis, usage.cpu_millis, catalog_team.limit.cpu_millis),
            (size.memory_mib, usage.memory_mib, catalog_team.limit.memory_mib),
            (size.accelerators, usage.accelerators, catalog_team.limit.accelerators),
        ];
        for (each, used, limit) in pairs {
            if limit > 0 && each > 0 {
                fitting = fitting.min(limit.saturating_sub(used) / each);
            }
        }
        fitting
    }

    /// Returns the capacity of hosts that may have runs of an earlier owner that no report
    /// has shown.
    fn unaccounted_capacity(&self) -> Resources {
        if !self.is_recovering {
            return Resources::default();
        }
        let now_ms = self.now.monotonic_ms;
        let is_unaccounted = |host: &&Host| host.may_have_unlisted_runs(now_ms);
        let unaccounted = self.hosts.values().filter(is_unaccounted);
        unaccounted.fold(Resources::default(), |sum, host| sum.plus(&host.largest_capacity()))
    }
}

/// Searches the hosts of a pass for those that may run a step. For a gang, which plans ahead,
/// these include full hosts.
pub(super) struct Search<'a> {
    views: &'a HostViews,
    step: &'a job::Step,
    pub progress: &'a StepProgress,
    service: &'a Name,
    footprint: Resources,
    /// Hosts with isolated runs are left out.
    is_isolated: bool,
    /// Tasks of the step that each host has, if their number is limited.
    placed: FxHashMap<Name, u32>,
}

impl<'a> Search<'a> {
    pub fn new(
        views: &'a HostViews,
        step: &'a job::Step,
        progress: &'a StepProgress,
        service: &'a Name,
        isolation: Isolation,
    ) -> Search<'a> {
        let placed =
            if step.max_per_host > 0 { runs_per_host(progress) } else { FxHashMap::default() };
        let (footprint, is_isolated) = (step.footprint(), isolation.is_isolated());
        Search { views, step, progress, service, footprint, is_isolated, placed }
    }

    /// Returns the candidates among all hosts, the most free CPU first.
    pub fn all(&self) -> Vec<Candidate> {
        let min_cpu = if self.step.is_gang { 0 } else { self.footprint.cpu_millis };
        let hosts = self.views.most_cpu_first(min_cpu);
        hosts.filter_map(|(_, index)| self.candidate(index)).collect()
    }

    /// Returns the candidates among the hosts that advice allows.
    pub fn allowed(&self) -> Vec<Candidate> {
        let numbers = self.progress.advice.allowed.keys();
        let indices = numbers.filter_map(|number| self.views.by_number.get(number));
        indices.filter_map(|index| self.candidate(*index)).collect()
    }

    /// Returns the candidates among the hosts that advice was never asked about and that may
    /// have at least `min_cpu` free CPU, in thousandths of a core, the most free CPU first.
    ///
    /// Ends early once `is_enough` holds for the candidates found so far and the [`Room`] that no
    /// further one exceeds. It is called a logarithmic number of times.
    pub fn unknown(
        &self,
        min_cpu: u32,
        is_enough: impl Fn(&[Candidate], Room) -> bool,
    ) -> Vec<Candidate> {
        let advice = &self.progress.advice;
        let mut found = Vec::new();
        for (visited, (free_cpu, index)) in self.views.most_cpu_first(min_cpu).enumerate() {
            if visited >= MIN_VISITED && visited.is_power_of_two() {
                let fits_now = tasks_that_fit_cpu(&self.footprint, free_cpu);
                if is_enough(&found, Room { fits_now, free_cpu }) {
                    break;
                }
            }
            let number = self.views[index].number;
            if !advice.allowed.contains_key(&number) && !advice.denied.contains(&number) {
                found.extend(self.candidate(index));
            }
        }
        found
    }

    /// Returns the name of a candidate's host.
    pub fn host(&self, index: usize) -> Name {
        self.views[index].host.clone()
    }

    /// Returns the number of a candidate's host.
    pub fn number(&self, candidate: &Candidate) -> u32 {
        self.views[candidate.index].number
    }

    fn candidate(&self, index: usize) -> Option<Candidate> {
        let (step, view) = (self.step, &self.views[index]);
        if self.is_isolated && view.has_isolated_run {
            return None;
        }
        // Best-effort tasks slow down latency-sensitive ones by an unpredictable amount.
        let is_compatible = !(step.is_best_effort && view.has_latency_task
            || step.latency_objective_ms > 0 && view.has_best_effort_task);
        let mut fits_now = tasks_that_fit(&self.footprint, &view.free);
        if !is_compatible || fits_now == 0 && !step.is_gang {
            return None;
        }
        let is_suitable = view.service == *self.service
            && step.required_label.as_ref().is_none_or(|label| view.has_label(label));
        let mut fits_idle = tasks_that_fit(&self.footprint, &view.capacity);
        if !is_suitable || fits_idle == 0 {
            return None;
        }
        if step.max_per_host > 0 {
            let taken = self.placed.get(&view.host).copied().unwrap_or(0);
            fits_now = fits_now.min(step.max_per_host.saturating_sub(taken));
            fits_idle = fits_idle.min(step.max_per_host);
        }
        if fits_now == 0 && !step.is_gang {
            return None;
        }
        let is_near =
            step.data_rack.as_ref().is_none_or(|rack| *rack == view.rack || view.has_label(rack));
        let (free_cpu, is_slow) = (view.free.cpu_millis, view.is_slow);
        Some(Candidate { index, fits_now, fits_idle, free_cpu, is_slow, is_near })
    }
}

fn runs_per_host(progress: &StepProgress) -> FxHashMap<Name, u32> {
    let mut placed = FxHashMap::default();
    for (host, _) in progress.tasks.iter().flat_map(|task| &task.runs) {
        *placed.entry(host.clone()).or_default() += 1;
    }
    placed
}

/// Returns how many tasks of a size fit into an amount of CPU, in thousandths of a core, whatever
/// else they need.
fn tasks_that_fit_cpu(size: &Resources, cpu_millis: u32) -> u32 {
    let size = Resources { cpu_millis: size.cpu_millis, ..Resources::default() };
    tasks_that_fit(&size, &Resources { cpu_millis, ..Resources::default() })
}

/// Returns how many tasks of a size fit into a capacity, at most [`job::MAX_TASKS`].
fn tasks_that_fit(size: &Resources, capacity: &Resources) -> u32 {
    let pairs = [
        (size.cpu_millis, capacity.cpu_millis),
        (size.memory_mib, capacity.memory_mib),
        (size.accelerators, capacity.accelerators),
    ];
    let most = pairs.iter().filter(|(each, _)| *each > 0).map(|(each, free)| free / each).min();
    most.unwrap_or(u32::MAX).min(job::MAX_TASKS)
}
