//! Finds the hosts on which a step's tasks fit, and how many fit on each.
//!
//! It works on a copy of the hosts that is brought up to date once per pass, so that capacity that
//! the pass has allocated or reserved is not offered again.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::hash::BuildHasher;
use std::ops::{Index, IndexMut};
use std::sync::Arc;

use rustc_hash::{FxBuildHasher, FxHashMap};
use sycamore_types::Name;
use sycamore_types::resources::Resources;

use super::Engine;
use super::demand::Demand;
use super::host_map::HostMap;
use super::isolation::{Isolation, IsolationLimits};
use super::lending::{BUSY_SHARE, Borrower};
use crate::host::Host;
use crate::job;
use crate::progress::{Job, StepProgress};
use crate::{StepId, WaitReason};

/// Hosts of a sample. Up to twice as many, steps that ask about the same hosts at the same time
/// are too few to take them from each other often: with 540 hosts, 2 or 3 calls are in flight.
const SAMPLE_HOSTS: usize = 512;

/// Hosts that a search visits before it first checks whether it has found enough.
const MIN_VISITED: usize = 8;

/// A host as seen by one dispatch pass.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct HostView {
    /// Whether the host accepts new work and its capacity is known.
    is_usable: bool,
    /// Whether the host is left out only because its capacity is too old.
    is_undated: bool,
    pub host: Name,
    pub number: u32,
    pub rack: Name,
    service: Name,
    labels: Arc<[Name]>,
    capacity: Resources,
    /// Part of the capacity that becomes free when all tasks that end have ended.
    releasable: Resources,
    is_slow: bool,
    /// Whether other hosts are preferred, because starts have not arrived here.
    is_avoided: bool,
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
    /// Free capacity that the pass keeps for waiting gangs.
    kept: Resources,
    /// Time at which the first of these gangs should be able to start, in milliseconds.
    kept_until_ms: u64,
}

/// Room that waiting gangs keep on the hosts of a service.
#[derive(Clone, Copy, Debug)]
struct GangRoom {
    /// Capacity of the usable hosts.
    capacity: Resources,
    /// Part of it that is in use.
    used: Resources,
    /// Free part of it that is kept.
    kept: Resources,
}

impl GangRoom {
    /// Returns whether less of the capacity is in use than the platform asks for.
    fn is_mostly_idle(&self) -> bool {
        self.used.dominant_share(&self.capacity) < BUSY_SHARE
    }
}

/// When views are made.
#[derive(Clone, Copy, Debug)]
pub(super) struct ViewTime {
    pub now_ms: u64,
    /// Age of a host's entry up to which its capacity is used, in milliseconds.
    pub max_age_ms: u64,
}

/// The hosts of one dispatch pass. They are kept from pass to pass, and at the start of each the
/// hosts that have changed are updated.
#[derive(Debug, Default)]
pub(super) struct HostViews {
    /// All hosts in the order of their names.
    all: Vec<HostView>,
    /// Slots of the hosts in the map of hosts, by index into `all`, and the reverse.
    slots: Vec<usize>,
    by_slot: Vec<usize>,
    /// Free CPU at the start of the pass and index into `all` of each usable host, the most free
    /// CPU first. Free capacity only shrinks within a pass.
    by_free_cpu: Vec<(u32, usize)>,
    /// Free capacity of each host at the start of the pass, `None` if it is not usable.
    free_at_start: Vec<Option<Resources>>,
    /// Index into `all` by number of the host.
    by_number: FxHashMap<u32, usize>,
    /// For each place in `by_free_cpu`, an upper bound of the free capacity of any single host
    /// from there on, by kind of resource.
    max_free: Vec<Resources>,
    /// Number of hosts that are left out because their capacity is too old.
    undated: usize,
    /// Indices of hosts that a pass has modified and that the next one has to restore.
    modified: Vec<usize>,
    /// Free capacity that each host had before the pass kept some of it for waiting gangs, by
    /// index.
    free_before_gangs: FxHashMap<usize, Resources>,
    /// What the pass has kept for waiting gangs, by service.
    gang_room: FxHashMap<Name, GangRoom>,
    /// Times in milliseconds at which the usability of hosts may change without an event, with
    /// the index of the host.
    timers: BTreeSet<(u64, usize)>,
    /// Value of [`HostMap::memberships`] when `all` was made.
    memberships: u64,
    /// Hosts with isolated runs, and those with isolated runs of prime suspects.
    pub isolated_hosts: u32,
    pub prime_hosts: u32,
    /// Most of either.
    pub limits: IsolationLimits,
}

