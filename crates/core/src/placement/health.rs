//! Quarantine of hosts on which tasks fail.
//!
//! A host is judged by several different jobs that fail on it in a row. That costs
//! more failed tasks, but one faulty job can't quarantine a host, unless the host is
//! on probation.

use std::collections::BTreeSet;
use std::time::Duration;

use sycamore_types::id;

/// Number of different jobs that must fail in a row before a host is quarantined.
const FAILED_JOBS_TO_QUARANTINE: usize = 3;

/// Longest time for which a host is quarantined.
const MAX_QUARANTINE: Duration = Duration::from_secs(300);

/// Failure history of a host, which decides whether it is given work.
///
/// After the quarantine the host is on probation: it runs one task at a time
/// until one succeeds. If that task fails, the host is quarantined again, for
/// twice as long and at most [`MAX_QUARANTINE`].
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    /// Jobs that failed on the host since the last success.
    failed: BTreeSet<id::Job>,
    quarantined_until: Option<Duration>,
    /// Length of the latest quarantine. Zero if there was none.
    quarantine: Duration,
    is_on_probation: bool,
}

impl Health {
    /// Records that a task succeeded.
    pub(crate) fn record_success(&mut self) {
        *self = Health::default();
    }

    /// Records that a task failed. Returns whether the host is now quarantined.
    ///
    /// `initial` is the length of the first quarantine.
    pub(crate) fn record_failure(
        &mut self,
        now: Duration,
        job: &id::Job,
        initial: Duration,
    ) -> bool {
        self.failed.insert(job.clone());
        let is_quarantined = self.failed.len() >= FAILED_JOBS_TO_QUARANTINE || self.is_on_probation;
        if !is_quarantined {
            return false;
        }
        self.quarantine = (self.quarantine * 2).clamp(initial, MAX_QUARANTINE);
        self.quarantined_until = Some(now + self.quarantine);
        self.is_on_probation = true;
        self.failed.clear();
        true
    }

    pub(crate) fn is_quarantined(&self, now: Duration) -> bool {
        self.quarantined_until.is_some_and(|until| now < until)
    }

    /// Returns whether the host may run only one task at a time.
    pub(crate) fn is_on_probation(&self) -> bool {
        self.is_on_probation
    }
}
