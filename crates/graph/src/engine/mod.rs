//! The state of one shard's owner and how events change it.
//!
//! [`Engine::handle`] applies one event, [`Engine::dispatch`] starts waiting tasks. They
//! are separate so that one dispatch pass serves all events that arrived since the last
//! one. Both return the actions that the caller has to carry out; the engine itself does no
//! I/O and reads no clock.
//!
//! Confirmations to callers, task starts, final job states and acknowledgements of run ends
//! wait until the records that they rely on are durable.
//!
//! Terms used in this module:
//!
//! - A host is a worker of the platform. Each restart begins a new incarnation of it.
//! - A run is one attempt of a task on one host. A task may have several runs, for example while
//!   the end of an earlier one is uncertain.
//! - A poll is a long poll of a host, which also renews the lease of its runs. The host replies
//!   with a report of its active and ended runs.
//! - A gang is a step whose tasks have to run at the same time.
//! - Advice says which hosts may run a step. Each allowed host comes with a ticket, which has
//!   to be presented at the start and expires.
//! - The previous owner is the one that wrote the log from which this one was recovered.

mod advice;
mod backlog;
mod broken_gangs;
mod bulkhead;
mod candidates;
mod clearing;
mod close;
mod confirmation;
mod demand;
mod dispatch;
mod evacuation;
mod health;
mod host_map;
mod host_totals;
mod hosts;
mod isolation;
mod job_memory;
mod lending;
mod losses;
mod past_use;
mod placement;
mod polls;
mod preemption;
#[cfg(test)]
mod preemption_tests;
mod queues;
mod rank;
mod reclaim;
mod recover;
mod requests;
mod reservations;
mod run_ends;
mod runs;
mod turns;
mod unreported_ends;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rustc_hash::FxHashMap;
use sycamore_types::Name;
use sycamore_types::resources::Resources;

use crate::catalog::{Catalog, Queue};
use crate::host::LogState;
use crate::job;
use crate::progress::Job;
use crate::{
    Action, Answer, CallClass, CallLoad, Decision, Event, LastCall, Moment, Record, StepId, TaskId,
    Timing, Verdict, WaitReason, WaitingStep,
};

use backlog::Backlog;
use broken_gangs::GangEnds;
use bulkhead::Bulkheads;
use candidates::HostViews;
pub use evacuation::DomainLoad;
use host_map::HostMap;
use host_totals::HostTotals;
use job_memory::JobMemory;
use past_use::PastUse;
use queues::Queues;
pub use rank::Rank;
pub use recover::Recovered;
use reservations::Reservations;
pub(crate) use turns::Turn;
use unreported_ends::UnreportedEnd;

/// An effect that is deferred until all records appended before it are durable.
#[derive(Debug)]
enum Effect {
    Answer {
        token: u64,
        answer: Answer,
    },
    /// Allows dispatching the job's tasks.
    AllowStart(job::Id),
    /// Reports the job's final state to callers from now on.
    ShowState(job::Id),
    /// Acknowledges run ends up to `seq`, which lets this incarnation of the host forget
    /// them.
    AcknowledgeEnds {
        host: Name,
        incarnation: u64,
        seq: u64,
    },
    /// Allows placing tasks on the host.
    UseHost(Name),
    /// Makes a task wait again whose host was lost.
    Requeue(TaskId),
}

