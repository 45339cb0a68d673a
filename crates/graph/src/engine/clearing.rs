//! Clears hosts of best-effort runs for tasks with a latency objective.
//!
//! The two never share a host, and best-effort tasks are spread over all hosts that have no task
//! with an objective. A task with an objective that comes later, or whose host is lost, would find
//! no host for as long as they run. Needs none of the settings of preemption.

use std::collections::{BTreeMap, BTreeSet};

use rustc_hash::FxHashSet;
use sycamore_types::resources::Resources;

use super::Engine;
use super::candidates::{Candidate, HostViews, Search, tasks_that_fit};
use super::demand::Demand;
use super::preemption::Victim;
use super::reservations::Reservation;
use crate::host::{Phase, Run};
use crate::{StepId, TaskId};

/// Time for which a step waits for a host without best-effort tasks before one is cleared, in
/// milliseconds. A host that is new to the list, which is read every 500 ms, or that was closed for
/// 300 ms after it had rejected a start, may have room by then.
const CLEARING_DELAY_MS: u64 = 500;

/// Time for which a host is kept for the step that it is cleared for, in milliseconds. Stops take up
/// to 400 ms by the platform's documentation, and one without a reply is repeated after 500 ms.
const RESERVATION_MS: u64 = 3_000;

/// Time after the start of a task on a cleared host before another one is cleared for the same task,
/// in milliseconds. A task that fails again and again would stop the work of one host after another.
const CLEARING_PAUSE_MS: u64 = 5_000;

/// Divisor of the number of hosts. At most that part of them is kept for steps at a time, and one at
/// least. A gang, which needs room for all members, may exceed it if no other host is cleared.
const HOSTS_DIVISOR: u32 = 10;

/// Searches for hosts to clear in one pass. Each looks at up to [`MAX_HOSTS`] hosts with their runs;
/// events wait while a pass runs.
pub(super) const MAX_SEARCHES: u32 = 8;

/// Hosts that one search compares, those with the most free CPU first.
const MAX_HOSTS: usize = 64;

/// Pause of a step after a search that found no host to clear, in milliseconds. Steps of lower rank
/// get a search meanwhile.
const FRUITLESS_SEARCH_PAUSE_MS: u64 = 100;

/// Time that a stop costs beyond the work that is lost, in milliseconds: the order, and the start on
/// another host. Among hosts with equal losses, the one with the fewest runs is cleared.
const RESTART_MS: u64 = 500;

/// Progress of a task that is at work, in percent, by the platform's documentation.
const AT_WORK_PERCENT: u8 = 100;

/// A host that a step could use without its best-effort runs.
struct Offer {
    /// Index of the host in the pass's views.
    index: usize,
    /// Number of the host.
    number: u32,
    /// Tasks of the step that fit then, beside those that room is reserved for.
    tasks: u32,
    /// Runs that have to be stopped.
    stops: Vec<Victim>,
    price: Price,
}

/// What the use of a host costs. Smaller is better.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Price {
    /// The host has best-effort runs and is not being cleared yet.
    is_new: bool,
    /// The queue needs advice, and it has not been given for the host.
    lacks_advice: bool,
    is_avoided: bool,
    /// A run may crash the host.
    has_isolated_run: bool,
    /// It is not certain that the host has all of the best-effort runs, so that their end takes long
    /// to show.
    is_uncertain: bool,
    is_slow: bool,
    is_far: bool,
    /// Work that is lost and time to start again, in core-milliseconds.
    cost_core_ms: u64,
}

/// Tasks of steps with a disruption budget that are not at work, by step.
type Absences = BTreeMap<StepId, BTreeSet<u32>>;

impl Engine {
    /// Clears hosts for a step with a latency objective if best-effort tasks have kept it from all
    /// hosts with enough room for some time.
    pub(super) fn clear_hosts(&mut self, demand: &Demand, views: &mut HostViews) {
        if !demand.has_objective || demand.is_best_effort {
            return;
        }
        let now_ms = self.now.monotonic_ms;
        let step_id = demand.step_id;
        let tasks = self.tasks_to_clear_for(demand).unwrap_or(0);
        let is_crowded = tasks > 0 && !self.has_room_now(demand, tasks, views);
        let step = self.jobs.get_mut(&step_id.job).and_then(|job| job.step_mut(step_id));
        let Some(step) = step else { return };
        if !is_crowded {
            step.crowded_since_ms = None;
            return;
        }
        let since_ms = *step.crowded_since_ms.get_or_insert(now_ms);
        if now_ms < (since_ms + CLEARING_DELAY_MS).max(step.clearing_not_before_ms)
            || !self.reservations.take_clearing(step_id)
        {
            return;
        }
        let plan = self.plan_clearing(demand, tasks, views).unwrap_or_default();
        if plan.is_empty() {
            self.reservations.add_not_cleared(step_id);
            let step = self.jobs.get_mut(&step_id.job).and_then(|job| job.step_mut(step_id));
            if let Some(step) = step {
                step.clearing_not_before_ms = now_ms + FRUITLESS_SEARCH_PAUSE_MS;
            }
            return;
        }
        let until_ms = now_ms + RESERVATION_MS;
        let mut reserved = Vec::new();
        for offer in plan {
            let host = views[offer.index].host.clone();
            for victim in &offer.stops {
                self.preempt_run(step_id, &host, victim);
            }
            let (number, footprint) = (offer.number, demand.footprint);
            let reservation = Reservation::new(host, number, offer.tasks, footprint, until_ms);
            reserved.push(reservation.without_best_effort());
        }
        self.reservations.add(step_id, reserved, views);
    }

