//! Safety rules, checked against the requests that workers got and the replies that callers
//! got.
//!
//! An upper-case word at the head of a message is the name under which the benchmark
//! reports the same violation.

use std::collections::{BTreeMap, BTreeSet};

use sycamore_graph::job::{Id, Spec, State, Step};
use sycamore_graph::{RunEnd, StepId, TaskId};
use sycamore_types::Name;
use sycamore_types::resources::Resources;

use crate::worker::Worker;

/// Starts of a task after three workers have crashed under it that break the rule.
const MAX_STARTS_AFTER_CRASHES: u32 = 3;

/// A run end that a worker has reported.
#[derive(Clone, Copy, Debug)]
pub struct End {
    pub task: TaskId,
    pub attempt: u32,
    pub how: RunEnd,
    pub at_ms: u64,
}

#[derive(Debug, Default)]
pub struct Oracle {
    pub jobs: BTreeMap<Id, Spec>,
    pub accepted: BTreeSet<Id>,
    pub cancelled: BTreeSet<Id>,
    pub shown: BTreeMap<Id, State>,
    done: BTreeSet<TaskId>,
    /// Tasks whose completion was acknowledged to the worker.
    acknowledged_done: BTreeSet<TaskId>,
    /// Time of the last start of each task, in milliseconds.
    last_start: BTreeMap<TaskId, u64>,
    /// Failed attempts at each task that were acknowledged, with the time of their end in
    /// milliseconds.
    failures: BTreeMap<TaskId, BTreeMap<u32, u64>>,
    /// Tasks that crash their worker.
    pub deadly: BTreeSet<TaskId>,
    /// Attempts at each task, or at any member of a gang, that failed.
    failed_runs: BTreeMap<TaskId, BTreeSet<u32>>,
    /// Crashes of workers under each task, and its starts after the third of them.
    crashes: BTreeMap<TaskId, (u32, u32)>,
    /// Crashes of workers so shortly after the end of a run of each task that no poll could show it.
    unclear_crashes: BTreeMap<TaskId, u32>,
    /// Preemptions of each task by one owner.
    yields: BTreeMap<(u64, TaskId), u32>,
    pub max_attempts: u32,
    pub limit_cpu: u32,
    pub starts: u64,
}

impl Oracle {
    pub fn is_step_done(&self, key: StepId) -> bool {
        let spec = &self.jobs[&key.job].steps[usize::from(key.index)];
        (0..spec.tasks).all(|index| self.done.contains(&TaskId { step: key, index }))
    }

    /// Checks a start that a worker has accepted.
    pub fn check_start(&mut self, now_ms: u64, task: TaskId, at: usize, workers: &[Worker]) {
        self.starts += 1;
        let job = task.step.job;
        assert!(self.accepted.contains(&job), "UNASKED: {job} was not accepted");
        assert!(
            !self.acknowledged_done.contains(&task),
            "TWICE: {task:?} is started although it is done"
        );
        self.last_start.insert(task, now_ms);
        let copies: usize = workers
            .iter()
            .filter(|worker| worker.is_alive)
            .map(|worker| worker.runs.keys().filter(|(other, _)| *other == task).count())
            .sum();
        assert!(copies <= 1, "TWICE: {task:?} runs {copies} times");
        let spec = &self.jobs[&job];
        for earlier in &spec.steps[usize::from(task.step.index)].after {
            let earlier = StepId { index: *earlier, ..task.step };
            assert!(self.is_step_done(earlier), "ORDER: {task:?} before {earlier:?}");
        }
        let failed = self.failures.get(&task).map_or(0, BTreeMap::len) as u32;
        let is_service = spec.steps[usize::from(task.step.index)].is_service;
        assert!(
            is_service || failed < self.max_attempts,
            "BUDGET: {task:?} after {failed} failures"
        );
        if self.deadly.contains(&task)
            && let Some((crashes, starts)) = self.crashes.get_mut(&task).filter(|(n, _)| *n >= 3)
        {
            *starts += 1;
            assert!(*starts < MAX_STARTS_AFTER_CRASHES, "BUDGET: {task:?} after {crashes} crashes");
        }
        let worker = &workers[at];
        let capacity = worker.cpu_limit(now_ms);
        assert!(worker.used_cpu() <= capacity, "LIMIT: {} over its capacity", worker.entry.id);
        let running: u32 =
            workers.iter().filter(|worker| worker.is_alive).map(Worker::used_cpu).sum();
        let fits = self.limit_cpu == 0 || running <= self.limit_cpu;
        assert!(fits, "QUOTA: {running} running, {} allowed", self.limit_cpu);
        let runs_beside = |is_kind: fn(&Step) -> bool| {
            worker.runs.keys().any(|(other, _)| is_kind(self.step(other.step)))
        };
        let is_shared = runs_beside(|step| step.latency_objective_ms > 0)
            && runs_beside(|step| step.is_best_effort);
        assert!(!is_shared, "HARM: {task:?} shares {}", worker.entry.id);
    }