impl HostViews {
    /// Returns the views of all hosts, made anew.
    fn new(hosts: &HostMap, time: ViewTime) -> HostViews {
        let mut views = HostViews { memberships: hosts.memberships(), ..HostViews::default() };
        for (index, (slot, host)) in hosts.slots().enumerate() {
            if slot >= views.by_slot.len() {
                views.by_slot.resize(slot + 1, usize::MAX);
            }
            views.by_slot[slot] = index;
            views.slots.push(slot);
            views.all.push(HostView::new(host, time));
            views.free_at_start.push(None);
            views.by_number.insert(host.number, index);
        }
        views.undated = views.all.iter().filter(|view| view.is_undated).count();
        views.update(hosts, time, (0..views.all.len()).collect());
        views
    }

    /// Updates the views of the hosts that have changed, that the last pass has modified, or
    /// whose usability may have changed with time.
    fn refresh(&mut self, hosts: &mut HostMap, time: ViewTime) {
        let changed = hosts.take_changed_for_views();
        if self.memberships != hosts.memberships() {
            *self = HostViews::new(hosts, time);
            return;
        }
        let mut indices = std::mem::take(&mut self.modified);
        indices.extend(changed.into_iter().map(|slot| self.by_slot[slot]));
        while let Some((at_ms, index)) = self.timers.first().copied()
            && at_ms <= time.now_ms
        {
            self.timers.pop_first();
            indices.push(index);
        }
        indices.sort_unstable();
        indices.dedup();
        self.update(hosts, time, indices);
    }

    /// Updates the views of some hosts, each given once.
    fn update(&mut self, hosts: &HostMap, time: ViewTime, indices: Vec<usize>) {
        let mut moved = Vec::new();
        let mut has_new_free = false;
        for index in indices {
            let Some(host) = hosts.at(self.slots[index]) else { continue };
            let view = HostView::new(host, time);
            let was_undated = self.all[index].is_undated;
            self.undated = self.undated + usize::from(view.is_undated) - usize::from(was_undated);
            let free = view.is_usable.then_some(view.free);
            let changes = host.usability_changes_ms(time.now_ms, time.max_age_ms);
            self.timers.extend(changes.map(|at_ms| (at_ms, index)));
            self.all[index] = view;
            let last_free = std::mem::replace(&mut self.free_at_start[index], free);
            has_new_free |= last_free != free;
            let free_cpu = free.map(|free| free.cpu_millis);
            if last_free.map(|free| free.cpu_millis) != free_cpu {
                moved.extend(free_cpu.map(|free_cpu| (free_cpu, index)));
            }
        }
        if !has_new_free {
            return;
        }
        let free = &self.free_at_start;
        let is_unmoved = |(cpu, at): &(u32, usize)| free[*at].is_some_and(|f| f.cpu_millis == *cpu);
        self.by_free_cpu.retain(is_unmoved);
        let most_cpu_first = |(one, first): &(u32, usize), (other, second): &(u32, usize)| {
            other.cmp(one).then(first.cmp(second))
        };
        moved.sort_unstable_by(most_cpu_first);
        self.by_free_cpu.append(&mut moved);
        // Merges the two sorted runs.
        self.by_free_cpu.sort_by(most_cpu_first);
        self.bound_free();
    }

