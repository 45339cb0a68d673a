//! Directory of processes, shard owners and hosts, with the load of each shard.
//!
//! Calls read immutable snapshots, so that each one decides on a consistent state.

mod follow;
mod snapshot;

use std::collections::HashMap;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, PoisonError, RwLock};

use sycamore_types::id;

pub(crate) use follow::{follow_hosts, follow_members, follow_owners};
pub(crate) use snapshot::Snapshot;

/// Shared handle to the latest snapshot and to the counters of calls in flight.
#[derive(Clone, Debug, Default)]
pub(crate) struct Directory {
    snapshot: Arc<RwLock<Arc<Snapshot>>>,
    in_flight: Arc<RwLock<HashMap<id::Shard, Arc<AtomicU32>>>>,
}

impl Directory {
    pub(crate) fn snapshot(&self) -> Arc<Snapshot> {
        self.snapshot.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn update(&self, f: impl FnOnce(&mut Snapshot)) {
        let mut current = self.snapshot.write().unwrap_or_else(PoisonError::into_inner);
        let mut next = (**current).clone();
        f(&mut next);
        *current = Arc::new(next);
    }

    /// Counts a call to a shard as in flight until the guard is dropped.
    pub(crate) fn track_call(&self, shard: &id::Shard) -> InFlightGuard {
        let counter = self.counter(shard);
        counter.fetch_add(1, Ordering::Relaxed);
        InFlightGuard(counter)
    }

    /// Returns the number of calls from this process to a shard that are in flight.
    pub(crate) fn in_flight_calls(&self, shard: &id::Shard) -> u32 {
        let counters = self.in_flight.read().unwrap_or_else(PoisonError::into_inner);
        counters.get(shard).map_or(0, |counter| counter.load(Ordering::Relaxed))
    }

    fn counter(&self, shard: &id::Shard) -> Arc<AtomicU32> {
        let known = self.in_flight.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(counter) = known.get(shard) {
            return counter.clone();
        }
        drop(known);
        let mut counters = self.in_flight.write().unwrap_or_else(PoisonError::into_inner);
        counters.entry(shard.clone()).or_default().clone()
    }
}

/// Counts one call as in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard(Arc<AtomicU32>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
