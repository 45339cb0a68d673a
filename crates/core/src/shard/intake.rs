//! Handling of what callers send: requests, submissions, cancellations and
//! status queries.
//!
//! A job is accepted once its log entry is durable. A caller is told `not_run`
//! only if the work was certainly not run; otherwise the outcome is `unknown`.

use std::time::Duration;

use sycamore_types::id;
use sycamore_types::job::{Kind, Spec};
use sycamore_types::outcome::{Failure, Reason};
use sycamore_types::resources::Dimension;

use super::job::Job;
use super::shapes::Shape;
use super::takeover::task_shape;
use super::{Env, Phase, Shard};
use crate::caller::{Answer, KeyHash, Request, Status, Submission, Token};
use crate::event::Ending;
use crate::log::{AfterCommit, Entry, KeyState};
use crate::placement::Table;
use crate::queue::{Class, Item, Place};
use crate::record::Verdict;
use crate::worker;

/// Maximum number of requests of one shard that have not ended, started ones
/// included.
const MAX_OPEN_REQUESTS: usize = 4_000;

/// Maximum number of waiting tasks and requests in one shard.
const MAX_WAITING_TASKS: u32 = 100_000;

/// Maximum number of unfinished jobs of one shard. Limits the size of a snapshot.
const MAX_OPEN_JOBS: usize = 5_000;

/// Number of urgent jobs that are accepted beyond [`MAX_OPEN_JOBS`].
const EXTRA_URGENT_JOBS: usize = 500;

/// Maximum total size of the payloads of all jobs of one shard, in bytes.
const MAX_PAYLOAD_BYTES: usize = 384 * 1024;

/// Maximum time for which a caller waits until its job is durable.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(5);

/// An interactive request that has not ended.
#[derive(Debug)]
pub(crate) struct Pending {
    pub(super) request: Request,
    pub(super) received_at: Duration,
    /// Time at which the request fails unless it has started.
    pub(super) deadline: Duration,
    /// Index in [`Shapes`](super::shapes::Shapes).
    pub(super) shape: usize,
    pub(super) stage: Stage,
}

/// Progress of a request.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Stage {
    /// The log entry of its idempotency key is not durable yet.
    Logging,
    /// It waits for capacity on a host.
    Queued(Place),
    /// It was answered with [`Answer::Dispatch`], so a worker may run it.
    Dispatched(id::Task),
}

impl Shard {
    /// Accepts or rejects an interactive request.
    pub(crate) fn on_request(&mut self, env: &mut Env<'_, '_>, token: Token, request: Request) {
        if let Some(failure) = self.request_rejection(env, &request) {
            self.reject(env, token, &request, failure);
            return;
        }
        let now = env.now();
        let shape = self.shapes.intern(Shape {
            size: request.size,
            selector: request.selector.clone(),
            is_spread: true,
            run_ms: 0,
        });
        let deadline = now + request.start_timeout;
        self.request_deadlines.insert((deadline, token));
        let key = request.key;
        let pending = Pending { request, received_at: now, deadline, shape, stage: Stage::Logging };
        self.requests.insert(token, pending);
        match key {
            Some(hash) => self.log_key(env, token, hash),
            None => self.enqueue_request(env, token),
        }
        self.write_log(env);
        self.schedule(env);
    }

    /// Returns the failure with which a request is rejected, if it is.
    fn request_rejection(&self, env: &Env<'_, '_>, request: &Request) -> Option<Failure> {
        if self.phase != Phase::Active {
            return Some(Failure::not_run(Reason::NoOwner));
        }
        if let Some(hash) = request.key {
            match self.keys.get(hash) {
                Some(KeyState::MayHaveRun) => return Some(Failure::unknown(Reason::Repeated)),
                Some(KeyState::Released) => {}
                None if env.now() < self.keys_uncertain_until => {
                    return Some(Failure::unknown(Reason::MemoryLost));
                }
                None => {}
            }
        }
        if self.requests.len() >= MAX_OPEN_REQUESTS {
            return Some(Failure::not_run(Reason::QueueFull));
        }
        let reason = self.table.never_fits(&request.size, &request.selector)?;
        Some(Failure::not_run(reason))
    }

    fn reject(&mut self, env: &mut Env<'_, '_>, token: Token, request: &Request, failure: Failure) {
        let reason = failure.reason.code().into();
        self.record(env, request.id.to_string(), &request.team, Verdict::Refused { reason });
        env.answer(token, Answer::Failed(failure));
    }

