//! Room on hosts that is kept for the step for which runs were stopped.
//!
//! Without a reservation, small tasks would take each part of the room as soon as one of the
//! stopped runs has ended. Preemption reserves room on a host for one step at a time. Steps for
//! which a host is cleared of best-effort runs may share it.

use std::collections::BTreeMap;

use rustc_hash::{FxHashMap, FxHashSet};
use sycamore_types::Name;
use sycamore_types::resources::Resources;

use super::candidates::HostViews;
use crate::{StepId, TaskId};

/// Room on one host.
#[derive(Clone, Debug)]
pub(super) struct Reservation {
    pub host: Name,
    /// Number of the host.
    pub number: u32,
    /// Tasks of the step for which there will be room.
    pub tasks: u32,
    /// Resources that each of them takes up.
    pub footprint: Resources,
    /// Time at which the reservation ends, in milliseconds.
    pub until_ms: u64,
    /// No best-effort task may start on the host meanwhile.
    is_cleared: bool,
    /// Free capacity that the current pass withholds from other steps.
    held: Resources,
}

/// All reservations, and the runs that are being stopped for them.
#[derive(Debug, Default)]
pub(super) struct Reservations {
    by_step: BTreeMap<StepId, Vec<Reservation>>,
    /// Hosts with a reservation, by number.
    hosts: FxHashSet<u32>,
    /// Resources of the runs that are being stopped.
    yielding: FxHashMap<(TaskId, u32), Resources>,
    /// Time before which no room is sought for a step again, in milliseconds.
    pauses: FxHashMap<StepId, u64>,
    /// Searches for runs to stop that the current pass may still make.
    pub searches_left: u32,
    /// Searches for hosts to clear that the current pass may still make.
    clearings_left: u32,
    /// Steps whose search for a host to clear found none since a pass had such searches left.
    not_cleared: FxHashSet<StepId>,
}

impl Reservation {
    pub fn new(host: Name, number: u32, tasks: u32, footprint: Resources, until_ms: u64) -> Self {
        let held = Resources::default();
        Reservation { host, number, tasks, footprint, until_ms, is_cleared: false, held }
    }

    /// Keeps best-effort tasks off the host as well.
    pub fn without_best_effort(self) -> Self {
        Reservation { is_cleared: true, ..self }
    }

    /// Returns the resources of all tasks.
    pub fn total(&self) -> Resources {
        (0..self.tasks).fold(Resources::default(), |sum, _| sum.plus(&self.footprint))
    }

    /// Withholds as much of the room as is free.
    fn hold(&mut self, views: &mut HostViews) {
        let Some(at) = views.index_of(self.number) else { return };
        let wanted = self.total();
        let held = wanted.minus(&wanted.minus(&views[at].free));
        views[at].free = views[at].free.minus(&held);
        if self.is_cleared {
            views[at].close_to_best_effort();
        }
        self.held = held;
    }

    fn release(&mut self, views: &mut HostViews) {
        let Some(at) = views.index_of(self.number) else { return };
        let held = std::mem::take(&mut self.held);
        views[at].free = views[at].free.plus(&held);
    }
}

impl Reservations {
    /// Begins a pass: withholds the reserved room from all steps.
    pub fn begin_pass(
        &mut self,
        now_ms: u64,
        searches: u32,
        clearings: u32,
        views: &mut HostViews,
    ) {
        if self.clearings_left > 0 {
            self.not_cleared.clear();
        }
        self.searches_left = searches;
        self.clearings_left = clearings;
        self.pauses.retain(|_, until_ms| now_ms < *until_ms);
        for reservation in self.by_step.values_mut().flatten() {
            reservation.hold(views);
        }
    }

    /// Removes the reservations for which a condition does not hold, and those of a whole gang if
    /// it does not hold for one. Returns the removed ones that have timed out.
    pub fn retain(
        &mut self,
        now_ms: u64,
        is_gang: impl Fn(StepId) -> bool,
        is_valid: impl Fn(StepId, &Reservation) -> bool,
    ) -> Vec<(StepId, Name)> {
        let mut expired = Vec::new();
        self.by_step.retain(|step_id, all| {
            let is_left = |one: &Reservation| {
                now_ms < one.until_ms && one.tasks > 0 && is_valid(*step_id, one)
            };
            for one in all.iter() {
                if one.tasks > 0 && now_ms >= one.until_ms && is_valid(*step_id, one) {
                    expired.push((*step_id, one.host.clone()));
                }
            }
            if is_gang(*step_id) && !all.iter().all(is_left) {
                all.clear();
            }
            all.retain(is_left);
            !all.is_empty()
        });
        self.hosts = self.by_step.values().flatten().map(|one| one.number).collect();
        expired
    }

