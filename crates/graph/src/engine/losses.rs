//! Ends the runs of hosts that are lost, and finds the tasks that may have crashed them.
//!
//! All runs of a host that crashed are suspects. Those that were started last are the likeliest:
//! they start again in isolation, each job apart from other suspects (see [`super::isolation`]).
//! If the host crashes again, that settles it. A job is given up when the second host crashed
//! under one of its tasks and nothing else explains the crash, or when too many have. Runs of
//! other jobs are not held responsible beside an isolated one, nor beside one that had just
//! started from a restricted queue (see [`super::bulkhead`]).
//!
//! Each loss is on the log before the task starts again, so that a successor knows the count.

use std::collections::BTreeSet;

use sycamore_types::Name;

use super::Engine;
use super::bulkhead::PROMPT_MS;
use crate::host::{Host, Phase, Run, RunEnd};
use crate::job::{Id, State};
use crate::progress::{ISOLATE_AFTER, Job};
use crate::{Action, Ended, HostLoss, LossCause, Record, TaskId, Verdict};

/// Time between the starts of the youngest run of a host and of another one up to which both are
/// isolated after a crash, in milliseconds.
pub(super) const SUSPECT_WINDOW_MS: u64 = 50;

/// Crashes under a task from which its job is given up if nothing else explains the last one.
const GIVE_UP_AFTER_EXPLAINED: usize = 2;

/// Losses of hosts under a task from which its job is given up in any case. The platform allows
/// for two starts after the third crash, of which one may have gone unseen between two owners.
pub(super) const GIVE_UP_AFTER: u32 = 4;

/// A run of a lost host.
#[derive(Clone, Copy, Debug)]
struct LostRun {
    task: TaskId,
    attempt: u32,
    /// Time from its start request until the host was out of reach, in milliseconds.
    age_ms: u64,
    is_isolated: bool,
    /// The run may have been on the host when that went out of reach.
    was_there: bool,
    /// It certainly was.
    is_confirmed: bool,
}

/// Whether a loss counts against a task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Blame {
    /// The loss does not count.
    None,
    /// The host crashed because of another task.
    Collateral,
    /// The host may have crashed, the run may not have been there, or another one is likelier.
    Uncertain { is_isolated: bool },
    /// The host may have crashed, perhaps because of the task: it is silent and the run has ended, or
    /// it was out of reach before it had announced to leave.
    Unconfirmed { is_isolated: bool },
    /// The host crashed, perhaps because of the task.
    Suspect { is_isolated: bool, is_prime: bool },
}

impl Blame {
    fn of_crash(run: &LostRun, is_isolated: bool, is_prime: bool) -> Blame {
        if run.is_confirmed {
            Blame::Suspect { is_isolated, is_prime }
        } else {
            Blame::Uncertain { is_isolated }
        }
    }

    fn is_isolated(self) -> bool {
        match self {
            Blame::None | Blame::Collateral => false,
            Blame::Uncertain { is_isolated }
            | Blame::Unconfirmed { is_isolated }
            | Blame::Suspect { is_isolated, .. } => is_isolated,
        }
    }
}

impl Engine {
    /// Ends all runs of a host whose incarnation has ended.
    pub(super) fn lose_incarnation(&mut self, name: &Name) {
        let cause = self.cause_of_end(name);
        self.lose_all_runs(name, cause);
        self.confirm_crashes(name, cause);
    }

    /// Ends the runs that the earlier incarnation of a host certainly had. The new one has the same
    /// name, and may have got the start requests of the others or get them later.
    pub(super) fn lose_earlier_incarnation(&mut self, name: &Name) {
        let cause = self.cause_of_end(name);
        let Some(host) = self.hosts.get(name) else { return };
        let runs: Vec<_> = host.runs.keys().copied().collect();
        self.lose_runs_if(name, cause, &runs, |run| run.is_confirmed);
        self.confirm_crashes(name, cause);
    }

    /// Counts crashes under runs whose ends the lost incarnation of a host has not reported.
    fn confirm_crashes(&mut self, name: &Name, cause: LossCause) {
        for (task, attempt) in self.take_unreported_ends(name) {
            if cause == LossCause::Crashed {
                self.confirm_crash(task, attempt);
            }
        }
    }