    /// Computes the bounds of the free capacity anew.
    fn bound_free(&mut self) {
        let free = &self.free_at_start;
        self.max_free.clear();
        self.max_free.resize(self.by_free_cpu.len(), Resources::default());
        let mut most = Resources::default();
        for (max_free, (_, at)) in self.max_free.iter_mut().zip(&self.by_free_cpu).rev() {
            most = most.max_per_dimension(&free[*at].unwrap_or_default());
            *max_free = most;
        }
    }

    /// Returns views of some hosts as if they were usable, for a question about them.
    pub fn of<'a>(hosts: impl Iterator<Item = &'a Host>, time: ViewTime) -> HostViews {
        let view = |host| HostView { is_usable: true, ..HostView::new(host, time) };
        let mut views = HostViews { all: hosts.map(view).collect(), ..HostViews::default() };
        let numbers = views.all.iter().enumerate().map(|(at, view)| (view.number, at));
        views.by_number = numbers.collect();
        views.free_at_start = views.all.iter().map(|view| Some(view.free)).collect();
        let free_cpu = views.all.iter().enumerate().map(|(at, view)| (view.free.cpu_millis, at));
        views.by_free_cpu = free_cpu.collect();
        views.by_free_cpu.sort_unstable_by(|(one, first), (other, second)| {
            other.cmp(one).then(first.cmp(second))
        });
        views.bound_free();
        views
    }

    /// Returns the hosts whose view has to be updated at the start of the next pass, or that
    /// differ from one made anew although it has not to be.
    fn stale_hosts(&self, hosts: &HostMap, time: ViewTime) -> Vec<Name> {
        if self.memberships != hosts.memberships() {
            return Vec::new();
        }
        let is_noted = |index: usize| {
            hosts.is_changed_for_views(self.slots[index])
                || self.modified.contains(&index)
                || self.timers.range(..=(time.now_ms, usize::MAX)).any(|(_, at)| *at == index)
        };
        let anew = HostViews::new(hosts, time);
        let is_stale = |index: &usize| {
            !is_noted(*index)
                && (self.all[*index] != anew.all[*index]
                    || self.free_at_start[*index] != anew.free_at_start[*index])
        };
        let stale = (0..anew.all.len()).filter(is_stale);
        let mut stale: Vec<Name> = stale.map(|index| anew.all[index].host.clone()).collect();
        // The index and the bound agree with the views that they were made of.
        let mut by_free_cpu: Vec<(Reverse<u32>, usize)> = self
            .free_at_start
            .iter()
            .enumerate()
            .filter_map(|(at, free)| Some((Reverse(free.as_ref()?.cpu_millis), at)))
            .collect();
        by_free_cpu.sort_unstable();
        let is_sorted = by_free_cpu.into_iter().map(|(Reverse(cpu), at)| (cpu, at));
        let mut bounds = vec![Resources::default(); self.by_free_cpu.len()];
        let mut most = Resources::default();
        for (bound, (_, at)) in bounds.iter_mut().zip(&self.by_free_cpu).rev() {
            most = most.max_per_dimension(&self.free_at_start[*at].unwrap_or_default());
            *bound = most;
        }
        let is_bound = bounds == self.max_free;
        if !is_sorted.eq(self.by_free_cpu.iter().copied()) || !is_bound {
            stale.push(Name::from("the index by free CPU"));
        }
        stale
    }

    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Returns whether a task may fit on some host. A cheap check: only `false` is certain.
    pub fn may_fit(&self, footprint: &Resources) -> bool {
        footprint.fits_in(&self.max_free.first().copied().unwrap_or_default())
    }

    /// Returns why a task waits that fits on none of the hosts.
    pub fn no_room_reason(&self, footprint: &Resources) -> WaitReason {
        let mut undated = self.all.iter().filter(|view| view.is_undated);
        let may_fit = self.undated > 0 && undated.any(|view| footprint.fits_in(&view.free));
        let is_kept = |(at, free): (&usize, &Resources)| {
            footprint.fits_in(free) && !footprint.fits_in(&self.all[*at].free)
        };
        match () {
            () if may_fit => WaitReason::ListTooOld,
            () if self.free_before_gangs.iter().any(is_kept) => WaitReason::KeptForGangs,
            () => WaitReason::NoRoom,
        }
    }

    /// Keeps room for a waiting gang, as far as it is free, on hosts given with the number of tasks
    /// of that size on each, until `start_ms`, when the gang should be able to start. Keeps none if
    /// gangs would then hold more than `max_share` of the capacity of the service's usable hosts
    /// idle, unless no other gang keeps room there.
    pub fn keep_for_gang(
        &mut self,
        hosts: &[(usize, u32)],
        size: &Resources,
        service: &Name,
        max_share: f64,
        start_ms: u64,
    ) {
        let left = |(at, tasks): &(usize, u32)| {
            let free = self.all[*at].free;
            (*at, (0..*tasks).fold(free, |left, _| left.minus(size)))
        };
        let left: Vec<(usize, Resources)> = hosts.iter().map(left).collect();
        let added = left.iter().map(|(at, left)| self.all[*at].free.minus(left));
        let added = added.fold(Resources::default(), |sum, added| sum.plus(&added));
        let room = match self.gang_room.get(service) {
            Some(room) => *room,
            None => self.gang_room(service),
        };
        let kept = room.kept.plus(&added);
        let is_first = room.kept == Resources::default();
        let is_within = is_first || kept.dominant_share(&room.capacity) <= max_share;
        let room = GangRoom { kept: if is_within { kept } else { room.kept }, ..room };
        self.gang_room.insert(service.clone(), room);
        if !is_within {
            return;
        }
        for (at, left) in left {
            let free = self.all[at].free;
            self.free_before_gangs.entry(at).or_insert(free);
            let view = &mut self[at];
            let is_first = view.kept == Resources::default();
            view.kept_until_ms = if is_first { start_ms } else { view.kept_until_ms.min(start_ms) };
            view.kept = view.kept.plus(&free.minus(&left));
            view.free = left;
        }
    }

    /// Returns the room of a service of which nothing is kept yet.
    fn gang_room(&self, service: &Name) -> GangRoom {
        let none = Resources::default();
        let mut room = GangRoom { capacity: none, used: none, kept: none };
        for view in self.all.iter().filter(|view| view.is_usable && view.service == *service) {
            room.capacity = room.capacity.plus(&view.capacity);
            room.used = room.used.plus(&view.capacity.minus(&view.free));
        }
        room
    }

    /// Returns the capacity of a host that a step may use now.
    fn free_for(&self, at: usize, borrower: Borrower) -> Resources {
        let view = &self.all[at];
        let is_open = || {
            let room = self.gang_room.get(&view.service);
            let is_mostly_idle = || room.is_some_and(GangRoom::is_mostly_idle);
            let is_in_time = borrower.end_ms <= view.kept_until_ms;
            let is_far = borrower.far_ms <= view.kept_until_ms;
            is_in_time && is_far || (is_in_time || borrower.is_overdue) && is_mostly_idle()
        };
        let has_kept = view.kept != Resources::default();
        if has_kept && is_open() { view.free.plus(&view.kept) } else { view.free }
    }

    /// Allocates capacity of a host. Returns the time until which a part of it is lent that was kept for
    /// gangs, in milliseconds, or `None` if none was.
    pub fn allocate(&mut self, at: usize, size: &Resources, borrower: Borrower) -> Option<u64> {
        let view = &mut self[at];
        let lent = size.minus(&view.free);
        let until_ms = if borrower.end_ms <= view.kept_until_ms { borrower.end_ms } else { 0 };
        view.free = view.free.minus(size);
        view.kept = view.kept.minus(&lent);
        if let Some(room) = self.gang_room.get_mut(&self.all[at].service) {
            room.used = room.used.plus(size);
            room.kept = room.kept.minus(&lent);
        }
        (lent != Resources::default()).then_some(until_ms)
    }

    /// Returns the free CPU of all usable hosts at the start of the pass and the part of it that
    /// the pass has kept for waiting gangs, in thousandths of a core.
    pub fn free_and_kept_cpu(&self) -> (u64, u64) {
        let free = self.by_free_cpu.iter().map(|(cpu, _)| u64::from(*cpu)).sum();
        let kept = self.gang_room.values().map(|room| u64::from(room.kept.cpu_millis)).sum();
        (free, kept)
    }

    /// Returns whether all hosts are left out because their capacities are too old.
    pub fn are_all_undated(&self) -> bool {
        self.by_free_cpu.is_empty() && self.undated > 0
    }

    /// Returns the index of a usable host by its number.
    pub fn index_of(&self, number: u32) -> Option<usize> {
        self.by_number.get(&number).copied().filter(|at| self.all[*at].is_usable)
    }

    /// Counts a host that gets runs in isolation.
    pub fn add_isolated(&mut self, index: usize, isolation: Isolation) {
        if isolation.is_isolated() {
            self[index].has_isolated_run = true;
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
    /// core, with an upper bound of the free capacity of each host from there on.
    fn most_cpu_first(&self, min_cpu: u32) -> impl Iterator<Item = (&Resources, usize)> {
        let by_free_cpu = self.by_free_cpu.iter().take_while(move |(cpu, _)| *cpu >= min_cpu);
        self.max_free.iter().zip(by_free_cpu).map(|(max_free, (_, at))| (max_free, *at))
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
        self.modified.push(at);
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
    /// Whether they take room that is kept for gangs.
    pub needs_loan: bool,
    /// Tasks that fit when the host is idle but for services.
    pub fits_idle: u32,
    /// Free CPU, in thousandths of a core.
    pub free_cpu: u32,
    /// Whether the host is used only if no other has room, because starts have not arrived there, or
    /// one of the step has not.
    pub is_avoided: bool,
    /// Whether the host takes far longer than others for the same work.
    pub is_slow: bool,
    /// Whether the host is near the step's data. True if the step has no data location.
    pub is_near: bool,
}

/// A part of the hosts, by their number.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sample {
    /// Number of parts.
    count: u32,
    number: u32,
}

impl Sample {
    pub const ALL: Sample = Sample { count: 1, number: 0 };

    pub fn is_all(self) -> bool {
        self.count == 1
    }

    fn contains(self, host_number: u32) -> bool {
        host_number % self.count == self.number
    }
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
    pub fn new(host: &Host, time: ViewTime) -> HostView {
        let is_usable = host.is_usable(time.now_ms);
        let is_dated = host.has_current_capacity(time.now_ms, time.max_age_ms);
        HostView {
            is_usable: is_usable && is_dated,
            is_undated: is_usable && !is_dated,
            host: host.entry.id.clone(),
            number: host.number,
            rack: host.entry.rack.clone(),
            service: host.entry.service.clone(),
            labels: host.entry.labels.clone(),
            capacity: host.entry.capacity,
            releasable: host.entry.capacity.minus(&host.lasting_use),
            is_slow: host.speed.is_slow(),
            is_avoided: host.is_avoided(time.now_ms),
            has_isolated_run: !host.isolated_runs.is_empty(),
            is_sealed: false,
            has_latency_task: host.latency_runs > 0,
            has_best_effort_task: host.best_effort_runs > 0,
            free: host.free(),
            kept: Resources::default(),
            kept_until_ms: 0,
        }
    }

    /// Keeps best-effort tasks off the host for the rest of the pass.
    pub fn close_to_best_effort(&mut self) {
        self.has_latency_task = true;
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
    /// Returns the hosts for a pass. It gives them back in [`Engine::keep_host_views`].
    pub(super) fn host_views(&mut self) -> HostViews {
        let mut views = std::mem::take(&mut self.views);
        let time = self.view_time();
        views.refresh(&mut self.hosts, time);
        views.free_before_gangs.clear();
        views.gang_room.clear();
        self.seal_hosts(&mut views);
        (views.isolated_hosts, views.prime_hosts) = self.isolated_hosts();
        views.limits = self.isolation_limits();
        views
    }

    pub(super) fn view_time(&self) -> ViewTime {
        ViewTime { now_ms: self.now.monotonic_ms, max_age_ms: self.timing.capacity_max_age_ms }
    }

    /// Closes the hosts on which nothing may start beside the isolated runs. That depends on the
    /// jobs, so that it is no part of the views that are kept.
    fn seal_hosts(&self, views: &mut HostViews) {
        if self.isolated_runs.is_empty() {
            return;
        }
        let needs_sealed_host =
            |id: &job::Id| self.jobs.get(id).is_some_and(Job::needs_sealed_host);
        for host in self.totals.isolated().filter_map(|slot| self.hosts.at(slot)) {
            if host.isolated_runs.keys().any(needs_sealed_host)
                && let Some(at) = views.index_of(host.number)
            {
                views[at].is_sealed = true;
            }
        }
    }

    /// Keeps the hosts of a pass for the next one.
    pub(super) fn keep_host_views(&mut self, views: HostViews) {
        self.views = views;
    }

    /// Returns the hosts whose kept view is wrong and would not be updated by the next pass.
    pub(super) fn stale_views(&self) -> Vec<Name> {
        self.views.stale_hosts(&self.hosts, self.view_time())
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
        let until_ms = self.leases_expired_until_ms();
        let is_unaccounted = |host: &&Host| host.may_have_unlisted_runs(until_ms);
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
    borrower: Borrower,
    /// Hosts without room now are included.
    includes_full: bool,
    /// Best-effort tasks keep no task with a latency objective off their host.
    ignores_best_effort: bool,
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
        Search {
            views,
            step,
            progress,
            service,
            footprint,
            is_isolated,
            borrower: Borrower::NONE,
            includes_full: step.is_gang,
            ignores_best_effort: false,
            placed,
        }
    }

    /// Includes room that is kept for gangs, as far as the step may use it.
    pub fn with_loans(self, borrower: Borrower) -> Search<'a> {
        Search { borrower, ..self }
    }

    /// Returns the candidates among all hosts, the most free CPU first.
    pub fn all(&self) -> Vec<Candidate> {
        let min_cpu = if self.step.is_gang { 0 } else { self.footprint.cpu_millis };
        let hosts = self.views.most_cpu_first(min_cpu);
        hosts.filter_map(|(_, index)| self.candidate(index)).collect()
    }

    /// Returns the candidates among all hosts, including those without room now, the most free
    /// CPU first.
    pub fn with_full(&self) -> impl Iterator<Item = Candidate> {
        let search = Search { includes_full: true, placed: self.placed.clone(), ..*self };
        self.views.most_cpu_first(0).filter_map(move |(_, index)| search.candidate(index))
    }

    /// Returns the candidates among all hosts, including those that have best-effort tasks or no
    /// room now, the most free CPU first.
    pub fn with_best_effort(&self) -> impl Iterator<Item = Candidate> {
        let search = Search {
            includes_full: true,
            ignores_best_effort: true,
            placed: self.placed.clone(),
            ..*self
        };
        self.views.most_cpu_first(0).filter_map(move |(_, index)| search.candidate(index))
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
    ///
    /// Ends early once `is_enough` holds for the candidates found so far and the [`Room`] that no
    /// further one exceeds. It is called a logarithmic number of times.
    pub fn unknown(
        &self,
        min_cpu: u32,
        sample: Sample,
        is_enough: impl Fn(&[Candidate], Room) -> bool,
    ) -> Vec<Candidate> {
        let advice = &self.progress.advice;
        let mut found = Vec::new();
        let hosts = self.views.most_cpu_first(min_cpu);
        let hosts = hosts.filter(|(_, index)| sample.contains(self.views[*index].number));
        for (visited, (max_free, index)) in hosts.enumerate() {
            if visited >= MIN_VISITED && visited.is_power_of_two() {
                let fits_now = tasks_that_fit(&self.footprint, max_free);
                if is_enough(&found, Room { fits_now, free_cpu: max_free.cpu_millis }) {
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

    /// Returns the sample of the hosts for a step, all of them on a small site.
    pub fn sample(&self, step_id: StepId) -> Sample {
        let count = (self.views.all.len() / SAMPLE_HOSTS).max(1) as u32;
        let hash = FxBuildHasher.hash_one(step_id);
        Sample { count, number: (hash % u64::from(count)) as u32 }
    }

    /// Returns whether a task of the step fits on some host now, leaving out those that advice
    /// has denied.
    pub fn has_room(&self) -> bool {
        let denied = &self.progress.advice.denied;
        let mut hosts = self.views.most_cpu_first(self.footprint.cpu_millis);
        hosts.any(|(_, index)| {
            !denied.contains(&self.views[index].number)
                && self.candidate(index).is_some_and(|found| found.fits_now > 0)
        })
    }

    /// Returns how many tasks of the step fit on a host now.
    pub fn tasks_that_fit(&self, index: usize) -> u32 {
        self.candidate(index).map_or(0, |found| found.fits_now)
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
        if !view.is_usable || view.is_sealed || self.is_isolated && view.has_isolated_run {
            return None;
        }
        // Best-effort tasks slow down latency-sensitive ones by an unpredictable amount.
        let has_best_effort_task = view.has_best_effort_task && !self.ignores_best_effort;
        let is_compatible = !(step.is_best_effort && view.has_latency_task
            || step.latency_objective_ms > 0 && has_best_effort_task);
        let free = self.views.free_for(index, self.borrower);
        let mut fits_now = tasks_that_fit(&self.footprint, &free);
        if !is_compatible || fits_now == 0 && !self.includes_full {
            return None;
        }
        let is_suitable = view.service == *self.service
            && step.required_label.as_ref().is_none_or(|label| view.has_label(label));
        let mut fits_idle = tasks_that_fit(&self.footprint, &view.releasable);
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
        let is_avoided = view.is_avoided || self.progress.avoided_hosts.contains(&view.number);
        let needs_loan = free != view.free && !self.footprint.fits_in(&view.free);
        let (free_cpu, is_slow) = (free.cpu_millis, view.is_slow);
        Some(Candidate {
            index,
            fits_now,
            needs_loan,
            fits_idle,
            free_cpu,
            is_avoided,
            is_slow,
            is_near,
        })
    }
}

fn runs_per_host(progress: &StepProgress) -> FxHashMap<Name, u32> {
    let mut placed = FxHashMap::default();
    for (host, _) in progress.tasks.touched().flat_map(|(_, task)| &task.runs) {
        *placed.entry(host.clone()).or_default() += 1;
    }
    placed
}

/// Returns how many tasks of a size fit into a capacity, at most [`job::MAX_TASKS`].
pub(super) fn tasks_that_fit(size: &Resources, capacity: &Resources) -> u32 {
    let pairs = [
        (size.cpu_millis, capacity.cpu_millis),
        (size.memory_mib, capacity.memory_mib),
        (size.accelerators, capacity.accelerators),
    ];
    let most = pairs.iter().filter(|(each, _)| *each > 0).map(|(each, free)| free / each).min();
    most.unwrap_or(u32::MAX).min(job::MAX_TASKS)
}