    /// Logs an idempotency key, which must be durable before the request is sent.
    ///
    /// During a store outage that this process survives on promises of its peers,
    /// the request is queued without a durable key. The next owner learns that
    /// keys may be missing from the log.
    fn log_key(&mut self, env: &mut Env<'_, '_>, token: Token, hash: KeyHash) {
        self.keys.set(env.now(), hash, KeyState::MayHaveRun);
        if env.is_lease_extended {
            self.keys.add_unlogged(hash);
            self.enqueue_request(env, token);
        } else {
            self.log.push(Entry::Key(hash), AfterCommit::Key(token, hash));
        }
    }

    pub(super) fn enqueue_request(&mut self, env: &mut Env<'_, '_>, token: Token) {
        let Some(pending) = self.requests.get_mut(&token) else {
            return;
        };
        let team = pending.request.team.clone();
        let rank = env.rank(&team);
        let item = Item::Request(token);
        let cpu_millis = pending.request.size.cpu_millis;
        let place = self.queue.push(Class::Interactive, &team, 0, rank, item, 1, cpu_millis);
        pending.stage = Stage::Queued(place);
        self.new_items.insert((team, place));
    }

    /// Answers requests and submissions whose waiting time is over.
    pub(super) fn expire_waiting(&mut self, env: &mut Env<'_, '_>) {
        while let Some((at, token)) = self.request_deadlines.first().copied() {
            if at > env.now() {
                break;
            }
            self.fail_request(env, token, Reason::DeadlinePassed);
        }
        let late: Vec<Token> = self
            .pending_submissions
            .iter()
            .filter(|(_, received_at)| env.now() >= **received_at + ACCEPT_TIMEOUT)
            .map(|(token, _)| *token)
            .collect();
        for token in late {
            self.time_out_submission(env, token);
        }
    }

    /// Fails a request with `reason`, unless it has already been dispatched.
    pub(super) fn fail_request(&mut self, env: &mut Env<'_, '_>, token: Token, reason: Reason) {
        let Some(pending) = self.requests.get(&token) else {
            return;
        };
        if matches!(pending.stage, Stage::Dispatched(_)) {
            self.request_deadlines.remove(&(pending.deadline, token));
            return;
        }
        if let Some(pending) = self.remove_request(token) {
            self.release_key(env, &pending.request);
            self.reject(env, token, &pending.request, Failure::not_run(reason));
        }
    }

    /// Removes a request, and its queue entry if it has one.
    pub(super) fn remove_request(&mut self, token: Token) -> Option<Pending> {
        let pending = self.requests.remove(&token)?;
        self.request_deadlines.remove(&(pending.deadline, token));
        self.shapes.release(pending.shape);
        if let Stage::Queued(place) = pending.stage {
            self.queue.remove(&pending.request.team, place);
            self.queue.remove_waiting(&pending.request.team, 1);
        }
        Some(pending)
    }

    /// Releases the key of a request that was certainly not run, so that the caller
    /// can retry with the same key.
    fn release_key(&mut self, env: &Env<'_, '_>, request: &Request) {
        if let Some(hash) = request.key {
            self.keys.set(env.now(), hash, KeyState::Released);
            self.log.push(Entry::KeyReleased(hash), AfterCommit::None);
        }
    }

    /// Fails the request of a caller that disconnected, unless it has started.
    pub(crate) fn on_caller_gone(&mut self, env: &mut Env<'_, '_>, token: Token) {
        self.fail_request(env, token, Reason::CallerGone);
    }

    /// Handles the end of a dispatched request, or a loss of the connection that
    /// leaves its outcome unknown.
    pub(crate) fn on_request_ended(&mut self, env: &mut Env<'_, '_>, token: Token, ending: Ending) {
        let Some(pending) = self.remove_request(token) else {
            return;
        };
        let Stage::Dispatched(task) = pending.stage else {
            return;
        };
        match ending {
            Ending::Finished => {
                self.record_host_success(&task);
                self.remove_running(env, &task);
            }
            Ending::InDoubt => self.on_connection_lost(env, &task),
        }
        self.schedule(env);
    }

