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
    /// The fullest host: leaves whole hosts for large work.
    Dense,
    /// The emptiest host: waits least and loses little with one host.
    Spread,
}

/// What is looked for.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// Room that is needed.
    pub size: &'a Resources,
    /// Hosts that may be used.
    pub selector: &'a Selector,
    /// How to choose.
    pub mode: Mode,
    /// Declared run time in milliseconds, zero when unknown. Work that ends in
    /// time may use hosts that are held back for an all-at-once job.
    pub run_ms: u64,
    /// A host to leave out, since the work has failed there.
    pub avoid: Option<&'a Name>,
    /// The work is what hosts are held back for.
    pub holds_reservation: bool,
}

/// Position of a host in the index. Ordered by free accelerators first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Slot {
    accelerators: u32,
    cpu_millis: u32,
    host: usize,
}

/// All hosts of one shard.
#[derive(Debug, Default)]
pub struct Table {
    hosts: Vec<Host>,
    by_name: FxHashMap<Name, usize>,
    index: BTreeSet<Slot>,
    capacity: Resources,
}

impl Table {
    /// Takes in the platform's list, restricted to this shard.
    ///
    /// A host that is gone from the list is kept while it may run work, since
    /// the list lags; it gets no new work.
    pub fn update(
        &mut self,
        listed: &[&host::Host],
        labels: &BTreeMap<Name, label::Set>,
        drained: &BTreeSet<Name>,
    ) {
        let names: BTreeSet<&Name> = listed.iter().map(|host| &host.name).collect();
        for host in listed {
            self.update_one(host, labels, drained);
        }
        for at in 0..self.hosts.len() {
            if !names.contains(&self.hosts[at].listed.name) {
                self.hosts[at].is_closed = true;
            }
        }
        self.sum_capacity();
    }

    fn update_one(
        &mut self,
        listed: &host::Host,
        labels: &BTreeMap<Name, label::Set>,
        drained: &BTreeSet<Name>,
    ) {
        let over = labels.get(&listed.name).cloned().unwrap_or_default();
        let mut merged = listed.labels.overlaid(&over);
        merged.insert("host", &listed.name);
        merged.insert("rack", &listed.rack);
        merged.insert("failure-domain", &listed.failure_domain);
        let at = match self.by_name.get(&listed.name) {
            Some(at) => *at,
            None => self.add(listed, merged.clone()),
        };
        self.index.remove(&self.slot(at));
        let host = &mut self.hosts[at];
        host.labels = merged;
        host.is_closed = listed.is_leaving || drained.contains(&listed.name);
        host.listed = listed.clone();
        self.insert_slot(at);
    }

    /// Puts a host in the index unless all its slots are taken: a search would
    /// pass over it for every size.
    fn insert_slot(&mut self, at: usize) {
        if self.hosts[at].free().slots > 0 {
            self.index.insert(self.slot(at));
        }
    }

    fn add(&mut self, listed: &host::Host, labels: label::Set) -> usize {
        let at = self.hosts.len();
        self.hosts.push(Host::new(listed.clone(), labels));
        self.by_name.insert(listed.name.clone(), at);
        at
    }

    fn sum_capacity(&mut self) {
        let open = self.hosts.iter().filter(|host| !host.is_closed);
        self.capacity =
            open.fold(Resources::default(), |sum, host| sum.plus(&host.listed.capacity));
    }

    /// Returns the capacity of all hosts that are not closed.
    pub fn capacity(&self) -> &Resources {
        &self.capacity
    }

    /// Returns all hosts.
    pub fn hosts(&self) -> &[Host] {
        &self.hosts
    }

    /// Returns one host.
    pub fn get(&self, name: &str) -> Option<&Host> {
        self.by_name.get(name).map(|at| &self.hosts[*at])
    }

    pub(crate) fn get_mut(&mut self, name: &str) -> Option<&mut Host> {
        self.by_name.get(name).map(|at| &mut self.hosts[*at])
    }

    /// Takes room on a host.
    pub fn allocate(&mut self, name: &str, size: &Resources) {
        self.change(name, |host| {
            host.used = host.used.plus(size);
            host.tasks += 1;
        });
    }

