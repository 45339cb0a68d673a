//! Ends the members of a broken gang on a host that doesn't reply.
//!
//! The end of one member ends the others, which their hosts report as broken. If every report
//! says so, the member that ended first is among those not reported; if these are all on one
//! host, that host has no member any more. Without this, the gang would wait until the host's
//! lease has expired. How the members there ended is open: one may have failed (see
//! [`super::unreported_ends`]), or the host may have crashed.

use std::collections::BTreeSet;

use sycamore_types::Name;

use super::Engine;
use crate::host::{Phase, RunEnd};
use crate::{LossCause, StepId, TaskId};

/// Ends that this owner has seen of one attempt of a gang.
#[derive(Clone, Debug, Default)]
pub(super) struct GangEnds {
    /// A member ended for a reason of its own.
    has_cause: bool,
    /// Indices of the members that ended because of another one.
    broken: BTreeSet<u32>,
}

impl Engine {
    /// Notes how a member of a gang ended.
    pub(super) fn note_gang_end(&mut self, task: TaskId, attempt: u32, how: RunEnd) {
        if !self.is_gang(task.step) {
            return;
        }
        let ends = self.gang_ends.entry((task.step, attempt)).or_default();
        if how == RunEnd::GangBroken {
            ends.broken.insert(task.index);
        } else {
            ends.has_cause = true;
        }
    }

    /// Ends the last members of gangs that are broken because of them.
    pub(super) fn end_broken_gangs(&mut self) {
        let gangs: Vec<(StepId, u32)> = self.gang_ends.keys().copied().collect();
        for (step_id, attempt) in gangs {
            let left = self.runs_of_attempt(step_id, attempt);
            if left.is_empty() {
                self.gang_ends.remove(&(step_id, attempt));
            } else if self.is_broken_by(&left, step_id, attempt)
                && self.are_lost_together(&left, attempt)
                && !self.are_suspects(&left)
                && self.has_spare_attempt(step_id)
            {
                let lost: Vec<_> = left.iter().map(|(_, task)| (*task, attempt)).collect();
                if let Some((host, _)) = left.first() {
                    let cause = match self.cause_of_end(host) {
                        LossCause::Crashed => LossCause::GangBroken,
                        cause => cause,
                    };
                    self.lose_runs(host, cause, &lost);
                    let members = left.iter().map(|(_, task)| *task).collect();
                    self.expect_end(step_id, attempt, host.clone(), members);
                }
            }
        }
    }

    /// Returns whether all members but the given ones are known to have been broken off.
    fn is_broken_by(&self, left: &[(Name, TaskId)], step_id: StepId, attempt: u32) -> bool {
        let step = self.jobs.get(&step_id.job).and_then(|job| job.step(step_id));
        let ends = self.gang_ends.get(&(step_id, attempt));
        ends.zip(step).is_some_and(|(ends, step)| {
            !ends.has_cause && ends.broken.len() + left.len() == step.tasks.len()
        })
    }

    fn runs_of_attempt(&self, step_id: StepId, attempt: u32) -> Vec<(Name, TaskId)> {
        let step = self.jobs.get(&step_id.job).and_then(|job| job.step(step_id));
        let tasks = step.into_iter().flat_map(|step| step.tasks.touched());
        let mut runs = Vec::new();
        for (index, task) in tasks {
            let of_attempt = task.runs.iter().filter(|(_, number)| *number == attempt);
            let task_id = TaskId { step: step_id, index };
            runs.extend(of_attempt.map(|(host, _)| (host.clone(), task_id)));
        }
        runs
    }

    /// Returns whether all runs are on one host, which had them and doesn't reply now.
    fn are_lost_together(&self, runs: &[(Name, TaskId)], attempt: u32) -> bool {
        let Some(host) = runs.first().and_then(|(name, _)| self.hosts.get(name)) else {
            return false;
        };
        let is_there = |(name, task): &(Name, TaskId)| {
            let run = host.runs.get(&(*task, attempt));
            *name == host.entry.id && run.is_some_and(|run| run.phase == Phase::Running)
        };
        host.missed_polls > 0 && runs.iter().all(is_there)
    }

    /// Returns whether a host may have crashed under one of the members before. Then the gang waits
    /// until it is certain whether this one has: it may be what crashes them.
    fn are_suspects(&self, runs: &[(Name, TaskId)]) -> bool {
        runs.iter().any(|(_, task)| {
            let job = self.jobs.get(&task.step.job);
            let suspicion = job.and_then(|job| job.suspicions.get(task));
            suspicion.is_some_and(|suspicion| suspicion.losses() > 0)
        })
    }

    /// Returns whether a gang may start again even if its last attempt has failed, which its
    /// host may report later.
    fn has_spare_attempt(&self, step_id: StepId) -> bool {
        let Some(job) = self.jobs.get(&step_id.job) else { return false };
        let max_attempts = self.queues.get(&job.queue).map_or(1, |queue| queue.max_attempts);
        self.possible_failures(step_id) + 1 < max_attempts
    }
}
