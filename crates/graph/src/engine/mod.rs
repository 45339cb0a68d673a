//! The state of one owner and how events change it.

mod advice;
mod candidates;
mod close;
mod dispatch;
mod health;
mod hosts;
mod placement;
mod polls;
mod rank;
mod recover;
mod requests;
mod run_ends;
mod runs;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rustc_hash::FxHashMap;
use sycamore_types::Name;
use sycamore_types::resources::Resources;

use crate::catalog::{Catalog, Queue};
use crate::host::{Host, LogState};
use crate::job;
use crate::progress::Job;
use crate::{
    Action, Answer, CallClass, Decision, Event, Moment, Record, StepId, Timing, Verdict,
    WaitingStep,
};

pub use rank::Rank;
pub use recover::Recovered;

/// Something that waits for the log.
#[derive(Debug)]
enum Effect {
    Answer {
        token: u64,
        answer: Answer,
    },
    /// A job may start.
    AllowStart(job::Id),
    /// The last state of a job may be shown.
    ShowState(job::Id),
    /// Ends of an incarnation of a worker may be forgotten there.
    AcknowledgeEnds {
        host: Name,
        incarnation: u64,
        seq: u64,
    },
    /// A worker may be given work.
    UseHost(Name),
}

/// The owner of all workers of a shard.
#[derive(Debug)]
pub struct Engine {
    timing: Timing,
    now: Moment,
    catalog: Catalog,
    /// Queues of this and earlier configurations: accepted jobs outlive their queue.
    queues: BTreeMap<Name, Queue>,
    jobs: FxHashMap<job::Id, Job>,
    hosts: BTreeMap<Name, Host>,
    /// Number of the newest worker.
    last_host_number: u32,
    /// What each team has running.
    team_usage: FxHashMap<Name, Resources>,
    /// Steps that have tasks to start.
    ready_steps: BTreeSet<StepId>,
    /// Time of the next occurrence of jobs with a schedule, in milliseconds since 1970.
    next_occurrences: BTreeSet<(u64, job::Id)>,
    /// Closed jobs in the order in which they are forgotten.
    closed_jobs: VecDeque<(u64, job::Id)>,
    /// Part of the workers asked about that may run a step, by queue.
    allow_rate: FxHashMap<Name, f64>,
    /// Calls for advice that may be under way, and those that are, by class.
    advice_limits: [u32; CallClass::COUNT],
    advice_calls: [u32; CallClass::COUNT],
    appended_records: u64,
    durable_records: u64,
    deferred: VecDeque<(u64, Effect)>,
    last_poll: u64,
    /// Workers of the owner before are not all accounted for.
    is_recovering: bool,
    needs_dispatch: bool,
    needs_poll: bool,
    actions: Vec<Action>,
}

