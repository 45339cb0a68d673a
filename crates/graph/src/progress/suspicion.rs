//! What crashes of hosts say about the tasks that ran there.

use std::collections::BTreeSet;

use crate::host::RunEnd;

/// Losses of hosts under a task from which all its runs are isolated, however old they were, and
/// nothing else starts beside them.
pub(crate) const ISOLATE_AFTER: u32 = 2;

/// Crashes of hosts under a task since a run of it last survived its isolation.
#[derive(Clone, Debug, Default)]
pub(crate) struct Suspicion {
    /// Attempts whose host crashed. Two owners in turn may see the same crash.
    pub crashed: BTreeSet<u32>,
    /// Attempts that may have crashed their host: it was out of reach until its lease had expired,
    /// or it crashed and may never have got the start request.
    pub uncertain: BTreeSet<u32>,
    /// Longest time from the start of a run to the crash of its host, in milliseconds.
    pub max_age_ms: u64,
    /// The next run has to be isolated.
    pub needs_isolation: bool,
    /// The host of an isolated run crashed, with no other suspect on it.
    pub is_prime: bool,
}

impl Suspicion {
    /// Returns the number of hosts that crashed or may have crashed.
    pub fn losses(&self) -> u32 {
        self.crashed.union(&self.uncertain).count() as u32
    }

    /// Counts the loss of an attempt no longer.
    pub fn withdraw(&mut self, attempt: u32) {
        self.crashed.remove(&attempt);
        self.uncertain.remove(&attempt);
    }

    /// Returns the attempts whose loss counts.
    pub fn attempts(&self) -> impl Iterator<Item = u32> {
        self.crashed.union(&self.uncertain).copied()
    }

    /// Returns how the log tells the end of an attempt that was lost with its host. `None` if the
    /// loss does not count.
    pub fn logged_loss(&self, attempt: u32) -> Option<RunEnd> {
        if self.crashed.contains(&attempt) {
            Some(RunEnd::HostCrashed)
        } else if self.uncertain.contains(&attempt) {
            Some(RunEnd::LeaseExpired)
        } else {
            None
        }
    }
}