    /// Adds reservations of a step, and withholds their room.
    pub fn add(&mut self, step_id: StepId, all: Vec<Reservation>, views: &mut HostViews) {
        let of_step = self.by_step.entry(step_id).or_default();
        for mut one in all {
            one.hold(views);
            self.hosts.insert(one.number);
            of_step.push(one);
        }
    }

    /// Shows a step the room that is reserved for it.
    pub fn release(&mut self, step_id: StepId, views: &mut HostViews) {
        for one in self.by_step.get_mut(&step_id).into_iter().flatten() {
            one.release(views);
        }
    }

    /// Withholds the room of a step again that it has not used, if it still waits.
    pub fn settle(&mut self, step_id: StepId, is_waiting: bool, views: &mut HostViews) {
        if !is_waiting {
            self.by_step.remove(&step_id);
        }
        for one in self.by_step.get_mut(&step_id).into_iter().flatten() {
            one.release(views);
            one.hold(views);
        }
    }

    /// Counts a task of a step that starts on a host. Returns whether the host was cleared for it.
    pub fn use_for(&mut self, step_id: StepId, host: &Name) -> bool {
        let mut all = self.by_step.get_mut(&step_id).into_iter().flatten();
        let Some(one) = all.find(|one| one.host == *host && one.tasks > 0) else { return false };
        one.tasks -= 1;
        one.is_cleared
    }

    /// Returns the numbers of the hosts that are kept free of best-effort tasks.
    pub fn cleared_hosts(&self) -> FxHashSet<u32> {
        let cleared = self.by_step.values().flatten().filter(|one| one.is_cleared);
        cleared.map(|one| one.number).collect()
    }

    /// Returns the reserved resources of a host that the current pass does not withhold.
    pub fn outstanding(&self, number: u32) -> Resources {
        let on_host = self.by_step.values().flatten().filter(|one| one.number == number);
        on_host.fold(Resources::default(), |sum, one| sum.plus(&one.total().minus(&one.held)))
    }

    /// Returns the number of tasks of a step for which room is reserved on a host.
    pub fn tasks_on(&self, step_id: StepId, number: u32) -> u32 {
        let of_step = self.by_step.get(&step_id).into_iter().flatten();
        of_step.filter(|one| one.number == number).map(|one| one.tasks).sum()
    }

    /// Returns whether another step has room reserved on a host.
    pub fn has_other(&self, step_id: StepId, number: u32) -> bool {
        let is_own = |all: &Vec<Reservation>| all.iter().any(|one| one.number == number);
        self.hosts.contains(&number) && !self.by_step.get(&step_id).is_some_and(is_own)
    }

    /// Returns the number of tasks of a step for which room is reserved.
    pub fn tasks(&self, step_id: StepId) -> u32 {
        self.by_step.get(&step_id).into_iter().flatten().map(|one| one.tasks).sum()
    }

    pub fn steps(&self) -> impl Iterator<Item = (&StepId, &Vec<Reservation>)> {
        self.by_step.iter()
    }

    /// Records that a run is being stopped.
    pub fn add_yielding(&mut self, run: (TaskId, u32), footprint: Resources) {
        self.yielding.insert(run, footprint);
    }

    /// Records that a run has ended.
    pub fn forget_run(&mut self, run: (TaskId, u32)) {
        self.yielding.remove(&run);
    }

    /// Returns the resources of all runs that are being stopped.
    pub fn yielding(&self) -> Resources {
        self.yielding.values().fold(Resources::default(), |sum, one| sum.plus(one))
    }

    /// Takes one of the searches for hosts to clear. Returns `false` if the pass has none left, or if
    /// the last one of the step found none and steps that have had none since wait for one.
    pub fn take_clearing(&mut self, step_id: StepId) -> bool {
        if self.clearings_left == 0 || self.not_cleared.contains(&step_id) {
            return false;
        }
        self.clearings_left -= 1;
        true
    }

    /// Records that a search found no host to clear.
    pub fn add_not_cleared(&mut self, step_id: StepId) {
        self.not_cleared.insert(step_id);
    }

    pub fn is_paused(&self, step_id: StepId) -> bool {
        self.pauses.contains_key(&step_id)
    }

    pub fn pause(&mut self, step_id: StepId, until_ms: u64) {
        self.pauses.insert(step_id, until_ms);
    }
}