    /// Counts a crash for certain that has counted as an uncertain one until now.
    fn confirm_crash(&mut self, task: TaskId, attempt: u32) {
        let job = self.jobs.get_mut(&task.step.job).filter(|job| job.closed.is_none());
        let Some(suspicion) = job.and_then(|job| job.suspicions.get_mut(&task)) else { return };
        if !suspicion.uncertain.remove(&attempt) {
            return;
        }
        suspicion.crashed.insert(attempt);
        let is_settled = suspicion.is_prime && suspicion.crashed.len() >= GIVE_UP_AFTER_EXPLAINED;
        let losses = suspicion.losses();
        let checkpoint = Name::from("");
        self.append(Record::Ended(Ended { task, attempt, how: RunEnd::HostCrashed, checkpoint }));
        if is_settled {
            self.give_up(task, losses);
        }
    }

    /// Ends all runs of a host.
    pub(super) fn lose_all_runs(&mut self, name: &Name, cause: LossCause) {
        let Some(host) = self.hosts.get(name) else { return };
        let runs: Vec<_> = host.runs.keys().copied().collect();
        self.lose_runs(name, cause, &runs);
    }

    /// Returns why a host is lost whose incarnation has ended.
    pub(super) fn cause_of_end(&self, name: &Name) -> LossCause {
        let is_withdrawn = self.hosts.get(name).is_some_and(Host::is_withdrawn);
        if is_withdrawn { LossCause::Drained } else { LossCause::Crashed }
    }

    /// Ends runs of a lost host.
    pub(super) fn lose_runs(&mut self, name: &Name, cause: LossCause, lost: &[(TaskId, u32)]) {
        self.lose_runs_if(name, cause, lost, |_| true);
    }

    /// Counts the loss of a host for some of its runs, and ends those that are certainly over.
    fn lose_runs_if(
        &mut self,
        name: &Name,
        cause: LossCause,
        lost: &[(TaskId, u32)],
        is_over: impl Fn(&LostRun) -> bool,
    ) {
        let Some(host) = self.hosts.get_mut(name) else { return };
        let now_ms = self.now.monotonic_ms;
        let lost_ms = host.unreachable_since_ms.unwrap_or(now_ms);
        let all: Vec<LostRun> =
            host.runs.iter().map(|(key, run)| lost_run(*key, run, lost_ms)).collect();
        let is_lost = |run: &&LostRun| lost.contains(&(run.task, run.attempt));
        let runs: Vec<LostRun> = all.iter().filter(is_lost).copied().collect();
        let youngest = all.iter().min_by_key(|run| (!run.was_there, run.age_ms)).copied();
        let Some(youngest) = youngest else { return };
        let is_mass_loss = self.bulkheads.is_mass_loss(lost_ms);
        let is_early = lost_ms < host.serves_until_ms;
        let isolated_runs = all.iter().filter(|run| run.is_isolated);
        host.lost_suspects.extend(isolated_runs.map(|run| run.task.step.job));
        let mut suspects = host.lost_suspects.clone();
        if suspects.is_empty() {
            let likely = all.iter().filter(|run| self.is_of_restricted_queue(run));
            suspects.extend(likely.map(|run| run.task.step.job));
        }
        let unisolated = all.iter().filter(|run| run.was_there && !run.is_isolated);
        let youngest_unisolated_ms = unisolated.map(|run| run.age_ms).min();
        let crash = Crash {
            cause,
            suspects: &suspects,
            youngest_age_ms: youngest.age_ms,
            youngest_unisolated_ms,
            is_mass_loss,
            is_early,
        };
        let (mut isolated, mut kept) = (0, 0);
        let mut given_up = Vec::new();
        for run in &runs {
            let blame = crash.blame(run);
            isolated += usize::from(blame.is_isolated());
            if let Some(crashes) = self.count_loss(run, blame) {
                given_up.push((run.task, crashes));
            }
            let how = match blame {
                Blame::Suspect { .. } => RunEnd::HostCrashed,
                Blame::Collateral => RunEnd::Collateral,
                Blame::None | Blame::Uncertain { .. } | Blame::Unconfirmed { .. } => {
                    RunEnd::LeaseExpired
                }
            };
            if is_over(run) {
                self.end_run(name, run.task, run.attempt, how, None);
            } else {
                kept += 1;
                self.carry_over(name, run.task, run.attempt);
            }
        }
        self.actions.push(Action::ReportLoss(HostLoss {
            host: name.clone(),
            cause,
            runs: runs.len(),
            suspects: isolated,
            kept,
            youngest: (youngest.task, youngest.attempt),
            youngest_age_ms: youngest.age_ms,
            silent_ms: now_ms.saturating_sub(lost_ms),
        }));
        for (task, crashes) in given_up {
            self.give_up(task, crashes);
        }
    }

