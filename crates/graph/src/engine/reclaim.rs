//! Stops runs of less urgent queues for steps that found no room, and reserves that room.
//!
//! Gathers what the functions in `preemption` decide on, and carries out their plan.

use sycamore_types::Name;
use sycamore_types::resources::Resources;

use super::candidates::{Candidate, HostViews, Search};
use super::clearing;
use super::demand::Demand;
use super::preemption::{
    Claim, Occupant, Room, Taking, Victim, cost_core_ms, footprints, is_worth_it, may_take, plan,
    work_lost,
};
use super::reservations::Reservation;
use super::{Engine, Rank};
use crate::host::{Phase, Run};
use crate::progress::StepProgress;
use crate::timing::PreemptionTiming;
use crate::{Action, StepId, TaskId, Verdict};

/// Searches for runs to stop in one pass. Each looks at up to [`MAX_HOSTS`] hosts with their runs;
/// events wait while a pass runs.
const MAX_SEARCHES: u32 = 8;

/// Hosts that one search looks at, those with the most free CPU first, where the fewest runs have
/// to be stopped.
const MAX_HOSTS: usize = 64;

/// Tasks for which one search makes room, except for a gang, which needs room for all.
const MAX_TASKS: u32 = 32;

/// Pause of a step after a search that found no runs to stop, in milliseconds. Steps of lower rank
/// get a search meanwhile.
const FRUITLESS_SEARCH_PAUSE_MS: u64 = 50;

/// Time for which room stays reserved beyond the longest stop, in milliseconds: a stop request
/// that got no reply is repeated after 500 ms.
pub(super) const RESERVATION_MARGIN_MS: u64 = 1_000;

/// Divisor of the capacity. At most that part of it is being reclaimed at a time, since it does no
/// useful work meanwhile.
const RECLAIM_DIVISOR: u32 = 10;

impl Engine {
    /// Begins a pass: drops the reservations that have ended, and withholds the room of the
    /// others.
    pub(super) fn hold_reservations(&mut self, views: &mut HostViews) {
        let now_ms = self.now.monotonic_ms;
        let jobs = &self.jobs;
        let is_gang = |step_id: StepId| {
            let job = jobs.get(&step_id.job);
            let spec = job.and_then(|job| job.spec.steps.get(usize::from(step_id.index)));
            spec.is_some_and(|spec| spec.is_gang)
        };
        let is_valid = |step_id: StepId, one: &Reservation| {
            let step = jobs.get(&step_id.job).and_then(|job| job.step(step_id));
            let is_wanted = |step: &StepProgress| {
                !step.waiting.is_empty() && !step.advice.denied.contains(&one.number)
            };
            views.index_of(one.number).is_some() && step.is_some_and(is_wanted)
        };
        let expired = self.reservations.retain(now_ms, is_gang, is_valid);
        for (step, host) in expired {
            self.actions.push(Action::ReportUnusedReservation { step, host });
        }
        self.reservations.begin_pass(now_ms, MAX_SEARCHES, clearing::MAX_SEARCHES, views);
    }

    /// Stops runs of less urgent queues to make room for a step that found none.
    pub(super) fn take_room(&mut self, demand: &Demand, rank: Rank, views: &mut HostViews) {
        let Some(timing) = self.timing.preemption.clone() else { return };
        if let Some(plan) = self.plan_preemption(demand, rank, views, &timing) {
            if plan.is_empty() {
                let until_ms = self.now.monotonic_ms + FRUITLESS_SEARCH_PAUSE_MS;
                self.reservations.pause(demand.step_id, until_ms);
            }
            self.preempt(demand, plan, views, &timing);
        }
    }

