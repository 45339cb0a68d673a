//! Starts and stops runs on hosts, and tracks the resources that they use.
//!
//! A run counts from its start request until its end is certain, so that a start with an
//! unknown outcome can neither overload a host nor exceed a team's limit.

use sycamore_types::Name;
use sycamore_types::resources::Resources;

use super::Engine;
use super::isolation::{Isolation, isolation_ms};
use crate::host::{Phase, Run, RunEnd};
use crate::job::Id;
use crate::{Action, Start, StartOutcome, Stop, TaskId};

/// Time for which a host gets no new work after it rejected a start for lack of capacity that
/// it should have by this owner's accounting, in milliseconds.
const NO_CAPACITY_QUARANTINE_MS: u64 = 300;

impl Engine {
    /// Asks a host to start a task.
    pub(super) fn start_run(
        &mut self,
        name: &Name,
        task: TaskId,
        attempt: u32,
        isolation: Isolation,
    ) {
        let (now_ms, ttl_ms) = (self.now.monotonic_ms, self.start_ttl_ms());
        let Some(job) = self.jobs.get_mut(&task.step.job) else { return };
        let spec = job.spec.clone();
        let step = &spec.steps[usize::from(task.step.index)];
        let team = job.team.clone();
        let isolated_until_ms = isolation.is_isolated().then(|| now_ms + isolation_ms(job, task));
        let Some(step_progress) = job.step_mut(task.step) else { return };
        let checkpoint_index = if step.is_gang { 0 } else { task.index as usize };
        let checkpoint = step_progress.tasks[checkpoint_index].checkpoint.clone();
        let host_number = self.hosts.get(name).map_or(0, |host| host.number);
        let ticket =
            step_progress.advice.allowed.get(&host_number).map(|ticket| ticket.token.clone());
        step_progress.waiting.remove(&task.index);
        let task_progress = &mut step_progress.tasks[task.index as usize];
        if self.reservations.use_for(task.step, name) {
            task_progress.cleared_ms = Some(now_ms);
        }
        task_progress.attempt = attempt;
        task_progress.runs.push((name.clone(), attempt));
        let Some(host) = self.hosts.get_mut(name) else { return };
        let deadline_ms = host.grant(now_ms, ttl_ms, &self.timing);
        let run = Run {
            phase: Phase::Requested,
            is_confirmed: false,
            is_carried_over: false,
            requested_ms: now_ms,
            checkpoint_ms: now_ms,
            is_partial: checkpoint.is_some(),
            footprint: step.footprint(),
            size: step.size,
            team,
            deadline_ms,
            visible_after_poll: self.last_poll,
            is_stopping: false,
            is_stop_sent: false,
            is_stop_outdated: false,
            stop_accepted_at_poll: None,
            isolated_until_ms,
            has_objective: step.latency_objective_ms > 0,
            is_best_effort: step.is_best_effort,
            is_service: step.is_service,
            estimate_ms: step.estimate_ms,
            lent_until_ms: None,
            percent: 0,
            last_progress_ms: now_ms,
        };
        self.add_run(name, task, attempt, run);
        self.actions.push(Action::Start(Start {
            host: name.clone(),
            task,
            attempt,
            payload: spec.payload.clone(),
            deadline_ms,
            ticket,
            checkpoint: checkpoint.unwrap_or_else(|| Name::from("")),
        }));
    }

    pub(super) fn add_run(&mut self, name: &Name, task: TaskId, attempt: u32, run: Run) {
        let Some(host) = self.hosts.get_mut(name) else { return };
        host.used = host.used.plus(&run.footprint);
        host.lasting_use = host.lasting_use.plus(&run.lasting_use());
        host.latency_runs += u32::from(run.has_objective);
        host.best_effort_runs += u32::from(run.is_best_effort);
        let usage = self.team_usage.entry(run.team.clone()).or_default();
        *usage = usage.plus(&run.size);
        *self.job_runs.entry(task.step.job).or_default() += 1;
        let is_isolated = run.isolated_until_ms.is_some();
        host.runs.insert((task, attempt), run);
        if is_isolated {
            self.begin_isolation(name, task.step.job);
        }
    }

    /// Notes until when a run uses room that is kept for gangs, in milliseconds, if it may be stopped for
    /// them after that.
    pub(super) fn lend_room(&mut self, name: &Name, task: TaskId, attempt: u32, until_ms: u64) {
        let is_recallable = self.is_recallable(task);
        let Some(host) = self.hosts.get_mut(name) else { return };
        let Some(run) = host.runs.get_mut(&(task, attempt)) else { return };
        if is_recallable && run.isolated_until_ms.is_none() {
            run.lent_until_ms = Some(until_ms);
            host.loan_count += 1;
        }
    }

