//! Starts waiting tasks, in order of rank.
//!
//! A gang that doesn't fit yet reserves capacity within the pass, so that smaller steps
//! can't starve it. A pass is bounded, because events wait while it runs: it looks at all
//! steps whose start still has value, and at a slice of the others.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use sycamore_types::Name;
use sycamore_types::resources::Resources;

use super::backlog::Shares;
use super::candidates::{Candidate, HostViews, Search};
use super::demand::Demand;
use super::isolation::suspects;
use super::lending::Borrower;
use super::placement::{plan_isolated, plan_placement};
use super::{Engine, Rank};
use crate::progress::{Job, StepProgress};
use crate::{Grounds, StepId, TaskId, Verdict, WaitReason};

/// Unsuccessful searches of all hosts after which a pass looks at no further step by rank. With
/// hundreds of hosts, a longer pass would make callers wait for the control thread.
const MAX_FAILED_SEARCHES: u32 = 200;

/// Steps that a pass looks at in turn of those that it has not reached by rank. Otherwise the first ones
/// could keep all others from hosts that only these may use.
const UNREACHED_SLICE: usize = 50;

/// Hopeless steps that a pass looks at. At 20 passes a second, the least that ticks cause,
/// a thousand are looked at each second.
const HOPELESS_SLICE: usize = 50;

/// Most of a service's capacity that waiting gangs hold idle together, but for the first of them. The
/// platform takes a job for lost that waits for 3 s while less than half of the capacity is in use.
const MAX_SHARE_KEPT_FOR_GANGS: f64 = 0.4;

/// Wait after which a gang goes before steps of higher rank, in milliseconds. Otherwise these could take
/// the room that it needs one after the other, and it would wait for as long as they come. Only gangs that
/// need no advice do: the others have turns for their calls.
const CLAIM_AFTER_MS: u64 = 15_000;

/// Gangs that a pass looks at for that. One of them gets or keeps room.
const CLAIMANTS_PER_PASS: usize = 4;

/// One pass over the waiting steps.
struct Pass {
    /// Number of waiting steps.
    waiting: u32,
    /// Total capacity of the listed hosts.
    capacity: Resources,
    /// Number of steps looked at so far.
    place: u32,
    /// The hosts of evacuated failure domains.
    evacuated: HostViews,
    /// Number of unsuccessful searches so far.
    failed_searches: u32,
    /// Gangs that the pass has looked at before the steps of higher rank.
    claimants: Vec<StepId>,
}

/// Position of a step within one pass, kept for the audit records.
struct PassPosition {
    rank: Rank,
    /// Place among the waiting steps, from 1.
    place: u32,
    /// Number of waiting steps.
    waiting: u32,
    /// Total capacity of the listed hosts.
    capacity: Resources,
    /// Time for which the step has waited for its turn to call for advice, if that decided its place, in
    /// milliseconds.
    turn_wait_ms: Option<u64>,
    /// Time for which the gang has waited, if that decided its place, in milliseconds.
    claim_wait_ms: Option<u64>,
}

impl PassPosition {
    /// Returns the position of the step that the pass has come to, by its rank.
    fn new(rank: Rank, pass: &Pass) -> PassPosition {
        let Pass { waiting, capacity, place, .. } = *pass;
        PassPosition { rank, place, waiting, capacity, turn_wait_ms: None, claim_wait_ms: None }
    }
}

/// Returns the waiting tasks of a step that may start now, in order: only the suspects if the step is
/// isolated because of them, and a gang as a whole, its suspects first so that they share hosts.
fn startable_tasks(job: &Job, step: &StepProgress, demand: &Demand) -> Vec<u32> {
    if !demand.isolation.is_for_suspects() {
        return step.waiting.iter().copied().collect();
    }
    let mut tasks = suspects(job, demand.step_id, step);
    if demand.is_gang {
        let others = step.waiting.iter().copied().filter(|index| !tasks.contains(index));
        let others: Vec<u32> = others.collect();
        tasks.extend(others);
    }
    tasks
}

