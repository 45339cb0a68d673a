//! Handles the end of runs: completes, retries or fails their tasks.
//!
//! Each end that counts goes to the log, since the host forgets a run once its end is
//! acknowledged.

use sycamore_types::Name;

use super::{Effect, Engine};
use crate::host::{Run, RunEnd};
use crate::job::State;
use crate::{Ended, Record, StepId, TaskId, Verdict};

impl Engine {
    /// Records the end of a run, either reported by the host or because its lease expired.
    pub(super) fn end_run(
        &mut self,
        name: &Name,
        task: TaskId,
        attempt: u32,
        how: RunEnd,
        checkpoint: Option<Name>,
    ) {
        let run = self.remove_run(name, task, attempt);
        let is_known = run.is_some();
        self.needs_dispatch = true;
        if let Some(team) = self.jobs.get(&task.step.job).map(|job| job.team.clone()) {
            self.record_decision(team, Verdict::Ended { task, attempt, host: name.clone(), how });
        }
        self.start_reported_occurrences(task.step);
        let Some(job) = self.jobs.get_mut(&task.step.job) else { return };
        if job.closed.is_some() {
            return;
        }
        let Some(step) = job.step_mut(task.step) else { return };
        let Some(task_progress) = step.tasks.get_mut(task.index as usize) else { return };
        task_progress.runs.retain(|(host, number)| !(host == name && *number == attempt));
        task_progress.attempt = task_progress.attempt.max(attempt);
        if task_progress.is_done {
            step.tasks.release(task.index);
            self.forget_if_over(task.step);
            return;
        }
        if let Some(checkpoint) = &checkpoint {
            self.save_checkpoint(task, checkpoint);
        }
        self.note_gang_end(task, attempt, how);
        // The run may be unknown here: the previous owner started it, or its lease was
        // considered expired. Then only a completion or a failure counts.
        if matches!(how, RunEnd::Done | RunEnd::Failed) {
            self.clear_suspicion(name, task, attempt);
        }
        match how {
            RunEnd::Done => {
                if let Some(run) = run {
                    self.record_duration(name, task, &run);
                }
                self.finish_task(name, task, attempt);
            }
            RunEnd::Failed => self.fail_task(name, task, attempt),
            _ if is_known => self.interrupt_task(task, attempt, how, checkpoint),
            _ => self.requeue(task),
        }
    }

    pub(super) fn is_gang(&self, step_id: StepId) -> bool {
        let job = self.jobs.get(&step_id.job);
        let step = job.and_then(|job| job.spec.steps.get(usize::from(step_id.index)));
        step.is_some_and(|step| step.is_gang)
    }

    /// Appends the end of a run to the log and counts it in the host's health.
    fn record_end(&mut self, name: &Name, task: TaskId, attempt: u32, how: RunEnd) {
        let now_ms = self.now.monotonic_ms;
        if let Some(host) = self.hosts.get_mut(name) {
            host.record_outcome(how == RunEnd::Failed, now_ms);
        }
        let checkpoint = Name::from("");
        self.append(Record::Ended(Ended { task, attempt, how, checkpoint }));
    }

    /// Notes how long a task took on a host. Members of a gang end together, and a run that
    /// resumed or that this owner has not started shows no whole duration.
    fn record_duration(&mut self, name: &Name, task: TaskId, run: &Run) {
        let took_ms = self.now.monotonic_ms.saturating_sub(run.requested_ms);
        if run.is_partial || self.is_gang(task.step) {
            return;
        }
        let step = self.jobs.get_mut(&task.step.job).and_then(|job| job.step_mut(task.step));
        if let Some(step) = step {
            step.durations.push((name.clone(), took_ms as u32));
        }
    }

    /// Compares the hosts on which the tasks of a completed step ran.
    fn compare_hosts(&mut self, step_id: StepId) {
        let step = self.jobs.get_mut(&step_id.job).and_then(|job| job.step_mut(step_id));
        let durations = step.map(|step| std::mem::take(&mut step.durations)).unwrap_or_default();
        if durations.len() < 2 {
            return;
        }
        let total_ms: f64 = durations.iter().map(|(_, took_ms)| f64::from(*took_ms)).sum();
        let mean_ms = total_ms / durations.len() as f64;
        for (name, took_ms) in durations {
            if let Some(host) = self.hosts.get_mut(&name) {
                host.speed.compare(f64::from(took_ms), mean_ms);
            }
        }
    }

    fn finish_task(&mut self, name: &Name, task: TaskId, attempt: u32) {
        self.record_end(name, task, attempt, RunEnd::Done);
        let is_gang = self.is_gang(task.step);
        let Some(job) = self.jobs.get_mut(&task.step.job) else { return };
        job.has_started = true;
        let Some(step) = job.step_mut(task.step) else { return };
        let finished: Vec<u32> =
            if is_gang { (0..step.tasks.len() as u32).collect() } else { vec![task.index] };
        let mut leftover = Vec::new();
        for index in finished {
            step.mark_done(index);
            // The host ends the other members of a gang itself; duplicate runs of a task
            // have to be stopped.
            if !is_gang {
                let runs = &step.tasks[index as usize].runs;
                leftover.extend(runs.iter().map(|(host, n)| (host.clone(), *n)));
            }
        }
        let is_done = step.is_done();
        job.clear_done_suspects(task.step);
        let (id, occurrence) = (task.step.job, task.step.occurrence);
        let steps = job.spec.steps.len() as u16;
        for (host, number) in leftover {
            self.stop_run(&host, task, number);
        }
        if is_done {
            self.compare_hosts(task.step);
            self.backlog.remove(task.step);
            for index in task.step.index + 1..steps {
                self.queue_if_ready(StepId { job: id, occurrence, index });
            }
            self.forget_if_over(task.step);
            self.close_if_finished(id);
        }
    }

