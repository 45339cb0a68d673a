//! Polling of workers, and handling of their reports and replies.
//!
//! A task of a job ends when its worker reports the end, when a report proves that it
//! does not run, or when its lease has certainly expired on a worker that does not
//! reply. A lost reply alone does not end it.

use std::collections::BTreeSet;
use std::time::Duration;

use sycamore_types::job::Kind;
use sycamore_types::{Name, id};

use super::polls::DuePoll;
use super::running::{Origin, Running, Stage};
use super::start::SEND_WINDOW;
use super::{Env, Phase, Shard};
use crate::context::Purpose;
use crate::log::{AfterCommit, Entry};
use crate::record::Verdict;
use crate::worker::{FinishedTask, Op, Reply, Report, RunningTask, StopMode};

/// Minimum time between the reply to a poll and the next poll of the worker.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Outcome of a task that no longer runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Outcome {
    /// It ended by itself and reported success.
    Success,
    /// It ended by itself without success.
    Failure,
    /// It was stopped by an owner or by the end of its lease.
    Stopped,
    /// It no longer runs, and the worker did not report its end.
    Lost,
}

impl Shard {
    /// Polls every worker whose next poll is due.
    pub(super) fn poll_workers(&mut self, env: &mut Env<'_, '_>) {
        if matches!(self.phase, Phase::Ledger | Phase::Loading | Phase::Barrier) {
            return;
        }
        for due in self.due_polls(env.now()) {
            self.send_poll(env, &due);
        }
    }

    fn due_polls(&self, now: Duration) -> Vec<DuePoll> {
        let is_due = |name: &Name| {
            self.polls.get(name).is_some_and(|poll| poll.sent_at.is_none() && now >= poll.next_at)
        };
        let hosts = self.table.hosts().iter().filter(|host| is_due(host.name()));
        hosts
            .map(|host| DuePoll { host: host.name().clone(), address: host.listed.address.clone() })
            .collect()
    }

    fn send_poll(&mut self, env: &mut Env<'_, '_>, due: &DuePoll) {
        let now = env.now();
        let may_act = env.deadline.is_some_and(|end| now < end);
        let Some(poll) = self.polls.get_mut(&due.host) else {
            return;
        };
        // A worker whose replies are lost may still receive every poll. If the polls
        // renewed its leases, its tasks could never be assumed to have ended.
        let renews = may_act && !poll.is_unresponsive;
        let lease = if renews { env.cx.timing.task_lease } else { Duration::ZERO };
        if renews {
            poll.renewed_at = now;
        }
        poll.sent_at = Some(now);
        let is_first = poll.reported_at.is_none() || poll.is_unresponsive;
        let wait = if is_first { Duration::ZERO } else { env.cx.timing.worker_poll_interval };
        let forget = std::mem::take(&mut poll.forget);
        let op = Op::Poll { lease, wait, forget };
        let purpose = Purpose::Poll(self.id.clone(), due.host.clone());
        env.cx.worker(purpose, &due.host, &due.address, op);
    }

    /// Handles the reply to a poll.
    pub(crate) fn on_poll_reply(&mut self, env: &mut Env<'_, '_>, host: &Name, reply: Reply) {
        let now = env.now();
        let Some(poll) = self.polls.get_mut(host) else {
            return;
        };
        let Some(sent_at) = poll.sent_at.take() else {
            return;
        };
        match reply {
            Reply::Report(report) => {
                poll.reported_at = Some(now);
                poll.is_unresponsive = false;
                poll.next_at = now + MIN_POLL_INTERVAL;
                self.set_reachable(host, true);
                self.reconcile(env, host, sent_at, report);
            }
            _ => {
                poll.is_unresponsive = true;
                poll.next_at = now + env.cx.timing.worker_poll_interval / 2;
                self.set_reachable(host, false);
                self.end_expired_tasks(env, host);
            }
        }
        self.activate_if_due(env);
        self.schedule(env);
    }

    fn set_reachable(&mut self, host: &Name, is_reachable: bool) {
        if let Some(host) = self.table.get_mut(host)
            && host.is_reachable != is_reachable
        {
            host.is_reachable = is_reachable;
            self.shapes.clear_unfit();
            self.needs_full_pass = true;
        }
    }

