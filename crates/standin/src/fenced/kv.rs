//! Keys and values of the simulated store, and its replies as status and JSON body.
//!
//! Every write raises one revision that all keys share, so that a watch can ask for the changes
//! after it.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use serde_json::{Value, json};

/// Number of changes that the store keeps for watches.
const MAX_HISTORY: usize = 2_000;

/// Contents of the store.
#[derive(Debug, Default)]
pub(super) struct Kv {
    /// Most items in one page of a range. `None` means no limit.
    pub max_page_items: Option<usize>,
    /// Revision of the last write to any key.
    rev: u64,
    /// Value in base64 and revision of its last write, by key.
    items: BTreeMap<String, (Arc<str>, u64)>,
    /// Writes and removals with their revisions, the oldest first.
    history: VecDeque<(u64, String, Option<Arc<str>>)>,
    /// Revision up to which changes are not kept.
    compacted_rev: u64,
}

impl Kv {
    pub fn put(&mut self, key: &str, value: &str) {
        let value: Arc<str> = value.into();
        self.record(key, Some(value.clone()));
        self.items.insert(key.to_string(), (value, self.rev));
    }

    /// Writes the value of a key again.
    pub fn touch(&mut self, key: &str) {
        if let Some((value, _)) = self.items.get(key).cloned() {
            self.put(key, &value);
        }
    }

    pub fn remove(&mut self, key: &str) {
        self.record(key, None);
        self.items.remove(key);
    }

    fn record(&mut self, key: &str, value: Option<Arc<str>>) {
        self.rev += 1;
        self.history.push_back((self.rev, key.to_string(), value));
        if self.history.len() > MAX_HISTORY
            && let Some((rev, ..)) = self.history.pop_front()
        {
            self.compacted_rev = rev;
        }
    }

    /// Drops all changes, so that each watch has to begin anew.
    pub fn forget_history(&mut self) {
        self.history.clear();
        self.compacted_rev = self.rev;
    }

    fn item(&self, key: &str) -> Option<Value> {
        let (value, rev) = self.items.get(key)?;
        Some(json!({ "key": key, "value": &**value, "rev": rev, "as-of": self.rev }))
    }

    pub fn get(&self, key: &str) -> (u16, Value) {
        self.item(key).map_or((404, json!({})), |item| (200, item))
    }

    pub fn keys(&self) -> impl Iterator<Item = &str> {
        self.items.keys().map(String::as_str)
    }

    /// Returns the keys with a prefix that sort after `after`.
    pub fn range(&self, prefix: &str, after: &str) -> (u16, Value) {
        let keys = self.items.keys().filter(|key| key.starts_with(prefix) && key.as_str() > after);
        let mut items = keys.filter_map(|key| self.item(key)).peekable();
        let max_items = self.max_page_items.unwrap_or(usize::MAX);
        let page: Vec<Value> = items.by_ref().take(max_items).collect();
        let has_more = items.peek().is_some();
        (200, json!({ "items": page, "more-pages": has_more, "as-of": self.rev }))
    }

    /// Returns each write and removal of the keys with a prefix after a revision, or 410 if
    /// that history is gone.
    pub fn changes(&self, prefix: &str, after: u64) -> (u16, Value) {
        if after < self.compacted_rev {
            return (410, json!({}));
        }
        let first = self.history.partition_point(|(rev, ..)| *rev <= after);
        let event = |(rev, key, value): &(u64, String, Option<Arc<str>>)| match value {
            Some(value) => json!({ "key": key, "value": &**value, "rev": rev }),
            None => json!({ "key": key, "rev": rev, "removed": true }),
        };
        let changes = self.history.range(first..).filter(|(_, key, _)| key.starts_with(prefix));
        let events: Vec<Value> = changes.map(event).collect();
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
