//! Rebuilds an owner's state from the log.
//!
//! The log records no starts. The runs on a host in use become known from its report, or are
//! gone when its lease expires.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use rustc_hash::FxHashMap;
use sycamore_types::Name;
use sycamore_types::resources::Resources;

use super::Engine;
use super::backlog::Backlog;
use super::bulkhead::Bulkheads;
use super::candidates::HostViews;
use super::host_map::HostMap;
use super::host_totals::HostTotals;
use super::job_memory::JobMemory;
use super::past_use::PastUse;
use super::queues::Queues;
use super::reservations::Reservations;
use crate::catalog::Catalog;
use crate::host::{Host, LogState, RunEnd};
use crate::job::{Id, State};
use crate::progress::{ISOLATE_AFTER, Job, Suspicion};
use crate::{
    CallClass, Ended, HostEntry, Moment, QueueDefined, Record, Snapshot, StepId, TaskId, TeamUse,
    Timing,
};

/// Attempt numbers skipped per task at a recovery, because the previous owner may have sent
/// a start request that no record shows.
const ATTEMPT_GAP: u32 = 1;

/// Most advice calls in flight per class until the caller sets a limit.
const INITIAL_ADVICE_CALLS: u32 = 1;

/// What the log says about a host.
#[derive(Debug)]
enum LoggedHost {
    /// Any run may be there. Holds the capacity of the host.
    Used(Resources),
    /// Only these runs may be there.
    Leaving(Vec<(TaskId, u32)>),
}

/// State rebuilt from the records of a log, which are applied in order.
#[derive(Debug, Default)]
pub struct Recovered {
    jobs: FxHashMap<Id, Job>,
    hosts: BTreeMap<Name, LoggedHost>,
    team_use: Option<TeamUse>,
    queues: BTreeMap<Name, QueueDefined>,
}

impl Recovered {
    /// Applies the next record.
    pub fn apply(&mut self, record: Record) {
        match record {
            Record::Accepted { job, queue, team, at_unix_ms, spec } => {
                self.jobs
                    .entry(job)
                    .or_insert_with(|| recovered_job(Job::new(job, queue, team, spec, at_unix_ms)));
            }
            Record::Ended(ended) => self.apply_end(&ended),
            Record::Closed(closed) => {
                let id = closed.job;
                let spec = self.jobs.remove(&id).map(|job| job.spec).unwrap_or_default();
                let mut job =
                    Job::new(id, closed.queue, closed.team, Default::default(), closed.at_unix_ms);
                job.spec = spec;
                job.keep_steps_only();
                job.closed = Some(closed.state);
                job.is_close_durable = true;
                job.is_durable = true;
                job.has_started = true;
                job.closed_unix_ms = closed.at_unix_ms;
                self.jobs.insert(id, job);
            }
            Record::HostUsed { host, capacity } => {
                self.hosts.insert(host, LoggedHost::Used(capacity));
            }
            Record::HostLeaving { host, runs } => {
                self.hosts.insert(host, LoggedHost::Leaving(runs));
            }
            Record::HostReleased { host } => {
                self.hosts.remove(&host);
            }
            Record::Snapshot(snapshot) => self.restore(snapshot),
            Record::TeamUse(team_use) => self.team_use = Some(team_use),
            Record::QueueDefined(defined) => self.define(defined),
        }
    }

    /// Keeps the newest definition. A page may carry one over that is newer than the records behind it.
    fn define(&mut self, defined: QueueDefined) {
        let known = self.queues.get(&defined.name);
        if known.is_none_or(|known| known.version <= defined.version) {
            self.queues.insert(defined.name.clone(), defined);
        }
    }

    fn restore(&mut self, snapshot: Snapshot) {
        let job = Job::new(
            snapshot.job,
            snapshot.queue,
            snapshot.team,
            snapshot.spec,
            snapshot.at_unix_ms,
        );
        let mut job = recovered_job(job);
        job.has_started = snapshot.has_started;
        for row in snapshot.tasks {
            let occurrence = row.0.occurrence;
            job.apply_row(row);
            job.occurrences.forget_if_over(occurrence);
        }
        self.jobs.insert(snapshot.job, job);
    }

