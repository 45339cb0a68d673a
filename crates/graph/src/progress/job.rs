//! Progress of a job: which occurrences have begun and whether its end is decided.
//!
//! The owner keeps it in memory. What a successor can't learn from the reports of the hosts
//! is in the log, or in the snapshot that replaces the job's log records.

use std::collections::BTreeMap;
use std::sync::Arc;

use sycamore_types::Name;

use super::{ISOLATE_AFTER, Occurrences, StepProgress, Suspicion};
use crate::host::RunEnd;
use crate::job::{Id, MAX_TASKS, Spec, State};
use crate::record::TaskRow;
use crate::{Closed, Ended, Record, Snapshot, StepId, TaskId};

/// Most occurrences of a job that are open at a time. Due ones beyond it wait as a number.
const MAX_OPEN_OCCURRENCES: usize = 64;

/// Index in place of a step's in a row of a snapshot: all occurrences up to that of the row are over
/// but those with further rows.
const OVER: u16 = u16::MAX;

/// Index in place of a task's in a row of a snapshot: it holds for all tasks of the step without rows.
const UNTOUCHED: u32 = u32::MAX;

/// Most tasks of a step that have a row each in a snapshot although no owner is known to have started
/// them. Older builds know no row for all of them, and would start them with attempt numbers that an
/// earlier owner may have used.
const MAX_UNTOUCHED_ROWS: usize = 1_000;

/// A job and the progress of its occurrences.
#[derive(Debug)]
pub(crate) struct Job {
    pub id: Id,
    pub queue: Name,
    pub team: Name,
    /// Only the steps once the job is closed, and nothing once it is closed and has no runs left.
    pub spec: Arc<Spec>,
    /// Time of acceptance, in milliseconds since 1970.
    pub at_unix_ms: u64,
    /// For each step, the declared duration of the longest path through the graph that
    /// begins with it, in milliseconds.
    pub remaining_path_ms: Vec<u64>,
    /// Declared duration of the longest path through the graph, in milliseconds.
    pub critical_path_ms: u64,
    /// The record of acceptance is durable.
    pub is_durable: bool,
    /// The job was read from the log: an earlier owner may have started tasks.
    pub is_recovered: bool,
    pub has_started: bool,
    /// Final state, once it is decided. Callers see it only when it is durable.
    pub closed: Option<State>,
    /// The record of the final state is durable, so that callers may see the state.
    pub is_close_durable: bool,
    /// Time at which the final state was decided, in milliseconds since 1970.
    pub closed_unix_ms: u64,
    /// Tasks under which hosts have crashed.
    pub suspicions: BTreeMap<TaskId, Suspicion>,
    pub occurrences: Occurrences,
}

impl Job {
    pub fn new(id: Id, queue: Name, team: Name, spec: Spec, at_unix_ms: u64) -> Job {
        let remaining_path_ms = spec.remaining_path_ms();
        Job {
            id,
            queue,
            team,
            spec: Arc::new(spec),
            at_unix_ms,
            critical_path_ms: remaining_path_ms.iter().copied().max().unwrap_or(0),
            remaining_path_ms,
            is_durable: false,
            is_recovered: false,
            has_started: false,
            closed: None,
            is_close_durable: false,
            closed_unix_ms: 0,
            suspicions: BTreeMap::new(),
            occurrences: Occurrences::default(),
        }
    }

    /// Returns the total number of occurrences.
    pub fn total_occurrences(&self) -> u32 {
        self.spec.schedule.map_or(1, |schedule| schedule.occurrences.max(1))
    }

    /// Returns the time at which an occurrence becomes due, in milliseconds since 1970.
    pub fn due_unix_ms(&self, occurrence: u32) -> u64 {
        self.spec.schedule.map_or(self.at_unix_ms, |schedule| {
            let delay_ms = schedule.interval_ms.saturating_mul(u64::from(occurrence));
            schedule.first_unix_ms.saturating_add(delay_ms)
        })
    }

    /// Drops all of the specification but the steps, which tell the sizes of the runs that are left.
    pub fn keep_steps_only(&mut self) {
        let spec = Arc::make_mut(&mut self.spec);
        spec.payload = Name::from("");
        spec.schedule = None;
    }

    /// Begins the next occurrence. Returns its index.
    pub fn begin_occurrence(&mut self) -> u32 {
        self.occurrences.begin(&self.spec.steps)
    }

    /// Begins the next occurrences up to an index that the job has.
    pub fn begin_occurrences_up_to(&mut self, index: u32) {
        while self.occurrences.begun() <= index.min(self.total_occurrences() - 1) {
            self.begin_occurrence();
        }
    }

    /// Returns whether the next occurrence has to wait, although it is due, until another one is over.
    pub fn has_many_open_occurrences(&self) -> bool {
        self.occurrences.open() >= Job::max_open_occurrences(&self.spec)
    }

