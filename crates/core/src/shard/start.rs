//! Recording and sending of starts.
//!
//! A start is sent within [`SEND_WINDOW`] and before the owner's lease ends, or not
//! at all, which bounds the time at which it can arrive at a worker. The start of a
//! task that must not run twice is logged before it is sent.

use std::time::Duration;

use sycamore_types::{Name, id};

use super::dispatch::Candidate;
use super::intake;
use super::running::{Origin, Running, Stage};
use super::{Env, Phase, Shard};
use crate::caller::{Answer, Token};
use crate::context::Purpose;
use crate::log::{AfterCommit, Entry};
use crate::record::{StartReason, Verdict};
use crate::worker::{Launch, Op, Tag};

/// Maximum time between the decision to start a task and the send of the start.
pub(super) const SEND_WINDOW: Duration = Duration::from_millis(200);

/// Number of distinct attempt numbers that one owner can assign.
const ATTEMPTS_PER_EPOCH: u32 = 1 << 20;

/// Everything that is needed to record and send the start of a job's task.
struct Start {
    task: id::Task,
    running: Running,
    label: Name,
    payload: String,
    subject: String,
    why: StartReason,
}

impl Shard {
    pub(super) fn start_request(
        &mut self,
        env: &mut Env<'_, '_>,
        candidate: &Candidate,
        token: Token,
        host: Name,
    ) {
        let attempt = self.next_attempt();
        let Some(pending) = self.requests.get(&token) else {
            return;
        };
        let request = pending.request.clone();
        let since = pending.received_at;
        let task = id::Task { job: request.id.clone(), index: 0, attempt };
        let why = self.selection_reason(env, candidate, since);
        let Some(address) = self.address(&host) else {
            return;
        };
        let running = Running {
            team: request.team.clone(),
            size: request.size,
            host: host.clone(),
            origin: Origin::Request(token),
            stage: Stage::Starting,
            started_at: env.now(),
            is_preemptible: false,
            run_ms: 0,
        };
        let launch = self.build_launch(env, &task, &running, &request.service, String::new());
        self.queue.remove(&request.team, candidate.place);
        self.queue.remove_waiting(&request.team, 1);
        self.add_running(env, task.clone(), running);
        if let Some(pending) = self.requests.get_mut(&token) {
            pending.stage = intake::Stage::Dispatched(task);
        }
        let verdict = Verdict::Started { host: host.clone(), why };
        self.record(env, request.id.to_string(), &request.team, verdict);
        let not_after = self.not_after(env);
        let launch = Box::new(launch);
        env.answer(token, Answer::Dispatch { host, address, launch, not_after });
    }

    pub(super) fn start_task(
        &mut self,
        env: &mut Env<'_, '_>,
        candidate: &Candidate,
        id: &id::Job,
        host: Name,
    ) {
        let attempt = self.next_attempt();
        let why = match self.jobs.get(id) {
            Some(job) => self.selection_reason(env, candidate, job.accepted_at),
            None => return,
        };
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let Some(index) = job.waiting.first().copied() else {
            return;
        };
        job.mark_started(index);
        let spec = &job.submission.spec;
        let running = Running {
            team: candidate.team.clone(),
            size: spec.size,
            host,
            origin: Origin::Job,
            stage: Stage::Starting,
            started_at: env.now(),
            is_preemptible: spec.restartable && !spec.urgent,
            run_ms: spec.run_ms,
        };
        let start = Start {
            task: id::Task { job: id.clone(), index, attempt },
            label: spec.queue.clone(),
            payload: spec.payload.clone(),
            subject: format!("{id}/{index}"),
            running,
            why,
        };
        if job.waiting.is_empty() {
            self.dequeue(id);
        }
        self.queue.remove_waiting(&candidate.team, 1);
        self.send_start(env, start);
    }

    fn send_start(&mut self, env: &mut Env<'_, '_>, start: Start) {
        let Start { task, running, label, payload, subject, why } = start;
        let host = running.host.clone();
        let team = running.team.clone();
        let launch = self.build_launch(env, &task, &running, &label, payload);
        self.add_running(env, task.clone(), running);
        self.record(env, subject, &team, Verdict::Started { host: host.clone(), why });
        let is_at_most_once = self.jobs.get(&task.job).is_some_and(|job| job.is_at_most_once());
        if is_at_most_once {
            self.log_start(task, launch);
        } else {
            self.send_launch(env, task, &host, launch);
        }
    }