    /// Returns for how many tasks of a step hosts may be cleared. `None` if there is none.
    fn tasks_to_clear_for(&self, demand: &Demand) -> Option<u32> {
        let now_ms = self.now.monotonic_ms;
        let tasks = self.tasks_without_room(demand)?.min(demand.waiting);
        let job = self.jobs.get(&demand.step_id.job).filter(|job| job.is_durable)?;
        let step = job.step(demand.step_id)?;
        let is_recent = |index: &&u32| {
            let cleared_ms = step.tasks[**index as usize].cleared_ms;
            cleared_ms.is_some_and(|cleared_ms| now_ms < cleared_ms + CLEARING_PAUSE_MS)
        };
        let recent = step.waiting.iter().filter(is_recent).count() as u32;
        if demand.is_gang && recent > 0 {
            return None;
        }
        Some(tasks.saturating_sub(recent))
    }

    /// Returns whether hosts without best-effort tasks have room for a task of a step now, or for
    /// all tasks of a gang.
    fn has_room_now(&self, demand: &Demand, tasks: u32, views: &HostViews) -> bool {
        let step_id = demand.step_id;
        let Some(job) = self.jobs.get(&step_id.job) else { return false };
        let Some(queue) = self.queues.get(&job.queue) else { return false };
        let Some(progress) = job.step(step_id) else { return false };
        let spec = &job.spec.steps[usize::from(step_id.index)];
        let search = Search::new(views, spec, progress, &queue.service, demand.isolation);
        if !demand.is_gang {
            return search.has_room();
        }
        let denied = &progress.advice.denied;
        let all = search.all().into_iter();
        let open = all.filter(|candidate| !denied.contains(&search.number(candidate)));
        open.map(|candidate| candidate.fits_now).sum::<u32>() >= tasks
    }

    /// Returns the hosts to be used for up to `tasks` tasks, or for exactly so many of a gang.
    fn plan_clearing(&self, demand: &Demand, tasks: u32, views: &HostViews) -> Option<Vec<Offer>> {
        let step_id = demand.step_id;
        let job = self.jobs.get(&step_id.job)?;
        let queue = self.queues.get(&job.queue)?;
        let (progress, spec) =
            (job.step(step_id)?, job.spec.steps.get(usize::from(step_id.index))?);
        let search = Search::new(views, spec, progress, &queue.service, demand.isolation);
        let cleared = self.reservations.cleared_hosts();
        let lacks_advice =
            |number: &u32| queue.advice.is_some() && !progress.advice.allowed.contains_key(number);
        let offer = |candidate: Candidate| {
            let number = search.number(&candidate);
            if progress.advice.denied.contains(&number) {
                return None;
            }
            let lacks_advice = lacks_advice(&number);
            self.offer(demand, &search, candidate, views, &cleared, lacks_advice)
        };
        let most_hosts = if demand.is_gang { usize::MAX } else { MAX_HOSTS };
        let offers = search.with_best_effort().filter_map(offer);
        let mut offers: Vec<Offer> = offers.take(most_hosts).collect();
        offers.sort_by_key(|offer| offer.price);
        let limit = (self.totals.listed() / HOSTS_DIVISOR).max(1);
        let mut hosts_left = limit.saturating_sub(cleared.len() as u32);
        if demand.is_gang && cleared.is_empty() {
            hosts_left = tasks;
        }
        let mut plan = Vec::new();
        let mut missing = tasks;
        let mut absences = Absences::new();
        for offer in offers {
            if missing == 0 {
                break;
            }
            let is_over = offer.price.is_new && hosts_left == 0;
            if is_over || !self.is_within_budgets(&offer.stops, &mut absences) {
                continue;
            }
            hosts_left -= u32::from(offer.price.is_new);
            let tasks = offer.tasks.min(missing);
            missing -= tasks;
            plan.push(Offer { tasks, ..offer });
            // A suspect starts on one host at a time.
            if demand.isolation.is_isolated() && !demand.is_gang {
                break;
            }
        }
        (!demand.is_gang || missing == 0).then_some(plan)
    }

