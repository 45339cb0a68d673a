//! The hosts by name, with a note of those that may have changed.
//!
//! Each consumer of the notes keeps results that it updates for the changed hosts only. A host
//! can be modified only through [`HostMap::get_mut`], so that no change goes unnoticed.

use std::collections::BTreeMap;

use rustc_hash::FxHashMap;
use sycamore_types::Name;

use crate::host::Host;

/// The hosts that may have changed since a consumer last took them.
#[derive(Debug, Default)]
struct Changes {
    /// Whether a slot is among `slots`.
    is_noted: Vec<bool>,
    slots: Vec<usize>,
}

impl Changes {
    fn note(&mut self, slot: usize) {
        if slot >= self.is_noted.len() {
            self.is_noted.resize(slot + 1, false);
        }
        if !std::mem::replace(&mut self.is_noted[slot], true) {
            self.slots.push(slot);
        }
    }

    fn take(&mut self) -> Vec<usize> {
        let slots = std::mem::take(&mut self.slots);
        slots.iter().for_each(|slot| self.is_noted[*slot] = false);
        slots
    }
}

/// Hosts by name. A host keeps its slot, a small number, until it is removed.
#[derive(Debug, Default)]
pub(super) struct HostMap {
    slots: Vec<Option<Host>>,
    free_slots: Vec<usize>,
    by_name: FxHashMap<Name, usize>,
    /// Slots in the order of the names, the order in which hosts are visited.
    in_order: BTreeMap<Name, usize>,
    /// Number of insertions and removals.
    memberships: u64,
    for_polls: Changes,
    for_views: Changes,
    for_totals: Changes,
}

impl HostMap {
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    pub fn get(&self, name: &str) -> Option<&Host> {
        self.at(*self.by_name.get(name)?)
    }

    /// Returns a host to be modified.
    pub fn get_mut(&mut self, name: &str) -> Option<&mut Host> {
        let slot = *self.by_name.get(name)?;
        self.note(slot);
        self.slots[slot].as_mut()
    }

    /// Returns the host in a slot.
    pub fn at(&self, slot: usize) -> Option<&Host> {
        self.slots.get(slot)?.as_ref()
    }

    /// Adds a host, or replaces the one of the same name.
    pub fn insert(&mut self, host: Host) {
        let name = host.entry.id.clone();
        let slot = match self.by_name.get(&name) {
            Some(slot) => *slot,
            None => self.free_slots.pop().unwrap_or(self.slots.len()),
        };
        if slot == self.slots.len() {
            self.slots.push(None);
        }
        self.slots[slot] = Some(host);
        self.memberships += 1;
        self.by_name.insert(name.clone(), slot);
        self.in_order.insert(name, slot);
        self.note(slot);
    }

    pub fn remove(&mut self, name: &str) -> Option<Host> {
        let slot = self.by_name.remove(name)?;
        self.in_order.remove(name);
        self.memberships += 1;
        self.free_slots.push(slot);
        self.note(slot);
        self.slots[slot].take()
    }

    /// Returns the hosts in the order of their names.
    pub fn values(&self) -> impl Iterator<Item = &Host> {
        self.in_order.values().filter_map(|slot| self.at(*slot))
    }

    /// Returns the slots that may have changed since the last call, in no particular order, among
    /// them those of hosts that were removed.
    pub fn take_changed_for_polls(&mut self) -> Vec<usize> {
        self.for_polls.take()
    }

    /// Returns whether a host may have changed since [`HostMap::take_changed_for_polls`].
    pub fn is_changed_for_polls(&self, slot: usize) -> bool {
        self.for_polls.is_noted.get(slot).is_some_and(|is_noted| *is_noted)
    }

    pub fn take_changed_for_totals(&mut self) -> Vec<usize> {
        self.for_totals.take()
    }

    pub fn take_changed_for_views(&mut self) -> Vec<usize> {
        self.for_views.take()
    }

    /// Returns whether a host may have changed since [`HostMap::take_changed_for_views`].
    pub fn is_changed_for_views(&self, slot: usize) -> bool {
        self.for_views.is_noted.get(slot).is_some_and(|is_noted| *is_noted)
    }

    /// Returns a number that changes when a host is added or removed.
    pub fn memberships(&self) -> u64 {
        self.memberships
    }

    /// Returns the occupied slots in the order of the hosts' names.
    pub fn slots(&self) -> impl Iterator<Item = (usize, &Host)> {
        self.in_order.values().filter_map(|slot| Some((*slot, self.at(*slot)?)))
    }

    fn note(&mut self, slot: usize) {
        self.for_polls.note(slot);
        self.for_views.note(slot);
        self.for_totals.note(slot);
    }
}
