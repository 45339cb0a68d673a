use std::collections::BTreeSet;
use std::time::Duration;

use sycamore_types::Name;
use sycamore_types::job::Kind;

use crate::caller::{Progress, Submission};
use crate::log::SavedJob;
use crate::queue::{Class, Place};

/// Attempts after which a task of a batch job has failed for good.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;

/// Delay before the second attempt of a task that failed.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Longest delay between two attempts.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(60);

/// A job on record, with the state of its tasks.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) submission: Submission,
    pub(crate) waiting: BTreeSet<u32>,
    pub(crate) running: BTreeSet<u32>,
    pub(crate) done: BTreeSet<u32>,
    pub(crate) failed: BTreeSet<u32>,
    /// Tasks that must not run twice and that an owner before may have started.
    pub(crate) uncertain: BTreeSet<u32>,
    pub(crate) is_cancelled: bool,
    pub(crate) accepted_at: Duration,
    pub(crate) ended_at: Option<Duration>,
    /// Place in the queue while some task waits.
    pub(crate) place: Option<Place>,
    pub(crate) shape: usize,
    /// Host on which a task failed last.
    pub(crate) avoided_host: Option<Name>,
    /// No task is started before this time.
    pub(crate) not_before: Duration,
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

    /// Tells whether tasks may be started, as far as the job itself goes.
    ///
    /// A gang whose tasks were lost starts again only as a whole.
    pub(crate) fn is_startable(&self, now: Duration) -> bool {
        let is_whole = !self.is_gang() || self.running.is_empty();
        !self.waiting.is_empty() && is_whole && now >= self.not_before
    }

    /// Tells whether a task must never be started a second time.
    pub(crate) fn is_at_most_once(&self) -> bool {
        let spec = &self.submission.spec;
        !spec.restartable && spec.kind != Kind::Service
    }

    /// Notes that an owner before may have started a task.
    pub(crate) fn mark_uncertain(&mut self, index: u32) {
        if self.waiting.remove(&index) {
            self.uncertain.insert(index);
        }
    }

    /// Notes that an owner before certainly has not started a task.
    pub(crate) fn mark_not_started(&mut self, index: u32) {
        if self.uncertain.remove(&index) {
            self.waiting.insert(index);
        }
    }

    fn possibly_started(&self) -> Vec<u32> {
        let running = self.running.iter().filter(|_| self.is_at_most_once());
        running.chain(&self.uncertain).copied().collect()
    }

    pub(crate) fn mark_started(&mut self, index: u32) {
        self.waiting.remove(&index);
        self.uncertain.remove(&index);
        self.running.insert(index);
    }

    /// Notes that a task has to be started again.
    pub(crate) fn requeue(&mut self, index: u32) {
        self.running.remove(&index);
        if !self.is_cancelled && !self.done.contains(&index) && !self.failed.contains(&index) {
            self.waiting.insert(index);
        }
    }

    /// Notes a failed attempt. Returns whether the task has failed for good.
    pub(crate) fn record_failure(&mut self, now: Duration, host: &Name) -> bool {
        self.consecutive_failures += 1;
        self.avoided_host = Some(host.clone());
        let factor = 2_u32.saturating_pow(self.consecutive_failures.min(16) - 1);
        self.not_before = now + FIRST_RETRY_DELAY.saturating_mul(factor).min(MAX_RETRY_DELAY);
        let is_service = self.submission.spec.kind == Kind::Service;
        self.is_at_most_once()
            || !is_service && self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES
    }

    /// Notes the end of a task for good.
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

    pub(crate) fn cancel(&mut self) {
        self.is_cancelled = true;
        self.waiting.clear();
    }

    /// Tells whether nothing more will happen to the job.
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