    /// Updates the tasks of a host from a report of its worker.
    ///
    /// `sent_at` is the time at which the poll was sent.
    fn reconcile(&mut self, env: &mut Env<'_, '_>, host: &Name, sent_at: Duration, report: Report) {
        let mut seen: BTreeSet<id::Task> = BTreeSet::new();
        for listed in report.running {
            seen.insert(listed.task.clone());
            self.on_listed(env, host, listed);
        }
        for finished in report.finished {
            seen.insert(finished.task.clone());
            self.on_finished(env, host, finished);
        }
        let missing: Vec<id::Task> = match self.polls.get(host) {
            Some(poll) => poll.tasks.difference(&seen).cloned().collect(),
            None => Vec::new(),
        };
        for task in missing {
            let is_gone = self.running.get(&task).is_some_and(|r| r.is_ruled_out_by(sent_at));
            if is_gone {
                self.end_task(env, &task, Outcome::Lost);
            }
        }
    }

    fn on_listed(&mut self, env: &mut Env<'_, '_>, host: &Name, listed: RunningTask) {
        let Some(running) = self.running.get_mut(&listed.task) else {
            self.adopt(env, host, listed);
            return;
        };
        match running.stage {
            Stage::Starting if running.origin == Origin::Job => {
                running.stage = Stage::Settled(env.cx.now);
            }
            // The stop was lost or arrived before the start.
            Stage::Stopping(_) => self.send_stop(env, &listed.task, StopMode::Kill),
            _ => {}
        }
    }

    /// Adds a task that a previous owner started, and kills it if it is not to run.
    fn adopt(&mut self, env: &mut Env<'_, '_>, host: &Name, listed: RunningTask) {
        let task = listed.task;
        let tag = listed.tag;
        let is_expected = tag.is_interactive || self.expects(&task);
        let mut running = Running {
            team: tag.team,
            size: tag.size,
            host: host.clone(),
            origin: if tag.is_interactive { Origin::Adopted } else { Origin::Job },
            stage: Stage::Settled(env.now()),
            started_at: env.now(),
            is_preemptible: false,
            run_ms: 0,
        };
        if let Some(job) = self.jobs.get_mut(&task.job).filter(|_| is_expected) {
            running.is_preemptible = job.submission.spec.restartable && !job.submission.spec.urgent;
            running.run_ms = job.submission.spec.run_ms;
            let was_waiting = job.waiting.contains(&task.index);
            job.mark_started(task.index);
            if job.place.is_some() && was_waiting {
                self.queue.remove_waiting(&running.team, 1);
            }
        }
        self.add_running(env, task.clone(), running);
        if !is_expected {
            self.stop(env, &task, StopMode::Kill);
        }
    }

    /// Returns whether a task that this owner did not start waits or may have been
    /// started by a previous owner.
    fn expects(&self, task: &id::Task) -> bool {
        self.jobs.get(&task.job).is_some_and(|job| {
            job.waiting.contains(&task.index) || job.uncertain.contains(&task.index)
        })
    }

    /// Marks tasks as failed that a previous owner may have started and that no
    /// worker reports.
    ///
    /// Called once every worker has reported or all leases from the previous owner
    /// have expired. So the tasks certainly no longer run, and they must not be
    /// started a second time.
    pub(super) fn fail_uncertain_tasks(&mut self, env: &mut Env<'_, '_>) {
        let uncertain: Vec<(id::Job, u32)> = self
            .jobs
            .iter()
            .flat_map(|(id, job)| job.uncertain.iter().map(|index| (id.clone(), *index)))
            .collect();
        for (job, index) in uncertain {
            if let Some(found) = self.jobs.get_mut(&job) {
                found.finish(index, false);
            }
            let entry = Entry::Finished { job: job.clone(), index, is_success: false };
            self.log.push(entry, AfterCommit::None);
            self.record_if_finished(env, &job);
        }
    }

    fn on_finished(&mut self, env: &mut Env<'_, '_>, host: &Name, finished: FinishedTask) {
        let outcome = match (finished.is_success, finished.is_stopped) {
            (true, _) => Outcome::Success,
            (false, true) => Outcome::Stopped,
            (false, false) => Outcome::Failure,
        };
        let is_open_request = self.running.get(&finished.task).is_some_and(|running| {
            matches!(running.origin, Origin::Request(_)) && running.is_starting()
        });
        if is_open_request {
            // The end is handled when the caller's connection reports it, which
            // can be later than the worker's report.
            return;
        }
        if self.unlogged_ends.contains(&finished.task) {
            return;
        }
        if self.running.contains_key(&finished.task) {
            self.end_task(env, &finished.task, outcome);
        } else if outcome == Outcome::Success && self.expects(&finished.task) {
            self.finish_untracked(env, host, &finished.task);
        }
        if !self.unlogged_ends.contains(&finished.task)
            && let Some(poll) = self.polls.get_mut(host)
        {
            poll.forget.push(finished.task);
        }
    }