    /// Removes a run and releases its resources. Returns the run if it was known.
    pub(super) fn remove_run(&mut self, name: &Name, task: TaskId, attempt: u32) -> Option<Run> {
        let host = self.hosts.get_mut(name)?;
        let run = host.runs.remove(&(task, attempt))?;
        self.reservations.forget_run((task, attempt));
        host.used = host.used.minus(&run.footprint);
        host.lasting_use = host.lasting_use.minus(&run.lasting_use());
        host.latency_runs -= u32::from(run.has_objective);
        host.best_effort_runs -= u32::from(run.is_best_effort);
        host.loan_count -= u32::from(run.lent_until_ms.is_some());
        if let Some(usage) = self.team_usage.get_mut(&run.team) {
            *usage = usage.minus(&run.size);
        }
        if run.isolated_until_ms.is_some() {
            self.forget_isolated_run(name, task.step.job);
        }
        self.count_removed_run(task.step.job);
        Some(run)
    }

    fn count_removed_run(&mut self, id: Id) {
        let Some(runs) = self.job_runs.get_mut(&id) else { return };
        *runs -= 1;
        if *runs == 0 {
            self.job_runs.remove(&id);
            self.drop_spec_without_runs(id);
        }
    }

    pub(super) fn handle_start_result(
        &mut self,
        name: &Name,
        task: TaskId,
        attempt: u32,
        outcome: StartOutcome,
        clock_ms: u64,
    ) {
        let (now_ms, last_poll) = (self.now.monotonic_ms, self.last_poll);
        let Some(host) = self.hosts.get_mut(name) else { return };
        let had_other_clock = host.has_other_clock();
        let sent_ms = host.runs.get(&(task, attempt)).map_or(now_ms, |run| run.requested_ms);
        let is_same_incarnation = outcome != StartOutcome::Gone
            && host.check_clock(clock_ms, sent_ms, now_ms, &self.timing);
        let is_other_clock_new = host.has_other_clock() && !had_other_clock;
        if outcome == StartOutcome::Unknown {
            host.record_unanswered_start(task, attempt, now_ms);
        }
        let Some(run) = host.runs.get(&(task, attempt)) else { return };
        let requested_ms = run.requested_ms;
        match outcome {
            // The outcome says little about an incarnation that the start was not meant for.
            _ if run.is_carried_over => {}
            StartOutcome::Started => host.record_start(requested_ms),
            StartOutcome::Unknown | StartOutcome::Rejected => {
                host.record_start_failure(now_ms);
                let step =
                    self.jobs.get_mut(&task.step.job).and_then(|job| job.step_mut(task.step));
                if let Some(step) = step {
                    step.avoided_hosts.insert(host.number);
                }
            }
            _ => {}
        }
        let Some(run) = host.runs.get_mut(&(task, attempt)) else { return };
        match outcome {
            StartOutcome::Started => {
                run.phase = Phase::Running;
                run.is_confirmed = is_same_incarnation && !run.is_carried_over;
                run.visible_after_poll = last_poll;
                run.last_progress_ms = now_ms;
                let (is_carried_over, is_stopping) = (run.is_carried_over, run.is_stopping);
                if let Some(job) = self.jobs.get_mut(&task.step.job) {
                    job.has_started = true;
                }
                if is_stopping {
                    self.stop_run(name, task, attempt);
                }
                if is_carried_over || is_other_clock_new {
                    // The report tells which incarnation has replied, and whether it has the run.
                    self.poll(name, 0);
                }
            }
            StartOutcome::Unknown => {
                run.phase = Phase::Unconfirmed;
                run.visible_after_poll = last_poll;
                self.stop_run(name, task, attempt);
                self.stop_gang(task, attempt);
            }
            StartOutcome::Fenced => self.actions.push(Action::Deposed),
            StartOutcome::NoRoom => {
                host.quarantined_until_ms = now_ms + NO_CAPACITY_QUARANTINE_MS;
                self.end_run(name, task, attempt, RunEnd::Stopped, None);
            }
            StartOutcome::BadTicket => {
                if let Some(job) = self.jobs.get_mut(&task.step.job)
                    && let Some(step) = job.step_mut(task.step)
                    && let Some(ticket) = step.advice.allowed.get_mut(&host.number)
                {
                    ticket.expires_ms = 0;
                }
                self.end_run(name, task, attempt, RunEnd::Stopped, None);
            }
            StartOutcome::Rejected => {
                self.end_run(name, task, attempt, RunEnd::Stopped, None);
            }
            StartOutcome::Gone => {
                self.end_run(name, task, attempt, RunEnd::Stopped, None);
                self.handle_lost_incarnation(name);
            }
        }
        self.needs_dispatch = true;
    }

