//! Evacuation of failure domains: no task starts on their hosts, and what runs there goes on.

use std::collections::BTreeSet;

use sycamore_types::Name;

use super::Engine;
use super::candidates::{HostViews, Search};
use super::isolation::Isolation;
use crate::host::Host;
use crate::{StepId, WaitReason};

/// What an engine knows of the hosts in a failure domain.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct DomainLoad {
    /// Number of hosts that are listed or have runs left.
    pub hosts: usize,
    /// Number of runs that exist or may exist on them.
    pub runs: usize,
}

impl Engine {
    /// Replaces the set of evacuated failure domains.
    pub(super) fn evacuate_domains(&mut self, domains: BTreeSet<Name>) {
        let is_moved =
            |host: &&Host| domains.contains(&host.entry.failure_domain) != host.is_evacuated;
        let moved: Vec<Name> =
            self.hosts.values().filter(is_moved).map(|host| host.entry.id.clone()).collect();
        self.evacuated_domains = domains;
        for name in moved {
            if let Some(host) = self.hosts.get_mut(&name) {
                host.is_evacuated = !host.is_evacuated;
            }
        }
        self.needs_dispatch = true;
    }

    /// Returns what is known of the hosts in a failure domain.
    pub fn domain_load(&self, domain: &str) -> DomainLoad {
        let is_counted = |host: &&Host| {
            *host.entry.failure_domain == *domain && (host.is_listed || !host.runs.is_empty())
        };
        let counted = self.hosts.values().filter(is_counted);
        counted.fold(DomainLoad::default(), |load, host| DomainLoad {
            hosts: load.hosts + 1,
            runs: load.runs + host.runs.len(),
        })
    }

    /// Returns the hosts that would get tasks if their failure domain were not evacuated.
    pub(super) fn evacuated_views(&self) -> HostViews {
        if self.evacuated_domains.is_empty() {
            return HostViews::default();
        }
        let now_ms = self.now.monotonic_ms;
        let is_held_back = |host: &&Host| host.is_evacuated && host.would_be_usable(now_ms);
        HostViews::of(self.hosts.values().filter(is_held_back), self.view_time())
    }

    /// Returns why a step waits for room: because of an evacuation if a task of it would fit on one
    /// of the evacuated hosts.
    pub(super) fn room_wait_reason(&self, step_id: StepId, evacuated: &HostViews) -> WaitReason {
        let has_room = || {
            let job = self.jobs.get(&step_id.job)?;
            let queue = self.queues.get(&job.queue)?;
            let (progress, spec) =
                (job.step(step_id)?, job.spec.steps.get(usize::from(step_id.index))?);
            let search = Search::new(evacuated, spec, progress, &queue.service, Isolation::None);
            Some(evacuated.may_fit(&spec.footprint()) && search.has_room())
        };
        if !evacuated.is_empty() && has_room() == Some(true) {
            WaitReason::Evacuated
        } else {
            WaitReason::NoRoom
        }
    }
}
