//! Checks the product's invariants against what callers and workers saw.
//!
//! The checker replays the history in order and uses no logs or internal state of the
//! processes. An end that was not acknowledged may have been lost with its worker, so only
//! acknowledged ends forbid a further run.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use serde::Serialize;
use sycamore_standin::fenced::Observation;

use crate::caller::MAX_VISIBILITY_DELAY;
use crate::history::{Entry, Event, Probe, ReportedState};
use crate::scenario::{Job, MAX_ATTEMPTS, Step, TEAM_LIMIT_CPU_MILLIS, WORKER_CPU_MILLIS};

/// Time after the response to a cancel from which no task of the job may start, in
/// milliseconds, as documented for the platform's sites.
const MAX_CANCEL_DELAY_MS: u64 = 3_000;

/// Time without faults before that time starts, in milliseconds, as documented for the
/// platform's sites.
pub(crate) const STABILITY_MS: u64 = 4_000;

/// Fraction by which a team may exceed its limit, as documented for the platform's sites.
/// The check allows one further task on top.
const MAX_LIMIT_OVERAGE: f64 = 0.1;

/// Crashes of workers under a task from which its job may be given up, by the documentation of the
/// platform.
const MIN_CRASHES: u32 = 2;

/// Starts of a task that crashes its workers after the third crash, likewise.
const MAX_STARTS_AFTER_CRASHES: u32 = 2;

/// A guarantee that the product gives to callers and workers.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Invariant {
    /// A task has at most one run at a time, and none after its success was acknowledged.
    Once,
    /// The tasks on a worker never need more CPU than it has.
    Capacity,
    /// A step that depends on the previous one starts only after that one is done.
    Order,
    /// A team stays within its CPU limit and the allowed overage.
    Limit,
    /// A task that has failed as often as its queue allows, or under which workers crash, is not
    /// started again.
    Attempts,
    /// Only submitted jobs run, unchanged, and nothing of them starts long after a cancel.
    Asked,
    /// A job whose every submission was refused never runs.
    Refused,
    /// A state shown to a caller agrees with what callers and workers did.
    Truth,
    /// An accepted job stays known and reaches a final state.
    Kept,
    /// A process exits only when it is killed or told to stop.
    Running,
    /// Without faults, a written version of the configuration is in force everywhere in time.
    Fresh,
    /// A process that knows a version of the configuration does not go back to an older one.
    Forward,
}

/// One violation of an invariant.
#[derive(Clone, Debug, Serialize)]
pub struct Violation {
    /// The violated invariant.
    #[serde(rename = "promise")]
    pub invariant: Invariant,
    /// When it was seen, in milliseconds since the round started.
    pub at_ms: u64,
    /// The job, task, worker or process concerned, and what went wrong.
    #[serde(rename = "what")]
    pub detail: String,
}

/// What the history has shown of a job so far.
#[derive(Debug, Default)]
struct JobFacts {
    is_submitted: bool,
    /// Time of the first response that accepted the job.
    accepted_ms: Option<u64>,
    refusals: u32,
    /// Submissions for which no response tells whether the job was accepted.
    unanswered: u32,
    is_cancel_sent: bool,
    /// Time of the first response that confirmed a cancel.
    cancelled_ms: Option<u64>,
    has_started: bool,
    /// State that a caller was shown last.
    last_state: Option<ReportedState>,
}

/// What the history has shown of a task so far.
#[derive(Debug, Default)]
struct TaskFacts {
    /// Runs in progress, as worker and attempt.
    running: Vec<(String, u64)>,
    /// Attempts that succeeded, acknowledged or not.
    done: BTreeSet<u64>,
    is_done_acknowledged: bool,
    /// Successful ends in order. An end that is not acknowledged may be lost with its worker,
    /// and its attempt be numbered anew on another worker.
    successes: Vec<Success>,
    /// Attempts that failed, acknowledged or not.
    failed: BTreeSet<u64>,
    failed_acknowledged: BTreeSet<u64>,
    /// Workers that crashed under it.
    crashes: u32,
    /// Starts after the third of them.
    starts_after_crashes: u32,
}

/// Successful end of a run.
#[derive(Debug)]
struct Success {
    worker: String,
    attempt: u64,
    /// The task was started again after it. That is a violation once it is acknowledged.
    is_superseded: bool,
}

/// Job, step and index of a task. The occurrence is left out, since jobs of a round run once.
type TaskKey = (u64, usize, u32);