    /// Returns the largest number of occurrences of a job that are open at a time. Those of services
    /// are never over; the number of their tasks is limited.
    pub fn max_open_occurrences(spec: &Spec) -> usize {
        let occurrences = spec.schedule.map_or(1, |schedule| schedule.occurrences.max(1)) as usize;
        let is_service = spec.steps.iter().any(|step| step.is_service);
        let most = if is_service { usize::MAX } else { MAX_OPEN_OCCURRENCES };
        let by_tasks = u64::from(MAX_TASKS) / spec.tasks().max(1);
        most.min(by_tasks.max(1) as usize).min(occurrences)
    }

    pub fn step(&self, key: StepId) -> Option<&StepProgress> {
        self.occurrences.get(key.occurrence)?.get(usize::from(key.index))
    }

    pub fn step_mut(&mut self, key: StepId) -> Option<&mut StepProgress> {
        self.occurrences.get_mut(key.occurrence)?.get_mut(usize::from(key.index))
    }

    /// Returns whether all steps that a step depends on are done.
    pub fn is_ready(&self, key: StepId) -> bool {
        let Some(steps) = self.occurrences.get(key.occurrence) else { return false };
        let after = &self.spec.steps[usize::from(key.index)].after;
        after.iter().all(|at| steps[usize::from(*at)].is_done())
    }

    /// Returns whether all steps of all occurrences are done.
    pub fn is_finished(&self) -> bool {
        self.occurrences.begun() == self.total_occurrences() && self.occurrences.are_done()
    }

    /// Returns the state that callers may see.
    pub fn state(&self) -> State {
        match self.closed {
            Some(state) if self.is_close_durable => state,
            _ if self.has_started => State::Running,
            _ => State::Queued,
        }
    }

    /// Clears the tasks of a step that are done of all suspicion.
    pub fn clear_done_suspects(&mut self, step_id: StepId) {
        let Some(step) = self.occurrences.get(step_id.occurrence) else { return };
        let Some(step) = step.get(usize::from(step_id.index)) else { return };
        let is_done = |task: &TaskId| {
            task.step == step_id && step.tasks.get(task.index as usize).is_some_and(|t| t.is_done)
        };
        self.suspicions.retain(|task, _| !is_done(task));
    }

    /// Returns how the log tells the end of a run. Only the losses that count are logged as such,
    /// because a successor knows no more about them. A run that counts already may end later, as one
    /// that no report shows.
    pub fn logged_end(&self, task: TaskId, attempt: u32, how: RunEnd) -> RunEnd {
        let counted = || self.suspicions.get(&task)?.logged_loss(attempt);
        match how {
            RunEnd::HostCrashed | RunEnd::LeaseExpired | RunEnd::Collateral | RunEnd::Stopped => {
                counted().unwrap_or(RunEnd::Stopped)
            }
            _ => how,
        }
    }

    /// Returns whether the next run of a task has to be isolated.
    pub fn needs_isolation(&self, task: TaskId) -> bool {
        self.suspicions.get(&task).is_some_and(|suspicion| suspicion.needs_isolation)
    }

    /// Returns whether the next run of any task has to be isolated.
    pub fn has_suspects(&self) -> bool {
        self.suspicions.values().any(|suspicion| suspicion.needs_isolation)
    }

    /// Returns whether no other run may start on the hosts of the job's isolated runs. After two
    /// losses the next crash has to show whether a task of the job is at fault: one that another
    /// run may have caused says nothing about an innocent task and lets a deadly one start again.
    pub fn needs_sealed_host(&self) -> bool {
        self.suspicions.values().any(|suspicion| suspicion.losses() >= ISOLATE_AFTER)
    }

    /// Returns whether a host has crashed that had no other suspect than this job.
    pub fn is_prime_suspect(&self) -> bool {
        self.suspicions.values().any(|suspicion| suspicion.is_prime)
    }

    /// Describes what a successor has to know as well: which tasks are done, how often each has
    /// failed and how many losses of hosts count against it.
    pub fn describe_settled(&self) -> String {
        if let Some(state) = self.closed {
            return format!("{state:?}");
        }
        let mut rows: Vec<String> =
            self.occurrences.over().map(|occurrence| format!("{occurrence} over")).collect();
        for (occurrence, steps) in self.occurrences.iter() {
            if steps.iter().all(StepProgress::is_done) {
                rows.push(format!("{occurrence} over"));
                continue;
            }
            for (step, progress) in steps.iter().enumerate() {
                for (index, task) in progress.tasks.iter().enumerate() {
                    let is_done = task.is_done;
                    // Failures of a task that is done count no more.
                    let failures = if is_done { 0 } else { task.failed_attempts.len() };
                    if is_done || failures > 0 {
                        rows.push(format!("{occurrence}.{step}.{index} {is_done} {failures}"));
                    }
                }
            }
        }
        let losses = self.suspicions.iter().filter(|(_, suspicion)| suspicion.losses() > 0);
        let losses = losses.map(|(TaskId { step, index }, suspicion)| {
            let key = format!("{}.{}.{index}", step.occurrence, step.index);
            let is_isolated = suspicion.losses() >= ISOLATE_AFTER && suspicion.needs_isolation;
            format!("{key} lost {} {is_isolated}", suspicion.losses())
        });
        rows.extend(losses);
        rows.sort_unstable();
        rows.join(", ")
    }

