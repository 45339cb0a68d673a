//! Lends room that is kept for a waiting gang to other steps until the gang can start.
//!
//! A gang keeps the free room of the hosts that it is going to use, or small tasks would take it for
//! good. The rest of what it needs becomes free when the present runs end, which their durations tell
//! about: until then the room is idle. This is EASY backfilling (Lifka 1995; Mu'alem and Feitelson
//! 2001): tasks that should end before the gang can start use the room meanwhile. Others get it if
//! they have waited for long and most of the capacity is idle.
//!
//! Durations are estimates, so a run may stay for longer than it was lent the room. Once only such
//! runs are in the way of the gang for a time, they are stopped. So a gang waits for the runs that
//! began before it, and for a bounded time more.

use std::cmp::Reverse;

use sycamore_types::Name;
use sycamore_types::resources::Resources;

use super::Engine;
use super::candidates::{Candidate, HostView, HostViews, tasks_that_fit};
use super::demand::Demand;
use super::preemption::{MAX_YIELDS, Victim};
use super::reclaim::RESERVATION_MARGIN_MS;
use super::reservations::Reservation;
use crate::job::Step;
use crate::progress::StepProgress;
use crate::{StepId, TaskId, Verdict};

/// Multiple of their estimate that tasks are allowed for to end before a gang starts. Estimates are off
/// by a factor of two for some kinds of tasks.
const ESTIMATE_FACTOR: u64 = 2;

/// Wait after which tasks may use room that is kept for gangs even if they end later, in milliseconds.
/// The platform takes a job for lost that waits for 3 s while less than half of the capacity is in use.
const OVERDUE_MS: u64 = 1_500;

/// Part of the capacity in use from which room is lent only until a start that is far, and not to overdue
/// tasks.
pub(super) const BUSY_SHARE: f64 = 0.5;

/// Expected wait from which the start of a gang is far, in milliseconds. A gang that should start sooner
/// keeps its room while other capacity is in use: it may start earlier than expected, and would wait for
/// the tasks in its room.
const FAR_START_MS: u64 = 10_000;

/// Time for which only runs on lent room may be in the way of a gang, in milliseconds. Most have ended by
/// themselves then.
const RECALL_AFTER_MS: u64 = 3_000;

/// What decides whether a step gets room that is kept for gangs.
#[derive(Clone, Copy, Debug)]
pub(super) struct Borrower {
    /// Time by which its tasks should have ended if they start now, in milliseconds. The largest value
    /// if that is not known.
    pub end_ms: u64,
    /// Time from which on the start of a gang is far, in milliseconds.
    pub far_ms: u64,
    /// The tasks have waited for long.
    pub is_overdue: bool,
}

impl Borrower {
    /// Gets no such room.
    pub const NONE: Borrower = Borrower { end_ms: u64::MAX, far_ms: u64::MAX, is_overdue: false };

    pub fn new(spec: &Step, progress: &StepProgress, now_ms: u64) -> Borrower {
        let is_bounded = spec.estimate_ms > 0 && !spec.is_service;
        let end_ms = now_ms.saturating_add(spec.estimate_ms.saturating_mul(ESTIMATE_FACTOR));
        let waited_ms =
            progress.waiting_since_ms.map_or(0, |since_ms| now_ms.saturating_sub(since_ms));
        Borrower {
            end_ms: if is_bounded { end_ms } else { u64::MAX },
            far_ms: now_ms + FAR_START_MS,
            is_overdue: waited_ms >= OVERDUE_MS,
        }
    }
}

impl Engine {
    /// Returns the time at which the room of a waiting gang should be free, in milliseconds. The hosts
    /// are given with the number of its tasks on each.
    pub(super) fn expected_start_ms(
        &self,
        hosts: &[(usize, u32)],
        size: &Resources,
        views: &HostViews,
    ) -> u64 {
        let free_ms = |(at, tasks): &(usize, u32)| self.expected_room_ms(&views[*at], *tasks, size);
        hosts.iter().map(free_ms).max().unwrap_or(self.now.monotonic_ms)
    }

    /// Returns the time at which a host should have room for some tasks, in milliseconds.
    fn expected_room_ms(&self, view: &HostView, tasks: u32, size: &Resources) -> u64 {
        let now_ms = self.now.monotonic_ms;
        let Some(host) = self.hosts.get(&view.host) else { return now_ms };
        let runs = host.runs.values().filter(|run| !run.is_service);
        let mut ends: Vec<(u64, Resources)> = runs
            .map(|run| (now_ms.saturating_add(run.expected_rest_ms(now_ms)), run.footprint))
            .collect();
        ends.sort_unstable();
        let (mut free, mut free_ms) = (view.free, now_ms);
        for (end_ms, footprint) in ends {
            if tasks_that_fit(size, &free) >= tasks {
                break;
            }
            free = free.plus(&footprint);
            free_ms = end_ms;
        }
        free_ms
    }