/// Scheduler of one shard: owns all of its hosts and jobs.
#[derive(Debug)]
pub struct Engine {
    timing: Timing,
    now: Moment,
    /// Time at which this process was last certainly the owner, in milliseconds. `None` before the
    /// first confirmation.
    confirmed_ms: Option<u64>,
    /// Time at which it was by the store, in milliseconds.
    store_confirmed_ms: u64,
    catalog: Catalog,
    /// Queues of this and earlier configurations, because accepted jobs outlive their
    /// queue.
    queues: Queues,
    jobs: FxHashMap<job::Id, Job>,
    /// Memory of these jobs.
    job_memory: JobMemory,
    hosts: HostMap,
    /// Failure domains on whose hosts no task may start.
    evacuated_domains: BTreeSet<Name>,
    /// Hosts that become due for a poll without an event, by time in milliseconds and slot.
    poll_timers: BTreeSet<(u64, usize)>,
    /// The hosts as the last dispatch pass has left them.
    views: HostViews,
    /// Sums over the hosts as the last event or pass has left them.
    totals: HostTotals,
    /// Upper bound of the host numbers given so far.
    last_host_number: u32,
    /// Resources used by the runs of each team.
    team_usage: FxHashMap<Name, Resources>,
    /// Number of runs that exist or may exist, by job.
    job_runs: FxHashMap<job::Id, u32>,
    /// Use of the teams in the past.
    past_use: PastUse,
    /// Steps with tasks that wait to be started.
    backlog: Backlog,
    /// Queues whose jobs bring hosts down.
    bulkheads: Bulkheads,
    /// Number of isolated runs, by job.
    isolated_runs: FxHashMap<job::Id, u32>,
    /// Room that is kept for steps for which runs were stopped.
    reservations: Reservations,
    /// Gangs of which members have ended, by attempt, until all have.
    gang_ends: BTreeMap<(StepId, u32), GangEnds>,
    /// Attempts of gangs that have ended and may still be reported as failed.
    unreported_ends: BTreeMap<(StepId, u32), UnreportedEnd>,
    /// Jobs with a schedule, by the due time of their next occurrence in milliseconds since
    /// 1970.
    next_occurrences: BTreeSet<(u64, job::Id)>,
    /// Closed jobs, by the time at which they are forgotten, in milliseconds since 1970.
    closed_jobs: VecDeque<(u64, job::Id)>,
    /// Estimated fraction of hosts that advice allows, by queue.
    allow_rate: FxHashMap<Name, f64>,
    /// Most advice calls in flight at once, by class.
    advice_limits: [u32; CallClass::COUNT],
    /// Advice calls in flight, by class.
    advice_calls: [u32; CallClass::COUNT],
    /// When a step whose start has value last had to wait for a free call, by class, in
    /// milliseconds.
    live_call_refused_ms: [Option<u64>; CallClass::COUNT],
    /// Number of passes for which calls are left to hopeless steps, after one whose turn it is had to wait
    /// for a free call, by class.
    hopeless_refusal_passes: [u32; CallClass::COUNT],
    /// Calls in flight for hopeless steps, by class.
    hopeless_calls: FxHashMap<StepId, [u32; CallClass::COUNT]>,
    /// Number of records appended so far.
    appended_records: u64,
    /// Number of records that are known to be durable.
    durable_records: u64,
    /// Effects in order, each with the number of durable records that it waits for.
    deferred: VecDeque<(u64, Effect)>,
    /// Number of the last poll sent, of any host.
    last_poll: u64,
    /// Whether hosts of the previous owner may still have runs that no report has shown.
    is_recovering: bool,
    /// Whether a dispatch pass may start tasks that the last one could not.
    needs_dispatch: bool,
    /// Whether run ends became acknowledgeable since the last poll of the due hosts.
    needs_poll: bool,
    /// Actions of the event or pass that is being handled.
    actions: Vec<Action>,
}

impl Engine {
    /// Applies one event. Waiting tasks are started only by [`Engine::dispatch`].
    pub fn handle(&mut self, now: Moment, event: Event) -> Vec<Action> {
        self.now = now;
        match event {
            Event::Tick => self.tick(),
            Event::Confirmed { at_ms, by_store_ms } => self.confirm_ownership(at_ms, by_store_ms),
            Event::Configured(catalog) => self.configure(catalog),
            Event::Listed(entries) => self.update_host_list(entries),
            Event::Dated(readings) => self.date_capacities(readings),
            Event::Evacuating(domains) => self.evacuate_domains(domains),
            Event::Submit { token, job, queue, team, spec } => {
                self.submit(token, job, queue, team, spec);
            }
            Event::Cancel { token, job, team } => self.cancel(token, job, &team),
            Event::Query { token, job, team } => self.query(token, job, &team),
            Event::Count { token, queue } => self.count(token, &queue),
            Event::Committed(records) => self.mark_durable(records),
            Event::Polled { host, poll, report } => self.handle_report(&host, poll, report),
            Event::PollFailed { host, poll, is_gone } => {
                self.handle_poll_failure(&host, poll, is_gone);
            }
            Event::Started { host, task, attempt, outcome, clock_ms } => {
                self.handle_start_result(&host, task, attempt, outcome, clock_ms);
            }
            Event::Stopped { host, task, attempt, is_accepted } => {
                self.handle_stop_result(&host, task, attempt, is_accepted);
            }
            Event::AdviceConcurrency(limits) => {
                self.advice_limits = limits;
                self.needs_dispatch = true;
            }
            Event::Advised { step, class, asked, allowed, issued_ms } => {
                self.handle_advice(step, class, asked, allowed, issued_ms);
            }
        }
        self.totals.update(&mut self.hosts);
        std::mem::take(&mut self.actions)
    }

    /// Returns whether a dispatch pass may start tasks that the last one could not.
    pub fn needs_dispatch(&self) -> bool {
        self.needs_dispatch
    }