impl Engine {
    pub(super) fn start_waiting_tasks(&mut self) {
        if self.backlog.is_empty() {
            return;
        }
        let now_unix_ms = self.now.unix_ms;
        let expired = self.backlog.expire(now_unix_ms);
        self.add_to_turns(expired);
        let mut views = self.host_views();
        let evacuated = self.evacuated_views();
        self.hold_reservations(&mut views);
        let capacity = self.listed_capacity();
        let shares = self.shares(&capacity);
        self.count_pass_of_refusals();
        let live = self.backlog.ranked(now_unix_ms, &shares);
        let hopeless = self.hopeless_order(&shares);
        let waiting = self.backlog.len() as u32;
        let claimants = Vec::new();
        let mut pass =
            Pass { waiting, capacity, place: 0, evacuated, failed_searches: 0, claimants };
        self.look_at_claimants(&shares, &mut pass, &mut views);
        let mut looked_at = 0;
        for (rank, step_id) in &live {
            if pass.failed_searches >= MAX_FAILED_SEARCHES {
                break;
            }
            looked_at += 1;
            self.look_at(*step_id, *rank, None, &mut pass, &mut views);
        }
        for (rank, step_id) in self.backlog.next_unreached(&live[looked_at..], UNREACHED_SLICE) {
            self.look_at(step_id, rank, None, &mut pass, &mut views);
        }
        for (rank, step_id, turn_wait_ms) in hopeless {
            self.look_at(step_id, rank, turn_wait_ms, &mut pass, &mut views);
        }
        self.keep_host_views(views);
    }

    /// Looks at gangs that have waited for so long that they go before steps of higher rank, until one
    /// has got room or keeps some.
    fn look_at_claimants(&mut self, shares: &Shares, pass: &mut Pass, views: &mut HostViews) {
        let now_ms = self.now.monotonic_ms;
        let Some(until_ms) = now_ms.checked_sub(CLAIM_AFTER_MS) else { return };
        for (since_ms, step_id) in self.backlog.longest_waiting_gangs(CLAIMANTS_PER_PASS, until_ms)
        {
            let Some(rank) = self.backlog.rank(step_id, self.now.unix_ms, shares) else { continue };
            pass.place += 1;
            let position = PassPosition {
                claim_wait_ms: Some(now_ms - since_ms),
                ..PassPosition::new(rank, pass)
            };
            let (_, kept_before) = views.free_and_kept_cpu();
            self.look_at_position(step_id, &position, pass, views);
            pass.claimants.push(step_id);
            let has_started = self.backlog.rank(step_id, self.now.unix_ms, shares).is_none();
            let (_, kept) = views.free_and_kept_cpu();
            if has_started || kept > kept_before || self.reservations.tasks(step_id) > 0 {
                break;
            }
            self.backlog.skip_gang(since_ms, step_id);
        }
    }

    /// Starts as many tasks of a step as possible, and records why the others wait.
    fn look_at(
        &mut self,
        step_id: StepId,
        rank: Rank,
        turn_wait_ms: Option<u64>,
        pass: &mut Pass,
        views: &mut HostViews,
    ) {
        pass.place += 1;
        if !pass.claimants.contains(&step_id) {
            let position = PassPosition { turn_wait_ms, ..PassPosition::new(rank, pass) };
            self.look_at_position(step_id, &position, pass, views);
        }
    }

    fn look_at_position(
        &mut self,
        step_id: StepId,
        position: &PassPosition,
        pass: &mut Pass,
        views: &mut HostViews,
    ) {
        self.reservations.release(step_id, views);
        let reason = self.start_step(step_id, position, views, &mut pass.failed_searches);
        let reason = match reason {
            Some(WaitReason::NoRoom) => Some(self.room_wait_reason(step_id, &pass.evacuated)),
            other => other,
        };
        self.reservations.settle(step_id, reason.is_some(), views);
        if let Some(step) = self.jobs.get_mut(&step_id.job).and_then(|job| job.step_mut(step_id)) {
            step.wait_reason = reason;
            step.wait_times.record(reason, self.now.monotonic_ms);
        }
    }