    fn fail_task(&mut self, name: &Name, task: TaskId, attempt: u32) {
        self.record_end(name, task, attempt, RunEnd::Failed);
        let is_gang = self.is_gang(task.step);
        let Some(job) = self.jobs.get_mut(&task.step.job) else { return };
        let queue = job.queue.clone();
        let is_service = job.spec.steps[usize::from(task.step.index)].is_service;
        let Some(step) = job.step_mut(task.step) else { return };
        step.tasks[task.index as usize].avoided_host = Some(name.clone());
        // The members of a gang fail together, so their attempts are counted at the first
        // one.
        let counted = if is_gang { 0 } else { task.index as usize };
        let failures = step.tasks[counted].record_failure(attempt);
        let max_attempts =
            self.queues.get(&queue).map_or(u32::MAX, |queue| queue.max_attempts.max(1));
        if failures >= max_attempts && !is_service {
            self.close_job(task.step.job, State::Failed);
            return;
        }
        self.stop_gang(task, attempt);
        self.requeue(task);
    }

    fn interrupt_task(
        &mut self,
        task: TaskId,
        attempt: u32,
        how: RunEnd,
        checkpoint: Option<Name>,
    ) {
        // The host forgets the run once its end is acknowledged, so the attempt number and
        // the checkpoint have to be in the log.
        let checkpoint = checkpoint.unwrap_or_else(|| Name::from(""));
        let job = self.jobs.get(&task.step.job);
        let how = job.map_or(how, |job| job.logged_end(task, attempt, how));
        self.append(Record::Ended(Ended { task, attempt, how, checkpoint }));
        self.stop_gang(task, attempt);
        if matches!(how, RunEnd::HostCrashed | RunEnd::LeaseExpired) {
            // A crash that a successor does not know of would not count.
            self.when_durable(Effect::Requeue(task));
        } else {
            self.requeue(task);
        }
    }

    /// Makes a task wait again once it has no runs left.
    pub(super) fn requeue(&mut self, task: TaskId) {
        let Some(job) = self.jobs.get_mut(&task.step.job) else { return };
        let Some(step) = job.step_mut(task.step) else { return };
        let Some(task_progress) = step.tasks.get(task.index as usize) else { return };
        if !task_progress.is_done && task_progress.runs.is_empty() {
            step.waiting.insert(task.index);
            self.queue_if_ready(task.step);
        }
    }

    /// Stops the remaining runs of a gang's attempt after one of them has ended or could not
    /// start.
    pub(super) fn stop_gang(&mut self, task: TaskId, attempt: u32) {
        if !self.is_gang(task.step) {
            return;
        }
        let Some(step) = self.jobs.get(&task.step.job).and_then(|job| job.step(task.step)) else {
            return;
        };
        let mut members = Vec::new();
        for (index, member) in step.tasks.touched() {
            for (host, number) in &member.runs {
                if *number == attempt {
                    members.push((host.clone(), TaskId { step: task.step, index }));
                }
            }
        }
        for (host, member) in members {
            self.stop_run(&host, member, attempt);
        }
    }

    /// Stores the newest checkpoint of a task. A gang has one checkpoint, which any member
    /// may save.
    pub(super) fn save_checkpoint(&mut self, task: TaskId, checkpoint: &Name) {
        if checkpoint.is_empty() {
            return;
        }
        let at = if self.is_gang(task.step) { 0 } else { task.index as usize };
        let Some(job) = self.jobs.get_mut(&task.step.job) else { return };
        let Some(step) = job.step_mut(task.step) else { return };
        if let Some(task_progress) = step.tasks.get_mut(at) {
            task_progress.checkpoint = Some(checkpoint.clone());
        }
    }

    /// Handles a reply of another incarnation at a host's address: the runs of the
    /// incarnation known so far are gone.
    pub(super) fn handle_lost_incarnation(&mut self, name: &Name) {
        self.lose_incarnation(name);
        if let Some(host) = self.hosts.get_mut(name) {
            host.forget_reports();
            host.missed_polls += 1;
        }
    }

    pub(super) fn handle_poll_failure(&mut self, name: &Name, poll: u64, is_gone: bool) {
        let (now_ms, retry_ms) = (self.now.monotonic_ms, self.timing.poll_retry_ms);
        let Some(host) = self.hosts.get_mut(name) else { return };
        host.unreachable_since_ms.get_or_insert(now_ms);
        if host.poll_in_flight == Some(poll) {
            host.poll_in_flight = None;
            host.poll_not_before_ms = now_ms + retry_ms * u64::from(host.missed_polls.clamp(1, 8));
        }
        if is_gone {
            self.handle_lost_incarnation(name);
        } else {
            host.missed_polls += 1;
            if host.missed_polls == 1 && host.has_reported && !host.is_withdrawn() {
                self.note_unreachable(name);
            }
        }
    }
}
