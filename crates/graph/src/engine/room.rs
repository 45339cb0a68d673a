//! Where a step's tasks fit, and how many of them.

use rustc_hash::FxHashMap;
use sycamore_types::Name;
use sycamore_types::resources::Resources;

use super::Engine;
use crate::host::Host;
use crate::job;
use crate::progress::{Job, StepRun};

/// Room that a pass of the dispatcher keeps for steps that go first.
pub(super) type Claims = FxHashMap<Name, Resources>;

/// A worker that may take tasks of a step.
#[derive(Clone, Debug)]
pub(super) struct Candidate {
    pub host: Name,
    pub rack: Name,
    /// Tasks that fit now.
    pub slots: u32,
    /// Tasks that fit when the worker is empty.
    pub most: u32,
    /// Free processor time, in thousandths of a core.
    pub free_cpu: u32,
    /// The worker is near the step's data, or the step has none.
    pub is_near: bool,
}

impl Engine {
    /// Lists the workers that may run a step, with room or without.
    pub(super) fn candidates(
        &self,
        job: &Job,
        step: &job::Step,
        run: &StepRun,
        service: &str,
        claims: &Claims,
    ) -> Vec<Candidate> {
        let now_ms = self.now.steady_ms;
        let is_suitable = |host: &&Host| {
            host.is_usable(now_ms)
                && &*host.entry.service == service
                && step.required_label.as_ref().is_none_or(|label| host.has_label(label))
        };
        let placed =
            if step.max_per_host > 0 { placed_per_host(run) } else { FxHashMap::default() };
        self.hosts
            .values()
            .filter(is_suitable)
            .map(|host| {
                let name = &host.entry.id;
                let claimed = claims.get(name).copied().unwrap_or_default();
                let free = host.free().minus(&claimed);
                let mut slots = fits(&step.footprint(), &free);
                let mut most = fits(&step.footprint(), &host.entry.capacity);
                if step.max_per_host > 0 {
                    let taken = placed.get(name).copied().unwrap_or(0);
                    slots = slots.min(step.max_per_host.saturating_sub(taken));
                    most = most.min(step.max_per_host);
                }
                let rack = step.data_rack.as_ref();
                Candidate {
                    host: name.clone(),
                    rack: host.entry.rack.clone(),
                    slots,
                    most,
                    free_cpu: free.cpu_millis,
                    is_near: rack
                        .is_none_or(|rack| *rack == host.entry.rack || host.has_label(rack)),
                }
            })
            .filter(|candidate| candidate.most > 0)
            .filter(|_| job.closed.is_none())
            .collect()
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
        let (now_ms, timing) = (self.now.steady_ms, &self.timing);
        let is_unseen =
            |host: &&Host| host.is_logged && !host.is_held && !host.is_lease_over(now_ms, timing);
        let unseen = self.hosts.values().filter(is_unseen);
        unseen.fold(Resources::default(), |sum, host| sum.plus(&host.entry.capacity))
    }
}

fn placed_per_host(run: &StepRun) -> FxHashMap<Name, u32> {
    let mut placed = FxHashMap::default();
    for (host, _) in run.tasks.iter().flat_map(|task| &task.runs) {
        *placed.entry(host.clone()).or_default() += 1;
    }
    placed
}

/// Returns how many tasks of a size fit into some room.
pub(super) fn fits(size: &Resources, room: &Resources) -> u32 {
    let pairs = [
        (size.cpu_millis, room.cpu_millis),
        (size.memory_mib, room.memory_mib),
        (size.accelerators, room.accelerators),
    ];
    let most = pairs.iter().filter(|(each, _)| *each > 0).map(|(each, free)| free / each).min();
    most.unwrap_or(u32::MAX).min(10_000)
}
