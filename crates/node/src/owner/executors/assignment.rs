//! Assigns workers to executors by weighted rendezvous hashing.
//!
//! Each executor has as many points for a worker as its weight, and the executor with the highest
//! point has the worker. An executor that leaves therefore moves only its own workers, and one
//! whose weight grows takes workers from the others without moving any between them.

use std::hash::{DefaultHasher, Hash, Hasher};

use rustc_hash::FxHashMap;
use sycamore_types::Name;

/// Executors with their weights, and the workers that have been assigned so far.
#[derive(Debug, Default)]
pub(crate) struct Assignment {
    executors: FxHashMap<Name, Executor>,
    workers: FxHashMap<Name, Chosen>,
}

#[derive(Debug)]
struct Executor {
    hash: u64,
    /// Share of the workers relative to the other executors. Above zero.
    weight: u8,
}

#[derive(Debug)]
struct Chosen {
    hash: u64,
    executor: Name,
    points: u64,
}

impl Assignment {
    /// Sets the weight of an executor. It is removed with a weight of zero.
    pub fn set_weight(&mut self, name: &Name, weight: u8) {
        let old_weight = self.executors.get(name).map_or(0, |executor| executor.weight);
        if weight == old_weight {
            return;
        }
        let hash = hash(name);
        if weight == 0 {
            self.executors.remove(name);
        } else {
            self.executors.insert(name.clone(), Executor { hash, weight });
        }
        if weight < old_weight {
            // These workers are assigned anew when they are looked up.
            self.workers.retain(|_, chosen| chosen.executor != *name);
            return;
        }
        for chosen in self.workers.values_mut() {
            let points = points(chosen.hash, hash, weight);
            if (points, name) >= (chosen.points, &chosen.executor) {
                (chosen.points, chosen.executor) = (points, name.clone());
            }
        }
    }

    /// Returns the executor of a worker, `None` without any executor.
    pub fn executor(&mut self, worker: &Name) -> Option<&Name> {
        if !self.workers.contains_key(worker) {
            let hash = hash(worker);
            let (points, executor) = self
                .executors
                .iter()
                .map(|(name, executor)| (points(hash, executor.hash, executor.weight), name))
                .max()?;
            let executor = executor.clone();
            self.workers.insert(worker.clone(), Chosen { hash, executor, points });
        }
        self.workers.get(worker).map(|chosen| &chosen.executor)
    }

    /// Returns the number of executors that workers are assigned to.
    pub fn len(&self) -> usize {
        self.executors.len()
    }

    /// Forgets the workers looked up so far if they are more than `max`, which bounds the memory
    /// for workers that have left. The others are assigned to the same executors again.
    pub fn limit_workers(&mut self, max: usize) {
        if self.workers.len() > max {
            self.workers.clear();
        }
    }
}

/// Returns a hash that is the same in all processes.
pub(super) fn hash(name: &Name) -> u64 {
    // Has fixed keys, unlike the hashers of maps.
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish()
}

/// Returns the highest point of an executor for a worker.
fn points(worker: u64, executor: u64, weight: u8) -> u64 {
    let point = |at| mix(worker ^ mix(executor.wrapping_add(u64::from(at))));
    (0..weight).map(point).max().unwrap_or(0)
}

/// Spreads the bits of a number (the finalizer of SplitMix64), so that similar numbers give
/// unrelated results.
fn mix(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}
