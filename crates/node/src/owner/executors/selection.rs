//! Selects the peers that become executors.
//!
//! The owner's cost grows with the number of batches, and a batch to a peer with few workers holds
//! one order. So no more peers are used than the number of workers calls for.

use std::collections::BTreeSet;

use sycamore_types::Name;

use super::assignment::hash;

/// Workers for each executor when executors are added. A peer with 0.12 of a core has room for
/// these beside its callers: 1,000 workers were measured to cost an owner 0.2 of a core.
const WORKERS_PER_EXECUTOR: usize = 200;

/// Workers for each executor from which executors are added. In between, a lost executor is not
/// replaced, so that its loss moves only its own workers.
const MAX_WORKERS_PER_EXECUTOR: usize = 300;

/// Peers that are executors.
#[derive(Debug, Default)]
pub(crate) struct Selection {
    selected: BTreeSet<Name>,
}

impl Selection {
    /// Takes the number of workers, and the peers that may be used.
    ///
    /// Peers are added in the order of their hashes, so that neighbours by name, which may share a
    /// failure domain, are not selected together, and a new owner selects nearly the same ones.
    pub fn update(&mut self, workers: usize, usable: &BTreeSet<Name>) {
        self.selected.retain(|name| usable.contains(name));
        if self.selected.len() * MAX_WORKERS_PER_EXECUTOR >= workers {
            return;
        }
        let missing = workers.div_ceil(WORKERS_PER_EXECUTOR).saturating_sub(self.selected.len());
        let mut others: Vec<Name> = usable.difference(&self.selected).cloned().collect();
        others.sort_by_key(hash);
        self.selected.extend(others.into_iter().take(missing));
    }

    pub fn contains(&self, name: &Name) -> bool {
        self.selected.contains(name)
    }
}