    /// Records the success of a task that a previous owner started and that this
    /// owner never saw running.
    fn finish_untracked(&mut self, env: &mut Env<'_, '_>, host: &Name, task: &id::Task) {
        if let Some(job) = self.jobs.get(&task.job)
            && job.place.is_some()
            && job.waiting.contains(&task.index)
        {
            self.queue.remove_waiting(&job.submission.team.clone(), 1);
        }
        self.finish_task(env, host, task, true);
    }

    /// Handles the reply to a start.
    pub(crate) fn on_start_reply(&mut self, env: &mut Env<'_, '_>, task: &id::Task, reply: Reply) {
        let settled_at = match reply {
            Reply::Unknown if env.bugs.retries_after_send => {
                self.requeue_unsent(env, task);
                return;
            }
            Reply::Done | Reply::Report(_) => env.now(),
            Reply::NotSent => {
                self.requeue_unsent(env, task);
                return;
            }
            // The connection broke, but the call may still arrive within the maximum
            // delay.
            Reply::Unknown => env.now() + env.cx.timing.max_delay,
        };
        if let Some(running) = self.running.get_mut(task)
            && running.stage == Stage::Starting
        {
            running.stage = Stage::Settled(settled_at);
        }
    }

    /// Requeues a task whose start certainly did not reach the worker.
    fn requeue_unsent(&mut self, env: &mut Env<'_, '_>, task: &id::Task) {
        let Some(running) = self.remove_running(env, task) else {
            return;
        };
        if let Some(host) = self.table.get_mut(&running.host) {
            host.is_reachable = false;
        }
        self.requeue_not_started(env, task, &running.team);
        self.schedule(env);
    }

    /// Requeues a task whose start was certainly not carried out, and logs this if
    /// the start was logged.
    pub(super) fn requeue_not_started(
        &mut self,
        env: &mut Env<'_, '_>,
        task: &id::Task,
        team: &Name,
    ) {
        if self.jobs.get(&task.job).is_some_and(|job| job.is_at_most_once()) {
            let (job, index) = (task.job.clone(), task.index);
            self.log.push(Entry::NotStarted { job, index }, AfterCommit::None);
        }
        self.requeue_task(env, task, team);
    }

