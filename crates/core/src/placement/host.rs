//! One host of a shard, the capacity in use on it, and whether it gets new work.
//!
//! Work that may run counts as running, so that a start with an unknown outcome
//! can't overload the host.

use std::time::Duration;

use sycamore_types::resources::Resources;
use sycamore_types::{Name, host, label};

use super::health::Health;

/// A host and the capacity in use on it.
#[derive(Clone, Debug)]
pub struct Host {
    /// The host as the platform lists it.
    pub(crate) listed: host::Host,
    /// Labels of the platform, overridden by those of the operators.
    pub(crate) labels: label::Set,
    /// Capacity used by all tasks and requests that run or may run.
    pub(crate) used: Resources,
    /// Number of tasks and requests that run or may run.
    pub(crate) tasks: u32,
    /// The worker on the host replied to its latest poll.
    pub(crate) is_reachable: bool,
    /// The host gets no new work, since it is leaving, drained, or gone from the
    /// platform's list.
    pub(crate) is_unschedulable: bool,
    /// Set while the host is reserved for a gang job. Other work may use the host
    /// only if it ends by then.
    pub(crate) reserved_until: Option<Duration>,
    pub(crate) health: Health,
}

impl Host {
    pub(crate) fn new(listed: host::Host, labels: label::Set) -> Host {
        Host {
            listed,
            labels,
            used: Resources::default(),
            tasks: 0,
            is_reachable: false,
            is_unschedulable: false,
            reserved_until: None,
            health: Health::default(),
        }
    }

    /// Returns the capacity that is free for new work.
    pub fn free(&self) -> Resources {
        self.listed.capacity.minus(&self.used)
    }

    /// Returns the host's name in the platform's list.
    pub fn name(&self) -> &Name {
        &self.listed.name
    }

    /// Returns whether new work may be started on the host.
    pub(crate) fn is_usable(&self, now: Duration) -> bool {
        let is_healthy =
            !self.health.is_quarantined(now) && (!self.health.is_on_probation() || self.tasks == 0);
        self.is_reachable && !self.is_unschedulable && is_healthy
    }
}