    /// Gives room on a host back.
    pub fn release(&mut self, name: &str, size: &Resources) {
        self.change(name, |host| {
            host.used = host.used.minus(size);
            host.tasks = host.tasks.saturating_sub(1);
        });
    }

    fn change(&mut self, name: &str, f: impl FnOnce(&mut Host)) {
        if let Some(at) = self.by_name.get(name).copied() {
            self.index.remove(&self.slot(at));
            f(&mut self.hosts[at]);
            self.insert_slot(at);
        }
    }

    fn slot(&self, host: usize) -> Slot {
        let free = self.hosts[host].free();
        Slot { accelerators: free.accelerators, cpu_millis: free.cpu_millis, host }
    }

    /// Finds the best host.
    pub fn find(&self, now: Duration, fit: &Query<'_>) -> Option<&Name> {
        let accepts = |slot: &Slot| self.accepts(now, *slot, fit);
        let mut accelerators = fit.size.accelerators;
        loop {
            let first = self.index.range(lowest(accelerators, 0)..).next()?;
            accelerators = first.accelerators;
            let group = (
                Bound::Included(lowest(accelerators, fit.size.cpu_millis)),
                Bound::Excluded(lowest(accelerators + 1, 0)),
            );
            let mut slots = self.index.range(group);
            let found = match fit.mode {
                Mode::Dense => slots.find(|slot| accepts(slot)),
                Mode::Spread => slots.rfind(|slot| accepts(slot)),
            };
            if let Some(slot) = found {
                return Some(&self.hosts[slot.host].listed.name);
            }
            accelerators += 1;
        }
    }

    fn accepts(&self, now: Duration, slot: Slot, fit: &Query<'_>) -> bool {
        let host = &self.hosts[slot.host];
        let is_kept = host.reserved_until.is_some_and(|until| {
            fit.run_ms == 0 || now + Duration::from_millis(fit.run_ms) > until
        });
        host.is_usable(now)
            && (!is_kept || fit.holds_reservation)
            && fit.avoid != Some(&host.listed.name)
            && fit.size.fits_in(&host.free())
            && fit.selector.matches(&host.labels)
    }

    /// Tells whether work of this size fits on the named host now.
    pub(crate) fn fits_on(&self, now: Duration, name: &str, fit: &Query<'_>) -> bool {
        let at = self.by_name.get(name).copied();
        at.is_some_and(|at| self.accepts(now, self.slot(at), fit))
    }

    /// Tells why work of this size can never run here, if that is so.
    ///
    /// Names the dimension that the best host lacks.
    pub fn never_fits(&self, size: &Resources, selector: &Selector) -> Option<Reason> {
        let mut lacking: Option<Dimension> = None;
        let mut has_match = false;
        for host in self.hosts.iter().filter(|host| !host.is_closed) {
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

    /// Returns how many tasks of this size the open hosts hold when they run nothing else.
    pub(crate) fn max_tasks_when_idle(&self, size: &Resources, selector: &Selector) -> u32 {
        let open = self.hosts.iter().filter(|host| !host.is_closed);
        let matching = open.filter(|host| selector.matches(&host.labels));
        matching.map(|host| fit_count(size, &host.listed.capacity)).fold(0, u32::saturating_add)
    }

    /// Returns the hosts that belong to a shard of the given layout.
    pub(crate) fn of_shard<'a>(
        hosts: &'a [host::Host],
        shard: &id::Shard,
        shards_per_domain: u16,
    ) -> Vec<&'a host::Host> {
        hosts.iter().filter(|host| host.shard(shards_per_domain) == *shard).collect()
    }
}

fn lowest(accelerators: u32, cpu_millis: u32) -> Slot {
    Slot { accelerators, cpu_millis, host: 0 }
}

/// Returns how often `size` fits into `room`.
pub(crate) fn fit_count(size: &Resources, room: &Resources) -> u32 {
    let times = |dimension: Dimension| match dimension.of(size) {
        0 => u32::MAX,
        needed => dimension.of(room) / needed,
    };
    Dimension::ALL.into_iter().map(times).min().unwrap_or(0)
}
