//! Labels of hosts, which selectors are matched against.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::Name;

/// Labels as key-value pairs.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Set(pub BTreeMap<Name, Name>);

impl Set {
    /// Returns the value of a label, or `None` if the label is absent.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.0.get(key).map(|value| &**value)
    }

    /// Sets a label, replacing any earlier value.
    pub fn insert(&mut self, key: &str, value: &str) {
        self.0.insert(Name::from(key), Name::from(value));
    }

    /// Returns these labels, with the values in `overrides` replacing those of the same key.
    pub fn overridden_by(&self, overrides: &Set) -> Set {
        let mut merged = self.0.clone();
        merged.extend(overrides.0.iter().map(|(key, value)| (key.clone(), value.clone())));
        Set(merged)
    }
}

impl<const N: usize> From<[(&str, &str); N]> for Set {
    fn from(pairs: [(&str, &str); N]) -> Set {
        Set(pairs.iter().map(|(key, value)| (Name::from(*key), Name::from(*value))).collect())
    }
}
