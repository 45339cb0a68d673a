//! The simulated store of the platform.
//!
//! It keeps its values in memory and never fails: store faults are injected
//! where the calls are made.

use std::collections::BTreeMap;

use sycamore_core::store::{Op, Reply, Versioned};
use sycamore_types::id::Revision;

/// An in-memory store with compare-and-swap on revisions.
#[derive(Debug, Default)]
pub struct Store {
    values: BTreeMap<String, (Revision, Vec<u8>)>,
    revision: Revision,
    /// Number of write calls, rejected ones included.
    pub writes: u64,
    /// Number of read calls.
    pub reads: u64,
}

impl Store {
    /// Performs a call.
    pub fn call(&mut self, op: &Op) -> Reply {
        match op {
            Op::Get { key } => {
                self.reads += 1;
                Reply::Value(self.get(key))
            }
            Op::List { prefix } => {
                self.reads += 1;
                let keys = self.values.keys().filter(|key| key.starts_with(prefix.as_str()));
                Reply::Values(keys.filter_map(|key| self.get(key)).collect())
            }
            Op::Put { key, expected, value } => self.change(key, *expected, Some(value.clone())),
            Op::Delete { key, expected } => self.change(key, *expected, None),
        }
    }

    /// Returns a value without counting a read.
    pub fn get(&self, key: &str) -> Option<Versioned> {
        let (revision, value) = self.values.get(key)?;
        Some(Versioned { key: key.to_string(), revision: *revision, value: value.clone() })
    }

    fn change(&mut self, key: &str, expected: Revision, value: Option<Vec<u8>>) -> Reply {
        self.writes += 1;
        if self.values.get(key).map_or(0, |(revision, _)| *revision) != expected {
            return Reply::Conflict;
        }
        self.revision += 1;
        match value {
            Some(value) => self.values.insert(key.to_string(), (self.revision, value)),
            None => self.values.remove(key),
        };
        Reply::Written(self.revision)
    }
}