    fn apply_end(&mut self, ended: &Ended) {
        let step_id = ended.task.step;
        let Some(job) = self.jobs.get_mut(&step_id.job).filter(|job| job.closed.is_none()) else {
            return;
        };
        job.has_started = true;
        job.begin_occurrences_up_to(step_id.occurrence);
        let Some(is_gang) = job.spec.steps.get(usize::from(step_id.index)).map(|s| s.is_gang)
        else {
            return;
        };
        let Some(step) = job.step_mut(step_id) else { return };
        let Some(task) = step.tasks.get_mut(ended.task.index as usize) else { return };
        task.attempt = task.attempt.max(ended.attempt);
        if !ended.checkpoint.is_empty() {
            let at = if is_gang { 0 } else { ended.task.index as usize };
            step.tasks[at].checkpoint = Some(ended.checkpoint.clone());
        }
        recover_suspicion(&mut job.suspicions, ended);
        let Some(step) = job.step_mut(step_id) else { return };
        match ended.how {
            RunEnd::Done if is_gang => {
                (0..step.tasks.len() as u32).for_each(|index| {
                    step.mark_done(index);
                });
            }
            RunEnd::Done => {
                step.mark_done(ended.task.index);
            }
            RunEnd::Failed => {
                let at = if is_gang { 0 } else { ended.task.index as usize };
                step.tasks[at].record_failure(ended.attempt);
            }
            _ => {}
        }
        job.clear_done_suspects(step_id);
        job.occurrences.forget_if_over(step_id.occurrence);
    }

    /// Returns the number of known jobs.
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }
}

/// Marks a job as recovered. The only occurrence of a job without a schedule starts here.
fn recovered_job(mut job: Job) -> Job {
    job.is_durable = true;
    job.is_recovered = true;
    if job.spec.schedule.is_none() {
        job.begin_occurrence();
    }
    job
}

/// Applies what the end of a run says about its task, as the owner that logged it has counted it
/// (see [`Job::logged_end`]). Ages are not in the log, so that each task under which a host crashed
/// is isolated.
fn recover_suspicion(suspicions: &mut BTreeMap<TaskId, Suspicion>, ended: &Ended) {
    match ended.how {
        RunEnd::HostCrashed => {
            let suspicion = suspicions.entry(ended.task).or_default();
            suspicion.crashed.insert(ended.attempt);
            suspicion.needs_isolation = true;
        }
        RunEnd::LeaseExpired => {
            let suspicion = suspicions.entry(ended.task).or_default();
            suspicion.uncertain.insert(ended.attempt);
            suspicion.needs_isolation |= suspicion.losses() >= ISOLATE_AFTER;
        }
        RunEnd::Collateral => {
            if let Some(suspicion) = suspicions.get_mut(&ended.task) {
                suspicion.withdraw(ended.attempt);
            }
            suspicions.retain(|_, suspicion| suspicion.losses() > 0);
        }
        RunEnd::Done | RunEnd::Failed => {
            suspicions.remove(&ended.task);
        }
        RunEnd::Stopped | RunEnd::GangBroken | RunEnd::GangTimedOut => {}
    }
}

/// Skips attempt numbers of the tasks of an occurrence that the previous owner may have begun.
pub(super) fn skip_attempts(job: &mut Job, occurrence: u32) {
    let steps = job.occurrences.get_mut(occurrence).into_iter().flatten();
    steps.for_each(|step| step.tasks.skip_attempts(ATTEMPT_GAP));
}

