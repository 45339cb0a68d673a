//! Sums over the hosts, updated for those that have changed.

use std::collections::BTreeSet;

use sycamore_types::resources::Resources;

use super::host_map::HostMap;
use crate::host::Host;

/// What one host adds to the sums.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct Part {
    /// The host is listed and its failure domain is not evacuated.
    is_listed: bool,
    has_isolated_run: bool,
    capacity: Resources,
    used: Resources,
}

/// A sum of resources. It can't overflow, so that parts can be subtracted again.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct Sum {
    cpu_millis: u64,
    memory_mib: u64,
    accelerators: u64,
    slots: u64,
    connections: u64,
}

/// Sums over the hosts.
#[derive(Debug, Default, PartialEq)]
pub(super) struct HostTotals {
    /// What each host has added, by slot.
    parts: Vec<Part>,
    listed: u32,
    capacity: Sum,
    used: Sum,
    /// Slots of the hosts with isolated runs.
    isolated: BTreeSet<usize>,
}

impl Part {
    fn new(host: &Host) -> Part {
        Part {
            is_listed: host.is_listed && !host.is_evacuated,
            has_isolated_run: !host.isolated_runs.is_empty(),
            capacity: host.entry.capacity,
            used: host.used,
        }
    }
}

impl Sum {
    fn update(&mut self, old: &Resources, new: &Resources) {
        let update =
            |sum: &mut u64, old: u32, new: u32| *sum = *sum + u64::from(new) - u64::from(old);
        update(&mut self.cpu_millis, old.cpu_millis, new.cpu_millis);
        update(&mut self.memory_mib, old.memory_mib, new.memory_mib);
        update(&mut self.accelerators, old.accelerators, new.accelerators);
        update(&mut self.slots, old.slots, new.slots);
        update(&mut self.connections, old.connections, new.connections);
    }

    fn saturated(&self) -> Resources {
        let saturated = |sum: u64| u32::try_from(sum).unwrap_or(u32::MAX);
        Resources {
            cpu_millis: saturated(self.cpu_millis),
            memory_mib: saturated(self.memory_mib),
            accelerators: saturated(self.accelerators),
            slots: saturated(self.slots),
            connections: saturated(self.connections),
        }
    }
}

impl HostTotals {
    /// Takes the changes of the hosts since the last call into account.
    pub fn update(&mut self, hosts: &mut HostMap) {
        for slot in hosts.take_changed_for_totals() {
            self.update_slot(slot, hosts.at(slot));
        }
    }

    /// Returns the number of listed hosts.
    pub fn listed(&self) -> u32 {
        self.listed
    }

    /// Returns the capacity of the listed hosts.
    pub fn capacity(&self) -> Resources {
        self.capacity.saturated()
    }

    /// Returns the resources that the runs on the listed hosts take up.
    pub fn used(&self) -> Resources {
        self.used.saturated()
    }

    /// Returns the slots of the hosts with isolated runs.
    pub fn isolated(&self) -> impl Iterator<Item = usize> {
        self.isolated.iter().copied()
    }

    /// Returns whether the sums are those of the hosts.
    pub fn are_exact(&self, hosts: &HostMap) -> bool {
        let mut anew =
            HostTotals { parts: vec![Part::default(); self.parts.len()], ..HostTotals::default() };
        hosts.slots().for_each(|(slot, host)| anew.update_slot(slot, Some(host)));
        *self == anew
    }

    fn update_slot(&mut self, slot: usize, host: Option<&Host>) {
        if slot >= self.parts.len() {
            self.parts.resize(slot + 1, Part::default());
        }
        let new = host.map(Part::new).unwrap_or_default();
        let old = std::mem::replace(&mut self.parts[slot], new);
        if new == old {
            return;
        }
        let none = Resources::default();
        let listed = |part: &Part, amount: Resources| if part.is_listed { amount } else { none };
        self.capacity.update(&listed(&old, old.capacity), &listed(&new, new.capacity));
        self.used.update(&listed(&old, old.used), &listed(&new, new.used));
        self.listed = self.listed + u32::from(new.is_listed) - u32::from(old.is_listed);
        if new.has_isolated_run {
            self.isolated.insert(slot);
        } else {
            self.isolated.remove(&slot);
        }
    }
}
