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
use crate::WaitReason;
use crate::host::Host;
use crate::job;
use crate::progress::{Job, StepProgress};

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
    /// Whether no other run may start beside these.
    pub is_sealed: bool,
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
    /// Upper bound of the free capacity of any single host that is left out because its capacity
    /// is too old, by kind of resource. `None` if there is no such host.
    max_undated_free: Option<Resources>,
    /// Hosts with isolated runs, and those with isolated runs of prime suspects.
    pub isolated_hosts: u32,
    pub prime_hosts: u32,
    /// Most of either.
    pub limits: IsolationLimits,
}

impl HostViews {
    pub fn new(all: Vec<HostView>) -> HostViews {
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
            max_undated_free: None,
            isolated_hosts: 0,
            prime_hosts: 0,
            limits: IsolationLimits::default(),
        }
    }

    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Returns whether a task may fit on some host. A cheap check: only `false` is certain.
    pub fn may_fit(&self, footprint: &Resources) -> bool {
        footprint.fits_in(&self.max_free)
    }

    /// Returns why a task waits that fits on none of the hosts.
    pub fn no_room_reason(&self, footprint: &Resources) -> WaitReason {
        let may_fit = self.max_undated_free.is_some_and(|free| footprint.fits_in(&free));
        if may_fit { WaitReason::ListTooOld } else { WaitReason::NoRoom }
    }

    /// Returns whether all hosts are left out because their capacities are too old.
    pub fn are_all_undated(&self) -> bool {
        self.all.is_empty() && self.max_undated_free.is_some()
    }

    /// Returns the index of a host by its number.
    pub fn index_of(&self, number: u32) -> Option<usize> {
        self.by_number.get(&number).copied()
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
    /// core, with their indices.
    fn most_cpu_first(&self, min_cpu: u32) -> impl Iterator<Item = usize> {
        let by_free_cpu = self.by_free_cpu.iter().take_while(move |(cpu, _)| *cpu >= min_cpu);
        by_free_cpu.map(|(_, at)| *at)
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

impl HostView {
    pub fn new(host: &Host) -> HostView {
        HostView {
            host: host.entry.id.clone(),
            number: host.number,
            rack: host.entry.rack.clone(),
            service: host.entry.service.clone(),
            labels: host.entry.labels.clone(),
            capacity: host.entry.capacity,
            is_slow: host.speed.is_slow(),
            has_isolated_run: !host.isolated_runs.is_empty(),
            is_sealed: false,
            has_latency_task: host.latency_runs > 0,
            has_best_effort_task: host.best_effort_runs > 0,
            free: host.free(),
        }
    }

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
    /// Returns the hosts that accept new work and whose capacity is known.
    pub(super) fn host_views(&self) -> HostViews {
        let (now_ms, max_age_ms) = (self.now.monotonic_ms, self.timing.capacity_max_age_ms);
        let mut max_undated_free: Option<Resources> = None;
        let is_dated = |host: &&Host| {
            let is_dated = host.has_current_capacity(now_ms, max_age_ms);
            if !is_dated {
                let most = max_undated_free.unwrap_or_default();
                max_undated_free = Some(most.max_per_dimension(&host.free()));
            }
            is_dated
        };
        let usable = self.hosts.values().filter(|host| host.is_usable(now_ms)).filter(is_dated);
        let needs_sealed_host =
            |id: &job::Id| self.jobs.get(id).is_some_and(Job::needs_sealed_host);
        let view = |host: &Host| HostView {
            is_sealed: host.isolated_runs.keys().any(needs_sealed_host),
            ..HostView::new(host)
        };
        let mut views = HostViews::new(usable.map(view).collect());
        views.max_undated_free = max_undated_free;
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
    /// Hosts without room now are included.
    includes_full: bool,
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
        let includes_full = step.is_gang;
        Search { views, step, progress, service, footprint, is_isolated, includes_full, placed }
    }

    /// Returns the candidates among all hosts, the most free CPU first.
    pub fn all(&self) -> Vec<Candidate> {
        let min_cpu = if self.step.is_gang { 0 } else { self.footprint.cpu_millis };
        self.views.most_cpu_first(min_cpu).filter_map(|index| self.candidate(index)).collect()
    }

    /// Returns the candidates among all hosts, including those without room now, the most free
    /// CPU first.
    pub fn with_full(&self) -> impl Iterator<Item = Candidate> {
        let search = Search { includes_full: true, placed: self.placed.clone(), ..*self };
        self.views.most_cpu_first(0).filter_map(move |index| search.candidate(index))
    }

    /// Returns how many more tasks of the step a candidate's host may get.
    pub fn tasks_left(&self, candidate: &Candidate) -> u32 {
        let placed = self.placed.get(&self.views[candidate.index].host).copied().unwrap_or(0);
        match self.step.max_per_host {
            0 => candidate.fits_idle,
            most => candidate.fits_idle.min(most.saturating_sub(placed)),
        }
    }

    /// Returns the candidates among the hosts that advice allows.
    pub fn allowed(&self) -> Vec<Candidate> {
        let numbers = self.progress.advice.allowed.keys();
        let indices = numbers.filter_map(|number| self.views.by_number.get(number));
        indices.filter_map(|index| self.candidate(*index)).collect()
    }

    /// Returns the candidates among the hosts that advice was never asked about and that may
    /// have at least `min_cpu` free CPU, in thousandths of a core, the most free CPU first.
    pub fn unknown(&self, min_cpu: u32) -> Vec<Candidate> {
        let advice = &self.progress.advice;
        let is_unknown = |index: &usize| {
            let number = self.views[*index].number;
            !advice.allowed.contains_key(&number) && !advice.denied.contains(&number)
        };
        let indices = self.views.most_cpu_first(min_cpu).filter(is_unknown);
        indices.filter_map(|index| self.candidate(index)).collect()
    }

    /// Returns whether a task of the step fits on some host now, leaving out those that advice
    /// has denied.
    pub fn has_room(&self) -> bool {
        let denied = &self.progress.advice.denied;
        let mut hosts = self.views.most_cpu_first(self.footprint.cpu_millis);
        hosts.any(|index| {
            !denied.contains(&self.views[index].number)
                && self.candidate(index).is_some_and(|found| found.fits_now > 0)
        })
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
        if view.is_sealed || self.is_isolated && view.has_isolated_run {
            return None;
        }
        // Best-effort tasks slow down latency-sensitive ones by an unpredictable amount.
        let is_compatible = !(step.is_best_effort && view.has_latency_task
            || step.latency_objective_ms > 0 && view.has_best_effort_task);
        let mut fits_now = tasks_that_fit(&self.footprint, &view.free);
        if !is_compatible || fits_now == 0 && !self.includes_full {
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
        if fits_now == 0 && !self.includes_full {
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
