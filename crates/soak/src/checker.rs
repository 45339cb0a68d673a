//! Checks the promises against what callers and workers saw.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use serde::Serialize;
use sycamore_standin::fenced::Observation;

use crate::caller::VISIBLE;
use crate::history::{Entry, Event, Shown};
use crate::scenario::{Job, MAX_ATTEMPTS, Step, TEAM_LIMIT_CPU, WORKER_CPU};

/// Time after a cancel was answered from which nothing may start, in milliseconds. The
/// documented sites' bound.
const CANCEL_MS: u64 = 3_000;

/// Part by which a team may be over its limit. The documented sites' bound; one further
/// task is allowed on top.
const LIMIT_OVERAGE: f64 = 0.1;

/// What the product promises.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Promise {
    /// A task runs once at a time, and not again once it is done.
    Once,
    /// A worker is never given more than it holds.
    Capacity,
    /// A step waits for those before it.
    Order,
    /// A team stays within its limit.
    Limit,
    /// A task that has failed as often as allowed is not started again.
    Attempts,
    /// Only what was handed in, as it was, and not what was cancelled, is started.
    Asked,
    /// What was refused never runs.
    Refused,
    /// States that are shown are true.
    Truth,
    /// What was accepted is known, and ends.
    Kept,
    /// A process ends only when it is killed or told to stop.
    Running,
}

/// A promise that was broken.
#[derive(Clone, Debug, Serialize)]
pub struct Breach {
    /// The promise.
    pub promise: Promise,
    /// When it was seen, in milliseconds since the round began.
    pub at_ms: u64,
    /// With what.
    pub what: String,
}

#[derive(Debug, Default)]
struct JobView {
    is_sent: bool,
    accepted_ms: Option<u64>,
    refusals: u32,
    unanswered: u32,
    is_cancel_sent: bool,
    cancelled_ms: Option<u64>,
    has_started: bool,
    last: Option<Shown>,
}

#[derive(Debug, Default)]
struct TaskView {
    running: Vec<(String, u64)>,
    /// Attempts that ended as done.
    done: BTreeSet<u64>,
    is_noted: bool,
    /// Attempts after whose end the task was started again: wrong if the end counts.
    overtaken: BTreeSet<u64>,
    failed: BTreeSet<u64>,
    failed_noted: BTreeSet<u64>,
}

/// A task's name: job, step, index. Jobs of a round run once.
type TaskKey = (u64, usize, u32);

struct Checker<'a> {
    jobs: HashMap<u64, &'a Job>,
    views: BTreeMap<u64, JobView>,
    tasks: HashMap<TaskKey, TaskView>,
    used: HashMap<String, u32>,
    team_used: HashMap<usize, u32>,
    breaches: Vec<Breach>,
}

/// Returns every broken promise in the order in which it was seen.
pub fn check(jobs: &[Job], entries: &[Entry]) -> Vec<Breach> {
    let mut checker = Checker {
        jobs: jobs.iter().map(|job| (job.id, job)).collect(),
        views: BTreeMap::new(),
        tasks: HashMap::new(),
        used: HashMap::new(),
        team_used: HashMap::new(),
        breaches: Vec::new(),
    };
    for entry in entries {
        checker.take(entry.at_ms, &entry.event);
    }
    checker.close(entries.last().map_or(0, |entry| entry.at_ms));
    checker.breaches
}

fn parse(task: &str) -> Option<TaskKey> {
    let mut parts = task.split('.');
    let job = u64::from_str_radix(parts.next()?, 16).ok()?;
    let _occurrence = parts.next()?;
    Some((job, parts.next()?.parse().ok()?, parts.next()?.parse().ok()?))
}