struct Checker<'a> {
    jobs: HashMap<u64, &'a Job>,
    jobs_seen: BTreeMap<u64, JobFacts>,
    tasks: HashMap<TaskKey, TaskFacts>,
    /// CPU of the running tasks by worker, in thousandths of a core.
    worker_cpu_millis: HashMap<String, u32>,
    /// CPU of the running tasks by team, in thousandths of a core.
    team_cpu_millis: HashMap<usize, u32>,
    /// When each version of the configuration was written, and the time it may take.
    config_written: HashMap<u64, (u64, u64)>,
    /// Highest version that each process has known since its start.
    known_versions: HashMap<usize, u64>,
    /// Faults that have begun and not ended.
    active_faults: u32,
    /// When the last fault ended.
    last_fault_ms: u64,
    violations: Vec<Violation>,
}

/// Returns all violations in the order in which they were seen.
pub fn check(jobs: &[Job], entries: &[Entry]) -> Vec<Violation> {
    let mut checker = Checker {
        jobs: jobs.iter().map(|job| (job.id, job)).collect(),
        jobs_seen: BTreeMap::new(),
        tasks: HashMap::new(),
        worker_cpu_millis: HashMap::new(),
        team_cpu_millis: HashMap::new(),
        config_written: HashMap::new(),
        known_versions: HashMap::new(),
        active_faults: 0,
        last_fault_ms: 0,
        violations: Vec::new(),
    };
    for entry in entries {
        checker.apply(entry.at_ms, &entry.event);
    }
    checker.check_at_end(entries.last().map_or(0, |entry| entry.at_ms));
    checker.violations
}

/// Parses a task name of the form JOB.OCCURRENCE.STEP.INDEX, with the job in hexadecimal.
fn parse_task_name(task: &str) -> Option<TaskKey> {
    let mut parts = task.split('.');
    let job = u64::from_str_radix(parts.next()?, 16).ok()?;
    let _occurrence = parts.next()?;
    Some((job, parts.next()?.parse().ok()?, parts.next()?.parse().ok()?))
}