    /// Returns the room to be taken for a step. `None` if it may not take any, or no search may be
    /// made for it now.
    fn plan_preemption(
        &mut self,
        demand: &Demand,
        rank: Rank,
        views: &HostViews,
        timing: &PreemptionTiming,
    ) -> Option<Vec<Taking>> {
        let step_id = demand.step_id;
        if self.reservations.searches_left == 0
            || self.reservations.is_paused(step_id)
            || demand.isolation.is_isolated()
            || demand.is_best_effort
        {
            return None;
        }
        let claim = self.claim(step_id, rank)?;
        let wanted = self.tasks_without_room(demand)?;
        let job = self.jobs.get(&step_id.job)?;
        let queue = self.queues.get(&job.queue)?;
        let (progress, spec) =
            (job.step(step_id)?, job.spec.steps.get(usize::from(step_id.index))?);
        // Hosts that advice is being asked about may have room.
        if !may_take(&claim, timing) || progress.advice.calls_in_flight > 0 {
            return None;
        }
        self.reservations.searches_left -= 1;
        let capacity = self.listed_capacity();
        let over_share = self.teams_over_share(&capacity);
        let search = Search::new(views, spec, progress, &queue.service, demand.isolation);
        let has_ticket = |candidate: &Candidate| {
            let ticket = progress.advice.allowed.get(&search.number(candidate));
            queue.advice.is_none()
                || ticket.is_some_and(|ticket| {
                    ticket.expires_ms > self.now.monotonic_ms + timing.stop_ms
                })
        };
        let room = |candidate: Candidate| {
            let view = &views[candidate.index];
            let host = self.hosts.get(&view.host)?;
            if view.has_isolated_run
                || self.reservations.has_other(step_id, view.number)
                || !has_ticket(&candidate)
            {
                return None;
            }
            let victim = |(key, run): (&(TaskId, u32), &Run)| {
                let lost_ms = work_lost(&self.occupant(*key, run)?, &claim, timing)?;
                Some(Victim {
                    run: *key,
                    footprint: run.footprint,
                    is_over_share: over_share.contains(&run.team),
                    lost_ms,
                    cost_core_ms: cost_core_ms(lost_ms, run.footprint.cpu_millis, timing),
                })
            };
            let victims: Vec<Victim> = host.runs.iter().filter_map(victim).collect();
            let has_use = !victims.is_empty() || candidate.fits_now > 0;
            let end = |run: &Run| {
                let elapsed_ms = self.now.monotonic_ms.saturating_sub(run.requested_ms);
                (run.estimate_ms.saturating_sub(elapsed_ms), run.footprint)
            };
            has_use.then(|| Room {
                index: candidate.index,
                free: view.free,
                overcommitted: host.used.minus(&host.entry.capacity),
                most_tasks: search.tasks_left(&candidate),
                victims,
                ends: host.runs.values().map(end).collect(),
            })
        };
        let most_hosts = if demand.is_gang { MAX_HOSTS.max(wanted as usize) } else { MAX_HOSTS };
        let rooms: Vec<Room> = search.with_full().filter_map(room).take(most_hosts).collect();
        if !is_worth_it(&claim, &rooms, &demand.footprint, timing) {
            return Some(Vec::new());
        }
        let budget = part_of(&capacity, RECLAIM_DIVISOR).minus(&self.reservations.yielding());
        Some(plan(rooms, &demand.footprint, wanted, demand.is_gang, budget))
    }

    fn claim(&self, step_id: StepId, rank: Rank) -> Option<Claim> {
        let job = self.jobs.get(&step_id.job)?;
        let spec = job.spec.steps.get(usize::from(step_id.index))?;
        let urgency = self.urgency(step_id)?;
        let path_ms = job.remaining_path_ms.get(usize::from(step_id.index)).copied()?;
        let due_ms = job.due_unix_ms(step_id.occurrence) as i64;
        let before_ms = job.critical_path_ms.saturating_sub(path_ms) as i64;
        Some(Claim {
            priority: rank.priority,
            is_hopeless: rank.is_hopeless,
            is_over_share: rank.is_over_share,
            slack_ms: rank.slack_ms,
            slack_at_arrival_ms: urgency.latest_start_unix_ms - due_ms - before_ms,
            estimate_ms: spec.estimate_ms,
        })
    }

    /// Returns for how many tasks of a step room is to be taken. `None` if there is none.
    pub(super) fn tasks_without_room(&self, demand: &Demand) -> Option<u32> {
        let step_id = demand.step_id;
        let job = self.jobs.get(&step_id.job)?;
        let waiting = job.step(step_id)?.waiting.len() as u32;
        let size = job.spec.steps.get(usize::from(step_id.index))?.size;
        let reserved = self.reservations.tasks(step_id);
        // Tasks for which room is reserved will count against the team's limit.
        let spare = self.tasks_within_limit(&job.team, &size);
        let limit = spare.saturating_sub(tasks_in(&self.reserved_for_team(&job.team), &size));
        let missing = waiting.saturating_sub(reserved);
        if demand.is_gang {
            return (reserved == 0 && missing > 0 && limit >= missing).then_some(missing);
        }
        Some(missing.min(limit).min(MAX_TASKS)).filter(|tasks| *tasks > 0)
    }

    fn reserved_for_team(&self, team: &Name) -> Resources {
        let is_of_team =
            |step_id: &StepId| self.jobs.get(&step_id.job).is_some_and(|job| job.team == *team);
        let of_team = self.reservations.steps().filter(|(step_id, _)| is_of_team(step_id));
        of_team
            .flat_map(|(_, all)| all)
            .fold(Resources::default(), |sum, one| sum.plus(&one.total()))
    }

