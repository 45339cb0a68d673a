//! Checks the safety rules of a deployment by the starts and ends on all workers.
//!
//! A broken rule is only counted, never prevented, so that a test sees every fault of the
//! scheduler.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};
use sycamore_core::worker::Launch;
use sycamore_types::{Name, id};

/// Numbers of broken safety rules, by rule.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Violations {
    /// Starts that took a worker beyond its capacity or its limit of connections.
    pub overloads: u64,
    /// Starts of a task that was still running, and of a request that had run before.
    pub double_runs: u64,
    /// Starts for another team than the payload or the request names.
    pub wrong_team: u64,
    /// Starts that took a team beyond its limit of running tasks.
    pub over_limit: u64,
}

impl Violations {
    /// Returns the number of all violations.
    pub fn total(&self) -> u64 {
        self.overloads + self.double_runs + self.wrong_team + self.over_limit
    }
}

/// Tracks the runs on all workers of a platform, to find violations that no single worker can
/// see. Clones share the data.
#[derive(Clone, Debug, Default)]
pub struct RunTracker {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug, Default)]
struct Inner {
    violations: Violations,
    /// Copies that run at present, by job and index of the task.
    running: HashMap<(id::Job, u32), u32>,
    started_requests: HashSet<id::Job>,
    starts_by_job: HashMap<id::Job, u64>,
    running_by_team: BTreeMap<Name, u32>,
    team_limits: BTreeMap<Name, u32>,
    start_count: u64,
    /// Starts of interactive requests, by path.
    starts_by_path: HashMap<String, u32>,
}

impl RunTracker {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the limit of running tasks of each team.
    pub fn set_limits(&self, limits: BTreeMap<Name, u32>) {
        self.inner().team_limits = limits;
    }

    /// Records the start of a task or request, and the rules that it breaks.
    pub fn record_start(&self, launch: &Launch, expected_team: Option<&str>) {
        let mut inner = self.inner();
        inner.start_count += 1;
        let task = (launch.task.job.clone(), launch.task.index);
        *inner.starts_by_job.entry(task.0.clone()).or_default() += 1;
        let copies = inner.running.entry(task.clone()).or_default();
        *copies += 1;
        let runs_twice = *copies > 1;
        let is_repeat = launch.tag.is_interactive && !inner.started_requests.insert(task.0);
        if runs_twice || is_repeat {
            inner.violations.double_runs += 1;
        }
        if expected_team.is_some_and(|team| *team != *launch.tag.team) {
            inner.violations.wrong_team += 1;
        }
        let running = inner.running_by_team.entry(launch.tag.team.clone()).or_default();
        *running += 1;
        let running = *running;
        if inner.team_limits.get(&launch.tag.team).is_some_and(|limit| running > *limit) {
            inner.violations.over_limit += 1;
        }
    }

    /// Records the path of an interactive request that starts.
    pub fn record_request_path(&self, path: &str) {
        *self.inner().starts_by_path.entry(path.to_string()).or_default() += 1;
    }

    /// Returns the number of interactive requests with this path that have started.
    pub fn request_runs(&self, path: &str) -> u32 {
        self.inner().starts_by_path.get(path).copied().unwrap_or(0)
    }

    /// Records the end of a task or request.
    pub fn record_end(&self, launch: &Launch) {
        let mut inner = self.inner();
        let task = (launch.task.job.clone(), launch.task.index);
        if let Some(copies) = inner.running.get_mut(&task) {
            *copies = copies.saturating_sub(1);
            if *copies == 0 {
                inner.running.remove(&task);
            }
        }
        if let Some(running) = inner.running_by_team.get_mut(&launch.tag.team) {
            *running = running.saturating_sub(1);
        }
    }

    /// Records a start that overloaded a worker.
    pub fn record_overload(&self) {
        self.inner().violations.overloads += 1;
    }

    /// Returns the numbers of violations so far.
    pub fn violations(&self) -> Violations {
        self.inner().violations
    }

    /// Returns whether a task of the job, or the request, was ever started.
    pub fn has_run(&self, job: &id::Job) -> bool {
        self.inner().starts_by_job.contains_key(job)
    }

    /// Returns the number of starts of tasks and requests so far.
    pub fn start_count(&self) -> u64 {
        self.inner().start_count
    }
}
