//! All hosts of one shard, and the search for a host.
//!
//! The index is ordered by free accelerators and CPU. All other requirements are
//! checked on each candidate. Free capacity must be changed only through
//! [`Table::allocate`], [`Table::release`] and [`Table::update`], which keep the
//! index up to date.

use rustc_hash::FxHashMap;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use std::time::Duration;

use sycamore_types::outcome::Reason;
use sycamore_types::resources::{Dimension, Resources};
use sycamore_types::selector::Selector;
use sycamore_types::{Name, host, id, label};

use super::Host;

/// How a host is chosen among those that fit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mode {
    /// The fullest host. Leaves empty hosts for large work.
    Dense,
    /// The emptiest host. Work waits least, and the loss of one host affects little of it.
    Spread,
}

/// Requirements that a host must meet.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// Free capacity that is needed.
    pub size: &'a Resources,
    /// Hosts that may be used.
    pub selector: &'a Selector,
    /// How to choose among the hosts that fit.
    pub mode: Mode,
    /// Declared run time in milliseconds, zero when unknown. A host that is
    /// reserved for a gang job accepts other work that ends before the gang is
    /// expected to start.
    pub run_ms: u64,
    /// A host to exclude, since the work has failed there.
    pub avoid: Option<&'a Name>,
    /// The work belongs to the gang job that hosts are reserved for.
    pub holds_reservation: bool,
}

/// Free capacity of a host, as the key of the index. The order of the fields is
/// the sort order.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct IndexKey {
    accelerators: u32,
    cpu_millis: u32,
    /// Position in [`Table::hosts`].
    host: usize,
}

/// All hosts of one shard.
#[derive(Debug, Default)]
pub struct Table {
    hosts: Vec<Host>,
    /// Positions in `hosts`.
    by_name: FxHashMap<Name, usize>,
    /// Hosts that have a free slot.
    index: BTreeSet<IndexKey>,
    /// Total of all schedulable hosts.
    capacity: Resources,
}

impl Table {
    /// Updates the hosts from those of this shard in the platform's list.
    ///
    /// A host that is gone from the list is kept, since the list lags behind and
    /// the host may still run work. It gets no new work.
    pub fn update(
        &mut self,
        listed: &[&host::Host],
        labels: &BTreeMap<Name, label::Set>,
        drained: &BTreeSet<Name>,
    ) {
        let names: BTreeSet<&Name> = listed.iter().map(|host| &host.name).collect();
        for host in listed {
            self.update_host(host, labels, drained);
        }
        for position in 0..self.hosts.len() {
            if !names.contains(&self.hosts[position].listed.name) {
                self.hosts[position].is_unschedulable = true;
            }
        }
        self.sum_capacity();
    }

    fn update_host(
        &mut self,
        listed: &host::Host,
        labels: &BTreeMap<Name, label::Set>,
        drained: &BTreeSet<Name>,
    ) {
        let overrides = labels.get(&listed.name).cloned().unwrap_or_default();
        let mut merged = listed.labels.overridden_by(&overrides);
        merged.insert("host", &listed.name);
        merged.insert("rack", &listed.rack);
        merged.insert("failure-domain", &listed.failure_domain);
        let position = match self.by_name.get(&listed.name) {
            Some(position) => *position,
            None => self.add(listed, merged.clone()),
        };
        self.index.remove(&self.index_key(position));
        let host = &mut self.hosts[position];
        host.labels = merged;
        host.is_unschedulable = listed.is_leaving || drained.contains(&listed.name);
        host.listed = listed.clone();
        self.index_host(position);
    }

    /// Adds a host to the index, unless all its slots are in use: such a host fits
    /// no work.
    fn index_host(&mut self, position: usize) {
        if self.hosts[position].free().slots > 0 {
            self.index.insert(self.index_key(position));
        }
    }

    fn add(&mut self, listed: &host::Host, labels: label::Set) -> usize {
        let position = self.hosts.len();
        self.hosts.push(Host::new(listed.clone(), labels));
        self.by_name.insert(listed.name.clone(), position);
        position
    }

    fn sum_capacity(&mut self) {
        let schedulable = self.hosts.iter().filter(|host| !host.is_unschedulable);
        self.capacity =
            schedulable.fold(Resources::default(), |sum, host| sum.plus(&host.listed.capacity));
    }

    /// Returns the total capacity of all schedulable hosts.
    pub fn capacity(&self) -> &Resources {
        &self.capacity
    }

    /// Returns all hosts, including unschedulable ones.
    pub fn hosts(&self) -> &[Host] {
        &self.hosts
    }

    /// Returns the host of that name.
    pub fn get(&self, name: &str) -> Option<&Host> {
        self.by_name.get(name).map(|position| &self.hosts[*position])
    }

    pub(crate) fn get_mut(&mut self, name: &str) -> Option<&mut Host> {
        self.by_name.get(name).map(|position| &mut self.hosts[*position])
    }