    /// Returns how a step could use a host. `None` if it could not, even without the best-effort
    /// runs.
    fn offer(
        &self,
        demand: &Demand,
        search: &Search<'_>,
        candidate: Candidate,
        views: &HostViews,
        cleared: &FxHashSet<u32>,
        lacks_advice: bool,
    ) -> Option<Offer> {
        let view = &views[candidate.index];
        let host = self.hosts.get(&view.host)?;
        let runs = || host.runs.iter().filter(|(_, run)| run.is_best_effort);
        let released = runs().fold(Resources::default(), |sum, (_, run)| sum.plus(&run.footprint));
        // What the runs free pays first for what the host has too little.
        let released = released.minus(&host.used.minus(&host.entry.capacity));
        let reserved = self.reservations.outstanding(view.number);
        let free = view.free.plus(&released).minus(&reserved);
        let own = self.reservations.tasks_on(demand.step_id, view.number);
        let most = search.tasks_left(&candidate).saturating_sub(own);
        let tasks = tasks_that_fit(&demand.footprint, &free).min(most);
        if tasks == 0 {
            return None;
        }
        let not_stopped = runs().filter(|(_, run)| !run.is_stopping);
        let victim =
            |((task, attempt), run): (&(TaskId, u32), &Run)| self.victim(*task, *attempt, run);
        let stops: Vec<Victim> = not_stopped.filter_map(victim).collect();
        let is_uncertain = |run: &Run| run.phase != Phase::Running || run.is_carried_over;
        let price = Price {
            is_new: runs().next().is_some() && !cleared.contains(&view.number),
            lacks_advice,
            is_avoided: candidate.is_avoided,
            has_isolated_run: view.has_isolated_run,
            is_uncertain: runs().any(|(_, run)| is_uncertain(run)),
            is_slow: candidate.is_slow,
            is_far: !candidate.is_near,
            cost_core_ms: stops.iter().map(|victim| victim.cost_core_ms).sum(),
        };
        Some(Offer { index: candidate.index, number: view.number, tasks, stops, price })
    }

    /// Returns what the stop of a best-effort run costs. A gang loses the work of all members.
    fn victim(&self, task: TaskId, attempt: u32, run: &Run) -> Option<Victim> {
        let spec = self.jobs.get(&task.step.job)?.spec.steps.get(usize::from(task.step.index))?;
        let now_ms = self.now.monotonic_ms;
        let lost_ms = match spec {
            spec if spec.is_service => 0,
            spec if spec.is_checkpointing => now_ms.saturating_sub(run.checkpoint_ms),
            _ => now_ms.saturating_sub(run.requested_ms),
        };
        let members = if spec.is_gang { u64::from(spec.tasks) } else { 1 };
        let cpu_millis = u64::from(run.size.cpu_millis.max(1)) * members;
        Some(Victim {
            run: (task, attempt),
            footprint: run.footprint,
            is_over_share: false,
            lost_ms,
            cost_core_ms: (lost_ms + RESTART_MS) * cpu_millis / 1_000,
        })
    }

    /// Returns whether the disruption budgets allow some stops beside those in `absences`, and adds
    /// them to it if they do.
    fn is_within_budgets(&self, stops: &[Victim], absences: &mut Absences) -> bool {
        let mut with_stops = absences.clone();
        let mut budgets = BTreeMap::new();
        for victim in stops {
            let (task, _) = victim.run;
            let Some(job) = self.jobs.get(&task.step.job) else { continue };
            let spec = &job.spec.steps[usize::from(task.step.index)];
            let Some(most) = spec.max_unavailable else { continue };
            budgets.insert(task.step, most);
            let absent =
                with_stops.entry(task.step).or_insert_with(|| self.absent_tasks(task.step));
            if spec.is_gang {
                absent.extend(0..spec.tasks);
            } else {
                absent.insert(task.index);
            }
        }
        let is_kept =
            |(step_id, most): (&StepId, &u32)| with_stops[step_id].len() <= *most as usize;
        let are_kept = budgets.iter().all(is_kept);
        if are_kept {
            *absences = with_stops;
        }
        are_kept
    }

    /// Returns the tasks of a step that are not known to be at work: that is shown by a report of
    /// 100 percent.
    fn absent_tasks(&self, step_id: StepId) -> BTreeSet<u32> {
        let Some(step) = self.jobs.get(&step_id.job).and_then(|job| job.step(step_id)) else {
            return BTreeSet::new();
        };
        let is_at_work = |index: u32| {
            let task = TaskId { step: step_id, index };
            step.tasks[index as usize].runs.iter().any(|(name, attempt)| {
                let host = self.hosts.get(name).filter(|host| host.missed_polls == 0);
                let run = host.and_then(|host| host.runs.get(&(task, *attempt)));
                run.is_some_and(|run| {
                    run.is_confirmed && !run.is_stopping && run.percent >= AT_WORK_PERCENT
                })
            })
        };
        (0..step.tasks.len() as u32).filter(|index| !is_at_work(*index)).collect()
    }
}