    /// Rejects a job, or logs it so that it is accepted once it is durable.
    pub(crate) fn on_submit(
        &mut self,
        env: &mut Env<'_, '_>,
        token: Token,
        submission: Submission,
    ) {
        if self.jobs.contains_key(&submission.id) {
            env.answer(token, Answer::Accepted(submission.id));
            return;
        }
        if let Some(reason) = self.job_rejection(env, &submission) {
            let verdict = Verdict::Refused { reason: reason.code().into() };
            self.record(env, submission.id.to_string(), &submission.team, verdict);
            env.answer(token, Answer::Failed(Failure::not_run(reason)));
            return;
        }
        self.pending_submissions.insert(token, env.now());
        let entry = Entry::Accepted(submission.clone());
        self.log.push(entry, AfterCommit::Accept(token, Box::new(submission)));
        self.write_log(env);
    }

    /// Returns the reason for which a job is rejected, if it is.
    fn job_rejection(&self, env: &Env<'_, '_>, submission: &Submission) -> Option<Reason> {
        let spec = &submission.spec;
        if self.phase != Phase::Active {
            return Some(Reason::NoOwner);
        }
        if !env.is_store_reachable {
            return Some(Reason::StoreUnavailable);
        }
        if self.is_job_limit_reached(spec) {
            return Some(Reason::QueueFull);
        }
        if let Some(reason) = self.table.never_fits(&spec.size, &spec.selector) {
            return Some(reason);
        }
        let limit = env.config.teams.get(&submission.team).map_or(0, |team| team.limit);
        if spec.kind == Kind::Gang && spec.tasks > limit {
            return Some(Reason::LimitReached);
        }
        let is_too_wide = spec.kind == Kind::Gang
            && Table::max_tasks_when_idle(&self.table, &spec.size, &spec.selector) < spec.tasks;
        is_too_wide.then_some(Reason::NeverFits(Dimension::Slots))
    }

    /// Returns whether accepting a job would exceed a limit of the shard.
    fn is_job_limit_reached(&self, spec: &Spec) -> bool {
        let extra = if spec.urgent { EXTRA_URGENT_JOBS } else { 0 };
        let open = self.jobs.len() - self.finished_jobs.len() + self.pending_submissions.len();
        self.queue.total().saturating_add(spec.tasks) > MAX_WAITING_TASKS
            || open >= MAX_OPEN_JOBS + extra
            || self.payload_bytes + spec.payload.len() > MAX_PAYLOAD_BYTES
    }

    /// Adds a job and counts the size of its payload.
    pub(super) fn insert_job(&mut self, job: Job) {
        self.payload_bytes += job.submission.spec.payload.len();
        self.jobs.insert(job.submission.id.clone(), job);
    }

    /// Fails a submission that was not durable in time.
    ///
    /// A log entry that was never sent is withdrawn, so the job is certainly not
    /// run. An entry in flight may still become durable, so the outcome is unknown.
    pub(super) fn time_out_submission(&mut self, env: &mut Env<'_, '_>, token: Token) {
        self.pending_submissions.remove(&token);
        let is_match =
            |after: &AfterCommit| matches!(after, AfterCommit::Accept(other, _) if *other == token);
        let failure = if self.log.withdraw(is_match).is_empty() {
            Failure::unknown(Reason::StoreUnavailable)
        } else {
            Failure::not_run(Reason::StoreUnavailable)
        };
        env.answer(token, Answer::Failed(failure));
    }

    /// Queues a job that has become durable, and answers its caller.
    pub(super) fn on_job_logged(
        &mut self,
        env: &mut Env<'_, '_>,
        token: Token,
        submission: Submission,
    ) {
        let id = submission.id.clone();
        if !self.jobs.contains_key(&id) {
            let shape = self.shapes.intern(task_shape(&submission));
            self.insert_job(Job::new(submission, shape, env.now()));
            if self.phase == Phase::Active {
                self.enqueue(env, &id);
            }
        }
        if self.pending_submissions.remove(&token).is_some() {
            env.answer(token, Answer::Accepted(id));
        }
    }