    /// Logs the start of a task that must not run twice. It is sent once the entry
    /// is durable.
    ///
    /// So the next owner knows that the task may have run even if its host is gone.
    fn log_start(&mut self, task: id::Task, launch: Launch) {
        if let Some(running) = self.running.get_mut(&task) {
            running.stage = Stage::Logging;
        }
        let entry = Entry::Started { job: task.job.clone(), index: task.index };
        self.log.push(entry, AfterCommit::Start(task.clone()));
        self.launches.insert(task, launch);
    }

    /// Sends a start whose log entry is durable, unless the job was cancelled or
    /// this owner may no longer start work.
    pub(super) fn on_start_logged(&mut self, env: &mut Env<'_, '_>, task: &id::Task) {
        let Some(launch) = self.launches.remove(task) else {
            return;
        };
        let Some(running) = self.running.get_mut(task) else {
            return;
        };
        let is_cancelled = self.jobs.get(&task.job).is_none_or(|job| job.is_cancelled);
        let may_act = env.deadline.is_some_and(|end| env.cx.now < end);
        if is_cancelled || !may_act || self.phase != Phase::Active {
            let team = running.team.clone();
            self.remove_running(env, task);
            self.requeue_not_started(env, task, &team);
            return;
        }
        running.stage = Stage::Starting;
        running.started_at = env.cx.now;
        let host = running.host.clone();
        self.send_launch(env, task.clone(), &host, launch);
    }

    fn send_launch(&mut self, env: &mut Env<'_, '_>, task: id::Task, host: &Name, launch: Launch) {
        let not_after = self.not_after(env);
        if let Some(address) = self.address(host) {
            let op = Op::Start { launch, not_after };
            env.cx.worker(Purpose::Start(self.id.clone(), task), host, &address, op);
        }
    }

    fn build_launch(
        &self,
        env: &Env<'_, '_>,
        task: &id::Task,
        running: &Running,
        label: &Name,
        payload: String,
    ) -> Launch {
        let tag = Tag {
            team: running.team.clone(),
            size: running.size,
            epoch: self.epoch,
            is_interactive: matches!(running.origin, Origin::Request(_)),
            label: label.clone(),
        };
        Launch {
            task: task.clone(),
            tag,
            lease: env.cx.timing.task_lease,
            run_ms: running.run_ms,
            payload,
        }
    }

    /// Records that a start is decided now, and returns the time after which it must
    /// not be sent.
    fn not_after(&mut self, env: &Env<'_, '_>) -> Duration {
        self.last_start_at = env.now();
        let window = env.now() + SEND_WINDOW;
        env.deadline.map_or(env.now(), |deadline| deadline.min(window))
    }

    /// Returns the number of a new attempt.
    ///
    /// Its upper bits hold the epoch modulo 4000, so that successive owners assign
    /// different numbers and the result fits in 32 bits.
    fn next_attempt(&mut self) -> u32 {
        self.attempt_count += 1;
        let epoch = u32::try_from(self.epoch % 4_000).unwrap_or(0);
        epoch * ATTEMPTS_PER_EPOCH + self.attempt_count % ATTEMPTS_PER_EPOCH
    }

    pub(super) fn address(&self, host: &Name) -> Option<Name> {
        self.table.get(host).map(|host| host.listed.address.clone())
    }

    /// Returns why the candidate goes before other work, for the decision record.
    fn selection_reason(
        &self,
        env: &Env<'_, '_>,
        candidate: &Candidate,
        since: Duration,
    ) -> StartReason {
        let next =
            self.queue.lane(candidate.class).teams().find(|team| **team != candidate.team).cloned();
        let share = |team: &Name| env.fleet.share(team, env.weight(team));
        StartReason {
            class: Name::from(candidate.class.name()),
            share: share(&candidate.team),
            next_share: next.as_ref().map_or(0.0, share),
            next_team: next,
            arrival: candidate.place.arrival,
            waited_ms: u64::try_from((env.now().saturating_sub(since)).as_millis())
                .unwrap_or(u64::MAX),
        }
    }
}
