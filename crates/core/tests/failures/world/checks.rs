//! Invariants that must hold in spite of all faults.
//!
//! The checks judge what workers and callers observe, not the state of the cores
//! under test.

use std::collections::{BTreeMap, BTreeSet};

use sycamore_core::worker::Launch;
use sycamore_types::{Name, id};

use super::worker::Worker;

/// Checks the invariants and collects their violations.
#[derive(Debug, Default)]
pub struct Checks {
    /// A description of each violation.
    pub violations: Vec<String>,
    /// Number of starts of each task, over all workers.
    starts: BTreeMap<(id::Job, u32), u32>,
    /// Jobs and requests whose callers were told that they did not run.
    not_run: BTreeSet<id::Job>,
    /// Jobs and requests whose tasks must not be started twice.
    pub at_most_once: BTreeSet<id::Job>,
    /// Idempotency key of each request that has one.
    pub keys: BTreeMap<id::Job, u128>,
    /// Last started request of each idempotency key.
    started_keys: BTreeMap<u128, id::Job>,
}

impl Checks {
    /// Records that a worker has started a task, and checks that it was allowed to.
    pub fn record_start(&mut self, launch: &Launch, workers: &BTreeMap<Name, Worker>) {
        let job = &launch.task.job;
        let index = launch.task.index;
        let starts = self.starts.entry((job.clone(), index)).or_default();
        *starts += 1;
        if *starts > 1 && self.at_most_once.contains(job) {
            self.violations.push(format!("{job}/{index} was started {starts} times"));
        }
        if self.not_run.contains(job) {
            self.violations
                .push(format!("{job} started after its caller was told that it did not run"));
        }
        if let Some(key) = self.keys.get(job)
            && let Some(other) = self.started_keys.insert(*key, job.clone())
            && other != *job
        {
            self.violations
                .push(format!("{job} and {other} both started with the same idempotency key"));
        }
        self.check_placement(launch, workers);
    }

    /// Checks that a task runs only once and that no host is overloaded.
    fn check_placement(&mut self, launch: &Launch, workers: &BTreeMap<Name, Worker>) {
        let is_same_task =
            |task: &id::Task| task.job == launch.task.job && task.index == launch.task.index;
        let copies: usize = workers
            .values()
            .map(|w| w.running.keys().filter(|task| is_same_task(task)).count())
            .sum();
        if copies > 1 {
            self.violations.push(format!("{} runs {copies} times at once", launch.task));
        }
        for worker in workers.values() {
            let used = worker.used();
            if let Some(dimension) = used.first_lacking(&worker.host.capacity) {
                let name = &worker.host.name;
                self.violations.push(format!("host {name} is overloaded in {dimension}"));
            }
        }
    }

    /// Records that a caller was told that its work did not run.
    pub fn record_not_run(&mut self, job: &id::Job) {
        if self.starts.keys().any(|(other, _)| other == job) {
            self.violations
                .push(format!("{job} started, but its caller was told that it did not run"));
        }
        self.not_run.insert(job.clone());
    }

    /// Checks that no team runs more tasks than its limit.
    pub fn check_limits(&mut self, limits: &BTreeMap<Name, u32>, workers: &BTreeMap<Name, Worker>) {
        let mut running: BTreeMap<&Name, u32> = BTreeMap::new();
        for task in workers.values().flat_map(|worker| worker.running.values()) {
            *running.entry(&task.launch.tag.team).or_default() += 1;
        }
        for (team, running) in running {
            let limit = limits.get(team).copied().unwrap_or(0);
            if running > limit {
                self.violations
                    .push(format!("team {team} runs {running} tasks, but its limit is {limit}"));
            }
        }
    }
}