    /// Returns the hopeless steps that a pass looks at, in order: those whose wait for a call decides
    /// their place, with that wait in milliseconds, and a slice of the others.
    fn hopeless_order(&mut self, shares: &Shares) -> Vec<(Rank, StepId, Option<u64>)> {
        let now_unix_ms = self.now.unix_ms;
        let turns = self.next_turns();
        let in_turn: BTreeSet<StepId> = turns.iter().map(|(step_id, _)| *step_id).collect();
        let others = self.backlog.next_hopeless(HOPELESS_SLICE, now_unix_ms, shares);
        let others = others.into_iter().filter(|(_, step_id)| !in_turn.contains(step_id));
        let turns = turns.into_iter().filter_map(|(step_id, wait_ms)| {
            let rank = self.backlog.hopeless_rank(step_id, now_unix_ms, shares)?;
            Some((rank, step_id, Some(wait_ms)))
        });
        turns.chain(others.map(|(rank, step_id)| (rank, step_id, None))).collect()
    }

    /// Starts as many tasks of a step as possible. Returns why the others wait.
    ///
    /// Cheap checks that reject most waiting steps come before any search of the hosts:
    /// with a thousand waiting steps and hundreds of hosts, searches for all of them would
    /// delay everything else.
    fn start_step(
        &mut self,
        step_id: StepId,
        position: &PassPosition,
        views: &mut HostViews,
        failed_searches: &mut u32,
    ) -> Option<WaitReason> {
        if !self.may_start_tasks() {
            return Some(WaitReason::Unconfirmed);
        }
        let demand = match self.demand(step_id, position)? {
            Ok(demand) => demand,
            Err(reason) => return Some(reason),
        };
        if views.are_all_undated() {
            return Some(WaitReason::ListTooOld);
        }
        if !views.has_isolated_host_left(demand.isolation) {
            return Some(WaitReason::IsolatedHostsBusy);
        }
        if !demand.is_gang && !views.may_fit(&demand.footprint) {
            self.take_room(&demand, position.rank, views);
            self.clear_hosts(&demand, views);
            return Some(views.no_room_reason(&demand.footprint));
        }
        if let Some(reason) = self.advice_wait_reason(&demand, views) {
            if demand.is_gang {
                *failed_searches += 1;
                self.reserve_capacity(&demand, views);
            }
            return Some(reason);
        }
        let reason = self.search_hosts(&demand, position, views);
        *failed_searches += u32::from(reason.is_some());
        reason
    }

    /// Returns the requirements of a step, or why none of its tasks may be started.
    fn demand(
        &self,
        step_id: StepId,
        position: &PassPosition,
    ) -> Option<Result<Demand, WaitReason>> {
        let job = self.jobs.get(&step_id.job)?;
        let (progress, spec) =
            (job.step(step_id)?, job.spec.steps.get(usize::from(step_id.index))?);
        // Until all hosts of the previous owner are accounted for, a task of an older job
        // may have a run that no report has shown.
        if job.is_recovered && self.is_recovering {
            return Some(Err(WaitReason::Recovering));
        }
        let waiting = progress.waiting.len() as u32;
        if waiting == 0 || (spec.is_gang && waiting < spec.tasks) {
            return Some(Err(WaitReason::GangEnding));
        }
        if self.is_held_by_unreported_end(step_id) {
            return Some(Err(WaitReason::EndUnreported));
        }
        let isolation = match self.isolation(job, step_id, progress) {
            Ok(isolation) => isolation,
            Err(reason) => return Some(Err(reason)),
        };
        let waiting = if isolation.is_for_suspects() && !spec.is_gang {
            suspects(job, step_id, progress).len() as u32
        } else {
            waiting
        };
        let within_limit = self.tasks_within_limit(&job.team, &spec.size);
        if within_limit == 0 || (spec.is_gang && within_limit < waiting) {
            return Some(Err(WaitReason::TeamLimit));
        }
        Some(Ok(Demand {
            step_id,
            is_gang: spec.is_gang,
            prefers_one_rack: spec.prefers_one_rack,
            footprint: spec.footprint(),
            has_objective: spec.latency_objective_ms > 0,
            is_best_effort: spec.is_best_effort,
            isolation,
            borrower: Borrower::new(spec, progress, self.now.monotonic_ms),
            is_hopeless: position.rank.is_hopeless,
            is_in_turn: position.turn_wait_ms.is_some(),
            waiting,
            within_limit,
        }))
    }