    /// Returns whether a run on lent room may be stopped for the gang that the room is kept for.
    pub(super) fn is_recallable(&self, task: TaskId) -> bool {
        let Some(job) = self.jobs.get(&task.step.job) else { return false };
        let Some(spec) = job.spec.steps.get(usize::from(task.step.index)) else { return false };
        let counted = if spec.is_gang { 0 } else { task.index as usize };
        let counted = job.step(task.step).and_then(|step| step.tasks.get(counted));
        let has_yielded = counted.is_none_or(|task| task.yields >= MAX_YIELDS);
        !spec.is_service && spec.max_unavailable.is_none() && !has_yielded
    }

    /// Stops runs on lent room that a gang needs and reserves it, once only such runs have been in the way
    /// of the gang for [`RECALL_AFTER_MS`].
    pub(super) fn recall_room(
        &mut self,
        demand: &Demand,
        candidates: &[Candidate],
        views: &mut HostViews,
    ) {
        let now_ms = self.now.monotonic_ms;
        let plan = self.plan_recall(demand, candidates, views);
        let step_id = demand.step_id;
        let Some(step) = self.jobs.get_mut(&step_id.job).and_then(|job| job.step_mut(step_id))
        else {
            return;
        };
        if plan.is_empty() {
            step.only_loans_since_ms = None;
            return;
        }
        if now_ms < *step.only_loans_since_ms.get_or_insert(now_ms) + RECALL_AFTER_MS {
            return;
        }
        step.only_loans_since_ms = None;
        let stop_ms = self.timing.preemption.as_ref().map_or(0, |timing| timing.stop_ms);
        let until_ms = now_ms + stop_ms + RESERVATION_MARGIN_MS;
        let mut reserved = Vec::new();
        for (index, tasks) in plan {
            let view = &views[index];
            let (host, number, free) = (view.host.clone(), view.number, view.free);
            self.recall_from(step_id, &host, free, tasks, &demand.footprint);
            reserved.push(Reservation::new(host, number, tasks, demand.footprint, until_ms));
        }
        self.reservations.add(step_id, reserved, views);
    }

    /// Returns the hosts on which a gang would fit without the runs on lent room, as indices with the
    /// number of its tasks on each. Empty if other runs are in its way, or none.
    fn plan_recall(
        &self,
        demand: &Demand,
        candidates: &[Candidate],
        views: &HostViews,
    ) -> Vec<(usize, u32)> {
        let now_ms = self.now.monotonic_ms;
        let mut wanted = demand.waiting;
        let mut has_overdue_loans = false;
        let mut plan = Vec::new();
        for candidate in candidates {
            let view = &views[candidate.index];
            let Some(host) = self.hosts.get(&view.host) else { continue };
            if self.reservations.has_other(demand.step_id, view.number) {
                continue;
            }
            let (loans, is_any_over) = host.loans(now_ms);
            let room = view.free.plus(&loans);
            let tasks = tasks_that_fit(&demand.footprint, &room).min(candidate.fits_idle);
            let tasks = tasks.min(wanted);
            has_overdue_loans |= tasks > candidate.fits_now && is_any_over;
            wanted -= tasks;
            if tasks > 0 {
                plan.push((candidate.index, tasks));
            }
            if wanted == 0 {
                break;
            }
        }
        if wanted == 0 && has_overdue_loans { plan } else { Vec::new() }
    }

    /// Stops as many runs on lent room of a host as have to end for some tasks of a gang to fit, the
    /// youngest first.
    fn recall_from(
        &mut self,
        beneficiary: StepId,
        name: &Name,
        mut free: Resources,
        tasks: u32,
        size: &Resources,
    ) {
        let now_ms = self.now.monotonic_ms;
        let Some(host) = self.hosts.get(name) else { return };
        let lent = host.runs.iter().filter(|(_, run)| run.is_loan_over(now_ms));
        // Those that are being stopped anyway come first.
        let mut lent: Vec<(bool, Reverse<u64>, (TaskId, u32))> =
            lent.map(|(key, run)| (!run.is_stopping, Reverse(run.requested_ms), *key)).collect();
        lent.sort_unstable();
        for (_, Reverse(requested_ms), run) in lent {
            if tasks_that_fit(size, &free) >= tasks {
                break;
            }
            let host = self.hosts.get(name);
            let Some(known) = host.and_then(|host| host.runs.get(&run)) else { continue };
            let footprint = known.footprint;
            free = free.plus(&footprint);
            // The stop of another member may have stopped a whole gang.
            if known.is_stopping {
                continue;
            }
            let lost_ms = now_ms.saturating_sub(requested_ms);
            let cost_core_ms = lost_ms * u64::from(footprint.cpu_millis) / 1_000;
            let victim = Victim { run, footprint, is_over_share: false, lost_ms, cost_core_ms };
            self.recall(beneficiary, name, &victim);
        }
    }

    fn recall(&mut self, beneficiary: StepId, name: &Name, victim: &Victim) {
        let Some(team) = self.stop_victim(name, victim) else { return };
        let (task, attempt) = victim.run;
        self.stop_gang(task, attempt);
        let (host, cost_core_ms) = (name.clone(), victim.cost_core_ms);
        let verdict = Verdict::Recalled { task, attempt, host, beneficiary, cost_core_ms };
        self.record_decision(team, verdict);
    }
}
