//! Closes jobs: decides their final state and forgets them after the retention time.
//!
//! Callers see a final state only once its record is durable.

use super::losses::GIVE_UP_AFTER;
use super::{Effect, Engine};
use crate::job::{self, Id, State};
use crate::progress::{Occurrences, StepProgress, TaskProgress};
use crate::{Closed, Record, TaskId, Verdict};

impl Engine {
    /// Sets the final state of a job and stops its runs.
    pub(super) fn close_job(&mut self, id: Id, state: State) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.closed.is_some() {
            return;
        }
        self.job_memory.remove(&job.team, job.memory_bytes());
        job.closed = Some(state);
        self.job_memory.add(&job.team, job.memory_bytes());
        job.closed_unix_ms = self.now.unix_ms;
        let runs: Vec<_> = job
            .occurrences
            .iter()
            .flat_map(|(_, steps)| steps)
            .flat_map(|step| step.tasks.touched())
            .flat_map(|(_, task)| task.runs.clone())
            .collect();
        let closed = Closed {
            job: id,
            queue: job.queue.clone(),
            team: job.team.clone(),
            state,
            at_unix_ms: job.closed_unix_ms,
        };
        job.occurrences = Occurrences::default();
        job.suspicions.clear();
        job.keep_steps_only();
        self.closed_jobs.push_back((self.now.unix_ms + self.timing.status_retention_ms, id));
        self.drop_spec_without_runs(id);
        self.backlog.remove_job(id);
        self.record_decision(closed.team.clone(), Verdict::Closed(id, state));
        self.append(Record::Closed(closed));
        self.when_durable(Effect::ShowState(id));
        for (host, _) in runs {
            self.stop_job_runs(&host, id);
        }
    }

    /// Drops the specification of a closed job that has no runs. A successor needs the sizes of the
    /// others, as they count against the team's limit until they have ended.
    pub(super) fn drop_spec_without_runs(&mut self, id: Id) {
        // A run that no report has shown yet may be one of the job.
        if self.is_recovering || self.job_runs.contains_key(&id) {
            return;
        }
        if let Some(job) = self.jobs.get_mut(&id).filter(|job| job.closed.is_some()) {
            job.spec = Default::default();
        }
    }

    /// The same for all closed jobs.
    pub(super) fn drop_specs_without_runs(&mut self) {
        let closed: Vec<Id> = self.closed_jobs.iter().map(|(_, id)| *id).collect();
        closed.into_iter().for_each(|id| self.drop_spec_without_runs(id));
    }

    fn stop_job_runs(&mut self, host: &str, id: Id) {
        let Some(entry) = self.hosts.get(host) else { return };
        let of_job = |(task, _): &&(TaskId, u32)| task.step.job == id;
        let runs: Vec<_> = entry.runs.keys().filter(of_job).copied().collect();
        for (task, attempt) in runs {
            self.stop_run(host, task, attempt);
        }
    }

    /// Closes a job as complete if all its work is done.
    pub(super) fn close_if_finished(&mut self, id: Id) {
        if self.jobs.get(&id).is_some_and(|job| job.closed.is_none() && job.is_finished()) {
            self.close_job(id, State::Complete);
        }
    }

    /// Closes the jobs with a task that has used up its attempts or crashed too many hosts. Needed
    /// after recovery and after a configuration change: the previous owner may have been lost
    /// between recording the last failed attempt or crash and closing the job, or may not have
    /// known the limit.
    pub(super) fn close_exhausted_jobs(&mut self) {
        self.give_up_crashing_jobs();
        let mut exhausted = Vec::new();
        for job in self.jobs.values().filter(|job| job.closed.is_none()) {
            let Some(queue) = self.queues.get(&job.queue) else { continue };
            let is_exhausted = |(step, progress): (&job::Step, &StepProgress)| {
                let is_used_up = |task: &TaskProgress| {
                    task.failed_attempts.len() as u32 >= queue.max_attempts.max(1)
                };
                !step.is_service && progress.tasks.touched().any(|(_, task)| is_used_up(task))
            };
            let mut steps =
                job.occurrences.iter().flat_map(|(_, steps)| job.spec.steps.iter().zip(steps));
            if steps.any(is_exhausted) {
                exhausted.push(job.id);
            }
        }
        for id in exhausted {
            self.close_job(id, State::Failed);
        }
    }

    fn give_up_crashing_jobs(&mut self) {
        let open = self.jobs.values().filter(|job| job.closed.is_none());
        let crashing: Vec<(TaskId, u32)> = open
            .flat_map(|job| &job.suspicions)
            .filter(|(_, suspicion)| suspicion.losses() >= GIVE_UP_AFTER)
            .map(|(task, suspicion)| (*task, suspicion.losses()))
            .collect();
        for (task, losses) in crashing {
            self.give_up(task, losses);
        }
    }

    /// Forgets the jobs whose retention time is over, except those with runs: these count against the
    /// limit of a team that only the job tells a successor.
    pub(super) fn forget_closed_jobs(&mut self) {
        let now_ms = self.now.unix_ms;
        while !self.is_recovering
            && let Some((at_ms, id)) = self.closed_jobs.front().copied()
            && at_ms <= now_ms
        {
            self.closed_jobs.pop_front();
            if self.job_runs.contains_key(&id) {
                self.closed_jobs.push_back((now_ms + self.timing.status_retention_ms.max(1), id));
            } else if let Some(job) = self.jobs.remove(&id) {
                self.queues.remove_job(&job.queue);
                self.job_memory.remove(&job.team, job.memory_bytes());
            }
        }
    }
}
