//! Keeps runs that may crash their host apart from each other.
//!
//! A job that is isolated has its suspect tasks on one host at a time (a gang on the hosts that it
//! needs), no two isolated jobs share a host, and the number of hosts that have one is bounded.
//! Other work goes to other hosts where there is room. A run that is still there well after the
//! age at which its host crashed before is cleared.

use sycamore_types::Name;

use super::Engine;
use super::candidates::{Candidate, HostViews};
use super::demand::Demand;
use super::losses::SUSPECT_WINDOW_MS;
use crate::host::{Host, Run, RunEnd};
use crate::job;
use crate::progress::{Job, StepProgress, Suspicion};
use crate::{Ended, Record, StepId, TaskId, WaitReason};

/// Time after its start for which a run stays isolated at least, in milliseconds.
const MIN_ISOLATION_MS: u64 = 300;

/// Time for which a run stays isolated at most, in milliseconds. The hosts for isolated runs are
/// few. It exceeds the time after which the runs of a stalled host are stopped, unless they are
/// declared to take longer than a minute.
const MAX_ISOLATION_MS: u64 = 3_000;

/// Multiple of the longest time to a crash that a run has to survive.
const SURVIVAL_FACTOR: u64 = 2;

/// Share of the hosts that may have isolated runs at the same time, however busy the others are.
const MIN_ISOLATED_SHARE: f64 = 1.0 / 3.0;

/// Share of the idle capacity that isolated runs may put at risk.
const IDLE_SHARE: f64 = 0.8;

/// Share of the isolated hosts that restricted queues leave to suspects of others, most of which
/// are innocent.
const SUSPECTS_SHARE: f64 = 0.25;

/// Share of the hosts for jobs whose next crash is all but certain. Jobs that are probably
/// harmless come first.
const MIN_PRIME_SHARE: f64 = 1.0 / 24.0;

/// Pause between two polls that check whether the isolated runs of a host are there, in
/// milliseconds.
const CHECK_INTERVAL_MS: u64 = 200;

/// Most hosts with isolated runs.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct IsolationLimits {
    /// All hosts with isolated runs.
    pub all: u32,
    /// Number of them from which jobs of restricted queues wait.
    pub restricted: u32,
    /// Hosts with runs of prime suspects.
    pub prime: u32,
}

/// Why the tasks of a step have to be isolated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Isolation {
    /// They need not be.
    None,
    /// The queue is restricted, and no run of the step has survived its start yet.
    Unproven,
    /// A host crashed under them, perhaps because of them.
    Suspect,
    /// The same, and the queue is restricted.
    LikelySuspect,
    /// The next crash settles it.
    Prime,
}

impl Isolation {
    pub fn is_isolated(self) -> bool {
        self != Isolation::None
    }

    /// Returns whether only the suspect tasks of a step may start.
    pub fn is_for_suspects(self) -> bool {
        matches!(self, Isolation::Suspect | Isolation::LikelySuspect | Isolation::Prime)
    }
}

/// Returns the time from the start of a run to the end of its isolation, in milliseconds.
pub(super) fn isolation_ms(job: &Job, task: TaskId) -> u64 {
    let max_age_ms = job.suspicions.get(&task).map_or(0, |suspicion| suspicion.max_age_ms);
    (MIN_ISOLATION_MS + SURVIVAL_FACTOR * max_age_ms).min(MAX_ISOLATION_MS)
}

/// Returns whether a run that is there has lasted longer than its isolation. The runs of a stalled
/// host do nothing that could crash it, so that one without progress has to last longer: until then
/// they are stopped (see [`super::health`]).
pub(super) fn has_survived(run: &Run, now_ms: u64) -> bool {
    // The progress of an earlier run or of one that was adopted says nothing about this host.
    let has_progressed = run.is_service || (run.percent > 0 && !run.is_partial);
    let is_proven = has_progressed || now_ms >= run.requested_ms + MAX_ISOLATION_MS;
    is_proven && run.isolated_until_ms.is_some_and(|until_ms| now_ms >= until_ms)
}

