//! Preemption of running tasks, and reservation of hosts for gangs.
//!
//! Tasks are preempted for urgent jobs and when a team exceeds a lowered cap; those
//! that were started last go first, as they lose the least run time. Reservations
//! keep smaller jobs from starving gangs, at the price of hosts that stay partly
//! idle for a limited time.

use std::collections::BTreeMap;
use std::time::Duration;

use sycamore_types::resources::Resources;
use sycamore_types::{Name, id};

use super::running::{Running, Stage};
use super::{Env, Shard};
use crate::placement::fit_count;
use crate::record::Verdict;
use crate::worker::StopMode;

/// Time for which an urgent job waits for preempted tasks to end. After that,
/// further tasks may be preempted for it.
const PREEMPTION_TIMEOUT: Duration = Duration::from_secs(2);

/// No further hosts are reserved while at least one in this many is reserved.
const RESERVED_HOSTS_DIVISOR: usize = 5;

/// Hosts that are reserved for a gang.
#[derive(Debug)]
pub(crate) struct Reservation {
    job: id::Job,
    hosts: Vec<Name>,
    /// Time at which the reservation is removed.
    until: Duration,
}

/// Tasks that could be stopped, and the run time that would be lost.
#[derive(Default)]
struct Victims {
    tasks: Vec<id::Task>,
    freed: Resources,
    lost_time: Duration,
}

impl Shard {
    /// Preempts tasks on the host where this loses the least run time, so that an
    /// urgent task fits.
    ///
    /// Always returns `false`, since the urgent task has not started. The urgent
    /// lane is served first when the capacity is released.
    pub(super) fn preempt_for(&mut self, env: &mut Env<'_, '_>, id: &id::Job) -> bool {
        let is_pending = self.preempting_for.get(id).is_some_and(|until| env.now() < *until);
        if is_pending {
            return false;
        }
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let size = job.submission.spec.size;
        let selector = job.submission.spec.selector.clone();
        let mut best: Option<Victims> = None;
        for host in self.table.hosts() {
            if !host.is_usable(env.now()) || !selector.matches(&host.labels) {
                continue;
            }
            let victims = self.choose_victims(env.now(), host.name(), &size, &host.free());
            best = cheaper_of(best, victims);
        }
        if let Some(victims) = best {
            self.preempting_for.insert(id.clone(), env.now() + PREEMPTION_TIMEOUT);
            self.preempt(env, &victims);
        }
        false
    }

    /// Returns the latest started preemptible tasks of a host that together free
    /// enough capacity for `size`, or `None` if they can't.
    fn choose_victims(
        &self,
        now: Duration,
        host: &Name,
        size: &Resources,
        free: &Resources,
    ) -> Option<Victims> {
        let mut candidates: Vec<(Duration, &id::Task, &Running)> = self
            .polls
            .get(host)?
            .tasks
            .iter()
            .filter_map(|task| self.running.get(task).map(|running| (task, running)))
            .filter(|(_, running)| running.is_preemptible)
            .filter(|(_, running)| matches!(running.stage, Stage::Settled(_)))
            .map(|(task, running)| (now.saturating_sub(running.started_at), task, running))
            .collect();
        candidates.sort_by_key(|(elapsed, _, _)| *elapsed);
        let mut victims = Victims::default();
        for (elapsed, task, running) in candidates {
            victims.tasks.push(task.clone());
            victims.freed = victims.freed.plus(&running.size);
            victims.lost_time += elapsed;
            if size.fits_in(&free.plus(&victims.freed)) {
                return Some(victims);
            }
        }
        None
    }

    fn preempt(&mut self, env: &mut Env<'_, '_>, victims: &Victims) {
        for task in &victims.tasks {
            let Some(running) = self.running.get(task) else {
                continue;
            };
            let (host, team) = (running.host.clone(), running.team.clone());
            let subject = format!("{}/{}", task.job, task.index);
            self.record(env, subject, &team, Verdict::Preempted { host });
            self.stop(env, task, StopMode::Checkpoint);
        }
    }

    /// Preempts tasks of teams that run more than their caps allow, which includes
    /// lower caps that the planner has requested.
    pub(super) fn enforce_caps(&mut self, env: &mut Env<'_, '_>) {
        let excess = |(team, running): (&Name, &u32)| {
            let limit = env.config.teams.get(team).map_or(0, |team| team.limit);
            let excess = running.saturating_sub(self.caps.usable(team, limit));
            (excess > 0).then(|| (team.clone(), excess))
        };
        let busy = self.running_by_team.iter().filter(|(_, running)| **running > 0);
        let excess: BTreeMap<Name, u32> = busy.filter_map(excess).collect();
        for (team, excess) in excess {
            let victims = self.newest_tasks(&team, excess);
            self.preempt(env, &victims);
        }
    }