    /// Counts the loss of a host against a task. Returns the number of hosts lost under it if its
    /// job is to be given up.
    fn count_loss(&mut self, run: &LostRun, blame: Blame) -> Option<u32> {
        let job = self.jobs.get_mut(&run.task.step.job).filter(|job| job.closed.is_none())?;
        if job.step(run.task.step)?.tasks.get(run.task.index as usize)?.is_done {
            return None;
        }
        if matches!(blame, Blame::None | Blame::Collateral) {
            return None;
        }
        let suspicion = job.suspicions.entry(run.task).or_default();
        let mut is_explained = false;
        match blame {
            Blame::None | Blame::Collateral => {}
            Blame::Uncertain { is_isolated } => {
                suspicion.uncertain.insert(run.attempt);
                suspicion.needs_isolation |= is_isolated;
            }
            Blame::Unconfirmed { is_isolated } => {
                suspicion.uncertain.insert(run.attempt);
                suspicion.max_age_ms = suspicion.max_age_ms.max(run.age_ms);
                suspicion.needs_isolation |= is_isolated;
            }
            Blame::Suspect { is_isolated, is_prime } => {
                suspicion.crashed.insert(run.attempt);
                suspicion.max_age_ms = suspicion.max_age_ms.max(run.age_ms);
                suspicion.needs_isolation |= is_isolated;
                suspicion.is_prime |= is_prime;
                is_explained = is_prime;
            }
        }
        suspicion.needs_isolation |= suspicion.losses() >= ISOLATE_AFTER;
        let is_settled = is_explained && suspicion.crashed.len() >= GIVE_UP_AFTER_EXPLAINED;
        (is_settled || suspicion.losses() >= GIVE_UP_AFTER).then(|| suspicion.losses())
    }

    /// Keeps a run that the new incarnation of a host may have or start, until that has reported it or
    /// has accepted a stop. Its room and its share of the limits stay taken.
    fn carry_over(&mut self, name: &Name, task: TaskId, attempt: u32) {
        // The host may have crashed under the run. A successor has to count that, too.
        let job = self.jobs.get(&task.step.job);
        let suspicion = job.and_then(|job| job.suspicions.get(&task));
        if let Some(how) = suspicion.and_then(|suspicion| suspicion.logged_loss(attempt)) {
            let checkpoint = Name::from("");
            self.append(Record::Ended(Ended { task, attempt, how, checkpoint }));
        }
        let last_poll = self.last_poll;
        let run = self.hosts.get_mut(name).and_then(|host| host.runs.get_mut(&(task, attempt)));
        if let Some(run) = run {
            run.is_carried_over = true;
            run.visible_after_poll = last_poll;
            run.stop_accepted_at_poll = None;
            run.is_stop_outdated = run.is_stop_sent;
        }
    }

    /// Closes a job as failed because of a task that crashes its hosts.
    pub(super) fn give_up(&mut self, task: TaskId, crashes: u32) {
        let Some(job) = self.jobs.get(&task.step.job).filter(|job| job.closed.is_none()) else {
            return;
        };
        let team = job.team.clone();
        self.record_decision(team, Verdict::GivenUp { task, crashes });
        self.close_job(task.step.job, State::Failed);
    }