/// Returns the waiting tasks of a step that have to be isolated.
pub(super) fn suspects(job: &Job, step_id: StepId, progress: &StepProgress) -> Vec<u32> {
    let is_suspect = |index: &u32| job.needs_isolation(TaskId { step: step_id, index: *index });
    progress.waiting.iter().copied().filter(is_suspect).collect()
}

impl Engine {
    /// Returns how a step has to be isolated, or why none of its tasks may start now.
    pub(super) fn isolation(
        &self,
        job: &Job,
        step_id: StepId,
        progress: &StepProgress,
    ) -> Result<Isolation, WaitReason> {
        let now_ms = self.now.monotonic_ms;
        let has_suspects = job.has_suspects();
        let is_unproven =
            !progress.has_survivor && self.bulkheads.is_restricted(&job.queue, now_ms);
        if !has_suspects && !is_unproven {
            return Ok(Isolation::None);
        }
        if self.isolated_runs.contains_key(&job.id) {
            return Err(WaitReason::Isolated);
        }
        if !has_suspects {
            return Ok(Isolation::Unproven);
        }
        if suspects(job, step_id, progress).is_empty() {
            // The job's other tasks may be like the suspects.
            return Err(WaitReason::Isolated);
        }
        Ok(match self.bulkheads.is_restricted(&job.queue, now_ms) {
            _ if job.is_prime_suspect() => Isolation::Prime,
            true => Isolation::LikelySuspect,
            false => Isolation::Suspect,
        })
    }

    /// Returns how many hosts may have isolated runs now.
    pub(super) fn isolation_limits(&self) -> IsolationLimits {
        let idle = 1.0 - self.totals.used().dominant_share(&self.listed_capacity()).min(1.0);
        let share = f64::max(MIN_ISOLATED_SHARE, IDLE_SHARE * idle);
        let prime_share = f64::max(MIN_PRIME_SHARE, share - MIN_ISOLATED_SHARE);
        let hosts = f64::from(self.totals.listed());
        let limit = |share: f64| ((hosts * share) as u32).max(1);
        IsolationLimits {
            all: limit(share),
            restricted: limit(share * (1.0 - SUSPECTS_SHARE)),
            prime: limit(prime_share),
        }
    }

    /// Returns whether a new job of a queue could not start in time: the queue is restricted, and
    /// for each host that its jobs may have, one waits already.
    pub(super) fn is_overloaded(&self, queue: &Name) -> bool {
        if !self.bulkheads.is_restricted(queue, self.now.monotonic_ms) {
            return false;
        }
        let is_unproven = |step_id: &&StepId| {
            let job = self.jobs.get(&step_id.job).filter(|job| job.queue == *queue);
            let step = job.and_then(|job| job.step(**step_id));
            step.is_some_and(|step| !step.has_survivor)
        };
        let waiting = self.backlog.steps().filter(is_unproven).count();
        waiting >= self.isolation_limits().restricted as usize
    }

    /// Returns the number of hosts with isolated runs, and how many of those are of prime
    /// suspects.
    pub(super) fn isolated_hosts(&self) -> (u32, u32) {
        if self.isolated_runs.is_empty() {
            return (0, 0);
        }
        let is_prime = |id: &job::Id| self.jobs.get(id).is_some_and(Job::is_prime_suspect);
        let isolated = self.totals.isolated().filter_map(|slot| self.hosts.at(slot));
        isolated.fold((0, 0), |(all, prime), host| {
            (all + 1, prime + u32::from(host.isolated_runs.keys().any(is_prime)))
        })
    }

    /// Returns the candidates on which nothing has started just now that may crash the host instead
    /// of a suspect. If there is none, nothing more starts on the first one in this pass, so that
    /// it is quiet for one of the next.
    pub(super) fn quiet_hosts(
        &self,
        mut ready: Vec<Candidate>,
        demand: &Demand,
        views: &mut HostViews,
    ) -> Vec<Candidate> {
        let now_ms = self.now.monotonic_ms;
        let is_recent = |run: &Run| now_ms <= run.requested_ms + SUSPECT_WINDOW_MS;
        let is_quiet = |candidate: &Candidate| {
            let host = self.hosts.get(&views[candidate.index].host);
            host.is_some_and(|host| !host.runs.values().any(is_recent))
        };
        let next = ready.iter().find(|candidate| candidate.fits_now > 0).copied();
        ready.retain(is_quiet);
        if ready.is_empty()
            && !demand.is_gang
            && let Some(next) = next
        {
            views[next.index].is_sealed = true;
        }
        ready
    }