    /// Returns the latest started preemptible tasks of a team. Tasks that are being
    /// stopped already count towards `count`.
    fn newest_tasks(&self, team: &Name, count: u32) -> Victims {
        let of_team = self.running.iter().filter(|(_, running)| running.team == *team);
        let stopping = |running: &Running| matches!(running.stage, Stage::Stopping(_));
        let mut tasks: Vec<(Duration, &id::Task)> = Vec::new();
        let mut stopping_count = 0;
        for (task, running) in of_team {
            if stopping(running) {
                stopping_count += 1;
            } else if running.is_preemptible {
                tasks.push((running.started_at, task));
            }
        }
        tasks.sort_unstable_by(|a, b| b.cmp(a));
        let wanted = usize::try_from(count.saturating_sub(stopping_count)).unwrap_or(usize::MAX);
        let tasks = tasks.into_iter().take(wanted).map(|(_, task)| task.clone()).collect();
        Victims { tasks, ..Victims::default() }
    }

    /// Returns whether hosts are reserved for this job.
    pub(super) fn holds_reservation(&self, id: &id::Job) -> bool {
        self.reservations.iter().any(|reservation| reservation.job == *id)
    }

    /// Reserves hosts for a gang that has waited for [`Timing::reserve_after`](crate::Timing).
    ///
    /// So smaller jobs can't starve gangs. Nor can gangs wait for one another: a gang
    /// reserves either all the hosts that it needs or none, for a limited time, and
    /// none while one host in [`RESERVED_HOSTS_DIVISOR`] is reserved already. Tasks
    /// that are declared to end before the hosts are needed may still use them.
    pub(super) fn reserve_if_overdue(&mut self, env: &mut Env<'_, '_>, id: &id::Job) {
        let now = env.now();
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let is_recent = now < job.accepted_at + env.cx.timing.reserve_after;
        if is_recent || self.holds_reservation(id) || self.is_reservation_limit_reached() {
            return;
        }
        let spec = &job.submission.spec;
        let mut hosts: Vec<(Duration, Name, u32)> = self
            .table
            .hosts()
            .iter()
            .filter(|host| host.is_usable(now) && host.reserved_until.is_none())
            .filter(|host| spec.selector.matches(&host.labels))
            .map(|host| {
                let count = fit_count(&spec.size, &host.listed.capacity);
                (self.expected_end(now, host.name()), host.name().clone(), count)
            })
            .filter(|(_, _, count)| *count > 0)
            .collect();
        hosts.sort();
        let mut remaining = u32::try_from(job.waiting.len()).unwrap_or(u32::MAX);
        let mut chosen = Vec::new();
        let mut ready_at = now;
        for (end, host, count) in hosts {
            if remaining == 0 {
                break;
            }
            remaining = remaining.saturating_sub(count);
            ready_at = ready_at.max(end);
            chosen.push(host);
        }
        if remaining == 0 {
            self.reserve(env, id, chosen, ready_at);
        }
    }

    fn is_reservation_limit_reached(&self) -> bool {
        let reserved: usize =
            self.reservations.iter().map(|reservation| reservation.hosts.len()).sum();
        reserved > 0 && reserved * RESERVED_HOSTS_DIVISOR >= self.table.hosts().len()
    }

    fn reserve(&mut self, env: &Env<'_, '_>, id: &id::Job, hosts: Vec<Name>, ready_at: Duration) {
        let until = env.now() + env.cx.timing.max_reservation;
        let backfill_until = ready_at.min(until);
        for host in &hosts {
            if let Some(host) = self.table.get_mut(host) {
                host.reserved_until = Some(backfill_until);
            }
        }
        self.reservations.push(Reservation { job: id.clone(), hosts, until });
    }

    /// Returns the time at which all tasks on a host are expected to have ended.
    fn expected_end(&self, now: Duration, host: &Name) -> Duration {
        let tasks = self.polls.get(host).into_iter().flat_map(|poll| &poll.tasks);
        let ends = tasks.filter_map(|task| self.running.get(task)).map(|running| {
            let declared = Duration::from_millis(running.run_ms);
            // A task that has exceeded its declared run time is expected to take
            // as long again as it has taken so far.
            let elapsed = now.saturating_sub(running.started_at);
            if elapsed < declared { running.started_at + declared } else { now + elapsed }
        });
        ends.max().unwrap_or(now)
    }

    /// Removes reservations that have timed out or whose job no longer waits.
    pub(super) fn expire_reservations(&mut self, env: &mut Env<'_, '_>) {
        let now = env.now();
        let is_over = |reservation: &Reservation| {
            let job = self.jobs.get(&reservation.job);
            now >= reservation.until || job.is_none_or(|job| job.waiting.is_empty())
        };
        let over: Vec<id::Job> = self
            .reservations
            .iter()
            .filter(|reservation| is_over(reservation))
            .map(|reservation| reservation.job.clone())
            .collect();
        for id in over {
            self.drop_reservation_of(&id);
        }
    }

    pub(super) fn drop_reservation_of(&mut self, id: &id::Job) {
        let Some(at) = self.reservations.iter().position(|reservation| reservation.job == *id)
        else {
            return;
        };
        let reservation = self.reservations.remove(at);
        for name in reservation.hosts {
            if let Some(host) = self.table.get_mut(&name) {
                host.reserved_until = None;
            }
            self.freed_hosts.insert(name);
        }
    }
}

fn cheaper_of(best: Option<Victims>, other: Option<Victims>) -> Option<Victims> {
    match (best, other) {
        (Some(best), Some(other)) if other.lost_time < best.lost_time => Some(other),
        (Some(best), _) => Some(best),
        (None, other) => other,
    }
}