    fn occupant(&self, (task, _): (TaskId, u32), run: &Run) -> Option<Occupant> {
        let now_ms = self.now.monotonic_ms;
        let job = self.jobs.get(&task.step.job).filter(|job| job.closed.is_none())?;
        let queue = self.queues.get(&job.queue)?;
        let spec = job.spec.steps.get(usize::from(task.step.index))?;
        let progress = job.step(task.step)?.tasks.get(task.index as usize)?;
        let elapsed_ms = now_ms.saturating_sub(run.requested_ms);
        let done_ms = (progress.saved_ms + elapsed_ms).min(run.estimate_ms);
        let latest_start_ms = self.urgency(task.step)?.latest_start_unix_ms;
        Some(Occupant {
            priority: queue.priority,
            is_there: run.phase == Phase::Running && run.is_confirmed,
            is_stopping: run.is_stopping,
            is_isolated: run.isolated_until_ms.is_some(),
            is_checkpointing: spec.is_checkpointing,
            is_service: spec.is_service,
            is_best_effort: spec.is_best_effort,
            is_gang: spec.is_gang,
            has_budget: spec.max_unavailable.is_some(),
            yields: progress.yields,
            estimate_ms: spec.estimate_ms,
            elapsed_ms,
            unsaved_ms: now_ms.saturating_sub(run.checkpoint_ms),
            slack_ms: latest_start_ms - self.now.unix_ms as i64 + done_ms as i64,
        })
    }

    /// Stops the victims of a plan and reserves the room.
    fn preempt(
        &mut self,
        demand: &Demand,
        plan: Vec<Taking>,
        views: &mut HostViews,
        timing: &PreemptionTiming,
    ) {
        let now_ms = self.now.monotonic_ms;
        let until_ms = now_ms + timing.stop_ms + RESERVATION_MARGIN_MS;
        let mut reserved = Vec::new();
        for taking in plan {
            let view = &views[taking.index];
            let (host, number) = (view.host.clone(), view.number);
            for victim in &taking.victims {
                self.preempt_run(demand.step_id, &host, victim);
            }
            let footprint = demand.footprint;
            reserved.push(Reservation::new(host, number, taking.tasks, footprint, until_ms));
        }
        if !reserved.is_empty() {
            self.reservations.add(demand.step_id, reserved, views);
        }
    }

    /// Stops a run for a more urgent step.
    pub(super) fn preempt_run(&mut self, beneficiary: StepId, host: &Name, victim: &Victim) {
        let Some(team) = self.stop_victim(host, victim) else { return };
        let (task, attempt) = victim.run;
        let (host, cost_core_ms) = (host.clone(), victim.cost_core_ms);
        let verdict = Verdict::Preempted { task, attempt, host, beneficiary, cost_core_ms };
        self.record_decision(team, verdict);
    }

    /// Stops a run that gives room to others. Returns its team, or `None` if its job is not known.
    pub(super) fn stop_victim(&mut self, host: &Name, victim: &Victim) -> Option<Name> {
        let now_ms = self.now.monotonic_ms;
        let (task, attempt) = victim.run;
        let requested_ms = self
            .hosts
            .get(host)
            .and_then(|host| host.runs.get(&victim.run))
            .map(|r| r.requested_ms);
        // A gang yields as a whole, which its first task counts.
        let counted = if self.is_gang(task.step) { 0 } else { task.index as usize };
        let job = self.jobs.get_mut(&task.step.job)?;
        let team = job.team.clone();
        let progress = job.step_mut(task.step).and_then(|step| step.tasks.get_mut(counted));
        if let Some(progress) = progress {
            let elapsed_ms = now_ms.saturating_sub(requested_ms.unwrap_or(now_ms));
            progress.yields += 1;
            progress.saved_ms += elapsed_ms.saturating_sub(victim.lost_ms);
        }
        self.reservations.add_yielding(victim.run, footprints(&[*victim]));
        self.stop_run(host, task, attempt);
        Some(team)
    }
}

/// Returns how many tasks of a size take up at least so many resources.
fn tasks_in(resources: &Resources, size: &Resources) -> u32 {
    let pairs = [
        (resources.cpu_millis, size.cpu_millis),
        (resources.memory_mib, size.memory_mib),
        (resources.accelerators, size.accelerators),
    ];
    let tasks = pairs.iter().filter(|(_, each)| *each > 0).map(|(all, each)| all.div_ceil(*each));
    tasks.max().unwrap_or(0)
}

fn part_of(resources: &Resources, divisor: u32) -> Resources {
    Resources {
        cpu_millis: resources.cpu_millis / divisor,
        memory_mib: resources.memory_mib / divisor,
        accelerators: resources.accelerators / divisor,
        slots: resources.slots / divisor,
        connections: resources.connections / divisor,
    }
}
