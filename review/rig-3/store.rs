//! The platform's store, as `PROTOCOL.md` describes it: keys with revisions, ranges in pages, watches
//! over a history, conditional transactions. It refuses values above `value-bytes`.

use std::collections::{BTreeMap, VecDeque};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Reply, Request};
use crate::json::{Json, base64, decoded_len, quoted};

/// `value-bytes` of the settings.
pub const VALUE_BYTES: usize = 1_048_576;
/// `history-s` of the settings.
const HISTORY: Duration = Duration::from_secs(20);
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

#[derive(Clone)]
struct Item {
    value: String,
    rev: u64,
    created: u64,
}

struct Change {
    at: Instant,
    rev: u64,
    key: String,
    /// `None`: removed.
    item: Option<Item>,
}

#[derive(Default)]
struct State {
    rev: u64,
    items: BTreeMap<String, Item>,
    history: VecDeque<Change>,
    compacted: u64,
}

pub struct Store {
    pub address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    pub fn start(ip: &str) -> Arc<Store> {
        let listener = TcpListener::bind((ip, 0)).expect("a port for the store");
        let address = listener.local_addr().expect("its address");
        let state = State { rev: 1, ..State::default() };
        let store = Arc::new(Store { address, state: Mutex::new(state), changed: Condvar::new() });
        let served = store.clone();
        http::serve(listener, Arc::new(move |request| served.handle(&request)));
        store
    }

    /// Writes a key as the operator or a worker does.
    pub fn put(&self, key: &str, document: &str) {
        let mut state = self.state.lock().unwrap();
        state.put(key, base64(document.as_bytes()));
        self.changed.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.state.lock().unwrap();
        state.remove(key);
        self.changed.notify_all();
    }

    /// Returns the value of a key, in base64.
    pub fn value(&self, key: &str) -> Option<String> {
        self.state.lock().unwrap().items.get(key).map(|item| item.value.clone())
    }

    fn handle(&self, request: &Request) -> Reply {
        let call = request.path.rsplit('/').next().unwrap_or_default();
        match call {
            "kv-key" => Some(self.state.lock().unwrap().get(&request.parameter("key"))),
            "kv-range" => {
                let (prefix, after) = (request.parameter("prefix"), request.parameter("after"));
                Some(self.state.lock().unwrap().range(&prefix, &after))
            }
            "kv-txn" => {
                let Some(body) = Json::parse(&request.body) else {
                    return Some((400, "{}".into()));
                };
                let reply = self.state.lock().unwrap().commit(&body);
                self.changed.notify_all();
                Some(reply)
            }
            "kv-watch" => Some(self.watch(request)),
            _ => Some((404, "{}".into())),
        }
    }

    fn watch(&self, request: &Request) -> (u16, String) {
        let number = |name| request.parameter(name).parse::<u64>().unwrap_or(0);
        let (prefix, after) = (request.parameter("prefix"), number("after"));
        let end = Instant::now() + Duration::from_millis(number("wait-ms").min(30_000));
        let mut state = self.state.lock().unwrap();
        loop {
            if after < state.compacted {
                return (410, "{}".into());
            }
            let events: Vec<String> = state
                .history
                .iter()
                .filter(|change| change.rev > after && change.key.starts_with(&prefix))
                .map(|change| match &change.item {
                    Some(item) => row(&change.key, item),
                    None => format!(
                        "{{\"key\":{},\"rev\":{},\"removed\":true}}",
                        quoted(&change.key),
                        change.rev
                    ),
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= end {
                let body = format!("{{\"events\":[{}],\"as-of\":{}}}", events.join(","), state.rev);
                return (200, body);
            }
            state = self.changed.wait_timeout(state, end - now).unwrap().0;
        }
    }
}

fn row(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"rev\":{},\"created\":{},\"lease\":0}}",
        quoted(key),
        item.value,
        item.rev,
        item.created
    )
}

impl State {
    fn note(&mut self, key: &str, item: Option<Item>) {
        let (at, rev, key) = (Instant::now(), self.rev, key.to_string());
        self.history.push_back(Change { at, rev, key, item });
        while self.history.front().is_some_and(|change| change.at.elapsed() > HISTORY) {
            if let Some(change) = self.history.pop_front() {
                self.compacted = change.rev;
            }
        }
    }

    fn put(&mut self, key: &str, value: String) {
        self.rev += 1;
        let created = self.items.get(key).map_or(self.rev, |item| item.created);
        let item = Item { value, rev: self.rev, created };
        self.items.insert(key.to_string(), item.clone());
        self.note(key, Some(item));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.rev += 1;
            self.note(key, None);
        }
    }

    fn get(&self, key: &str) -> (u16, String) {
        let Some(item) = self.items.get(key) else {
            return (404, format!("{{\"as-of\":{}}}", self.rev));
        };
        let body = row(key, item);
        (200, format!("{},\"as-of\":{}}}", &body[..body.len() - 1], self.rev))
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let start = if after > prefix { after } else { prefix };
        let keys = self.items.range(start.to_string()..);
        let mut found = keys
            .take_while(|(key, _)| key.starts_with(prefix) || key.as_str() < prefix)
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
            .peekable();
        let (mut rows, mut bytes) = (Vec::new(), 0);
        while let Some((key, item)) = found.peek() {
            let full = rows.len() >= PAGE_ITEMS || bytes + item.value.len() > PAGE_BYTES;
            if full && !rows.is_empty() {
                break;
            }
            bytes += item.value.len();
            rows.push(row(key, item));
            found.next();
        }
        let more = found.peek().is_some();
        let rows = rows.join(",");
        (200, format!("{{\"items\":[{rows}],\"more-pages\":{more},\"as-of\":{}}}", self.rev))
    }

    fn commit(&mut self, body: &Json) -> (u16, String) {
        let expected = body.get("expected-rev").list();
        let (puts, removed) = (body.get("puts").list(), body.get("remove").list());
        if expected.len() + puts.len() + removed.len() > 32 {
            return (400, "{\"error\":\"too many entries\"}".into());
        }
        let own = |key: &str| key.starts_with("op/") || key.starts_with("servers/");
        if puts.iter().any(|put| own(put.get("key").text())) {
            return (403, "{}".into());
        }
        for put in puts {
            let bytes = decoded_len(put.get("value").text());
            if bytes > VALUE_BYTES {
                return (413, format!("{{\"error\":\"the value has {bytes} bytes\"}}"));
            }
        }
        let holds = |row: &Json| {
            let rev = self.items.get(row.get("key").text()).map_or(0, |item| item.rev);
            rev == row.get("rev").u64()
        };
        if !expected.iter().all(holds) {
            let items = expected.iter().filter_map(|expected| {
                let key = expected.get("key").text();
                self.items.get(key).map(|item| row(key, item))
            });
            return (412, format!("{{\"items\":[{}]}}", items.collect::<Vec<_>>().join(",")));
        }
        for put in puts {
            self.put(put.get("key").text(), put.get("value").text().to_string());
        }
        for key in removed {
            self.remove(key.text());
        }
        (200, format!("{{\"rev\":{}}}", self.rev))
    }
}
