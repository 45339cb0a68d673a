//! Requests of callers, and the start of a job's occurrences and steps.
//!
//! A submission or cancellation is confirmed only once it is durable, so that no takeover
//! can undo it.

use sycamore_types::Name;

use super::job_memory::open_job_bytes;
use super::recover::skip_attempts;
use super::{Effect, Engine};
use crate::job::{Id, MAX_TASKS, Spec, State};
use crate::progress::Job;
use crate::{Answer, Record, StepId, Verdict};

impl Engine {
    /// Accepts a job. A repeated submission of a known job gets the same answer as the
    /// first.
    pub(super) fn submit(&mut self, token: u64, id: Id, queue: Name, team: Name, spec: Spec) {
        let accepted = Effect::Answer { token, answer: Answer::Accepted };
        if self.jobs.contains_key(&id) {
            // The answer waits for all records so far, including the acceptance of the job.
            self.when_durable(accepted);
            return;
        }
        if self.is_overloaded(&queue) {
            self.answer(token, Answer::Overloaded);
            return;
        }
        let bytes = open_job_bytes(&spec);
        if !self.job_memory.has_room(&team, bytes) {
            self.answer(token, Answer::NoMemory);
            return;
        }
        self.job_memory.add(&team, bytes);
        let at_unix_ms = self.now.unix_ms;
        self.queues.add_job(&queue);
        self.log_queue(&queue);
        self.append(Record::Accepted {
            job: id,
            queue: queue.clone(),
            team: team.clone(),
            at_unix_ms,
            spec: spec.clone(),
        });
        self.record_decision(team.clone(), Verdict::Accepted(id));
        self.jobs.insert(id, Job::new(id, queue, team, spec, at_unix_ms));
        self.when_durable(Effect::AllowStart(id));
        self.when_durable(accepted);
        self.start_occurrences(id);
        self.needs_dispatch = true;
    }

    pub(super) fn cancel(&mut self, token: u64, id: Id, team: &str) {
        let Some(job) = self.jobs.get(&id).filter(|job| &*job.team == team) else {
            self.answer(token, Answer::NoSuchJob);
            return;
        };
        if job.closed.is_none() {
            self.close_job(id, State::Cancelled);
        }
        self.when_durable(Effect::Answer { token, answer: Answer::Cancelled });
    }

    pub(super) fn query(&mut self, token: u64, id: Id, team: &str) {
        let job = self.jobs.get(&id).filter(|job| &*job.team == team);
        let answer = match job {
            // A job that isn't durable yet has no confirmed submission, so any answer is
            // valid.
            Some(job) => Answer::State(job.state()),
            None => Answer::NoSuchJob,
        };
        self.answer(token, answer);
    }

    pub(super) fn count(&mut self, token: u64, queue: &str) {
        let waits = |job: &&Job| {
            !job.has_started && job.closed.is_none() && job.is_durable && &*job.queue == queue
        };
        let waiting = self.jobs.values().filter(waits).count();
        self.answer(token, Answer::Count(waiting as u64));
    }

    /// Starts the due occurrences of a job, a limited number at a time, and schedules the next one.
    pub(super) fn start_occurrences(&mut self, id: Id) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.closed.is_some() {
            return;
        }
        let started = job.occurrences.begun();
        if started >= job.total_occurrences() || job.has_many_open_occurrences() {
            return;
        }
        if job.spec.schedule.is_some() && job.due_unix_ms(started) > self.now.unix_ms {
            self.next_occurrences.insert((job.due_unix_ms(started), id));
            return;
        }
        self.begin_occurrence(id);
        self.start_occurrences(id);
    }

    /// Starts the occurrences of a job up to one that an earlier owner has started, as a host reports
    /// a run or an end of it.
    pub(super) fn start_reported_occurrences(&mut self, step_id: StepId) {
        let wanted = |job: &Job| {
            let begun = job.occurrences.begun();
            // A report that can't be true must not take all memory.
            let is_plausible = step_id.occurrence < begun.saturating_add(MAX_TASKS);
            job.closed.is_none()
                && is_plausible
                && (begun..job.total_occurrences()).contains(&step_id.occurrence)
        };
        while self.jobs.get(&step_id.job).is_some_and(wanted) {
            self.begin_occurrence(step_id.job);
        }
    }

    fn begin_occurrence(&mut self, id: Id) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let occurrence = job.begin_occurrence();
        if job.is_recovered {
            skip_attempts(job, occurrence);
        }
        let steps = job.spec.steps.len() as u16;
        for index in 0..steps {
            self.queue_if_ready(StepId { job: id, occurrence, index });
        }
    }

    /// Forgets an occurrence that is over, and starts those that waited for that.
    pub(super) fn forget_if_over(&mut self, step_id: StepId) {
        let Some(job) = self.jobs.get_mut(&step_id.job) else { return };
        if job.occurrences.forget_if_over(step_id.occurrence) {
            self.start_occurrences(step_id.job);
        }
    }

    pub(super) fn start_due_occurrences(&mut self) {
        while let Some((at, id)) = self.next_occurrences.first().copied() {
            if at > self.now.unix_ms {
                return;
            }
            self.next_occurrences.pop_first();
            self.start_occurrences(id);
        }
    }

    /// Adds all steps that can start to the ready ones. Needed after a configuration change,
    /// which may change their urgency.
    pub(super) fn queue_waiting_steps(&mut self) {
        let mut step_ids = Vec::new();
        for job in self.jobs.values().filter(|job| job.closed.is_none()) {
            for (occurrence, steps) in job.occurrences.iter() {
                let waiting = steps.iter().enumerate().filter(|(_, step)| !step.waiting.is_empty());
                step_ids.extend(waiting.map(|(index, _)| StepId {
                    job: job.id,
                    occurrence,
                    index: index as u16,
                }));
            }
        }
        step_ids.into_iter().for_each(|step_id| self.queue_if_ready(step_id));
    }

    fn needs_advice(&self, step_id: StepId) -> bool {
        let queue = self.jobs.get(&step_id.job).and_then(|job| self.queues.get(&job.queue));
        queue.is_some_and(|queue| queue.advice.is_some())
    }

    /// Adds a step to the ready ones if it has waiting tasks and its predecessors are done.
    pub(super) fn queue_if_ready(&mut self, step_id: StepId) {
        let Some(job) = self.jobs.get(&step_id.job) else { return };
        let has_tasks = job.step(step_id).is_some_and(|step| !step.waiting.is_empty());
        if job.closed.is_none() && has_tasks && job.is_ready(step_id) {
            let now_ms = self.now.monotonic_ms;
            // Without its queue, which a later configuration may bring, the step has no rank.
            if let Some(mut urgency) = self.urgency(step_id) {
                let may_claim = self.is_gang(step_id) && !self.needs_advice(step_id);
                let step = self.jobs.get_mut(&step_id.job).and_then(|job| job.step_mut(step_id));
                if let Some(step) = step {
                    let since_ms = *step.waiting_since_ms.get_or_insert(now_ms);
                    urgency.gang_since_ms = may_claim.then_some(since_ms);
                }
                self.backlog.insert(step_id, urgency);
            }
            self.needs_dispatch = true;
        }
    }
}
