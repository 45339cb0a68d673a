use std::collections::{BTreeMap, BTreeSet};

use sycamore_core::worker::Launch;
use sycamore_types::{Name, id};

use super::worker::Worker;

/// What has happened so far, as far as the invariants speak of it.
#[derive(Debug, Default)]
pub struct Checks {
    /// Rules that were broken, in words.
    pub violations: Vec<String>,
    /// Times that each task was started on some worker.
    starts: BTreeMap<(id::Job, u32), u32>,
    /// Work that callers were told was not run.
    not_run: BTreeSet<id::Job>,
    /// Jobs whose tasks must not be started twice.
    pub at_most_once: BTreeSet<id::Job>,
    /// Idempotency keys by request, to find repeats that ran.
    pub keys: BTreeMap<id::Job, u128>,
    started_keys: BTreeMap<u128, id::Job>,
}

impl Checks {
    /// Notes that a worker has started something.
    pub fn record_start(&mut self, launch: &Launch, workers: &BTreeMap<Name, Worker>) {
        let job = &launch.task.job;
        let index = launch.task.index;
        let starts = self.starts.entry((job.clone(), index)).or_default();
        *starts += 1;
        if *starts > 1 && self.at_most_once.contains(job) {
            self.violations.push(format!("{job}/{index} was started {starts} times"));
        }
        if self.not_run.contains(job) {
            self.violations.push(format!("{job} runs, though its caller was told it does not"));
        }
        if let Some(key) = self.keys.get(job)
            && let Some(other) = self.started_keys.insert(*key, job.clone())
            && other != *job
        {
            self.violations.push(format!("{job} and {other} have one idempotency key, both ran"));
        }
        self.check_placement(launch, workers);
    }

    fn check_placement(&mut self, launch: &Launch, workers: &BTreeMap<Name, Worker>) {
        let is_same_task =
            |task: &id::Task| task.job == launch.task.job && task.index == launch.task.index;
        let copies: usize = workers
            .values()
            .map(|w| w.running.keys().filter(|task| is_same_task(task)).count())
            .sum();
        if copies > 1 {
            self.violations.push(format!("{} runs in {copies} copies", launch.task));
        }
        for worker in workers.values() {
            let used = worker.used();
            if let Some(dimension) = used.first_lacking(&worker.host.capacity) {
                let name = &worker.host.name;
                self.violations.push(format!("host {name} is overloaded in {dimension}"));
            }
        }
    }

    /// Notes that a caller was told that its work was not run.
    pub fn record_not_run(&mut self, job: &id::Job) {
        if self.starts.keys().any(|(other, _)| other == job) {
            self.violations.push(format!("{job} ran, though its caller was told it did not"));
        }
        self.not_run.insert(job.clone());
    }

    /// Compares what each team runs with its limit.
    pub fn check_limits(&mut self, limits: &BTreeMap<Name, u32>, workers: &BTreeMap<Name, Worker>) {
        let mut running: BTreeMap<&Name, u32> = BTreeMap::new();
        for task in workers.values().flat_map(|worker| worker.running.values()) {
            *running.entry(&task.launch.tag.team).or_default() += 1;
        }
        for (team, running) in running {
            let limit = limits.get(team).copied().unwrap_or(0);
            if running > limit {
                self.violations.push(format!("team {team} runs {running}, its limit is {limit}"));
            }
        }
    }
}
