//! Starts what waits, in order of rank.

use std::cmp::Reverse;

use sycamore_types::Name;
use sycamore_types::resources::Resources;

use super::plan::plan;
use super::room::{Candidate, Spots, candidates};
use super::{Engine, Rank};
use crate::{Grounds, StepId, TaskId, Verdict, WaitReason};

/// Steps that looked at workers in vain after which a pass ends. With hundreds of
/// workers a longer pass keeps callers waiting for the control thread.
const MAX_MISSES: u32 = 300;

/// What a step needs, looked up once for a pass.
pub(super) struct Demand {
    pub key: StepId,
    pub is_gang: bool,
    pub one_rack: bool,
    pub size: Resources,
    pub has_objective: bool,
    pub is_best_effort: bool,
    /// Tasks that wait.
    pub waiting: u32,
    /// Tasks that the team's limit leaves room for.
    pub allowed: u32,
}

/// A step's place in one pass.
struct Turn {
    rank: Rank,
    place: u32,
    waiting: u32,
    capacity: Resources,
}

impl Demand {
    pub fn wanted(&self) -> u32 {
        self.waiting.min(self.allowed)
    }
}

impl Engine {
    pub(super) fn start_waiting_tasks(&mut self) {
        if self.ready.is_empty() {
            return;
        }
        let mut spots = self.spots();
        let mut misses = 0;
        let order = self.ranked();
        let capacity = self.capacity();
        let waiting = order.len() as u32;
        for (at, (rank, key)) in order.into_iter().enumerate() {
            let turn = Turn { rank, place: at as u32 + 1, waiting, capacity };
            let obstacle = self.serve(key, &turn, &mut spots, &mut misses);
            if let Some(step) = self.jobs.get_mut(&key.job).and_then(|job| job.step_mut(key)) {
                step.wait_reason = obstacle;
            }
            if misses >= MAX_MISSES {
                break;
            }
        }
    }

    /// Starts what can be started of one step. Returns why the rest waits.
    ///
    /// Most steps that wait are told so before any worker is looked at: with a thousand of
    /// them beside hundreds of workers, everything else would be late.
    fn serve(
        &mut self,
        key: StepId,
        turn: &Turn,
        spots: &mut Spots,
        misses: &mut u32,
    ) -> Option<WaitReason> {
        let demand = match self.demand(key)? {
            Ok(demand) => demand,
            Err(obstacle) => return Some(obstacle),
        };
        if !demand.is_gang && !spots.may_hold(&demand.size) {
            return Some(WaitReason::NoRoom);
        }
        if let Some(obstacle) = self.advice_obstacle(key) {
            if demand.is_gang {
                *misses += 1;
                self.keep_room(&demand, spots);
            }
            return Some(obstacle);
        }
        let obstacle = self.look_for_room(&demand, turn, spots);
        *misses += u32::from(obstacle.is_some());
        obstacle
    }

    /// Returns what a step needs, or why nothing of it may be started.
    fn demand(&self, key: StepId) -> Option<Result<Demand, WaitReason>> {
        let job = self.jobs.get(&key.job)?;
        let (run, spec) = (job.step(key)?, job.spec.steps.get(usize::from(key.index))?);
        // Until all workers of the owner before are accounted for, a task of an
        // older job may run unseen.
        if job.is_recovered && self.is_recovering {
            return Some(Err(WaitReason::Recovering));
        }
        let waiting = run.waiting.len() as u32;
        if waiting == 0 || (spec.is_gang && waiting < spec.tasks) {
            return Some(Err(WaitReason::GangEnding));
        }
        let allowed = self.limit_room(&job.team, &spec.size);
        if allowed == 0 || (spec.is_gang && allowed < waiting) {
            return Some(Err(WaitReason::TeamLimit));
        }
        Some(Ok(Demand {
            key,
            is_gang: spec.is_gang,
            one_rack: spec.prefers_one_rack,
            size: spec.footprint(),
            has_objective: spec.latency_objective_ms > 0,
            is_best_effort: spec.is_best_effort,
            waiting,
            allowed,
        }))
    }

    /// Looks at all workers for one step.
    fn look_for_room(
        &mut self,
        demand: &Demand,
        turn: &Turn,
        spots: &mut Spots,
    ) -> Option<WaitReason> {
        let key = demand.key;
        let job = self.jobs.get(&key.job)?;
        let queue = self.queues.get(&job.queue)?;
        let (run, spec) = (job.step(key)?, job.spec.steps.get(usize::from(key.index))?);
        let found = candidates(spots, spec, run, &queue.service);
        let is_durable = job.is_durable;
        let (cost, queue) = (queue.advice, job.queue.clone());
        let ready = match cost {
            None => found,
            Some(cost) => self.advised_candidates(demand, &queue, cost, found, spots),
        };
        let is_placed = is_durable && self.place(demand, turn, ready, spots);
        if demand.is_gang && !is_placed {
            self.keep_room(demand, spots);
        }
        let step = self.jobs.get(&key.job)?.step(key)?;
        match step {
            step if step.waiting.is_empty() => None,
            _ if !is_durable => Some(WaitReason::NotDurable),
            step if step.advice.asking.is_some() => Some(WaitReason::AdvicePending),
            _ => Some(WaitReason::NoRoom),
        }
    }