    /// Starts the waiting tasks that can be started. One pass serves all events handled
    /// before it, and ends early after too many unsuccessful searches of the hosts.
    pub fn dispatch(&mut self, now: Moment) -> Vec<Action> {
        self.now = now;
        if std::mem::take(&mut self.needs_dispatch) {
            self.start_waiting_tasks();
            self.totals.update(&mut self.hosts);
        }
        std::mem::take(&mut self.actions)
    }

    fn tick(&mut self) {
        self.expire_leases();
        self.start_due_occurrences();
        self.forget_closed_jobs();
        self.resend_stops();
        self.evacuate_stalled_hosts();
        self.check_isolated_runs();
        self.stop_unstarted_gangs();
        self.end_broken_gangs();
        self.update_past_use();
        self.poll_due_hosts();
        // Tickets expire and quarantines end without an event.
        self.needs_dispatch |= !self.backlog.is_empty();
    }

    fn configure(&mut self, catalog: Catalog) {
        if catalog.version <= self.catalog.version && self.catalog.version != 0 {
            return;
        }
        self.queues.update(&catalog);
        self.catalog = catalog;
        self.log_queues();
        self.close_exhausted_jobs();
        self.queue_waiting_steps();
        self.needs_dispatch = true;
    }

    fn append(&mut self, record: Record) {
        self.appended_records += 1;
        self.actions.push(Action::Append(record));
    }

    /// Emits a decision about a team's work for the audit records.
    fn record_decision(&mut self, team: Name, verdict: Verdict) {
        let config = self.catalog.version;
        self.actions.push(Action::RecordDecision(Decision { team, config, verdict }));
    }

    /// Applies an effect once all records appended so far are durable.
    fn when_durable(&mut self, effect: Effect) {
        if self.durable_records >= self.appended_records {
            self.apply_effect(effect);
        } else {
            self.deferred.push_back((self.appended_records, effect));
        }
    }

    fn mark_durable(&mut self, records: u64) {
        self.durable_records = self.durable_records.max(records);
        while self.deferred.front().is_some_and(|(at, _)| *at <= self.durable_records) {
            if let Some((_, effect)) = self.deferred.pop_front() {
                self.apply_effect(effect);
            }
        }
        if std::mem::take(&mut self.needs_poll) {
            self.poll_due_hosts();
        }
    }

