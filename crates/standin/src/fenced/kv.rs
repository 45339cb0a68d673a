//! Keys and values of the simulated store, and its replies as status and JSON body.
//!
//! Every write raises one revision that all keys share, so that a watch can ask for the changes
//! after it.

use std::collections::BTreeMap;

use serde_json::{Value, json};

/// Contents of the store.
#[derive(Debug, Default)]
pub(super) struct Kv {
    /// Revision of the last write to any key.
    rev: u64,
    /// Value in base64 and revision of its last write, by key.
    items: BTreeMap<String, (String, u64)>,
}

impl Kv {
    pub fn put(&mut self, key: &str, value: &str) {
        self.rev += 1;
        self.items.insert(key.to_string(), (value.to_string(), self.rev));
    }

    pub fn remove(&mut self, key: &str) {
        self.rev += 1;
        self.items.remove(key);
    }

    fn item(&self, key: &str) -> Option<Value> {
        let (value, rev) = self.items.get(key)?;
        Some(json!({ "key": key, "value": value, "rev": rev, "as-of": self.rev }))
    }

    pub fn get(&self, key: &str) -> (u16, Value) {
        self.item(key).map_or((404, json!({})), |item| (200, item))
    }

    /// Returns the keys with a prefix that sort after `after`.
    pub fn range(&self, prefix: &str, after: &str) -> (u16, Value) {
        let keys = self.items.keys().filter(|key| key.starts_with(prefix) && key.as_str() > after);
        let items: Vec<Value> = keys.filter_map(|key| self.item(key)).collect();
        (200, json!({ "items": items, "more-pages": false, "as-of": self.rev }))
    }

    /// Returns the keys with a prefix that were written after a revision. Removals aren't
    /// reported.
    pub fn changes(&self, prefix: &str, after: u64) -> (u16, Value) {
        let is_new =
            |(key, (_, rev)): &(&String, &(String, u64))| key.starts_with(prefix) && *rev > after;
        let events: Vec<Value> =
            self.items.iter().filter(is_new).filter_map(|(key, _)| self.item(key)).collect();
        (200, json!({ "events": events, "as-of": self.rev }))
    }

    /// Applies all writes and removals of a transaction, or none if a key has another revision
    /// than the expected one. A missing key has revision 0.
    pub fn commit(&mut self, body: &Value) -> (u16, Value) {
        let rows = |field: &str| body[field].as_array().cloned().unwrap_or_default();
        for row in rows("expected-rev") {
            let key = row["key"].as_str().unwrap_or_default();
            let rev = self.items.get(key).map_or(0, |(_, rev)| *rev);
            if Some(rev) != row["rev"].as_u64() {
                return (412, json!({ "items": [] }));
            }
        }
        for row in rows("puts") {
            let text = |field: &str| row[field].as_str().unwrap_or_default().to_string();
            self.put(&text("key"), &text("value"));
        }
        for key in rows("remove") {
            self.remove(key.as_str().unwrap_or_default());
        }
        (200, json!({ "rev": self.rev }))
    }
}
