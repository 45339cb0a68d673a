//! Where a step's tasks fit, and how many of them.

use std::ops::{Index, IndexMut};
use std::sync::Arc;

use rustc_hash::FxHashMap;
use sycamore_types::Name;
use sycamore_types::resources::Resources;

use super::Engine;
use super::dispatch::Demand;
use crate::host::Host;
use crate::job;
use crate::progress::StepProgress;

/// A worker that takes new work, as one pass of the dispatcher sees it.
#[derive(Clone, Debug)]
pub(super) struct Spot {
    pub host: Name,
    pub slot: u32,
    pub rack: Name,
    service: Name,
    labels: Arc<[Name]>,
    capacity: Resources,
    /// Runs a task with a latency objective.
    serves: bool,
    /// Runs a best-effort task.
    fills: bool,
    /// Room that this pass has neither used nor kept for steps that go first.
    pub free: Resources,
}

/// The workers of one pass.
#[derive(Debug)]
pub(super) struct Spots {
    all: Vec<Spot>,
    /// Places in `all`, the one with most free processor at the pass's start first, each
    /// with that amount. Room only shrinks within a pass.
    by_room: Vec<(u32, usize)>,
    /// At least the most room of each kind that any worker has.
    largest: Resources,
}

impl Spots {
    fn new(all: Vec<Spot>) -> Spots {
        let largest = all.iter().fold(Resources::default(), |most, s| most.at_least(&s.free));
        let mut by_room: Vec<(u32, usize)> =
            all.iter().enumerate().map(|(at, spot)| (spot.free.cpu_millis, at)).collect();
        by_room.sort_unstable_by(|(one, first), (other, second)| {
            other.cmp(one).then(first.cmp(second))
        });
        Spots { all, by_room, largest }
    }

    /// Tells whether some worker may have room for a task. Costs next to nothing.
    pub fn may_hold(&self, size: &Resources) -> bool {
        size.fits_in(&self.largest)
    }

    /// Workers that may have so much free processor, with their places.
    fn most_room_first(&self, least_cpu: u32) -> impl Iterator<Item = (usize, &Spot)> {
        let by_room = self.by_room.iter().take_while(move |(cpu, _)| *cpu >= least_cpu);
        by_room.map(|(_, at)| (*at, &self.all[*at]))
    }
}

impl Index<usize> for Spots {
    type Output = Spot;

    fn index(&self, at: usize) -> &Spot {
        &self.all[at]
    }
}

impl IndexMut<usize> for Spots {
    fn index_mut(&mut self, at: usize) -> &mut Spot {
        &mut self.all[at]
    }
}

/// How many tasks of a step a worker may take.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    /// Place of the worker among the pass's spots.
    pub at: usize,
    /// Tasks that fit now.
    pub slots: u32,
    /// Tasks that fit when the worker is empty.
    pub most: u32,
    /// Free processor time, in thousandths of a core.
    pub free_cpu: u32,
    /// The worker is near the step's data, or the step has none.
    pub is_near: bool,
}

impl Spot {
    /// Takes in that a task of a step was placed here.
    pub fn note(&mut self, demand: &Demand) {
        self.serves |= demand.has_objective;
        self.fills |= demand.is_best_effort;
    }

    fn has_label(&self, label: &Name) -> bool {
        self.labels.contains(label)
    }
}

impl Engine {
    /// Lists the workers that take new work.
    pub(super) fn spots(&self) -> Spots {
        let now_ms = self.now.monotonic_ms;
        let usable = self.hosts.values().filter(|host| host.is_usable(now_ms));
        let spot = |host: &Host| Spot {
            host: host.entry.id.clone(),
            slot: host.number,
            rack: host.entry.rack.clone(),
            service: host.entry.service.clone(),
            labels: host.entry.labels.clone(),
            capacity: host.entry.capacity,
            serves: host.runs.values().any(|run| run.has_objective),
            fills: host.runs.values().any(|run| run.is_best_effort),
            free: host.free(),
        };
        Spots::new(usable.map(spot).collect())
    }