    /// Queues a job that has waiting tasks, unless it is queued already.
    pub(super) fn enqueue(&mut self, env: &mut Env<'_, '_>, id: &id::Job) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.place.is_some() || job.waiting.is_empty() {
            return;
        }
        let team = job.submission.team.clone();
        let class = job.class();
        let tasks = u32::try_from(job.waiting.len()).unwrap_or(u32::MAX);
        let rank = env.fleet.rank(&team, env.config.teams.get(&team).map_or(1, |t| t.weight));
        let priority = job.submission.spec.priority;
        let item = Item::Job(id.clone());
        let cpu_millis = job.submission.spec.size.cpu_millis;
        let place = self.queue.push(class, &team, priority, rank, item, tasks, cpu_millis);
        job.place = Some(place);
        self.new_items.insert((team, place));
    }

    /// Removes a job from the queue.
    pub(super) fn dequeue(&mut self, id: &id::Job) {
        if let Some(job) = self.jobs.get_mut(id)
            && let Some(place) = job.place.take()
        {
            self.queue.remove(&job.submission.team, place);
        }
    }

    /// Cancels a job: its waiting tasks are dropped, its running ones killed.
    pub(crate) fn on_cancel(&mut self, env: &mut Env<'_, '_>, token: Token, id: &id::Job) {
        let Some(job) = self.jobs.get_mut(id) else {
            let reason = self.unknown_job_reason();
            env.answer(token, Answer::Failed(Failure::not_run(reason)));
            return;
        };
        if !env.is_store_reachable {
            let failure = Failure::not_run(Reason::StoreUnavailable);
            env.answer(token, Answer::Failed(failure));
            return;
        }
        let tasks = u32::try_from(job.waiting.len()).unwrap_or(u32::MAX);
        let team = job.submission.team.clone();
        job.cancel();
        self.queue.remove_waiting(&team, tasks);
        self.dequeue(id);
        self.stop_tasks_of(env, id, worker::StopMode::Kill);
        self.log.push(Entry::Cancelled(id.clone()), AfterCommit::Cancel(token, id.clone()));
        self.record_if_finished(env, id);
        self.write_log(env);
    }

    /// Answers a status query.
    pub(crate) fn on_status(&mut self, env: &mut Env<'_, '_>, token: Token, id: &id::Job) {
        let answer = match self.status(env, id) {
            Some(status) => Answer::Status(Box::new(status)),
            None => Answer::Failed(Failure::not_run(self.unknown_job_reason())),
        };
        env.answer(token, answer);
    }

    /// Returns the failure reason for a job that is not known. While the shard is
    /// being taken over, the job may still exist.
    fn unknown_job_reason(&self) -> Reason {
        match self.phase {
            Phase::Active | Phase::Draining { .. } => Reason::UnknownJob,
            _ => Reason::NoOwner,
        }
    }

    pub(super) fn status(&self, env: &Env<'_, '_>, id: &id::Job) -> Option<Status> {
        let job = self.jobs.get(id)?;
        let count =
            |set: &std::collections::BTreeSet<u32>| u32::try_from(set.len()).unwrap_or(u32::MAX);
        Some(Status {
            id: id.clone(),
            team: job.submission.team.clone(),
            progress: job.progress(),
            waiting: count(&job.waiting),
            running: count(&job.running),
            done: count(&job.done),
            failed: count(&job.failed),
            explanation: self.explain(env, job),
        })
    }

    /// Removes all waiting requests and submissions, and returns the failure that
    /// each of their callers is sent when the shard moves to another owner.
    ///
    /// The requests were not sent to any worker. A submission may already be in a
    /// log write in flight; its outcome is then unknown.
    pub(super) fn take_waiting_failures(&mut self) -> Vec<(Token, Failure)> {
        let mut failures = Vec::new();
        let waiting: Vec<Token> = self
            .requests
            .iter()
            .filter(|(_, pending)| !matches!(pending.stage, Stage::Dispatched(_)))
            .map(|(token, _)| *token)
            .collect();
        for token in waiting {
            if let Some(pending) = self.remove_request(token) {
                // The log is still written in a planned handover only. After a
                // lost lease the key stays blocked, which is safe.
                if let Some(hash) = pending.request.key {
                    self.log.push(Entry::KeyReleased(hash), AfterCommit::None);
                }
                failures.push((token, Failure::not_run(Reason::Moved)));
            }
        }
        let withdrawn =
            self.log.withdraw(|after_commit| matches!(after_commit, AfterCommit::Accept(..)));
        for after_commit in withdrawn {
            if let AfterCommit::Accept(token, _) = after_commit
                && self.pending_submissions.remove(&token).is_some()
            {
                failures.push((token, Failure::not_run(Reason::Moved)));
            }
        }
        for (token, _) in std::mem::take(&mut self.pending_submissions) {
            failures.push((token, Failure::unknown(Reason::Moved)));
        }
        failures
    }
}