    /// Allocates capacity on a host to one task or request.
    pub fn allocate(&mut self, name: &str, size: &Resources) {
        self.change(name, |host| {
            host.used = host.used.plus(size);
            host.tasks += 1;
        });
    }

    /// Releases the capacity on a host that one task or request used.
    pub fn release(&mut self, name: &str, size: &Resources) {
        self.change(name, |host| {
            host.used = host.used.minus(size);
            host.tasks = host.tasks.saturating_sub(1);
        });
    }

    fn change(&mut self, name: &str, f: impl FnOnce(&mut Host)) {
        if let Some(position) = self.by_name.get(name).copied() {
            self.index.remove(&self.index_key(position));
            f(&mut self.hosts[position]);
            self.index_host(position);
        }
    }

    fn index_key(&self, host: usize) -> IndexKey {
        let free = self.hosts[host].free();
        IndexKey { accelerators: free.accelerators, cpu_millis: free.cpu_millis, host }
    }

    /// Returns the best host that meets the requirements.
    pub fn find(&self, now: Duration, query: &Query<'_>) -> Option<&Name> {
        let accepts = |key: &IndexKey| self.accepts(now, *key, query);
        let mut accelerators = query.size.accelerators;
        loop {
            // Hosts with the fewest free accelerators that suffice come first.
            let first = self.index.range(lowest_key(accelerators, 0)..).next()?;
            accelerators = first.accelerators;
            let group = (
                Bound::Included(lowest_key(accelerators, query.size.cpu_millis)),
                Bound::Excluded(lowest_key(accelerators + 1, 0)),
            );
            let mut keys = self.index.range(group);
            let found = match query.mode {
                Mode::Dense => keys.find(|key| accepts(key)),
                Mode::Spread => keys.rfind(|key| accepts(key)),
            };
            if let Some(key) = found {
                return Some(&self.hosts[key.host].listed.name);
            }
            accelerators += 1;
        }
    }

    fn accepts(&self, now: Duration, key: IndexKey, query: &Query<'_>) -> bool {
        let host = &self.hosts[key.host];
        let is_reserved = host.reserved_until.is_some_and(|until| {
            query.run_ms == 0 || now + Duration::from_millis(query.run_ms) > until
        });
        host.is_usable(now)
            && (!is_reserved || query.holds_reservation)
            && query.avoid != Some(&host.listed.name)
            && query.size.fits_in(&host.free())
            && query.selector.matches(&host.labels)
    }

    /// Returns whether the named host meets the requirements now.
    pub(crate) fn fits_on(&self, now: Duration, name: &str, query: &Query<'_>) -> bool {
        let position = self.by_name.get(name).copied();
        position.is_some_and(|position| self.accepts(now, self.index_key(position), query))
    }

    /// Returns the reason if work of this size can never run in this shard.
    ///
    /// If hosts match the selector, the reason names a resource that the last of
    /// them has too little of.
    pub fn never_fits(&self, size: &Resources, selector: &Selector) -> Option<Reason> {
        let mut lacking: Option<Dimension> = None;
        let mut has_match = false;
        for host in self.hosts.iter().filter(|host| !host.is_unschedulable) {
            if !selector.matches(&host.labels) {
                continue;
            }
            has_match = true;
            match size.first_lacking(&host.listed.capacity) {
                None => return None,
                Some(dimension) => lacking = Some(dimension),
            }
        }
        if !has_match {
            return Some(Reason::NoHostMatches);
        }
        lacking.map(Reason::NeverFits)
    }

    /// Returns how many tasks of this size fit on the matching schedulable hosts when
    /// these run nothing else.
    pub(crate) fn max_tasks_when_idle(&self, size: &Resources, selector: &Selector) -> u32 {
        let schedulable = self.hosts.iter().filter(|host| !host.is_unschedulable);
        let matching = schedulable.filter(|host| selector.matches(&host.labels));
        matching.map(|host| fit_count(size, &host.listed.capacity)).fold(0, u32::saturating_add)
    }

    /// Returns the hosts that belong to a shard, given the number of shards per
    /// failure domain.
    pub(crate) fn of_shard<'a>(
        hosts: &'a [host::Host],
        shard: &id::Shard,
        shards_per_domain: u16,
    ) -> Vec<&'a host::Host> {
        hosts.iter().filter(|host| host.shard(shards_per_domain) == *shard).collect()
    }
}

/// Returns the lowest key with this free capacity.
fn lowest_key(accelerators: u32, cpu_millis: u32) -> IndexKey {
    IndexKey { accelerators, cpu_millis, host: 0 }
}

/// Returns how many times `size` fits into `capacity`.
pub(crate) fn fit_count(size: &Resources, capacity: &Resources) -> u32 {
    let count = |dimension: Dimension| match dimension.of(size) {
        0 => u32::MAX,
        needed => dimension.of(capacity) / needed,
    };
    Dimension::ALL.into_iter().map(count).min().unwrap_or(0)
}
