use std::time::Duration;

use sycamore_types::resources::Resources;
use sycamore_types::{Name, host, label};

use super::health::Health;

/// A host with what runs on it.
#[derive(Clone, Debug)]
pub struct Host {
    /// The host as the platform lists it.
    pub(crate) listed: host::Host,
    /// Labels of the platform and of the operators together.
    pub(crate) labels: label::Set,
    /// Capacity taken by everything that runs or may run.
    pub(crate) used: Resources,
    /// Number of tasks that run or may run.
    pub(crate) tasks: u32,
    /// The latest poll was answered.
    pub(crate) is_reachable: bool,
    /// The host is leaving, drained, or gone from the list.
    pub(crate) is_closed: bool,
    /// Held back for an all-at-once job until then.
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
            is_closed: false,
            reserved_until: None,
            health: Health::default(),
        }
    }

    /// Returns the room left for new work.
    pub fn free(&self) -> Resources {
        self.listed.capacity.minus(&self.used)
    }

    /// Returns the name.
    pub fn name(&self) -> &Name {
        &self.listed.name
    }

    /// Tells whether new work may be started at all.
    pub(crate) fn is_usable(&self, now: Duration) -> bool {
        let is_trusted =
            !self.health.is_out(now) && (!self.health.is_on_probation() || self.tasks == 0);
        self.is_reachable && !self.is_closed && is_trusted
    }
}