    pub fn step(&self, step_id: StepId) -> &Step {
        &self.jobs[&step_id.job].steps[usize::from(step_id.index)]
    }

    /// Checks that a best-effort run may be stopped for a task with a latency objective, beside the
    /// runs whose stop was decided before.
    pub fn check_clearing(
        &self,
        task: TaskId,
        workers: &[Worker],
        cleared: &[(Name, TaskId, u32)],
    ) {
        let step = self.step(task.step);
        let Some(most) = step.max_unavailable else { return };
        let is_at_work = |other: TaskId| {
            let alive = workers.iter().filter(|worker| worker.is_alive);
            let runs =
                alive.flat_map(|worker| worker.runs.keys().map(|key| (&worker.entry.id, key)));
            let mut runs = runs.filter(|(_, (of, _))| *of == other);
            runs.any(|(name, (_, attempt))| !cleared.contains(&(name.clone(), other, *attempt)))
        };
        let others = (0..step.tasks).filter(|index| *index != task.index);
        let absent =
            others.filter(|index| !is_at_work(TaskId { step: task.step, index: *index })).count();
        assert!(absent < most as usize, "AVAIL: {task:?} is stopped, {absent} others are away");
    }

    /// Checks the acknowledgement of a run end. Skipped if the lease expired in between, as
    /// the owner may then count the run as ended without its report.
    pub fn check_acknowledgement(&mut self, end: &End, is_excused: bool) {
        if is_excused {
            return;
        }
        let task = end.task;
        let restarted = self.last_start.get(&task).is_some_and(|at| *at > end.at_ms);
        match end.how {
            RunEnd::Done => {
                assert!(!restarted, "TWICE: {task:?} was started after its end");
                self.acknowledged_done.insert(task);
            }
            RunEnd::Failed => {
                let failed = self.failures.entry(task).or_default();
                failed.insert(end.attempt, end.at_ms);
                let steps = &self.jobs[&task.step.job].steps;
                let is_service = steps[usize::from(task.step.index)].is_service;
                // Ends may be acknowledged in another order than they came about.
                let mut ends_ms: Vec<u64> = failed.values().copied().collect();
                ends_ms.sort_unstable();
                let spent_ms = ends_ms.get(self.max_attempts as usize - 1);
                let last_start = self.last_start.get(&task);
                let is_late = spent_ms.zip(last_start).is_some_and(|(spent, start)| start > spent);
                assert!(
                    is_service || !is_late,
                    "BUDGET: {task:?} was started after its last allowed attempt"
                );
            }
            _ => {}
        }
    }

    /// Checks that a run may be stopped to give room to others.
    pub fn check_preemption(&mut self, task: TaskId, epoch: u64) {
        let step = &self.jobs[&task.step.job].steps[usize::from(task.step.index)];
        assert!(!step.is_gang, "GANG: member {task:?} is preempted");
        assert!(step.max_unavailable.is_none(), "AVAIL: {task:?} has a disruption budget");
        assert!(!step.is_service && !step.is_best_effort, "{task:?} is preempted");
        let yields = self.yields.entry((epoch, task)).or_default();
        *yields += 1;
        assert!(*yields <= 2, "{task:?} is preempted {yields} times");
    }