    /// Searches all hosts for one step and starts the tasks that fit. Returns why the
    /// others wait.
    fn search_hosts(
        &mut self,
        demand: &Demand,
        position: &PassPosition,
        views: &mut HostViews,
    ) -> Option<WaitReason> {
        let step_id = demand.step_id;
        let job = self.jobs.get(&step_id.job)?;
        let queue = self.queues.get(&job.queue)?;
        let (progress, spec) =
            (job.step(step_id)?, job.spec.steps.get(usize::from(step_id.index))?);
        let is_durable = job.is_durable;
        let search = Search::new(views, spec, progress, &queue.service, demand.isolation)
            .with_loans(demand.borrower);
        let ready = match queue.advice {
            None => search.all(),
            Some(cost) => {
                let (ready, asked) = self.advised_candidates(demand, cost, &search);
                if let Some(hosts) = asked {
                    self.request_advice(demand, hosts, cost);
                }
                ready
            }
        };
        let is_placed = is_durable && self.place_tasks(demand, position, ready, views);
        if is_durable {
            self.take_room(demand, position.rank, views);
            self.clear_hosts(demand, views);
        }
        if demand.is_gang && !is_placed && self.reservations.tasks(step_id) == 0 {
            self.reserve_capacity(demand, views);
        }
        let step = self.jobs.get(&step_id.job)?.step(step_id)?;
        match step {
            step if step.waiting.is_empty() => None,
            _ if !is_durable => Some(WaitReason::NotDurable),
            step if step.advice.calls_in_flight > 0 => Some(WaitReason::AdvicePending),
            _ => Some(views.no_room_reason(&demand.footprint)),
        }
    }

    /// Places tasks on hosts; a gang is placed as a whole or not at all. Returns whether
    /// any task was placed.
    fn place_tasks(
        &mut self,
        demand: &Demand,
        position: &PassPosition,
        ready: Vec<Candidate>,
        views: &mut HostViews,
    ) -> bool {
        let job = self.jobs.get(&demand.step_id.job);
        let is_sealed =
            demand.isolation.is_for_suspects() && job.is_some_and(Job::needs_sealed_host);
        let ready = if is_sealed { self.quiet_hosts(ready, demand, views) } else { ready };
        let plan = if demand.isolation.is_isolated() {
            plan_isolated(ready, demand, views, |name| self.work_at_stake(name))
        } else {
            plan_placement(ready, demand, views)
        };
        let planned: u32 = plan.iter().map(|(_, tasks)| tasks).sum();
        if planned == 0 || (demand.is_gang && planned < demand.waiting) {
            return false;
        }
        let Some(job) = self.jobs.get(&demand.step_id.job) else { return false };
        let Some(step) = job.step(demand.step_id) else { return false };
        let mut waiting = startable_tasks(job, step, demand);
        let gang_attempt = step.tasks.last_attempt() + 1;
        for (at, tasks) in plan {
            views.add_isolated(at, demand.isolation);
            views[at].is_sealed |= is_sealed;
            let host = views[at].host.clone();
            for _ in 0..tasks {
                let Some((index, last)) = self.take_task_for(demand.step_id, &mut waiting, &host)
                else {
                    break;
                };
                let task = TaskId { step: demand.step_id, index };
                let attempt = if demand.is_gang { gang_attempt } else { last + 1 };
                let free = views[at].free;
                let lent_until_ms = views.allocate(at, &demand.footprint, demand.borrower);
                views[at].add_task(demand);
                self.record_placement(position, task, attempt, &host, free);
                self.start_run(&host, task, attempt, demand.isolation);
                if let Some(until_ms) = lent_until_ms {
                    self.lend_room(&host, task, attempt, until_ms);
                }
            }
        }
        let job = self.jobs.get_mut(&demand.step_id.job);
        let step = job.and_then(|job| job.step_mut(demand.step_id));
        if step.as_ref().is_none_or(|step| step.waiting.is_empty()) {
            self.backlog.remove(demand.step_id);
            if let Some(step) = step {
                step.waiting_since_ms = None;
            }
        }
        true
    }