impl Checker<'_> {
    fn breach(&mut self, promise: Promise, at_ms: u64, what: impl Into<String>) {
        self.breaches.push(Breach { promise, at_ms, what: what.into() });
    }

    fn take(&mut self, at_ms: u64, event: &Event) {
        match event {
            Event::Sent(id) => self.view(*id).is_sent = true,
            Event::Answered(id, Some(200..300)) => {
                self.view(*id).accepted_ms.get_or_insert(at_ms);
            }
            Event::Answered(id, Some(_)) => self.view(*id).refusals += 1,
            Event::Answered(id, None) => self.view(*id).unanswered += 1,
            Event::CancelSent(id) => self.view(*id).is_cancel_sent = true,
            Event::Cancelled(id) => {
                self.view(*id).cancelled_ms.get_or_insert(at_ms);
            }
            Event::Shown(id, shown) => self.shown(at_ms, *id, *shown),
            Event::Exited(number) => {
                let what = format!("process {number} ended by itself");
                self.breach(Promise::Running, at_ms, what);
            }
            Event::Worker(worker, Observation::Started { task, attempt, payload }) => {
                self.started(at_ms, worker, task, *attempt, payload);
            }
            Event::Worker(worker, Observation::Ended { task, attempt, how }) => {
                self.ended(worker, task, *attempt, how);
            }
            Event::Worker(_, Observation::Noted { task, attempt, how }) => {
                self.noted(at_ms, task, *attempt, how);
            }
        }
    }

    fn view(&mut self, id: u64) -> &mut JobView {
        self.views.entry(id).or_default()
    }

    fn started(&mut self, at_ms: u64, worker: &str, task: &str, attempt: u64, payload: &str) {
        let found = parse(task).and_then(|key| {
            let job = *self.jobs.get(&key.0)?;
            Some((key, job, job.steps.get(key.1)?))
        });
        let Some((key, job, step)) = found else {
            return self.breach(Promise::Asked, at_ms, format!("{task} was never handed in"));
        };
        let view = self.view(job.id);
        view.has_started = true;
        let (is_sent, cancelled_ms) = (view.is_sent, view.cancelled_ms);
        if !is_sent || job.payload() != payload || key.2 >= step.tasks {
            self.breach(Promise::Asked, at_ms, format!("{task} was not handed in like this"));
        }
        if cancelled_ms.is_some_and(|cancelled_ms| at_ms > cancelled_ms + CANCEL_MS) {
            self.breach(Promise::Asked, at_ms, format!("{task} starts after its cancel"));
        }
        if key.1 > 0 && step.is_after && !self.is_step_done(job, key.1 - 1) {
            self.breach(Promise::Order, at_ms, format!("{task} starts before its turn"));
        }
        self.check_task(at_ms, key, task);
        self.check_room(at_ms, worker, job, step, task);
        self.tasks.entry(key).or_default().running.push((worker.to_string(), attempt));
    }

    fn check_task(&mut self, at_ms: u64, key: TaskKey, task: &str) {
        let view = self.tasks.entry(key).or_default();
        view.overtaken.extend(view.done.iter());
        let (is_twice, failed) =
            (view.is_noted || !view.running.is_empty(), view.failed_noted.len());
        if is_twice {
            self.breach(Promise::Once, at_ms, format!("{task} starts while it runs or is done"));
        }
        if failed as u64 >= MAX_ATTEMPTS {
            self.breach(Promise::Attempts, at_ms, format!("{task} has failed {failed} times"));
        }
    }

    fn check_room(&mut self, at_ms: u64, worker: &str, job: &Job, step: &Step, task: &str) {
        let used = self.used.entry(worker.to_string()).or_default();
        *used += step.cpu_millis;
        if *used > WORKER_CPU {
            let what = format!("{worker} has {used} of {WORKER_CPU} with {task}");
            self.breach(Promise::Capacity, at_ms, what);
        }
        let used = self.team_used.entry(job.team).or_default();
        *used += step.cpu_millis;
        let most = (f64::from(TEAM_LIMIT_CPU) * (1.0 + LIMIT_OVERAGE)) as u32 + step.cpu_millis;
        if job.team > 0 && *used > most {
            let what = format!("team {} has {used} of {TEAM_LIMIT_CPU} with {task}", job.team);
            self.breach(Promise::Limit, at_ms, what);
        }
    }

    fn ended(&mut self, worker: &str, task: &str, attempt: u64, how: &str) {
        let Some(key) = parse(task) else { return };
        let view = self.tasks.entry(key).or_default();
        view.running.retain(|run| (run.0.as_str(), run.1) != (worker, attempt));
        if how == "done" {
            view.done.insert(attempt);
        }
        if how == "failed" {
            view.failed.insert(attempt);
        }
        let Some(job) = self.jobs.get(&key.0) else { return };
        let cpu_millis = job.steps.get(key.1).map_or(0, |step| step.cpu_millis);
        let used = self.used.entry(worker.to_string()).or_default();
        *used = used.saturating_sub(cpu_millis);
        let used = self.team_used.entry(job.team).or_default();
        *used = used.saturating_sub(cpu_millis);
    }

    fn noted(&mut self, at_ms: u64, task: &str, attempt: u64, how: &str) {
        let Some(key) = parse(task) else { return };
        let view = self.tasks.entry(key).or_default();
        match how {
            "failed" => {
                view.failed_noted.insert(attempt);
            }
            "done" => {
                view.is_noted = true;
                if view.overtaken.contains(&attempt) {
                    self.breach(Promise::Once, at_ms, format!("{task} had been started again"));
                }
            }
            _ => {}
        }
    }

    fn is_step_done(&self, job: &Job, at: usize) -> bool {
        let is_done =
            |index| self.tasks.get(&(job.id, at, index)).is_some_and(|view| !view.done.is_empty());
        (0..job.steps[at].tasks).all(is_done)
    }

    fn shown(&mut self, at_ms: u64, id: u64, shown: Shown) {
        let Some(job) = self.jobs.get(&id).copied() else { return };
        let view = self.view(id);
        view.last = Some(shown);
        let (accepted_ms, is_cancel_sent) = (view.accepted_ms, view.is_cancel_sent);
        let has_failed = |view: &TaskView| view.failed.len() as u64 >= MAX_ATTEMPTS;
        let is_true = match shown {
            Shown::Open => true,
            Shown::Complete => (0..job.steps.len()).all(|at| self.is_step_done(job, at)),
            Shown::Failed => self.tasks.iter().any(|(key, v)| key.0 == id && has_failed(v)),
            Shown::Cancelled => is_cancel_sent,
            Shown::Unknown => {
                let since = accepted_ms.map(|accepted_ms| at_ms.saturating_sub(accepted_ms));
                if !is_cancel_sent && since.is_some_and(|since| since > VISIBLE.as_millis() as u64)
                {
                    let what = format!("{id:016x} was accepted and is not known");
                    self.breach(Promise::Kept, at_ms, what);
                }
                true
            }
        };
        if !is_true {
            self.breach(Promise::Truth, at_ms, format!("{id:016x} is shown as {shown:?}"));
        }
    }

    /// Checks what only the end of a round shows.
    fn close(&mut self, at_ms: u64) {
        for (id, view) in std::mem::take(&mut self.views) {
            let has_ended = matches!(view.last, Some(Shown::Complete | Shown::Failed));
            let is_open = view.accepted_ms.is_some() && !view.is_cancel_sent;
            if is_open && !has_ended {
                let what = format!("{id:016x} was accepted and has not ended: {:?}", view.last);
                self.breach(Promise::Kept, at_ms, what);
            }
            let is_refused =
                view.accepted_ms.is_none() && view.unanswered == 0 && view.refusals > 0;
            if is_refused && view.has_started {
                self.breach(Promise::Refused, at_ms, format!("{id:016x} was refused and ran"));
            }
        }
    }
}
