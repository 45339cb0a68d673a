//! The simulated store of the driver.
//!
//! It replies immediately and never fails, so that a measurement contains only
//! the time of the decision core.

use std::collections::BTreeMap;

use sycamore_core::store::{Op, Reply, Versioned};
use sycamore_types::id::Revision;

/// An in-memory key-value store with one revision counter for all keys.
#[derive(Debug, Default)]
pub(super) struct Kv {
    values: BTreeMap<String, (Revision, Vec<u8>)>,
    revision: Revision,
    /// Number of puts and deletes, including those that failed with a conflict.
    pub(super) writes: u64,
    /// Number of gets and lists.
    pub(super) reads: u64,
}

impl Kv {
    pub(super) fn call(&mut self, op: Op) -> Reply {
        match op {
            Op::Get { key } => {
                self.reads += 1;
                Reply::Value(self.get(&key))
            }
            Op::List { prefix } => {
                self.reads += 1;
                let keys = self.values.keys().filter(|key| key.starts_with(&prefix));
                Reply::Values(keys.filter_map(|key| self.get(key)).collect())
            }
            Op::Put { key, expected, value } => self.compare_and_swap(key, expected, Some(value)),
            Op::Delete { key, expected } => self.compare_and_swap(key, expected, None),
        }
    }

    fn get(&self, key: &str) -> Option<Versioned> {
        let (revision, value) = self.values.get(key)?;
        Some(Versioned { key: key.to_string(), revision: *revision, value: value.clone() })
    }

    /// Writes the value, or deletes the key for `None`, if the key is at the
    /// expected revision. Revision 0 means that the key doesn't exist.
    fn compare_and_swap(
        &mut self,
        key: String,
        expected: Revision,
        value: Option<Vec<u8>>,
    ) -> Reply {
        self.writes += 1;
        if self.values.get(&key).map_or(0, |(revision, _)| *revision) != expected {
            return Reply::Conflict;
        }
        self.revision += 1;
        match value {
            Some(value) => self.values.insert(key, (self.revision, value)),
            None => self.values.remove(&key),
        };
        Reply::Written(self.revision)
    }
}
