//! Starts what waits, in order of rank.

use std::cmp::Reverse;

use sycamore_types::Name;
use sycamore_types::resources::Resources;

use super::Engine;
use super::room::{Candidate, Claims};
use crate::{Step, Task};

/// What a step needs, looked up once for a pass.
pub(super) struct Demand {
    pub key: Step,
    pub is_gang: bool,
    pub one_rack: bool,
    pub size: Resources,
    /// Tasks that wait.
    pub waiting: u32,
    /// Tasks that the team's limit leaves room for.
    pub allowed: u32,
}

impl Engine {
    pub(super) fn dispatch(&mut self) {
        let mut claims = Claims::default();
        for (_, key) in self.ranked() {
            self.serve(key, &mut claims);
        }
    }

    /// Starts what can be started of one step.
    fn serve(&mut self, key: Step, claims: &mut Claims) {
        let Some(job) = self.jobs.get(&key.job) else { return };
        let Some(queue) = self.queues.get(&job.queue) else { return };
        let (Some(run), Some(spec)) = (job.step(key), job.spec.steps.get(usize::from(key.index)))
        else {
            return;
        };
        // Until all workers of the owner before are accounted for, a task of an
        // older job may run unseen.
        if job.is_recovered && self.is_recovering {
            return;
        }
        let waiting = run.waiting.len() as u32;
        if waiting == 0 || (spec.is_gang && waiting < spec.tasks) {
            return;
        }
        let allowed = self.limit_room(&job.team, &spec.size);
        if allowed == 0 || (spec.is_gang && allowed < waiting) {
            return;
        }
        let candidates = self.candidates(job, spec, run, &queue.service, claims);
        let demand = Demand {
            key,
            is_gang: spec.is_gang,
            one_rack: spec.prefers_one_rack,
            size: spec.footprint(),
            waiting,
            allowed,
        };
        let is_durable = job.is_durable;
        let cost = queue.advice;
        let ready = match cost {
            None => candidates,
            Some(cost) => {
                let queue = job.queue.clone();
                self.advised_candidates(&demand, &queue, cost, candidates, claims)
            }
        };
        if is_durable {
            self.place(&demand, ready, claims);
        }
    }

    /// Puts tasks on workers. A gang goes as a whole or not at all.
    fn place(&mut self, demand: &Demand, candidates: Vec<Candidate>, claims: &mut Claims) {
        let wanted = demand.waiting.min(demand.allowed);
        let plan = plan(candidates, wanted, demand);
        let planned: u32 = plan.iter().map(|(_, tasks)| tasks).sum();
        if planned == 0 || (demand.is_gang && planned < demand.waiting) {
            return;
        }
        let Some(step) = self.jobs.get(&demand.key.job).and_then(|job| job.step(demand.key)) else {
            return;
        };
        let mut waiting: Vec<u32> = step.waiting.iter().copied().collect();
        let gang_attempt = step.tasks.iter().map(|task| task.attempt).max().unwrap_or(0) + 1;
        for (host, tasks) in plan {
            for _ in 0..tasks {
                let Some(index) = self.take_for(demand.key, &mut waiting, &host) else { break };
                let task = Task { step: demand.key, index };
                let own = self.jobs.get(&demand.key.job).and_then(|job| job.step(demand.key));
                let last = own.map_or(0, |step| step.tasks[index as usize].attempt);
                let attempt = if demand.is_gang { gang_attempt } else { last + 1 };
                self.start(&host, task, attempt);
            }
        }
        claims.retain(|_, room| *room != Resources::default());
        let is_empty = self.jobs.get(&demand.key.job).and_then(|job| job.step(demand.key));
        if is_empty.is_some_and(|step| step.waiting.is_empty()) {
            self.ready.remove(&demand.key);
        }
    }

    /// Takes a waiting task for a worker, one that did not fail there if there is one.
    fn take_for(&self, key: Step, waiting: &mut Vec<u32>, host: &Name) -> Option<u32> {
        let step = self.jobs.get(&key.job)?.step(key)?;
        let failed_here =
            |index: &u32| step.tasks[*index as usize].avoid.as_ref().is_some_and(|h| h == host);
        if waiting.is_empty() {
            return None;
        }
        // A task that failed here and has no better place is tried again.
        let at = waiting.iter().position(|index| !failed_here(index)).unwrap_or(0);
        Some(waiting.remove(at))
    }

    /// Keeps the room that a gang will need on workers that may run it.
    pub(super) fn claim(&self, demand: &Demand, allowed: &[Candidate], claims: &mut Claims) {
        let mut wanted = demand.waiting;
        let mut order: Vec<&Candidate> = allowed.iter().collect();
        order.sort_by_key(|candidate| (Reverse(candidate.slots), Reverse(candidate.free_cpu)));
        for candidate in order {
            if wanted == 0 {
                return;
            }
            let tasks = candidate.most.min(wanted);
            wanted -= tasks;
            let room = claims.entry(candidate.host.clone()).or_default();
            for _ in 0..tasks {
                *room = room.plus(&demand.size);
            }
        }
    }
}

/// Chooses workers for so many tasks.
fn plan(mut candidates: Vec<Candidate>, wanted: u32, demand: &Demand) -> Vec<(Name, u32)> {
    candidates.retain(|candidate| candidate.slots > 0);
    if demand.one_rack
        && let Some(rack) = rack_with_room(&candidates, wanted)
    {
        candidates.retain(|candidate| candidate.rack == rack);
    }
    // Near the data first, then the fullest worker that still has room, so that
    // large holes stay for large tasks.
    candidates.sort_by_key(|candidate| (!candidate.is_near, candidate.free_cpu));
    let mut plan = Vec::new();
    let mut rest = wanted;
    for candidate in candidates {
        if rest == 0 {
            break;
        }
        let tasks = candidate.slots.min(rest);
        rest -= tasks;
        plan.push((candidate.host, tasks));
    }
    plan
}

fn rack_with_room(candidates: &[Candidate], wanted: u32) -> Option<Name> {
    let mut racks: std::collections::BTreeMap<&Name, u32> = Default::default();
    for candidate in candidates {
        *racks.entry(&candidate.rack).or_default() += candidate.slots;
    }
    let fitting = racks.into_iter().filter(|(_, slots)| *slots >= wanted);
    fitting.min_by_key(|(_, slots)| *slots).map(|(rack, _)| rack.clone())
}

/// Tells whether so many tasks fit on some workers together.
pub(super) fn enough(candidates: &[Candidate], wanted: u32) -> bool {
    candidates.iter().map(|candidate| candidate.slots).sum::<u32>() >= wanted
}