    /// Returns the CPU time that a crash of a host would waste, in thousandths of a core times
    /// milliseconds.
    pub(super) fn work_at_stake(&self, name: &Name) -> u64 {
        let now_ms = self.now.monotonic_ms;
        let runs = self.hosts.get(name).into_iter().flat_map(|host| host.runs.values());
        runs.map(|run| u64::from(run.size.cpu_millis) * now_ms.saturating_sub(run.requested_ms))
            .sum()
    }

    /// Polls the hosts whose isolated runs have lasted long enough.
    pub(super) fn check_isolated_runs(&mut self) {
        if self.isolated_runs.is_empty() {
            return;
        }
        let now_ms = self.now.monotonic_ms;
        let is_due = |host: &&Host| {
            let mut ends = host.runs.values().filter_map(|run| run.isolated_until_ms);
            !host.isolated_runs.is_empty()
                && host.missed_polls == 0
                && now_ms >= host.isolation_checked_ms + CHECK_INTERVAL_MS
                && ends.any(|until_ms| now_ms >= until_ms)
        };
        let due: Vec<Name> =
            self.hosts.values().filter(is_due).map(|host| host.entry.id.clone()).collect();
        for name in due {
            if let Some(host) = self.hosts.get_mut(&name) {
                host.isolation_checked_ms = now_ms;
            }
            self.poll(&name, 0);
        }
    }

    /// Clears the task of a run that has survived its isolation. The log withdraws the losses that
    /// counted until now, or a successor would add them to later ones.
    pub(super) fn clear_survivor(&mut self, name: &Name, task: TaskId, attempt: u32) {
        let job = self.jobs.get(&task.step.job);
        let suspicion = job.and_then(|job| job.suspicions.get(&task));
        let lost: Vec<u32> = suspicion.into_iter().flat_map(Suspicion::attempts).collect();
        for attempt in lost {
            let (how, checkpoint) = (RunEnd::Collateral, Name::from(""));
            self.append(Record::Ended(Ended { task, attempt, how, checkpoint }));
        }
        self.clear_suspicion(name, task, attempt);
    }

    /// Ends the isolation of a run that has shown that its task is sound, and clears the task.
    pub(super) fn clear_suspicion(&mut self, name: &Name, task: TaskId, attempt: u32) {
        self.end_isolation(name, task, attempt);
        if let Some(job) = self.jobs.get_mut(&task.step.job) {
            job.suspicions.remove(&task);
            if let Some(step) = job.step_mut(task.step) {
                step.has_survivor = true;
            }
        }
        self.needs_dispatch = true;
    }

    /// Counts an isolated run in its host and its job.
    pub(super) fn begin_isolation(&mut self, name: &Name, job: job::Id) {
        if let Some(host) = self.hosts.get_mut(name) {
            *host.isolated_runs.entry(job).or_default() += 1;
        }
        *self.isolated_runs.entry(job).or_default() += 1;
    }

    fn end_isolation(&mut self, name: &Name, task: TaskId, attempt: u32) {
        let run = self.hosts.get_mut(name).and_then(|host| host.runs.get_mut(&(task, attempt)));
        if run.is_some_and(|run| run.isolated_until_ms.take().is_some()) {
            self.forget_isolated_run(name, task.step.job);
        }
    }

    /// Reverts [`Engine::begin_isolation`] for a run that has ended or is cleared.
    pub(super) fn forget_isolated_run(&mut self, name: &Name, job: job::Id) {
        if let Some(host) = self.hosts.get_mut(name)
            && let Some(runs) = host.isolated_runs.get_mut(&job)
        {
            *runs -= 1;
            host.isolated_runs.retain(|_, runs| *runs > 0);
        }
        if let Some(runs) = self.isolated_runs.get_mut(&job) {
            *runs -= 1;
            if *runs == 0 {
                self.isolated_runs.remove(&job);
            }
        }
        self.needs_dispatch = true;
    }
}
