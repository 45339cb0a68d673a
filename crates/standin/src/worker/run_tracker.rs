use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};
use sycamore_core::worker::Launch;
use sycamore_types::{Name, id};

/// What was done that must never be done.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Violations {
    /// Starts that left a worker with more than it can hold.
    pub overloads: u64,
    /// Tasks that ran in two places at once, or requests that ran twice.
    pub double_runs: u64,
    /// Starts for another team than the one that asked.
    pub wrong_team: u64,
    /// Starts that left a team with more running than its upper limit.
    pub over_limit: u64,
}

impl Violations {
    /// Returns the number of all violations.
    pub fn total(&self) -> u64 {
        self.overloads + self.double_runs + self.wrong_team + self.over_limit
    }
}

/// What all workers of a site have run, to find what no worker sees alone.
#[derive(Clone, Debug, Default)]
pub struct RunTracker {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug, Default)]
struct Inner {
    violations: Violations,
    running: HashMap<(id::Job, u32), u32>,
    started_requests: HashSet<id::Job>,
    starts_by_job: HashMap<id::Job, u64>,
    running_by_team: BTreeMap<Name, u32>,
    team_limits: BTreeMap<Name, u32>,
    start_count: u64,
    starts_by_path: HashMap<String, u32>,
}

impl RunTracker {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the limits that starts are compared with.
    pub fn set_limits(&self, limits: BTreeMap<Name, u32>) {
        self.inner().team_limits = limits;
    }

    /// Notes a start.
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

    /// Notes the path of a request that runs.
    pub fn record_request_path(&self, path: &str) {
        *self.inner().starts_by_path.entry(path.to_string()).or_default() += 1;
    }

    /// Returns how often a request with this path has run.
    pub fn request_runs(&self, path: &str) -> u32 {
        self.inner().starts_by_path.get(path).copied().unwrap_or(0)
    }

    /// Notes the end of what was started.
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

    /// Notes a worker that holds more than it can.
    pub fn record_overload(&self) {
        self.inner().violations.overloads += 1;
    }

    /// Returns the violations so far.
    pub fn violations(&self) -> Violations {
        self.inner().violations
    }

    /// Tells whether anything of a job or request was ever started.
    pub fn has_run(&self, job: &id::Job) -> bool {
        self.inner().starts_by_job.contains_key(job)
    }

    /// Returns the number of starts so far.
    pub fn start_count(&self) -> u64 {
        self.inner().start_count
    }
}