    /// Records why a task is started now on this host.
    fn record_placement(
        &mut self,
        position: &PassPosition,
        task: TaskId,
        attempt: u32,
        name: &Name,
        free: Resources,
    ) {
        let now_ms = self.now.monotonic_ms;
        let Some(job) = self.jobs.get(&task.step.job) else { return };
        let Some(host) = self.hosts.get(name) else { return };
        let team = job.team.clone();
        let ticket = job.step(task.step).and_then(|step| step.advice.allowed.get(&host.number));
        let usage = self.team_usage.get(&team).copied().unwrap_or_default();
        let due_ms = job.due_unix_ms(task.step.occurrence);
        let grounds = Grounds {
            rank: position.rank,
            place: position.place,
            waiting: position.waiting,
            waited_ms: self.now.unix_ms.saturating_sub(due_ms),
            share: usage.dominant_share(&position.capacity),
            usage_factor: self.past_use.recorded_factor(&team, self.entitlement(&team)),
            free_cpu_millis: free.cpu_millis,
            report_age_ms: now_ms.saturating_sub(host.reported_ms),
            ticket_left_ms: ticket.map(|ticket| ticket.expires_ms.saturating_sub(now_ms)),
            turn_wait_ms: position.turn_wait_ms.or(position.claim_wait_ms),
        };
        self.record_decision(team, Verdict::Placed { task, attempt, host: name.clone(), grounds });
    }

    /// Removes a waiting task to run on a host, preferring one that has not failed there.
    /// Returns its index and last attempt.
    fn take_task_for(
        &self,
        step_id: StepId,
        waiting: &mut Vec<u32>,
        host: &Name,
    ) -> Option<(u32, u32)> {
        let step = self.jobs.get(&step_id.job)?.step(step_id)?;
        let failed_here = |index: &u32| {
            step.tasks[*index as usize].avoided_host.as_ref().is_some_and(|h| h == host)
        };
        if waiting.is_empty() {
            return None;
        }
        // If all waiting tasks failed here, one is retried here anyway.
        let at = waiting.iter().position(|index| !failed_here(index)).unwrap_or(0);
        let index = waiting.remove(at);
        Some((index, step.tasks[index as usize].attempt))
    }

    /// Reserves the capacity that a waiting gang will need on its possible hosts, so that
    /// steps of lower rank don't take it in this pass.
    fn reserve_capacity(&mut self, demand: &Demand, views: &mut HostViews) {
        let job = self.jobs.get(&demand.step_id.job);
        let Some((job, progress)) = job.and_then(|job| Some((job, job.step(demand.step_id)?)))
        else {
            return;
        };
        let Some(queue) = self.queues.get(&job.queue) else { return };
        let service = queue.service.clone();
        let spec = &job.spec.steps[usize::from(demand.step_id.index)];
        let search = Search::new(views, spec, progress, &queue.service, demand.isolation);
        let mut order = match queue.advice {
            None => search.all(),
            Some(_) => search.allowed(),
        };
        // A gang that would not even fit on idle hosts must not block others.
        if order.iter().map(|found| found.fits_idle).sum::<u32>() < demand.waiting {
            return;
        }
        order.sort_by_key(|found| (Reverse(found.fits_now), Reverse(found.free_cpu)));
        self.recall_room(demand, &order, views);
        if self.reservations.tasks(demand.step_id) > 0 {
            return;
        }
        let mut wanted = demand.waiting;
        let mut hosts = Vec::new();
        for found in order {
            let tasks = found.fits_idle.min(wanted);
            wanted -= tasks;
            hosts.push((found.index, tasks));
            if wanted == 0 {
                break;
            }
        }
        let size = &demand.footprint;
        let start_ms = self.expected_start_ms(&hosts, size, views);
        views.keep_for_gang(&hosts, size, &service, MAX_SHARE_KEPT_FOR_GANGS, start_ms);
    }
}