    /// Records that a host with runs has gone out of reach.
    pub(super) fn note_unreachable(&mut self, name: &Name) {
        let now_ms = self.now.monotonic_ms;
        let Some(host) = self.hosts.get(name) else { return };
        let job_of = |task: &TaskId| self.jobs.get(&task.step.job);
        let is_known_suspect = |((task, _), run): (&(TaskId, u32), &Run)| {
            run.isolated_until_ms.is_some() && job_of(task).is_some_and(Job::has_suspects)
        };
        // A crash under a known suspect is no sign of further jobs of its kind.
        if host.runs.is_empty() || host.runs.iter().any(is_known_suspect) {
            return;
        }
        // A start in flight may never have reached the host.
        let confirmed = host.runs.iter().filter(|(_, run)| run.phase != Phase::Requested);
        let youngest = confirmed.max_by_key(|(_, run)| run.requested_ms);
        let prompt = youngest.filter(|(_, run)| now_ms <= run.requested_ms + PROMPT_MS);
        let queue = prompt.and_then(|((task, _), _)| Some(job_of(task)?.queue.clone()));
        if let Some(queue) = self.bulkheads.record_loss(now_ms, name.clone(), queue) {
            self.actions.push(Action::ReportRestriction(queue));
        }
    }

    /// Returns whether a run is likely to have crashed its host: it had just started, and its
    /// queue is restricted.
    fn is_of_restricted_queue(&self, run: &LostRun) -> bool {
        let job = self.jobs.get(&run.task.step.job);
        let is_restricted =
            |job: &Job| self.bulkheads.is_restricted(&job.queue, self.now.monotonic_ms);
        run.was_there && run.age_ms <= PROMPT_MS && job.is_some_and(is_restricted)
    }
}

fn lost_run((task, attempt): (TaskId, u32), run: &Run, lost_ms: u64) -> LostRun {
    let was_there = run.phase == Phase::Running || run.requested_ms <= lost_ms;
    LostRun {
        task,
        attempt,
        age_ms: lost_ms.saturating_sub(run.requested_ms),
        is_isolated: was_there && run.isolated_until_ms.is_some(),
        was_there,
        is_confirmed: run.is_confirmed,
    }
}

/// What is known of the loss of a host as a whole.
struct Crash<'a> {
    cause: LossCause,
    /// Jobs that are likely to have crashed the host.
    suspects: &'a BTreeSet<Id>,
    youngest_age_ms: u64,
    /// Age of the youngest run that was not isolated. `None` if there was none.
    youngest_unisolated_ms: Option<u64>,
    is_mass_loss: bool,
    /// The host was out of reach at a time until which it had announced to go on.
    is_early: bool,
}

impl Crash<'_> {
    /// Returns whether the loss counts against one of the runs.
    fn blame(&self, run: &LostRun) -> Blame {
        let is_young = run.age_ms <= self.youngest_age_ms.saturating_add(SUSPECT_WINDOW_MS);
        let blame = match self.cause {
            _ if !run.was_there => Blame::None,
            // It crashed, or was cut off until it left as announced.
            LossCause::Drained if self.is_early => Blame::Unconfirmed { is_isolated: false },
            LossCause::Drained => Blame::None,
            LossCause::LeaseExpired => Blame::Uncertain { is_isolated: false },
            _ if self.suspects.is_empty() => {
                Blame::of_crash(run, is_young && !self.is_mass_loss, false)
            }
            // A run that started later or at about the same time may be at fault instead. Its next
            // run is isolated as well.
            _ if self.is_shadowed(run) => Blame::Uncertain { is_isolated: true },
            _ if self.suspects.contains(&run.task.step.job) => {
                let is_prime = run.is_isolated && self.suspects.len() == 1 && !self.is_mass_loss;
                Blame::of_crash(run, true, is_prime)
            }
            // The likely culprit may be innocent, too.
            _ if is_young => Blame::Uncertain { is_isolated: false },
            _ => Blame::Collateral,
        };
        match blame {
            Blame::Suspect { is_isolated, .. } if self.cause == LossCause::GangBroken => {
                Blame::Unconfirmed { is_isolated }
            }
            blame => blame,
        }
    }

    /// Returns whether a run that was not isolated started after an isolated one, or so shortly
    /// before it that it may have crashed the host.
    fn is_shadowed(&self, run: &LostRun) -> bool {
        let latest_ms = run.age_ms.saturating_add(SUSPECT_WINDOW_MS);
        run.is_isolated && self.youngest_unisolated_ms.is_some_and(|age_ms| age_ms <= latest_ms)
    }
}
