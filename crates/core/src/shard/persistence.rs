//! Writes of the log and its snapshots, and the effects of committed entries.
//!
//! The answer to a submission or cancellation, the start of a task that must not
//! run twice, and the request to a worker to forget an ended task wait until their
//! entry is durable, so that the next owner knows of them. Old jobs and keys are
//! removed to bound the size of a snapshot.

use sycamore_types::id;

use super::{Env, Phase, Shard};
use crate::caller::Answer;
use crate::log::{AfterCommit, Entry, LogOutcome, Snapshot};
use crate::store::Reply;

/// Maximum number of finished jobs that are kept for status queries.
const MAX_FINISHED_JOBS: usize = 2_000;

impl Shard {
    /// Sends the log page and the snapshot that are due.
    pub(super) fn write_log(&mut self, env: &mut Env<'_, '_>) {
        if matches!(self.phase, Phase::Ledger | Phase::Loading) {
            return;
        }
        if !env.is_lease_extended && self.keys.has_unlogged() {
            for hash in self.keys.take_unlogged() {
                self.log.push(Entry::Key(hash), AfterCommit::None);
            }
        }
        self.log.tick(env.cx, env.log_interval);
        if self.log.needs_snapshot(env.now()) {
            let snapshot = self.snapshot(env);
            self.log.send_snapshot(env.cx, &snapshot);
        }
    }

    fn snapshot(&mut self, env: &Env<'_, '_>) -> Snapshot {
        let now = env.now();
        self.forget_old(env);
        Snapshot {
            sequence: self.log.committed_sequence(),
            jobs: self.jobs.values().map(|job| job.save(now)).collect(),
            keys: self.keys.save(now),
            keys_in_doubt_for: self.keys_uncertain_until.saturating_sub(now),
        }
    }

    /// Removes finished jobs and idempotency keys past their retention time.
    fn forget_old(&mut self, env: &Env<'_, '_>) {
        let now = env.now();
        self.keys.expire(now, env.cx.timing.key_retention);
        self.forget_jobs(env);
    }

    /// Removes finished jobs that are past the retention time or in excess of
    /// [`MAX_FINISHED_JOBS`], the oldest first.
    fn forget_jobs(&mut self, env: &Env<'_, '_>) {
        let now = env.now();
        while let Some((ended_at, id)) = self.finished_jobs.first().cloned() {
            let is_old = now > ended_at + env.cx.timing.job_retention;
            if !is_old && self.finished_jobs.len() <= MAX_FINISHED_JOBS {
                break;
            }
            self.finished_jobs.pop_first();
            if let Some(job) = self.jobs.remove(&id) {
                self.shapes.release(job.shape);
                self.payload_bytes -= job.submission.spec.payload.len();
            }
        }
    }

    /// Handles the reply to the write of a page. Returns `true` if another owner
    /// has written to the log, so that this one has lost the shard.
    pub(crate) fn on_page_written(&mut self, env: &mut Env<'_, '_>, reply: Reply) -> bool {
        let outcome = self.log.on_page_reply(env.cx, reply);
        let is_lost = self.on_log_outcome(env, outcome);
        self.write_log(env);
        is_lost
    }

    /// Handles the reply to the write of a snapshot. Returns `true` if another
    /// owner has written one, so that this one has lost the shard.
    pub(crate) fn on_snapshot_written(&mut self, env: &mut Env<'_, '_>, reply: Reply) -> bool {
        let outcome = self.log.on_snapshot_reply(env.cx, reply);
        self.on_log_outcome(env, outcome)
    }

    fn on_log_outcome(&mut self, env: &mut Env<'_, '_>, outcome: LogOutcome) -> bool {
        match outcome {
            LogOutcome::Nothing => false,
            LogOutcome::Fenced => true,
            LogOutcome::Committed(after_commits) => {
                if self.phase == Phase::Barrier {
                    self.on_barrier(env);
                }
                for after_commit in after_commits {
                    self.on_entry_committed(env, after_commit);
                }
                self.schedule(env);
                false
            }
        }
    }

    fn on_entry_committed(&mut self, env: &mut Env<'_, '_>, after_commit: AfterCommit) {
        match after_commit {
            AfterCommit::None => {}
            AfterCommit::Accept(token, submission) => self.on_job_logged(env, token, *submission),
            AfterCommit::Cancel(token, id) => {
                if let Some(status) = self.status(env, &id) {
                    env.answer(token, Answer::Status(Box::new(status)));
                }
            }
            AfterCommit::Start(task) => self.on_start_logged(env, &task),
            AfterCommit::Key(token, _) => {
                if self.phase == Phase::Active {
                    self.enqueue_request(env, token);
                }
            }
            AfterCommit::Forget(host, task) => {
                self.unlogged_ends.remove(&task);
                if let Some(poll) = self.polls.get_mut(&host) {
                    poll.forget.push(task);
                }
            }
        }
    }

    /// Records the time at which a job finished, from which its retention counts.
    pub(super) fn record_if_finished(&mut self, env: &Env<'_, '_>, id: &id::Job) {
        if let Some(job) = self.jobs.get_mut(id)
            && job.is_finished()
            && job.ended_at.is_none()
        {
            job.ended_at = Some(env.now());
            self.finished_jobs.insert((env.now(), id.clone()));
            self.preempting_for.remove(id);
            self.forget_jobs(env);
        }
    }

    /// Requests a full pass for the end of a job's retry delay.
    pub(super) fn delay_job(&mut self, id: &id::Job) {
        if let Some(job) = self.jobs.get(id) {
            self.delayed_jobs.insert((job.not_before, id.clone()));
        }
    }

    /// Requests a full pass if a delay or timeout is over for which work had to wait.
    pub(super) fn resume_delayed(&mut self, env: &mut Env<'_, '_>) {
        let now = env.now();
        while self.delayed_jobs.first().is_some_and(|(at, _)| *at <= now) {
            self.delayed_jobs.pop_first();
            self.needs_full_pass = true;
        }
        if self.unseen_tasks_until > self.active_since && self.unseen_tasks_until <= now {
            self.unseen_tasks_until = self.active_since;
            self.fail_uncertain_tasks(env);
            self.shapes.clear_unfit();
            self.needs_full_pass = true;
        }
        let has_preemption_timed_out = self.preempting_for.values().any(|until| *until <= now);
        if has_preemption_timed_out {
            self.preempting_for.retain(|_, until| *until > now);
            self.shapes.clear_unfit();
            self.needs_full_pass = true;
        }
    }
}
