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

/// Most requests that wait in one shard.
const MAX_OPEN_REQUESTS: usize = 4_000;

/// Most tasks that wait in one shard.
const MAX_WAITING_TASKS: u32 = 100_000;

/// Most jobs of one shard that are not over, bounded by the size of a snapshot.
const MAX_OPEN_JOBS: usize = 5_000;

/// Jobs that may be on record besides if they are urgent.
const EXTRA_URGENT_JOBS: usize = 500;

/// Most payload that the jobs of one shard may have together, in bytes.
const MAX_PAYLOAD_BYTES: usize = 384 * 1024;

/// Longest time for which a caller waits for its job to be put on record.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(5);

/// An interactive request that has not ended.
#[derive(Debug)]
pub(crate) struct Pending {
    pub(super) request: Request,
    pub(super) received_at: Duration,
    pub(super) deadline: Duration,
    pub(super) shape: usize,
    pub(super) stage: Stage,
}

/// How far a request has come.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Stage {
    /// Its idempotency key is being put on record.
    Logging,
    /// It waits for a worker.
    Queued(Place),
    /// It was sent to a worker.
    Dispatched(id::Task),
}

impl Shard {
    /// Takes in an interactive request.
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

    /// Puts an idempotency key on record before the request may be sent.
    ///
    /// While only promises carry this process the store is out, and a
    /// successor will learn of that; the request then goes on without a log.
    fn log_key(&mut self, env: &mut Env<'_, '_>, token: Token, hash: KeyHash) {
        self.keys.set(env.now(), hash, KeyState::MayHaveRun);
        if env.is_riding_out {
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

    /// Gives up work that has waited too long, with its final answer at once.
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
            .filter(|(_, since)| env.now() >= **since + ACCEPT_TIMEOUT)
            .map(|(token, _)| *token)
            .collect();
        for token in late {
            self.time_out_submission(env, token);
        }
    }

    /// Ends a request that was never sent.
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

    /// Removes a request, wherever it waits.
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

    /// Lets the key of a request that certainly was not run be used again.
    fn release_key(&mut self, env: &Env<'_, '_>, request: &Request) {
        if let Some(hash) = request.key {
            self.keys.set(env.now(), hash, KeyState::Released);
            self.log.push(Entry::KeyReleased(hash), AfterCommit::None);
        }
    }

    /// A caller went away: work that has not started is dropped.
    pub(crate) fn on_caller_gone(&mut self, env: &mut Env<'_, '_>, token: Token) {
        self.fail_request(env, token, Reason::CallerGone);
    }

    /// A dispatched request has ended on its worker, or is in doubt.
    pub(crate) fn on_request_ended(&mut self, env: &mut Env<'_, '_>, token: Token, ending: Ending) {
        let Some(pending) = self.remove_request(token) else {
            return;
        };
        let Stage::Dispatched(task) = pending.stage else {
            return;
        };
        match ending {
            Ending::Finished => {
                self.note_host_success(&task);
                self.remove_running(env, &task);
            }
            Ending::InDoubt => self.on_connection_lost(env, &task),
        }
        self.schedule(env);
    }

    /// Takes in a job.
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

    /// Tells whether a job is one too many. Urgent ones have room of their own.
    fn is_job_limit_reached(&self, spec: &Spec) -> bool {
        let extra = if spec.urgent { EXTRA_URGENT_JOBS } else { 0 };
        let open = self.jobs.len() - self.finished_jobs.len() + self.pending_submissions.len();
        self.queue.total().saturating_add(spec.tasks) > MAX_WAITING_TASKS
            || open >= MAX_OPEN_JOBS + extra
            || self.payload_bytes + spec.payload.len() > MAX_PAYLOAD_BYTES
    }

    /// Puts a job among those on record.
    pub(super) fn insert_job(&mut self, job: Job) {
        self.payload_bytes += job.submission.spec.payload.len();
        self.jobs.insert(job.submission.id.clone(), job);
    }

    /// Stops waiting for the store to keep a job.
    ///
    /// An entry that was never sent is taken back, so the job certainly is not
    /// run. One that is on its way may yet take effect.
    pub(super) fn time_out_submission(&mut self, env: &mut Env<'_, '_>, token: Token) {
        self.pending_submissions.remove(&token);
        let is_it = |after_commit: &AfterCommit| matches!(after_commit, AfterCommit::Accept(other, _) if *other == token);
        let failure = if self.log.withdraw(is_it).is_empty() {
            Failure::unknown(Reason::StoreUnavailable)
        } else {
            Failure::not_run(Reason::StoreUnavailable)
        };
        env.answer(token, Answer::Failed(failure));
    }

    /// A job is on record: it may run from now on.
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

    /// Puts a job in the queue if it has tasks that wait.
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

    /// Takes a job out of the queue.
    pub(super) fn dequeue(&mut self, id: &id::Job) {
        if let Some(job) = self.jobs.get_mut(id)
            && let Some(place) = job.place.take()
        {
            self.queue.remove(&job.submission.team, place);
        }
    }

    /// Cancels a job: nothing of it is started any more, what runs is stopped.
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
        self.note_if_finished(env, id);
        self.write_log(env);
    }

    /// Says how far a job has come.
    pub(crate) fn on_status(&mut self, env: &mut Env<'_, '_>, token: Token, id: &id::Job) {
        let answer = match self.status(env, id) {
            Some(status) => Answer::Status(Box::new(status)),
            None => Answer::Failed(Failure::not_run(self.unknown_job_reason())),
        };
        env.answer(token, answer);
    }

    /// Returns why a job is not known here.
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

    /// Returns what every caller that waits is told when the shard moves.
    ///
    /// Nothing that waits here has been sent anywhere, except that a job may
    /// be on its way to the log.
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
                // Only a planned move still reaches the log; after a lost lease
                // the key stays barred, which is safe.
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