    /// Requests that a run be stopped.
    pub(super) fn stop_run(&mut self, name: &str, task: TaskId, attempt: u32) {
        let Some(host) = self.hosts.get_mut(name) else { return };
        let Some(run) = host.runs.get_mut(&(task, attempt)) else { return };
        run.is_stopping = true;
        // A host that is known only from the log has no address yet.
        if host.entry.incarnation == 0 {
            return;
        }
        // The stop could overtake a start request in flight. The run is stopped once the
        // outcome of that is known.
        if run.phase == Phase::Requested || run.is_stop_sent || run.stop_accepted_at_poll.is_some()
        {
            return;
        }
        run.is_stop_sent = true;
        let host = host.entry.id.clone();
        self.actions.push(Action::Stop(Stop { host, task, attempt }));
    }

    pub(super) fn handle_stop_result(
        &mut self,
        name: &Name,
        task: TaskId,
        attempt: u32,
        is_accepted: bool,
    ) {
        let last_poll = self.last_poll;
        let Some(host) = self.hosts.get_mut(name) else { return };
        let Some(run) = host.runs.get_mut(&(task, attempt)) else { return };
        run.is_stop_sent = false;
        if std::mem::take(&mut run.is_stop_outdated) {
            self.stop_run(name, task, attempt);
            return;
        }
        if !is_accepted {
            return;
        }
        run.stop_accepted_at_poll = Some(last_poll);
        if run.phase == Phase::Unconfirmed {
            // The host reports no end for a run that never started. A poll without a wait
            // shows whether the run exists.
            self.poll(name, 0);
        }
    }

    pub(super) fn resend_stops(&mut self) {
        let mut unsent = Vec::new();
        for host in self.hosts.values() {
            for ((task, attempt), run) in &host.runs {
                if run.is_stopping && !run.is_stop_sent && run.stop_accepted_at_poll.is_none() {
                    unsent.push((host.entry.id.clone(), *task, *attempt));
                }
            }
        }
        for (name, task, attempt) in unsent {
            self.stop_run(&name, task, attempt);
        }
    }

    /// Adds a run that the host reports, or may have, and that this owner didn't start.
    /// Stops it if it isn't needed.
    pub(super) fn adopt_run(&mut self, name: &Name, task: TaskId, attempt: u32) {
        self.start_reported_occurrences(task.step);
        let (now_ms, last_poll) = (self.now.monotonic_ms, self.last_poll);
        let Some(host) = self.hosts.get(name) else { return };
        let (capacity, largest_capacity) = (host.entry.capacity, host.largest_capacity());
        let mut run = Run {
            phase: Phase::Running,
            is_confirmed: false,
            is_carried_over: false,
            requested_ms: now_ms,
            checkpoint_ms: now_ms,
            is_partial: true,
            // Its size is unknown if the specification of the job is. The run then takes up the whole
            // host, and counts as much against the limit of its team.
            footprint: capacity,
            size: Resources::default(),
            team: Name::from(""),
            deadline_ms: 0,
            visible_after_poll: last_poll,
            is_stopping: false,
            is_stop_sent: false,
            is_stop_outdated: false,
            stop_accepted_at_poll: None,
            isolated_until_ms: None,
            has_objective: false,
            is_best_effort: false,
            is_service: false,
            estimate_ms: 0,
            lent_until_ms: None,
            percent: 0,
            last_progress_ms: now_ms,
        };
        let mut is_wanted = false;
        let job = self.jobs.get_mut(&task.step.job);
        if let Some(job) = &job {
            run.team = job.team.clone();
            run.size = largest_capacity;
        }
        if let Some(job) = &job
            && let Some(step) = job.spec.steps.get(usize::from(task.step.index))
        {
            run.footprint = step.footprint();
            run.size = step.size;
            run.has_objective = step.latency_objective_ms > 0;
            run.is_best_effort = step.is_best_effort;
            run.is_service = step.is_service;
            run.estimate_ms = step.estimate_ms;
        }
        if let Some(job) = job
            && job.closed.is_none()
            && usize::from(task.step.index) < job.spec.steps.len()
        {
            if job.needs_isolation(task) {
                run.isolated_until_ms = Some(now_ms + isolation_ms(job, task));
            }
            job.has_started = true;
            if let Some(step_progress) = job.step_mut(task.step)
                && let Some(task_progress) = step_progress.tasks.get_mut(task.index as usize)
            {
                is_wanted = !task_progress.is_done && task_progress.runs.is_empty();
                task_progress.attempt = task_progress.attempt.max(attempt);
                task_progress.runs.push((name.clone(), attempt));
                step_progress.waiting.remove(&task.index);
                if step_progress.waiting.is_empty() {
                    self.backlog.remove(task.step);
                }
            }
        }
        self.add_run(name, task, attempt, run);
        if !is_wanted {
            self.stop_run(name, task, attempt);
        }
    }
}