    /// Puts tasks on workers, a gang as a whole or not at all. Returns whether any was.
    fn place(
        &mut self,
        demand: &Demand,
        turn: &Turn,
        ready: Vec<Candidate>,
        spots: &mut Spots,
    ) -> bool {
        let plan = plan(ready, demand, spots);
        let planned: u32 = plan.iter().map(|(_, tasks)| tasks).sum();
        if planned == 0 || (demand.is_gang && planned < demand.waiting) {
            return false;
        }
        let step = self.jobs.get(&demand.key.job).and_then(|job| job.step(demand.key));
        let Some(step) = step else { return false };
        let mut waiting: Vec<u32> = step.waiting.iter().copied().collect();
        let gang_attempt = step.tasks.iter().map(|task| task.attempt).max().unwrap_or(0) + 1;
        for (at, tasks) in plan {
            let host = spots[at].host.clone();
            for _ in 0..tasks {
                let Some((index, last)) = self.take_for(demand.key, &mut waiting, &host) else {
                    break;
                };
                let task = TaskId { step: demand.key, index };
                let attempt = if demand.is_gang { gang_attempt } else { last + 1 };
                let free = spots[at].free;
                spots[at].free = free.minus(&demand.size);
                spots[at].note(demand);
                self.justify(turn, task, attempt, &host, free);
                self.start(&host, task, attempt);
            }
        }
        if waiting.is_empty() {
            self.ready.remove(&demand.key);
        }
        true
    }

    /// Puts on record why a task is started now and here.
    fn justify(&mut self, turn: &Turn, task: TaskId, attempt: u32, name: &Name, free: Resources) {
        let now_ms = self.now.monotonic_ms;
        let Some(job) = self.jobs.get(&task.step.job) else { return };
        let Some(host) = self.hosts.get(name) else { return };
        let team = job.team.clone();
        let ticket = job.step(task.step).and_then(|step| step.advice.allowed.get(&host.number));
        let usage = self.usage.get(&team).copied().unwrap_or_default();
        let due_ms = job.due_unix_ms(task.step.occurrence);
        let grounds = Grounds {
            rank: turn.rank,
            place: turn.place,
            waiting: turn.waiting,
            waited_ms: self.now.unix_ms.saturating_sub(due_ms),
            share: usage.dominant_share(&turn.capacity),
            free_cpu_millis: free.cpu_millis,
            report_age_ms: now_ms.saturating_sub(host.reported_ms),
            ticket_left_ms: ticket.map(|ticket| ticket.expires_ms.saturating_sub(now_ms)),
        };
        self.decide(team, Verdict::Placed { task, attempt, host: name.clone(), grounds });
    }

    /// Takes a waiting task for a worker, one that did not fail there if there is one.
    /// Returns its index and last attempt.
    fn take_for(&self, key: StepId, waiting: &mut Vec<u32>, host: &Name) -> Option<(u32, u32)> {
        let step = self.jobs.get(&key.job)?.step(key)?;
        let failed_here = |index: &u32| {
            step.tasks[*index as usize].avoided_host.as_ref().is_some_and(|h| h == host)
        };
        if waiting.is_empty() {
            return None;
        }
        // A task that failed here and has no better place is tried again.
        let at = waiting.iter().position(|index| !failed_here(index)).unwrap_or(0);
        let index = waiting.remove(at);
        Some((index, step.tasks[index as usize].attempt))
    }

    /// Keeps the room that a gang will need on the workers that may run it from steps
    /// that go after it.
    fn keep_room(&self, demand: &Demand, spots: &mut Spots) {
        let job = self.jobs.get(&demand.key.job);
        let Some((job, run)) = job.and_then(|job| Some((job, job.step(demand.key)?))) else {
            return;
        };
        let Some(queue) = self.queues.get(&job.queue) else { return };
        let spec = &job.spec.steps[usize::from(demand.key.index)];
        let mut order = candidates(spots, spec, run, &queue.service);
        if queue.advice.is_some() {
            order.retain(|found| run.advice.allowed.contains_key(&spots[found.at].slot));
        }
        // A gang that would not fit on empty workers either keeps nothing from others.
        if order.iter().map(|found| found.most).sum::<u32>() < demand.waiting {
            return;
        }
        order.sort_by_key(|found| (Reverse(found.slots), Reverse(found.free_cpu)));
        let mut wanted = demand.waiting;
        for found in order {
            if wanted == 0 {
                return;
            }
            let tasks = found.most.min(wanted);
            wanted -= tasks;
            let spot = &mut spots[found.at];
            for _ in 0..tasks {
                spot.free = spot.free.minus(&demand.size);
            }
        }
    }
}