impl Engine {
    /// Handles one event. [`Engine::dispatch`] makes the decisions that follow from it.
    pub fn handle(&mut self, now: Moment, event: Event) -> Vec<Action> {
        self.now = now;
        match event {
            Event::Tick => self.tick(),
            Event::Configured(catalog) => self.configure(catalog),
            Event::Listed(entries) => self.update_host_list(entries),
            Event::Submit { token, job, queue, team, spec } => {
                self.submit(token, job, queue, team, spec);
            }
            Event::Cancel { token, job, team } => self.cancel(token, job, &team),
            Event::Query { token, job, team } => self.query(token, job, &team),
            Event::Count { token, queue } => self.count(token, &queue),
            Event::Committed(records) => self.mark_durable(records),
            Event::Polled { host, poll, report } => self.handle_report(&host, poll, report),
            Event::PollFailed { host, poll, is_gone } => {
                self.handle_poll_failure(&host, poll, is_gone)
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
            Event::Advised { step, class, asked, allowed, age_ms } => {
                self.handle_advice(step, class, asked, allowed, age_ms);
            }
        }
        std::mem::take(&mut self.actions)
    }

    /// Tells whether something may be started that could not be before.
    pub fn needs_dispatch(&self) -> bool {
        self.needs_dispatch
    }

    /// Starts what can be started. One pass serves all events handled before it.
    pub fn dispatch(&mut self, now: Moment) -> Vec<Action> {
        self.now = now;
        if std::mem::take(&mut self.needs_dispatch) {
            self.start_waiting_tasks();
        }
        std::mem::take(&mut self.actions)
    }

    fn tick(&mut self) {
        self.expire_leases();
        self.start_due_occurrences();
        self.forget_closed_jobs();
        self.resend_stops();
        self.evacuate_stalled_hosts();
        self.stop_unstarted_gangs();
        self.poll_due_hosts();
        // Tickets run out and quarantines end without an event of their own.
        self.needs_dispatch |= !self.ready_steps.is_empty();
    }

    fn configure(&mut self, catalog: Catalog) {
        if catalog.version <= self.catalog.version && self.catalog.version != 0 {
            return;
        }
        self.queues.extend(catalog.queues.iter().map(|(name, q)| (name.clone(), q.clone())));
        self.catalog = catalog;
        self.close_exhausted_jobs();
        self.needs_dispatch = true;
    }

    fn append(&mut self, record: Record) {
        self.appended_records += 1;
        self.actions.push(Action::Append(record));
    }

    /// Puts a decision about a team's work on record.
    fn record_decision(&mut self, team: Name, verdict: Verdict) {
        let config = self.catalog.version;
        self.actions.push(Action::RecordDecision(Decision { team, config, verdict }));
    }

    /// Lets something happen once all records so far are durable.
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
                    job.is_shown = true;
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

    /// Number of records that were appended so far.
    pub fn appended(&self) -> u64 {
        self.appended_records
    }

    /// Number of tasks that run or may run.
    pub fn running_tasks(&self) -> usize {
        self.hosts.values().map(|host| host.runs.len()).sum()
    }

    /// Number of steps that have tasks to start.
    pub fn waiting_steps(&self) -> usize {
        self.ready_steps.len()
    }

    /// Returns the steps that have waited for so long, in milliseconds.
    pub fn long_waits(&self, min_age_ms: u64) -> Vec<WaitingStep> {
        let wait = |step_id: &StepId| {
            let job = self.jobs.get(&step_id.job)?;
            let step = job.step(*step_id)?;
            let age_ms = self.now.unix_ms.saturating_sub(job.due_unix_ms(step_id.occurrence));
            let (allowed, denied) = (step.advice.allowed.len(), step.advice.denied.len());
            let reason = step.wait_reason?;
            Some(WaitingStep { step: *step_id, age_ms, reason, allowed, denied })
        };
        self.ready_steps.iter().filter_map(wait).filter(|wait| wait.age_ms >= min_age_ms).collect()
    }

    /// Whether workers of the owner before are not all accounted for.
    pub fn is_recovering(&self) -> bool {
        self.is_recovering
    }

    /// Records that replace all earlier ones of a job. Empty when it is forgotten.
    pub fn job_snapshot(&self, id: job::Id) -> Option<Record> {
        let job = self.jobs.get(&id)?;
        Some(match job.closed {
            Some(state) => Record::Closed(crate::Closed {
                job: id,
                queue: job.queue.clone(),
                team: job.team.clone(),
                state,
                at_unix_ms: job.closed_unix_ms,
            }),
            None => Record::Snapshot(job.snapshot()),
        })
    }

    /// The record that replaces all earlier ones of a worker. `None` when nothing of it
    /// must last.
    pub fn host_snapshot(&self, name: &Name) -> Option<Record> {
        let host = self.hosts.get(name)?;
        match host.log {
            LogState::Unused => None,
            LogState::UsePending | LogState::Used => {
                Some(Record::HostUsed { host: name.clone(), capacity: host.entry.capacity })
            }
            LogState::Leaving => Some(host.leaving_record()),
        }
    }
}