impl Engine {
    /// Creates the engine of a new owner from the state recovered from the log. It grants no lease
    /// and starts no task before the first [`Event::Confirmed`](crate::Event::Confirmed).
    pub fn new(now: Moment, timing: Timing, catalog: Catalog, recovered: Recovered) -> Engine {
        let mut hosts = HostMap::default();
        let mut logged_runs = Vec::new();
        for ((name, logged), number) in recovered.hosts.into_iter().zip(0..) {
            let (capacity, log) = match &logged {
                LoggedHost::Used(capacity) => (*capacity, LogState::Used),
                LoggedHost::Leaving(_) => (Resources::default(), LogState::Leaving),
            };
            let entry = unlisted_entry(name.clone(), capacity);
            let mut host = Host::new(entry, number, now.monotonic_ms, &timing);
            host.is_listed = false;
            host.is_accounted_for = log != LogState::Used;
            host.log = log;
            host.logged_capacity = capacity;
            hosts.insert(host);
            if let LoggedHost::Leaving(runs) = logged {
                logged_runs.extend(runs.into_iter().map(|(task, n)| (name.clone(), task, n)));
            }
        }
        let is_recovering = !hosts.is_empty();
        let past_use = PastUse::new(
            now.monotonic_ms,
            now.unix_ms,
            timing.usage_half_life_ms,
            recovered.team_use,
        );
        let last_host_number = hosts.len() as u32;
        let queues_of_jobs = recovered.jobs.values().map(|job| &job.queue);
        let queues = Queues::new(recovered.queues, &catalog, queues_of_jobs);
        let mut job_memory = JobMemory::new(timing.max_job_bytes);
        for job in recovered.jobs.values() {
            job_memory.add(&job.team, job.memory_bytes());
        }
        let mut engine = Engine {
            timing,
            now,
            confirmed_ms: None,
            store_confirmed_ms: 0,
            queues,
            catalog,
            jobs: recovered.jobs,
            job_memory,
            hosts,
            evacuated_domains: BTreeSet::new(),
            poll_timers: BTreeSet::new(),
            views: HostViews::default(),
            totals: HostTotals::default(),
            last_host_number,
            team_usage: FxHashMap::default(),
            job_runs: FxHashMap::default(),
            past_use,
            backlog: Backlog::default(),
            bulkheads: Bulkheads::default(),
            isolated_runs: FxHashMap::default(),
            reservations: Reservations::default(),
            gang_ends: BTreeMap::new(),
            unreported_ends: BTreeMap::new(),
            next_occurrences: BTreeSet::new(),
            closed_jobs: VecDeque::new(),
            allow_rate: FxHashMap::default(),
            advice_limits: [INITIAL_ADVICE_CALLS; CallClass::COUNT],
            advice_calls: [0; CallClass::COUNT],
            live_call_refused_ms: [None; CallClass::COUNT],
            hopeless_refusal_passes: [0; CallClass::COUNT],
            hopeless_calls: FxHashMap::default(),
            appended_records: 0,
            durable_records: 0,
            deferred: VecDeque::new(),
            last_poll: 0,
            is_recovering,
            needs_dispatch: false,
            needs_poll: false,
            actions: Vec::new(),
        };
        engine.log_queues();
        engine.resume_jobs();
        for (host, task, attempt) in logged_runs {
            engine.adopt_logged_run(&host, task, attempt);
        }
        engine.close_exhausted_jobs();
        engine.drop_specs_without_runs();
        engine.totals.update(&mut engine.hosts);
        engine
    }

    /// Adopts a run that was on a host when the log recorded that it gets no new work.
    fn adopt_logged_run(&mut self, name: &Name, task: TaskId, attempt: u32) {
        self.start_reported_occurrences(task.step);
        let Some(job) = self.jobs.get(&task.step.job) else { return };
        let step = job.step(task.step);
        let task_progress = step.and_then(|step| step.tasks.get(task.index as usize));
        let may_run = match job.closed {
            // It was stopped with the job, but counts against the team's limit until it has ended.
            Some(state) => state != State::Complete,
            // A run of a finished task doesn't need to be waited for.
            None => task_progress.is_some_and(|task_progress| !task_progress.is_done),
        };
        if may_run {
            self.adopt_run(name, task, attempt);
        }
    }

    /// Puts the recovered jobs back into the engine's queues.
    fn resume_jobs(&mut self) {
        let mut ids: Vec<(u64, Id)> =
            self.jobs.values().map(|job| (job.closed_unix_ms, job.id)).collect();
        ids.sort_unstable();
        for (closed_unix_ms, id) in ids {
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            if job.closed.is_some() {
                self.closed_jobs.push_back((closed_unix_ms + self.timing.status_retention_ms, id));
                continue;
            }
            let mut step_ids = Vec::new();
            for (occurrence, steps) in job.occurrences.iter_mut() {
                for (index, step) in steps.iter_mut().enumerate() {
                    step.tasks.skip_attempts(ATTEMPT_GAP);
                    step_ids.push(StepId { job: id, occurrence, index: index as u16 });
                }
            }
            for step_id in step_ids {
                self.queue_if_ready(step_id);
            }
            self.close_if_finished(id);
            self.start_occurrences(id);
        }
    }
}

/// Returns the entry of a host that is known from the log and not listed yet.
fn unlisted_entry(name: Name, capacity: Resources) -> HostEntry {
    HostEntry {
        id: name,
        incarnation: 0,
        address: None,
        service: Name::from(""),
        capacity,
        labels: Arc::default(),
        rack: Name::from(""),
        failure_domain: Name::from(""),
        is_draining: false,
    }
}
