//! Values of the simulated store with their revisions.
//!
//! All keys share one counter of revisions, so that a value that is removed and written again
//! never gets an earlier revision back.

use std::collections::BTreeMap;

use sycamore_platform::store::{Faults, ListItem};
use sycamore_types::id::Revision;

use super::Counts;

/// A value with its revision.
#[derive(Clone, Debug)]
pub(super) struct Value {
    pub(super) revision: Revision,
    pub(super) bytes: Vec<u8>,
}

/// Contents of the store, with its counters and faults.
#[derive(Debug, Default)]
pub(super) struct State {
    values: BTreeMap<String, Value>,
    /// Revision of the last write to any key.
    revision: Revision,
    pub(super) counts: Counts,
    pub(super) faults: Faults,
}

impl State {
    pub(super) fn get(&self, key: &str) -> Option<Value> {
        self.values.get(key).cloned()
    }

    pub(super) fn list(&self, prefix: &str) -> Vec<ListItem> {
        let matching = self.values.iter().filter(|(key, _)| key.starts_with(prefix));
        matching
            .map(|(key, value)| ListItem {
                key: key.clone(),
                revision: value.revision,
                value: hex::encode(&value.bytes),
            })
            .collect()
    }

    /// Writes a value, or removes it if `bytes` is `None`, and returns the new revision.
    ///
    /// Returns `None` if the revision isn't the expected one. A missing value has revision 0.
    pub(super) fn compare_and_swap(
        &mut self,
        key: &str,
        expected: Revision,
        bytes: Option<Vec<u8>>,
    ) -> Option<Revision> {
        let current = self.values.get(key).map_or(0, |value| value.revision);
        if current != expected {
            return None;
        }
        self.revision += 1;
        let revision = self.revision;
        match bytes {
            Some(bytes) => self.values.insert(key.to_string(), Value { revision, bytes }),
            None => self.values.remove(key),
        };
        Some(revision)
    }
}