    /// Checks that a run may be stopped for a gang whose room it uses.
    pub fn check_recall(&mut self, task: TaskId, beneficiary: StepId, epoch: u64) {
        let gang = self.step(beneficiary);
        assert!(gang.is_gang, "{task:?} is stopped for {beneficiary:?}, which is no gang");
        assert!(task.step != beneficiary, "{task:?} is stopped for its own step");
        let step = self.step(task.step);
        assert!(step.max_unavailable.is_none(), "AVAIL: {task:?} has a disruption budget");
        assert!(!step.is_service, "{task:?} lasts and is stopped for a gang");
        let counted = TaskId { index: if step.is_gang { 0 } else { task.index }, ..task };
        let yields = self.yields.entry((epoch, counted)).or_default();
        *yields += 1;
        assert!(*yields <= 2, "{task:?} is stopped for others {yields} times");
    }

    /// Records that a worker crashed while it had a run of the task.
    pub fn record_crash(&mut self, task: TaskId) {
        self.crashes.entry(task).or_default().0 += 1;
    }

    /// Records that a worker crashed so shortly after the end of a run of the task that no poll could
    /// show it. To any owner that is a crash under the task.
    pub fn record_unclear_crash(&mut self, task: TaskId) {
        *self.unclear_crashes.entry(task).or_default() += 1;
    }

    /// Records that a run failed.
    pub fn record_failed_run(&mut self, task: TaskId, attempt: u32) {
        let is_gang = self.jobs[&task.step.job].steps[usize::from(task.step.index)].is_gang;
        let task = if is_gang { TaskId { index: 0, ..task } } else { task };
        self.failed_runs.entry(task).or_default().insert(attempt);
    }

    /// Returns whether a job may be shown as failed.
    fn may_fail(&self, job: Id) -> bool {
        let of_job = |task: &TaskId| task.step.job == job;
        let mut failed = self.failed_runs.iter().filter(|(task, _)| of_job(task));
        let mut crashed =
            self.crashes.keys().chain(self.unclear_crashes.keys()).filter(|task| of_job(task));
        let may_count = |task: &TaskId| {
            self.crashes_under(*task) + self.unclear_crashes.get(task).copied().unwrap_or(0)
        };
        failed.any(|(_, attempts)| attempts.len() as u32 >= self.max_attempts)
            || crashed.any(|task| may_count(task) >= 2)
    }

    pub fn crashes_under(&self, task: TaskId) -> u32 {
        self.crashes.get(&task).map_or(0, |(crashes, _)| *crashes)
    }

    /// Records that a run completed its task, or its whole gang.
    pub fn mark_done(&mut self, task: TaskId) {
        let spec = &self.jobs[&task.step.job].steps[usize::from(task.step.index)];
        let members = if spec.is_gang { 0..spec.tasks } else { task.index..task.index + 1 };
        self.done.extend(members.map(|index| TaskId { step: task.step, index }));
    }

    /// Checks a state that a caller was given.
    pub fn check_state(&mut self, job: Id, state: State) {
        if let Some(before) = self.shown.insert(job, state) {
            assert!(
                !before.is_terminal() || before == state,
                "{job} went from {before:?} to {state:?}"
            );
        }
        if state == State::Complete {
            let steps = self.jobs[&job].steps.len() as u16;
            let key = |index| StepId { job, occurrence: 0, index };
            assert!((0..steps).all(|at| self.is_step_done(key(at))), "MIXED: {job} isn't complete");
        }
        if state == State::Failed {
            assert!(self.may_fail(job), "LOST: {job} is shown as failed without a cause");
        }
        if state == State::Cancelled {
            assert!(self.cancelled.contains(&job), "LOST: nobody cancelled {job}");
        }
    }

    pub fn set_limit(&mut self, limit: Resources) {
        self.limit_cpu = limit.cpu_millis;
    }
}
