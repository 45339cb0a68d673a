//! A simulated worker.
//!
//! It starts every task that it is sent, even beyond its capacity, so that a
//! wrong decision of a core shows up in the checks.

use std::collections::BTreeMap;
use std::time::Duration;

use sycamore_core::worker::{FinishedTask, Launch, Op, Reply, Report, RunningTask};
use sycamore_types::host::Host;
use sycamore_types::id;
use sycamore_types::resources::Resources;

/// A task that runs on a worker.
#[derive(Debug)]
pub struct Task {
    /// The start request.
    pub launch: Launch,
    ends_at: Duration,
    lease_until: Duration,
}

/// A worker that rejects no task.
#[derive(Debug)]
pub struct Worker {
    /// The host, as the platform lists it.
    pub host: Host,
    /// Running tasks.
    pub running: BTreeMap<id::Task, Task>,
    finished: BTreeMap<id::Task, FinishedTask>,
    /// No call gets through.
    pub is_unreachable: bool,
    /// Starts are carried out, but their replies are lost.
    pub loses_replies: bool,
    /// Every task fails as soon as it is started.
    pub fails_tasks: bool,
}

impl Worker {
    /// Creates an idle worker.
    pub fn new(host: Host) -> Worker {
        Worker {
            host,
            running: BTreeMap::new(),
            finished: BTreeMap::new(),
            is_unreachable: false,
            loses_replies: false,
            fails_tasks: false,
        }
    }

    /// Performs a call.
    pub fn call(&mut self, now: Duration, op: &Op) -> Reply {
        self.advance(now);
        match op {
            Op::Start { launch, .. } => {
                let ends_at = match self.fails_tasks {
                    true => now,
                    false => now + Duration::from_millis(launch.run_ms.max(1)),
                };
                let lease_until = now + launch.lease;
                let task = Task { launch: launch.clone(), ends_at, lease_until };
                self.running.insert(launch.task.clone(), task);
                Reply::Done
            }
            Op::Poll { lease, forget, .. } => self.poll(now, *lease, forget),
            Op::Stop { task, .. } => {
                if self.running.remove(task).is_some() {
                    self.finish(task, false, true);
                }
                Reply::Done
            }
        }
    }

    fn poll(&mut self, now: Duration, lease: Duration, forget: &[id::Task]) -> Reply {
        for task in forget {
            self.finished.remove(task);
        }
        for task in self.running.values_mut() {
            task.lease_until = task.lease_until.max(now + lease);
        }
        let listed = |(task, state): (&id::Task, &Task)| RunningTask {
            task: task.clone(),
            tag: state.launch.tag.clone(),
            used: Resources::default(),
        };
        Reply::Report(Report {
            running: self.running.iter().map(listed).collect(),
            finished: self.finished.values().cloned().collect(),
        })
    }

    /// Ends the tasks whose run time is over or whose lease has expired.
    pub fn advance(&mut self, now: Duration) {
        let ended: Vec<id::Task> = self
            .running
            .iter()
            .filter(|(_, task)| now >= task.ends_at || now >= task.lease_until)
            .map(|(id, _)| id.clone())
            .collect();
        for id in ended {
            if let Some(task) = self.running.remove(&id) {
                let is_stopped = now < task.ends_at;
                let is_success = !is_stopped && !self.fails_tasks;
                self.finish(&id, is_success, is_stopped);
            }
        }
    }

    fn finish(&mut self, task: &id::Task, is_success: bool, is_stopped: bool) {
        let finished = FinishedTask { task: task.clone(), is_success, is_stopped };
        self.finished.insert(task.clone(), finished);
    }

    /// Returns the capacity that the running tasks take.
    pub fn used(&self) -> Resources {
        let sizes = self.running.values().map(|task| &task.launch.tag.size);
        sizes.fold(Resources::default(), |sum, size| sum.plus(size))
    }
}
