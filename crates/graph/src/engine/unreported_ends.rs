//! Counts attempts of gangs that may have failed before their host has reported it.
//!
//! A broken gang starts again although a host out of reach has not reported how its run ended (see
//! [`super::broken_gangs`]). If that host reports a failure later, the attempt counts. Such an
//! attempt holds up those that the queue would not allow after one more failure, until the host
//! reports, its incarnation has ended or its lease has expired: a failure that a host reports after
//! that doesn't count.

use sycamore_types::Name;

use super::Engine;
use crate::host::Host;
use crate::{Record, StepId, TaskId};

/// An attempt of a gang that has ended, and whose last host has yet to report how.
#[derive(Clone, Debug)]
pub(super) struct UnreportedEnd {
    host: Name,
    /// Members that were on the host.
    members: Vec<TaskId>,
    /// Number of the last poll that may have missed the end.
    last_poll: u64,
}

impl Engine {
    /// Notes that an attempt of a gang has ended, and that a host may still report a failure.
    pub(super) fn expect_end(
        &mut self,
        step_id: StepId,
        attempt: u32,
        host: Name,
        members: Vec<TaskId>,
    ) {
        let end = UnreportedEnd { host, members, last_poll: self.last_poll };
        self.unreported_ends.insert((step_id, attempt), end);
    }

    /// Returns how many attempts of a gang have failed or may have failed.
    pub(super) fn possible_failures(&self, step_id: StepId) -> u32 {
        let step = self.jobs.get(&step_id.job).and_then(|job| job.step(step_id));
        let counted = step.and_then(|step| step.tasks.get(0));
        let failed = counted.map(|gang| gang.failed_attempts.as_slice()).unwrap_or_default();
        let ends = self.unreported_ends.range((step_id, 0)..=(step_id, u32::MAX));
        let unreported = ends.filter(|((_, attempt), _)| !failed.contains(attempt)).count();
        failed.len() as u32 + unreported as u32
    }

    /// Returns whether the end of an attempt of a gang is yet to be reported.
    pub(super) fn has_unreported_attempt(&self, step_id: StepId) -> bool {
        self.unreported_ends.range((step_id, 0)..=(step_id, u32::MAX)).next().is_some()
    }

    /// Returns whether a gang may not start because an attempt that has yet to be reported may
    /// have been its last.
    pub(super) fn is_held_by_unreported_end(&self, step_id: StepId) -> bool {
        if !self.has_unreported_attempt(step_id) {
            return false;
        }
        let Some(job) = self.jobs.get(&step_id.job) else { return false };
        let spec = job.spec.steps.get(usize::from(step_id.index));
        if !spec.is_some_and(|spec| spec.is_gang && !spec.is_service) {
            return false;
        }
        let max_attempts = self.queues.get(&job.queue).map_or(1, |queue| queue.max_attempts.max(1));
        self.possible_failures(step_id) >= max_attempts
    }

    /// Forgets the ends that a host would have listed in its report to a poll.
    pub(super) fn forget_reported_ends(&mut self, name: &Name, poll: u64) {
        self.retain_unreported_ends(|end| end.host != *name || poll <= end.last_poll);
    }

    /// Forgets the ends that a host can't report any more because its incarnation has ended.
    /// Returns the runs.
    pub(super) fn take_unreported_ends(&mut self, name: &Name) -> Vec<(TaskId, u32)> {
        let runs = self.unreported_runs(name).collect();
        self.retain_unreported_ends(|end| end.host != *name);
        runs
    }

    /// Forgets the ends on hosts whose lease has expired.
    pub(super) fn forget_expired_ends(&mut self) {
        let until_ms = self.leases_expired_until_ms();
        let is_expired =
            |name: &Name| self.hosts.get(name).is_none_or(|host| host.is_lease_expired(until_ms));
        let hosts = self.unreported_ends.values().map(|end| &end.host);
        let expired: Vec<Name> = hosts.filter(|name| is_expired(name)).cloned().collect();
        self.retain_unreported_ends(|end| !expired.contains(&end.host));
    }

    /// Returns whether a host has yet to report an end.
    pub(super) fn has_unreported_ends(&self, name: &Name) -> bool {
        self.unreported_ends.values().any(|end| end.host == *name)
    }

    /// Returns the record that a host gets no new tasks, with the runs that it has left. A
    /// successor waits for those whose end is not reported as for the others.
    pub(super) fn leaving_record(&self, host: &Host) -> Record {
        let name = &host.entry.id;
        let runs = host.runs.keys().copied().chain(self.unreported_runs(name)).collect();
        Record::HostLeaving { host: name.clone(), runs }
    }

    /// Returns the runs on a host whose end it has yet to report.
    fn unreported_runs(&self, name: &Name) -> impl Iterator<Item = (TaskId, u32)> {
        let ends = self.unreported_ends.iter().filter(|(_, end)| end.host == *name);
        ends.flat_map(|((_, attempt), end)| end.members.iter().map(|member| (*member, *attempt)))
    }

    fn retain_unreported_ends(&mut self, is_open: impl Fn(&UnreportedEnd) -> bool) {
        let before = self.unreported_ends.len();
        self.unreported_ends.retain(|_, end| is_open(end));
        self.needs_dispatch |= self.unreported_ends.len() < before;
    }
}