    /// Returns how many tasks of a size the team's limit leaves room for.
    pub(super) fn limit_room(&self, team: &str, size: &Resources) -> u32 {
        let Some(own) = self.catalog.teams.get(team) else { return u32::MAX };
        let usage = self.usage.get(team).copied().unwrap_or_default().plus(&self.unseen());
        let mut room = u32::MAX;
        let pairs = [
            (size.cpu_millis, usage.cpu_millis, own.limit.cpu_millis),
            (size.memory_mib, usage.memory_mib, own.limit.memory_mib),
            (size.accelerators, usage.accelerators, own.limit.accelerators),
        ];
        for (each, used, limit) in pairs {
            if limit > 0 && each > 0 {
                room = room.min(limit.saturating_sub(used) / each);
            }
        }
        room
    }

    /// Capacity of workers on which an earlier owner's runs may go on unseen.
    fn unseen(&self) -> Resources {
        if !self.is_recovering {
            return Resources::default();
        }
        let (now_ms, timing) = (self.now.monotonic_ms, &self.timing);
        let is_unseen = |host: &&Host| host.may_have_unlisted_runs(now_ms, timing);
        let unseen = self.hosts.values().filter(is_unseen);
        unseen.fold(Resources::default(), |sum, host| sum.plus(&host.entry.capacity))
    }
}

/// Lists the workers that may run a step: for a gang, which plans ahead, all of them;
/// else those with room.
pub(super) fn candidates(
    spots: &Spots,
    step: &job::Step,
    run: &StepProgress,
    service: &Name,
) -> Vec<Candidate> {
    let footprint = step.footprint();
    let placed = if step.max_per_host > 0 { placed_per_host(run) } else { FxHashMap::default() };
    let least_cpu = if step.is_gang { 0 } else { footprint.cpu_millis };
    let mut found = Vec::new();
    for (at, spot) in spots.most_room_first(least_cpu) {
        // Best-effort work disturbs what serves, by amounts that nobody knows beforehand.
        let is_quiet =
            !(step.is_best_effort && spot.serves || step.latency_objective_ms > 0 && spot.fills);
        let is_suitable = is_quiet
            && spot.service == *service
            && step.required_label.as_ref().is_none_or(|label| spot.has_label(label));
        let mut most = fits(&footprint, &spot.capacity);
        if !is_suitable || most == 0 {
            continue;
        }
        let mut slots = fits(&footprint, &spot.free);
        if step.max_per_host > 0 {
            let taken = placed.get(&spot.host).copied().unwrap_or(0);
            slots = slots.min(step.max_per_host.saturating_sub(taken));
            most = most.min(step.max_per_host);
        }
        if slots == 0 && !step.is_gang {
            continue;
        }
        let is_near =
            step.data_rack.as_ref().is_none_or(|rack| *rack == spot.rack || spot.has_label(rack));
        found.push(Candidate { at, slots, most, free_cpu: spot.free.cpu_millis, is_near });
    }
    found
}

fn placed_per_host(run: &StepProgress) -> FxHashMap<Name, u32> {
    let mut placed = FxHashMap::default();
    for (host, _) in run.tasks.iter().flat_map(|task| &task.runs) {
        *placed.entry(host.clone()).or_default() += 1;
    }
    placed
}

/// Returns how many tasks of a size fit into some room.
fn fits(size: &Resources, room: &Resources) -> u32 {
    let pairs = [
        (size.cpu_millis, room.cpu_millis),
        (size.memory_mib, room.memory_mib),
        (size.accelerators, room.accelerators),
    ];
    let most = pairs.iter().filter(|(each, _)| *each > 0).map(|(each, free)| free / each).min();
    most.unwrap_or(u32::MAX).min(job::MAX_TASKS)
}
