//! Tasks of one simulated worker: running ones under a lease, and ended ones to report.
//!
//! Nothing here reads the clock, so that the caller decides when tasks end.

use std::collections::BTreeMap;
use std::time::Instant;

use sycamore_core::worker::{FinishedTask, Launch, Report, RunningTask};
use sycamore_types::id;
use sycamore_types::resources::Resources;

/// A running task or request and its lease.
#[derive(Debug)]
pub(super) struct TaskRun {
    pub(super) launch: Launch,
    /// When the task is done. `None` for a request, which ends with its response.
    pub(super) ends_at: Option<Instant>,
    pub(super) lease_until: Instant,
}

/// Tasks and faults of one worker.
#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) running: BTreeMap<id::Task, TaskRun>,
    /// Ended tasks, reported until the owner acknowledges them.
    pub(super) finished: BTreeMap<id::Task, FinishedTask>,
    pub(super) fails_everything: bool,
    pub(super) is_unreachable: bool,
}

impl State {
    /// Returns the resources that the running tasks and requests take.
    pub(super) fn used(&self) -> Resources {
        let sizes = self.running.values().map(|task| &task.launch.tag.size);
        sizes.fold(Resources::default(), |sum, size| sum.plus(size))
    }

    /// Ends the tasks that are done or whose lease has expired, and returns them.
    pub(super) fn advance(&mut self, now: Instant) -> Vec<Launch> {
        let is_done = |task: &TaskRun| task.ends_at.is_some_and(|end| now >= end);
        let ended_ids: Vec<id::Task> = self
            .running
            .iter()
            .filter(|(_, task)| is_done(task) || now >= task.lease_until)
            .map(|(id, _)| id.clone())
            .collect();
        let mut ended = Vec::new();
        for id in ended_ids {
            if let Some(task) = self.running.remove(&id) {
                let is_stopped = !is_done(&task);
                let is_success = !is_stopped && !self.fails_everything;
                self.finish(&task.launch, is_success, is_stopped);
                ended.push(task.launch);
            }
        }
        ended
    }

    /// Adds a task to the next report. Requests aren't reported.
    pub(super) fn finish(&mut self, launch: &Launch, is_success: bool, is_stopped: bool) {
        if launch.tag.is_interactive {
            return;
        }
        let task = launch.task.clone();
        let finished = FinishedTask { task: task.clone(), is_success, is_stopped };
        self.finished.insert(task, finished);
    }

    pub(super) fn report(&self) -> Report {
        let listed = |(task, state): (&id::Task, &TaskRun)| RunningTask {
            task: task.clone(),
            tag: state.launch.tag.clone(),
            used: state.launch.tag.size,
        };
        Report {
            running: self.running.iter().map(listed).collect(),
            finished: self.finished.values().cloned().collect(),
        }
    }

    /// Returns the next time at which a task is done or a lease expires.
    pub(super) fn next_end(&self) -> Option<Instant> {
        let ends = self.running.values();
        ends.map(|task| task.ends_at.map_or(task.lease_until, |end| end.min(task.lease_until)))
            .min()
    }
}
