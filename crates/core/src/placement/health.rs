use std::collections::BTreeSet;
use std::time::Duration;

use sycamore_types::id;

/// Different jobs that must fail in a row before a host is taken out.
const JOBS_TO_QUARANTINE: usize = 3;

/// Longest time for which a host is taken out.
const LONGEST: Duration = Duration::from_secs(300);

/// Whether a host can be trusted with work.
///
/// A host is judged by different jobs that fail on it in a row, so that one
/// bad job can't take it out. It is let back with one task at a time.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    failed: BTreeSet<id::Job>,
    out_until: Option<Duration>,
    span: Duration,
    is_on_probation: bool,
}

impl Health {
    /// Notes a task that ended well.
    pub(crate) fn succeeded(&mut self) {
        *self = Health::default();
    }

    /// Notes a task that failed. Returns whether the host is taken out now.
    pub(crate) fn failed(&mut self, now: Duration, job: &id::Job, first: Duration) -> bool {
        self.failed.insert(job.clone());
        let is_over = self.failed.len() >= JOBS_TO_QUARANTINE || self.is_on_probation;
        if !is_over {
            return false;
        }
        self.span = (self.span * 2).clamp(first, LONGEST);
        self.out_until = Some(now + self.span);
        self.is_on_probation = true;
        self.failed.clear();
        true
    }

    pub(crate) fn is_out(&self, now: Duration) -> bool {
        self.out_until.is_some_and(|until| now < until)
    }

    /// Tells whether the host may run one task only.
    pub(crate) fn is_on_probation(&self) -> bool {
        self.is_on_probation
    }
}