    /// Returns the records that replace all earlier ones of the job: a snapshot, and the losses
    /// of hosts that count against its tasks or the final state. A closed job without runs needs no
    /// snapshot.
    pub fn records(&self) -> Vec<Record> {
        let mut records = Vec::new();
        if self.closed.is_none() || !self.spec.steps.is_empty() {
            records.push(Record::Snapshot(self.snapshot()));
        }
        if let Some(state) = self.closed {
            records.push(Record::Closed(Closed {
                job: self.id,
                queue: self.queue.clone(),
                team: self.team.clone(),
                state,
                at_unix_ms: self.closed_unix_ms,
            }));
        }
        for (task, suspicion) in &self.suspicions {
            records.extend(suspicion.attempts().filter_map(|attempt| {
                let (how, checkpoint) = (suspicion.logged_loss(attempt)?, Name::from(""));
                Some(Record::Ended(Ended { task: *task, attempt, how, checkpoint }))
            }));
        }
        records
    }

    /// Returns what a successor needs to continue the job.
    fn snapshot(&self) -> Snapshot {
        let mut tasks = self.rows_of_occurrences_over();
        for (occurrence, steps) in self.occurrences.iter() {
            for (index, step) in steps.iter().enumerate() {
                let key = StepId { job: self.id, occurrence, index: index as u16 };
                let is_large = step.tasks.len() > MAX_UNTOUCHED_ROWS;
                let attempt = step.tasks.untouched_attempt();
                if is_large && attempt > 0 {
                    tasks.push((key, UNTOUCHED, false, vec![], attempt, Name::from("")));
                }
                for (at, task) in step.tasks.iter().enumerate() {
                    if is_large && step.tasks.is_untouched(at) {
                        continue;
                    }
                    let checkpoint = task.checkpoint.clone().unwrap_or_else(|| Name::from(""));
                    if task.is_done || !task.failed_attempts.is_empty() || task.attempt > 0 {
                        tasks.push((
                            key,
                            at as u32,
                            task.is_done,
                            task.failed_attempts.clone(),
                            task.attempt,
                            checkpoint,
                        ));
                    }
                }
            }
        }
        Snapshot {
            job: self.id,
            queue: self.queue.clone(),
            team: self.team.clone(),
            at_unix_ms: self.at_unix_ms,
            spec: (*self.spec).clone(),
            has_started: self.has_started,
            tasks,
        }
    }

    /// Returns the rows of a snapshot that tell which occurrences are over: all their tasks are done.
    /// A row stands for all of them if they have many tasks. Older builds, which would run the tasks
    /// again, did not survive as many.
    fn rows_of_occurrences_over(&self) -> Vec<TaskRow> {
        let over = u64::from(self.occurrences.begun()) - self.occurrences.open() as u64;
        let row = |step_id, task, is_done| (step_id, task, is_done, vec![], 0, Name::from(""));
        if over * self.spec.tasks() > u64::from(MAX_TASKS) {
            let step_id = |occurrence, index| StepId { job: self.id, occurrence, index };
            let last = step_id(self.occurrences.begun() - 1, OVER);
            let open = self.occurrences.iter().map(|(occurrence, _)| step_id(occurrence, 0));
            return std::iter::once(row(last, 0, true))
                .chain(open.map(|step_id| row(step_id, 0, false)))
                .collect();
        }
        let mut rows = Vec::new();
        for occurrence in self.occurrences.over() {
            for (step, index) in self.spec.steps.iter().zip(0..) {
                let step_id = StepId { job: self.id, occurrence, index };
                rows.extend((0..step.tasks).map(|task| row(step_id, task, true)));
            }
        }
        rows
    }

    /// Applies a row of a snapshot.
    pub fn apply_row(&mut self, (step_id, index, is_done, failures, attempt, checkpoint): TaskRow) {
        if step_id.index == OVER {
            return self.occurrences.begin_over(step_id.occurrence);
        }
        self.begin_occurrences_up_to(step_id.occurrence);
        self.occurrences.reopen(step_id.occurrence, &self.spec.steps);
        let Some(step) = self.step_mut(step_id) else { return };
        if index == UNTOUCHED {
            return step.tasks.set_untouched_attempt(attempt);
        }
        if is_done {
            step.mark_done(index);
            return;
        }
        // A row may only tell that its occurrence is not over.
        if attempt == 0 && failures.is_empty() && checkpoint.is_empty() {
            return;
        }
        if let Some(task) = step.tasks.get_mut(index as usize) {
            task.failed_attempts.extend(failures);
            task.attempt = task.attempt.max(attempt);
            task.checkpoint =
                (!checkpoint.is_empty()).then_some(checkpoint).or(task.checkpoint.take());
        }
    }
}