impl Checker<'_> {
    fn record_violation(&mut self, invariant: Invariant, at_ms: u64, detail: impl Into<String>) {
        self.violations.push(Violation { invariant, at_ms, detail: detail.into() });
    }

    fn apply(&mut self, at_ms: u64, event: &Event) {
        match event {
            Event::Sent(id) => self.job_facts(*id).is_submitted = true,
            Event::Answered(id, Some(200..300)) => {
                self.job_facts(*id).accepted_ms.get_or_insert(at_ms);
            }
            Event::Answered(id, Some(_)) => self.job_facts(*id).refusals += 1,
            Event::Answered(id, None) => self.job_facts(*id).unanswered += 1,
            Event::CancelSent(id) => self.job_facts(*id).is_cancel_sent = true,
            Event::Cancelled(id) => {
                self.job_facts(*id).cancelled_ms.get_or_insert(at_ms);
            }
            Event::Shown(id, state) => self.on_state_reported(at_ms, *id, *state),
            Event::Exited(number) => {
                let detail = format!("process {number} exited without being stopped");
                self.record_violation(Invariant::Running, at_ms, detail);
            }
            Event::Started(number) => {
                self.known_versions.remove(number);
            }
            Event::FaultBegan => self.active_faults += 1,
            Event::FaultEnded => {
                self.active_faults = self.active_faults.saturating_sub(1);
                self.last_fault_ms = at_ms;
            }
            Event::ConfigWritten(version, apply_ms) => {
                self.config_written.insert(*version, (at_ms, *apply_ms));
            }
            Event::Probed(probe) => self.on_probed(at_ms, probe),
            Event::Worker(worker, Observation::Started { task, attempt, payload }) => {
                self.on_started(at_ms, worker, task, *attempt, payload);
            }
            Event::Worker(worker, Observation::Ended { task, attempt, how }) => {
                self.on_ended(worker, task, *attempt, how);
            }
            Event::Worker(worker, Observation::Noted { task, attempt, how }) => {
                self.on_acknowledged(at_ms, worker, task, *attempt, how);
            }
        }
    }

    fn on_probed(&mut self, at_ms: u64, probe: &Probe) {
        let Probe { process, version, sent_ms, is_known } = *probe;
        let known = self.known_versions.entry(process).or_default();
        if is_known {
            *known = version.max(*known);
            return;
        }
        if version <= *known {
            let detail = format!("process {process} knew version {known}, but no longer {version}");
            self.record_violation(Invariant::Forward, at_ms, detail);
        }
        let Some((written_ms, apply_ms)) = self.config_written.get(&version).copied() else {
            return;
        };
        let is_stable = self.active_faults == 0;
        let due_ms = apply_ms + written_ms.max(self.last_fault_ms + STABILITY_MS);
        if is_stable && sent_ms > due_ms {
            let late_ms = sent_ms - written_ms;
            let detail = format!("process {process} lacks version {version} after {late_ms} ms");
            self.record_violation(Invariant::Fresh, at_ms, detail);
        }
    }

    fn job_facts(&mut self, id: u64) -> &mut JobFacts {
        self.jobs_seen.entry(id).or_default()
    }

    fn on_started(&mut self, at_ms: u64, worker: &str, task: &str, attempt: u64, payload: &str) {
        let found = parse_task_name(task).and_then(|key| {
            let job = *self.jobs.get(&key.0)?;
            Some((key, job, job.steps.get(key.1)?))
        });
        let Some((key, job, step)) = found else {
            return self.record_violation(
                Invariant::Asked,
                at_ms,
                format!("{task} belongs to no job of the round"),
            );
        };
        let facts = self.job_facts(job.id);
        facts.has_started = true;
        let (is_submitted, cancelled_ms) = (facts.is_submitted, facts.cancelled_ms);
        if !is_submitted || job.payload() != payload || key.2 >= step.tasks {
            self.record_violation(
                Invariant::Asked,
                at_ms,
                format!("{task} does not match a submitted job"),
            );
        }
        if cancelled_ms.is_some_and(|cancelled_ms| at_ms > cancelled_ms + MAX_CANCEL_DELAY_MS) {
            self.record_violation(
                Invariant::Asked,
                at_ms,
                format!("{task} started after its job was cancelled"),
            );
        }
        if key.1 > 0 && step.is_after && !self.is_step_done(job, key.1 - 1) {
            self.record_violation(
                Invariant::Order,
                at_ms,
                format!("{task} started before the previous step was done"),
            );
        }
        self.check_attempt(at_ms, key, task);
        self.check_crashes(at_ms, job, key, task);
        self.check_capacity_and_limit(at_ms, worker, job, step, task);
        self.tasks.entry(key).or_default().running.push((worker.to_string(), attempt));
    }

    fn check_attempt(&mut self, at_ms: u64, key: TaskKey, task: &str) {
        let facts = self.tasks.entry(key).or_default();
        facts.successes.iter_mut().for_each(|success| success.is_superseded = true);
        let (is_repeated, failed) = (
            facts.is_done_acknowledged || !facts.running.is_empty(),
            facts.failed_acknowledged.len(),
        );
        if is_repeated {
            self.record_violation(
                Invariant::Once,
                at_ms,
                format!("{task} started while it ran or after it was done"),
            );
        }
        if failed as u64 >= MAX_ATTEMPTS {
            self.record_violation(
                Invariant::Attempts,
                at_ms,
                format!("{task} started again after {failed} failures"),
            );
        }
    }

    fn check_crashes(&mut self, at_ms: u64, job: &Job, key: TaskKey, task: &str) {
        let facts = self.tasks.entry(key).or_default();
        if !job.is_deadly || facts.crashes <= MIN_CRASHES {
            return;
        }
        facts.starts_after_crashes += 1;
        if facts.starts_after_crashes > MAX_STARTS_AFTER_CRASHES {
            let detail = format!("{task} started again after {} crashes", facts.crashes);
            self.record_violation(Invariant::Attempts, at_ms, detail);
        }
    }

    fn check_capacity_and_limit(
        &mut self,
        at_ms: u64,
        worker: &str,
        job: &Job,
        step: &Step,
        task: &str,
    ) {
        let used = self.worker_cpu_millis.entry(worker.to_string()).or_default();
        *used += step.cpu_millis;
        if *used > WORKER_CPU_MILLIS {
            let detail = format!(
                "{worker} runs {used} of {WORKER_CPU_MILLIS} thousandths of a core with {task}"
            );
            self.record_violation(Invariant::Capacity, at_ms, detail);
        }
        let used = self.team_cpu_millis.entry(job.team).or_default();
        *used += step.cpu_millis;
        let allowed =
            (f64::from(TEAM_LIMIT_CPU_MILLIS) * (1.0 + MAX_LIMIT_OVERAGE)) as u32 + step.cpu_millis;
        if job.team > 0 && *used > allowed {
            let detail = format!(
                "team {} uses {used} of {TEAM_LIMIT_CPU_MILLIS} thousandths of a core with {task}",
                job.team
            );
            self.record_violation(Invariant::Limit, at_ms, detail);
        }
    }

    fn on_ended(&mut self, worker: &str, task: &str, attempt: u64, how: &str) {
        let Some(key) = parse_task_name(task) else { return };
        let facts = self.tasks.entry(key).or_default();
        facts.running.retain(|run| (run.0.as_str(), run.1) != (worker, attempt));
        if how == "done" {
            facts.done.insert(attempt);
            let success = Success { worker: worker.to_string(), attempt, is_superseded: false };
            facts.successes.push(success);
        }
        if how == "failed" {
            facts.failed.insert(attempt);
        }
        facts.crashes += u32::from(how == "crashed");
        let Some(job) = self.jobs.get(&key.0) else { return };
        let cpu_millis = job.steps.get(key.1).map_or(0, |step| step.cpu_millis);
        let used = self.worker_cpu_millis.entry(worker.to_string()).or_default();
        *used = used.saturating_sub(cpu_millis);
        let used = self.team_cpu_millis.entry(job.team).or_default();
        *used = used.saturating_sub(cpu_millis);
    }

    fn on_acknowledged(&mut self, at_ms: u64, worker: &str, task: &str, attempt: u64, how: &str) {
        let Some(key) = parse_task_name(task) else { return };
        let facts = self.tasks.entry(key).or_default();
        match how {
            "failed" => {
                facts.failed_acknowledged.insert(attempt);
            }
            "done" => {
                facts.is_done_acknowledged = true;
                // A worker that lost power has forgotten its earlier ends.
                let is_this = |success: &&Success| {
                    (success.worker.as_str(), success.attempt) == (worker, attempt)
                };
                let acknowledged = facts.successes.iter().rev().find(is_this);
                if acknowledged.is_some_and(|success| success.is_superseded) {
                    self.record_violation(
                        Invariant::Once,
                        at_ms,
                        format!("{task} was started again although its success was acknowledged"),
                    );
                }
            }
            _ => {}
        }
    }

    fn is_step_done(&self, job: &Job, step: usize) -> bool {
        let is_done = |index| {
            self.tasks.get(&(job.id, step, index)).is_some_and(|facts| !facts.done.is_empty())
        };
        (0..job.steps[step].tasks).all(is_done)
    }

    fn on_state_reported(&mut self, at_ms: u64, id: u64, state: ReportedState) {
        let Some(job) = self.jobs.get(&id).copied() else { return };
        let facts = self.job_facts(id);
        facts.last_state = Some(state);
        let (accepted_ms, is_cancel_sent) = (facts.accepted_ms, facts.is_cancel_sent);
        let has_failed = |facts: &TaskFacts| {
            facts.failed.len() as u64 >= MAX_ATTEMPTS || facts.crashes >= MIN_CRASHES
        };
        let is_true = match state {
            ReportedState::Open => true,
            ReportedState::Complete => {
                (0..job.steps.len()).all(|step| self.is_step_done(job, step))
            }
            ReportedState::Failed => self.tasks.iter().any(|(key, v)| key.0 == id && has_failed(v)),
            ReportedState::Cancelled => is_cancel_sent,
            ReportedState::Unknown => {
                let since = accepted_ms.map(|accepted_ms| at_ms.saturating_sub(accepted_ms));
                if !is_cancel_sent
                    && since.is_some_and(|since| since > MAX_VISIBILITY_DELAY.as_millis() as u64)
                {
                    let detail = format!("{id:016x} was accepted but is unknown");
                    self.record_violation(Invariant::Kept, at_ms, detail);
                }
                true
            }
        };
        if !is_true {
            self.record_violation(
                Invariant::Truth,
                at_ms,
                format!("{id:016x} is wrongly shown as {state:?}"),
            );
        }
    }

    /// Checks what only shows at the end of a round: refused jobs that ran, and accepted jobs that
    /// have not ended though no cancel was sent for them.
    fn check_at_end(&mut self, at_ms: u64) {
        for (id, facts) in std::mem::take(&mut self.jobs_seen) {
            let has_ended =
                matches!(facts.last_state, Some(ReportedState::Complete | ReportedState::Failed));
            let must_have_ended = facts.accepted_ms.is_some() && !facts.is_cancel_sent;
            if must_have_ended && !has_ended {
                let detail = format!(
                    "{id:016x} was accepted but has not ended; last shown state: {:?}",
                    facts.last_state
                );
                self.record_violation(Invariant::Kept, at_ms, detail);
            }
            let is_refused =
                facts.accepted_ms.is_none() && facts.unanswered == 0 && facts.refusals > 0;
            if is_refused && facts.has_started {
                self.record_violation(
                    Invariant::Refused,
                    at_ms,
                    format!("{id:016x} was refused but ran"),
                );
            }
        }
    }
}