    /// Requeues a task that no longer runs, after the retry delay of its job.
    fn requeue_task(&mut self, env: &mut Env<'_, '_>, task: &id::Task, team: &Name) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let before = job.waiting.len();
        job.requeue(task.index);
        let was_requeued = job.waiting.len() > before;
        if was_requeued && job.place.is_some() {
            self.queue.add_waiting(team, 1);
        } else if was_requeued {
            self.enqueue(env, &task.job.clone());
        }
        self.delay_job(&task.job);
        self.record_if_finished(env, &task.job);
    }

    /// Handles the loss of a caller's connection to the worker after the request
    /// was sent. The request counts as running until it is known to have ended.
    pub(super) fn on_connection_lost(&mut self, env: &mut Env<'_, '_>, task: &id::Task) {
        let settled_at = env.now() + env.cx.timing.max_delay;
        if let Some(running) = self.running.get_mut(task) {
            running.stage = Stage::Settled(settled_at);
            running.origin = Origin::Adopted;
        }
    }

    /// Ends tasks on an unresponsive worker whose leases have certainly expired.
    fn end_expired_tasks(&mut self, env: &mut Env<'_, '_>, host: &Name) {
        let Some(poll) = self.polls.get(host) else {
            return;
        };
        let span = env.cx.timing.lengthened(env.cx.timing.task_lease);
        let is_lease_over = env.now() >= poll.renewed_at + span;
        if !is_lease_over {
            return;
        }
        let is_over = |task: &&id::Task| {
            self.running.get(*task).is_some_and(|running| {
                // The caller's connection reports the end of its request.
                let has_caller = matches!(running.origin, Origin::Request(_));
                !has_caller && env.cx.now >= running.started_at + span
            })
        };
        let tasks: Vec<id::Task> = poll.tasks.iter().filter(is_over).cloned().collect();
        for task in tasks {
            self.end_task(env, &task, Outcome::Lost);
        }
    }

    /// Removes a task that no longer runs. Finishes or requeues it if it belongs to
    /// a job.
    fn end_task(&mut self, env: &mut Env<'_, '_>, task: &id::Task, outcome: Outcome) {
        let Some(running) = self.remove_running(env, task) else {
            return;
        };
        self.update_host_health(env, task, &running, outcome);
        if running.origin != Origin::Job {
            return;
        }
        let is_success = outcome == Outcome::Success;
        let subject = format!("{}/{}", task.job, task.index);
        self.record(env, subject, &running.team, Verdict::Ended { is_success });
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let is_service = job.submission.spec.kind == Kind::Service;
        let is_final = match outcome {
            Outcome::Success => !is_service,
            Outcome::Failure => job.record_failure(env.cx.now, &running.host),
            // A task that must not run twice is not started again.
            Outcome::Lost | Outcome::Stopped => job.is_at_most_once(),
        };
        if is_final {
            self.finish_task(env, &running.host, task, is_success);
        } else {
            self.requeue_task(env, task, &running.team);
        }
        if outcome != Outcome::Success {
            self.stop_rest_of_gang(env, &task.job);
        }
    }

    /// Marks a task as done or failed, and logs its end.
    ///
    /// The worker is told to forget the task only once the entry is durable.
    fn finish_task(
        &mut self,
        env: &mut Env<'_, '_>,
        host: &Name,
        task: &id::Task,
        is_success: bool,
    ) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        job.finish(task.index, is_success);
        if job.waiting.is_empty() {
            self.dequeue(&task.job);
        }
        let (job, index) = (task.job.clone(), task.index);
        let after_commit = AfterCommit::Forget(host.clone(), task.clone());
        self.log.push(Entry::Finished { job, index, is_success }, after_commit);
        self.unlogged_ends.insert(task.clone());
        self.record_if_finished(env, &task.job);
    }

    /// Kills the other tasks of a gang that has lost one. The gang can't continue, so
    /// the capacity of these tasks is released for other work.
    fn stop_rest_of_gang(&mut self, env: &mut Env<'_, '_>, id: &id::Job) {
        if self.jobs.get(id).is_some_and(|job| job.is_gang()) {
            self.stop_tasks_of(env, id, StopMode::Kill);
        }
    }

    fn update_host_health(
        &mut self,
        env: &Env<'_, '_>,
        task: &id::Task,
        running: &Running,
        outcome: Outcome,
    ) {
        let Some(host) = self.table.get_mut(&running.host) else {
            return;
        };
        match outcome {
            Outcome::Success => host.health.record_success(),
            Outcome::Failure => {
                host.health.record_failure(env.now(), &task.job, env.cx.timing.initial_quarantine);
            }
            Outcome::Stopped | Outcome::Lost => {}
        }
    }

    /// Records the success of a request in the health of its host.
    pub(super) fn record_host_success(&mut self, task: &id::Task) {
        let host = self.running.get(task).map(|running| running.host.clone());
        if let Some(host) = host.and_then(|host| self.table.get_mut(&host)) {
            host.health.record_success();
        }
    }

    /// Stops every running task of a job.
    pub(super) fn stop_tasks_of(&mut self, env: &mut Env<'_, '_>, id: &id::Job, how: StopMode) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        if job.running.is_empty() {
            return;
        }
        let is_of_job = |task: &&id::Task| task.job == *id;
        let tasks: Vec<id::Task> = self.running.keys().filter(is_of_job).cloned().collect();
        for task in tasks {
            self.stop(env, &task, how);
        }
    }

    /// Stops a task. It counts as running until it is known to have ended.
    pub(super) fn stop(&mut self, env: &mut Env<'_, '_>, task: &id::Task, how: StopMode) {
        let Some(running) = self.running.get_mut(task) else {
            return;
        };
        // A start that is being logged is checked again before it is sent.
        if matches!(running.stage, Stage::Stopping(_) | Stage::Logging) {
            return;
        }
        let settled_at = match running.stage {
            Stage::Settled(at) | Stage::Stopping(at) => at,
            Stage::Logging | Stage::Starting => {
                running.started_at + SEND_WINDOW + env.cx.timing.max_delay
            }
        };
        running.stage = Stage::Stopping(settled_at);
        self.send_stop(env, task, how);
    }

    fn send_stop(&self, env: &mut Env<'_, '_>, task: &id::Task, how: StopMode) {
        let Some(host) = self.running.get(task).map(|running| running.host.clone()) else {
            return;
        };
        if let Some(address) = self.address(&host) {
            let op = Op::Stop { task: task.clone(), how };
            env.cx.worker(Purpose::Stop, &host, &address, op);
        }
    }
}
