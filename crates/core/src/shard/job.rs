//! The state of one job and its tasks.
//!
//! A task that must not run twice is `uncertain` when a previous owner may have
//! started it. It is started only if the log says that it was not, and otherwise
//! fails unless a worker reports it.

use std::collections::BTreeSet;
use std::time::Duration;

use sycamore_types::Name;
use sycamore_types::job::Kind;

use crate::caller::{Progress, Submission};
use crate::log::SavedJob;
use crate::queue::{Class, Place};

/// Failed attempts of a job's tasks, without a success in between, after which
/// the task that fails is not retried. Services are always retried.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;

/// Retry delay after the first failed attempt. It doubles with each further one.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Upper limit of the retry delay.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(60);

/// An accepted job and the state of its tasks.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) submission: Submission,
    /// Indexes of tasks that are to be started.
    pub(crate) waiting: BTreeSet<u32>,
    pub(crate) running: BTreeSet<u32>,
    pub(crate) done: BTreeSet<u32>,
    pub(crate) failed: BTreeSet<u32>,
    /// Tasks that must not run twice and that a previous owner may have started.
    pub(crate) uncertain: BTreeSet<u32>,
    pub(crate) is_cancelled: bool,
    /// Time at which this owner accepted the job or read it from the log.
    pub(crate) accepted_at: Duration,
    pub(crate) ended_at: Option<Duration>,
    /// Place in the queue while a task waits.
    pub(crate) place: Option<Place>,
    /// Index in [`Shapes`](super::shapes::Shapes).
    pub(crate) shape: usize,
    /// Host on which a task failed last. Retries prefer other hosts.
    pub(crate) avoided_host: Option<Name>,
    /// End of the retry delay, before which no task is started.
    pub(crate) not_before: Duration,
    /// Failed attempts of all tasks since a task last succeeded.
    consecutive_failures: u32,
}

impl Job {
    pub(crate) fn new(submission: Submission, shape: usize, now: Duration) -> Job {
        let waiting = (0..submission.spec.tasks).collect();
        Job {
            submission,
            waiting,
            running: BTreeSet::new(),
            done: BTreeSet::new(),
            failed: BTreeSet::new(),
            uncertain: BTreeSet::new(),
            is_cancelled: false,
            accepted_at: now,
            ended_at: None,
            place: None,
            shape,
            avoided_host: None,
            not_before: Duration::ZERO,
            consecutive_failures: 0,
        }
    }

    pub(crate) fn restore(saved: SavedJob, shape: usize, now: Duration) -> Job {
        let mut job = Job::new(saved.submission, shape, now);
        for index in saved.done {
            job.finish(index, true);
        }
        for index in saved.failed {
            job.finish(index, false);
        }
        for index in saved.started {
            job.mark_uncertain(index);
        }
        if saved.is_cancelled {
            job.cancel();
        }
        job.ended_at = saved.ended_ago.map(|ago| now.saturating_sub(ago));
        job
    }

    pub(crate) fn save(&self, now: Duration) -> SavedJob {
        SavedJob {
            submission: self.submission.clone(),
            done: self.done.iter().copied().collect(),
            failed: self.failed.iter().copied().collect(),
            started: self.possibly_started(),
            is_cancelled: self.is_cancelled,
            ended_ago: self.ended_at.map(|at| now.saturating_sub(at)),
        }
    }

    pub(crate) fn class(&self) -> Class {
        if self.submission.spec.urgent { Class::Urgent } else { Class::Batch }
    }

    pub(crate) fn is_gang(&self) -> bool {
        self.submission.spec.kind == Kind::Gang
    }

    /// Returns whether the job's own state allows a task to start.
    ///
    /// A gang that has lost tasks starts again only once none of its tasks runs.
    pub(crate) fn is_startable(&self, now: Duration) -> bool {
        let is_whole = !self.is_gang() || self.running.is_empty();
        !self.waiting.is_empty() && is_whole && now >= self.not_before
    }

    /// Returns whether a task must never be started a second time.
    pub(crate) fn is_at_most_once(&self) -> bool {
        let spec = &self.submission.spec;
        !spec.restartable && spec.kind != Kind::Service
    }

    /// Marks a waiting task that a previous owner may have started.
    pub(crate) fn mark_uncertain(&mut self, index: u32) {
        if self.waiting.remove(&index) {
            self.uncertain.insert(index);
        }
    }

    /// Marks an uncertain task as waiting: its start was certainly not sent.
    pub(crate) fn mark_not_started(&mut self, index: u32) {
        if self.uncertain.remove(&index) {
            self.waiting.insert(index);
        }
    }

    /// Returns the tasks that must not run twice and may have run.
    fn possibly_started(&self) -> Vec<u32> {
        let running = self.running.iter().filter(|_| self.is_at_most_once());
        running.chain(&self.uncertain).copied().collect()
    }

    pub(crate) fn mark_started(&mut self, index: u32) {
        self.waiting.remove(&index);
        self.uncertain.remove(&index);
        self.running.insert(index);
    }

    /// Marks a running task as waiting, unless it or its job has ended.
    pub(crate) fn requeue(&mut self, index: u32) {
        self.running.remove(&index);
        if !self.is_cancelled && !self.done.contains(&index) && !self.failed.contains(&index) {
            self.waiting.insert(index);
        }
    }

    /// Records a failed attempt. Returns `true` if the task is not to be retried.
    pub(crate) fn record_failure(&mut self, now: Duration, host: &Name) -> bool {
        self.consecutive_failures += 1;
        self.avoided_host = Some(host.clone());
        let factor = 2_u32.saturating_pow(self.consecutive_failures.min(16) - 1);
        self.not_before = now + FIRST_RETRY_DELAY.saturating_mul(factor).min(MAX_RETRY_DELAY);
        let is_service = self.submission.spec.kind == Kind::Service;
        self.is_at_most_once()
            || !is_service && self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES
    }

    /// Marks a task as done or failed. It is not started again.
    pub(crate) fn finish(&mut self, index: u32, is_success: bool) {
        self.waiting.remove(&index);
        self.running.remove(&index);
        self.uncertain.remove(&index);
        if is_success {
            self.consecutive_failures = 0;
            self.done.insert(index);
        } else {
            self.failed.insert(index);
        }
    }

    /// Cancels the job. Running tasks have to be stopped by the caller.
    pub(crate) fn cancel(&mut self) {
        self.is_cancelled = true;
        self.waiting.clear();
    }

    /// Returns whether every task has ended or, in a cancelled job, never started.
    pub(crate) fn is_finished(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty() && self.uncertain.is_empty()
    }

    pub(crate) fn progress(&self) -> Progress {
        if self.is_cancelled {
            Progress::Cancelled
        } else if !self.running.is_empty() {
            Progress::Running
        } else if !self.waiting.is_empty() || !self.uncertain.is_empty() {
            Progress::Waiting
        } else if self.failed.is_empty() {
            Progress::Done
        } else {
            Progress::Failed
        }
    }
}