    fn apply_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Answer { token, answer } => self.answer(token, answer),
            Effect::AllowStart(id) => {
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.is_durable = true;
                }
                self.needs_dispatch = true;
            }
            Effect::ShowState(id) => {
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.is_close_durable = true;
                }
            }
            Effect::AcknowledgeEnds { host, incarnation, seq } => {
                if let Some(host) = self.hosts.get_mut(&host)
                    && host.entry.incarnation == incarnation
                {
                    host.last_durable_end = host.last_durable_end.max(seq);
                }
                self.needs_poll = true;
            }
            Effect::Requeue(task) => self.requeue(task),
            Effect::UseHost(name) => {
                if let Some(host) = self.hosts.get_mut(&name)
                    && host.log == LogState::UsePending
                {
                    host.log = LogState::Used;
                }
                self.needs_dispatch = true;
            }
        }
    }

    fn answer(&mut self, token: u64, answer: Answer) {
        self.actions.push(Action::Answer { token, answer });
    }

    /// Returns the number of records appended so far.
    pub fn appended_records(&self) -> u64 {
        self.appended_records
    }

    /// Compares the results that are kept between events with their computation from all
    /// hosts, and describes the differences. For tests: it visits all hosts.
    #[doc(hidden)]
    pub fn stale_results(&self) -> Vec<String> {
        let polls = self.overlooked_polls();
        let polls = polls.map(|host| format!("{} is due for a poll", host.entry.id));
        let views = self.stale_views().into_iter().map(|name| format!("the view of {name}"));
        let totals =
            (!self.totals.are_exact(&self.hosts)).then(|| String::from("the sums over the hosts"));
        polls.chain(views).chain(totals).collect()
    }

    /// Describes what is settled about each job: its state, the tasks that are done, the failures and
    /// the losses of hosts that count. For tests, which compare the engines of two owners.
    #[doc(hidden)]
    pub fn settled_jobs(&self) -> BTreeMap<job::Id, String> {
        self.jobs.values().map(|job| (job.id, job.describe_settled())).collect()
    }

    /// Returns the definition of the queue of each open job. For tests, which compare the engines of two
    /// owners.
    #[doc(hidden)]
    pub fn queues_of_open_jobs(&self) -> BTreeMap<job::Id, Option<Queue>> {
        let open = self.jobs.values().filter(|job| job.closed.is_none());
        open.map(|job| (job.id, self.queues.get(&job.queue).cloned())).collect()
    }

    /// Returns the number of runs that exist or may exist on all hosts.
    pub fn running_tasks(&self) -> usize {
        self.hosts.values().map(|host| host.runs.len()).sum()
    }

    /// Returns the number of runs that are kept apart because they may crash their host.
    pub fn isolated_runs(&self) -> u32 {
        self.isolated_runs.values().sum()
    }

    /// Returns the number of hosts that get tasks only if no other has room, because starts have not
    /// arrived there.
    pub fn avoided_hosts(&self) -> usize {
        let now_ms = self.now.monotonic_ms;
        self.hosts.values().filter(|host| host.is_avoided(now_ms)).count()
    }

    /// Returns the free CPU of all usable hosts before the last pass and the part of it that the pass
    /// kept for waiting gangs, in thousandths of a core.
    pub fn free_and_kept_cpu(&self) -> (u64, u64) {
        self.views.free_and_kept_cpu()
    }

    /// Returns the memory that the known jobs are counted with, in bytes.
    pub fn job_bytes(&self) -> usize {
        self.job_memory.total()
    }

    /// Returns the number of steps with tasks that wait to be started.
    pub fn waiting_steps(&self) -> usize {
        self.backlog.len()
    }

    /// Returns how many of the waiting steps are so late that starting them has no value any
    /// more.
    pub fn hopeless_steps(&self) -> usize {
        self.backlog.hopeless_len()
    }

    /// Returns the steps that have waited for at least `min_age_ms` milliseconds since they
    /// were due.
    pub fn long_waits(&self, min_age_ms: u64) -> Vec<WaitingStep> {
        let wait = |step_id: &StepId| {
            let job = self.jobs.get(&step_id.job)?;
            let step = job.step(*step_id)?;
            let age_ms = self.now.unix_ms.saturating_sub(job.due_unix_ms(step_id.occurrence));
            let (allowed, denied) = (step.advice.allowed.len(), step.advice.denied.len());
            let reason = step.wait_reason?;
            let last_call = step.advice.last_call.map(|call| LastCall {
                age_ms: self.now.monotonic_ms.saturating_sub(call.at_ms),
                is_answered: call.failures == 0,
            });
            let spent_ms = step.wait_times.longest_first();
            let is_gang = job.spec.steps.get(usize::from(step_id.index))?.is_gang;
            let (tasks, step) = (step.waiting.len(), *step_id);
            Some(WaitingStep {
                step,
                age_ms,
                is_gang,
                tasks,
                reason,
                spent_ms,
                allowed,
                denied,
                last_call,
            })
        };
        self.backlog.steps().filter_map(wait).filter(|wait| wait.age_ms >= min_age_ms).collect()
    }

    /// Returns the calls for advice in flight and the steps that wait for a free one.
    pub fn call_load(&self) -> CallLoad {
        let mut load = CallLoad {
            in_flight: self.advice_calls,
            limits: self.advice_limits,
            ..CallLoad::default()
        };
        let step = |step_id: &StepId| self.jobs.get(&step_id.job)?.step(*step_id);
        for step in self.backlog.steps().filter_map(step) {
            if step.wait_reason == Some(WaitReason::AdviceBusy) {
                let since_ms = step.uncalled_since_ms().unwrap_or(self.now.monotonic_ms);
                load.waiting_steps += 1;
                load.longest_wait_ms =
                    load.longest_wait_ms.max(self.now.monotonic_ms.saturating_sub(since_ms));
            }
        }
        load
    }

    /// Returns whether hosts of the previous owner may still have runs that no report has
    /// shown.
    pub fn is_recovering(&self) -> bool {
        self.is_recovering
    }

    /// Returns the records that replace all earlier ones of a job: none if the job is unknown
    /// or forgotten.
    pub fn job_records(&self, id: job::Id) -> Vec<Record> {
        self.jobs.get(&id).map(Job::records).unwrap_or_default()
    }

    /// Returns the record that replaces all earlier ones of a host, or `None` if the log
    /// needs nothing about it.
    pub fn host_snapshot(&self, name: &Name) -> Option<Record> {
        let host = self.hosts.get(name)?;
        match host.log {
            LogState::Unused => None,
            LogState::UsePending | LogState::Used => {
                Some(Record::HostUsed { host: name.clone(), capacity: host.largest_capacity() })
            }
            LogState::Leaving => Some(self.leaving_record(host)),
        }
    }
}
