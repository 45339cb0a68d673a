//! Notices queues whose jobs bring hosts down, and restricts them.
//!
//! The pattern is a stream of jobs of which many crash the host that starts them. A crash is only
//! certain seconds later, when the host is back. Until then such a stream would take most hosts.
//! Hosts that fail for other reasons go out of reach at any age of their youngest run. So a queue
//! is restricted at once when several hosts went out of reach right after the start of one of its
//! tasks, and few did so otherwise. Its jobs then start on few hosts, each job apart from the
//! others, until none of them does so any more.

use std::collections::{BTreeMap, VecDeque};

use sycamore_types::Name;

/// Age of a run up to which the loss of its host is put down to it, in milliseconds.
pub(super) const PROMPT_MS: u64 = 150;

/// Losses put down to a queue after which it is restricted.
const RESTRICT_AFTER: usize = 3;

/// Time within which they count, in milliseconds.
const WINDOW_MS: u64 = 5_000;

/// Share of all losses from which it is. Chance puts up to a third of them down to a queue.
const MIN_SHARE: f64 = 2.0 / 3.0;

/// Share of all losses below which it no longer is.
const LIFT_SHARE: f64 = 0.5;

/// Time for which a queue stays restricted after the last loss put down to it, in milliseconds.
const RESTRICTION_MS: u64 = 5_000;

/// Time for which losses are kept, in milliseconds. The crash of a host is certain later than its
/// loss: once its lease has expired, at the latest.
const RETENTION_MS: u64 = 15_000;

/// Losses without a cause of their own that make a mass loss.
const MASS_LOSS: usize = 3;

/// Time around a loss within which others belong to the same mass loss, in milliseconds.
const MASS_LOSS_MS: u64 = 100;

/// A host that went out of reach.
#[derive(Debug)]
struct Loss {
    at_ms: u64,
    host: Name,
    /// Queue of the task that was started right before.
    queue: Option<Name>,
}

/// Number of recent losses.
#[derive(Clone, Copy, Debug)]
struct RecentLosses {
    of_queue: usize,
    all: usize,
}

impl RecentLosses {
    fn share(self) -> f64 {
        self.of_queue as f64 / self.all.max(1) as f64
    }
}

/// Recent losses of hosts, and the queues that are restricted because of them.
#[derive(Debug, Default)]
pub(super) struct Bulkheads {
    losses: VecDeque<Loss>,
    restricted_until_ms: BTreeMap<Name, u64>,
}

impl Bulkheads {
    /// Records that a host went out of reach, and the queue of the task that was started there
    /// right before. Returns that queue if it has become restricted.
    pub fn record_loss(&mut self, now_ms: u64, host: Name, queue: Option<Name>) -> Option<Name> {
        self.losses.retain(|loss| loss.at_ms + RETENTION_MS > now_ms);
        self.restricted_until_ms.retain(|_, until_ms| *until_ms > now_ms);
        self.losses.push_back(Loss { at_ms: now_ms, host, queue: queue.clone() });
        let mut restricted = None;
        if let Some(queue) = queue {
            let was_restricted = self.is_restricted(&queue, now_ms);
            let losses = self.recent_losses(&queue, now_ms);
            if was_restricted || losses.of_queue >= RESTRICT_AFTER && losses.share() >= MIN_SHARE {
                self.restricted_until_ms.insert(queue.clone(), now_ms + RESTRICTION_MS);
                restricted = (!was_restricted).then_some(queue);
            }
        }
        self.lift_restrictions(now_ms);
        restricted
    }

    /// Lifts the restriction of queues that only share their hosts with the one at fault.
    fn lift_restrictions(&mut self, now_ms: u64) {
        let is_cleared = |queue: &&Name| self.recent_losses(queue, now_ms).share() < LIFT_SHARE;
        let cleared: Vec<Name> =
            self.restricted_until_ms.keys().filter(is_cleared).cloned().collect();
        for queue in cleared {
            self.restricted_until_ms.remove(&queue);
        }
    }

    fn recent_losses(&self, queue: &Name, now_ms: u64) -> RecentLosses {
        let recent = || self.losses.iter().filter(|loss| loss.at_ms + WINDOW_MS > now_ms);
        let of_queue = recent().filter(|loss| loss.queue.as_ref() == Some(queue)).count();
        RecentLosses { of_queue, all: recent().count() }
    }

    /// Withdraws the loss of a host that is in reach again and has not crashed.
    pub fn retract_loss(&mut self, host: &Name) {
        self.losses.retain(|loss| loss.host != *host);
    }

    /// Returns whether the jobs of a queue have to be kept apart.
    pub fn is_restricted(&self, queue: &Name, now_ms: u64) -> bool {
        self.restricted_until_ms.get(queue).is_some_and(|until_ms| now_ms < *until_ms)
    }

    /// Returns whether several hosts went out of reach together with one that did so at `at_ms`,
    /// without a task that explains it. Such a loss says nothing about tasks.
    pub fn is_mass_loss(&self, at_ms: u64) -> bool {
        let is_near = |loss: &&Loss| loss.at_ms.abs_diff(at_ms) <= MASS_LOSS_MS;
        let unexplained = self.losses.iter().filter(is_near).filter(|loss| loss.queue.is_none());
        unexplained.count() >= MASS_LOSS
    }
}
