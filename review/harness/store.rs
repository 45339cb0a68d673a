//! The platform's store: keys with revisions, ranges, watches and transactions, as PROTOCOL.md
//! describes them. It is sound: it answers each call after 4 ms and loses nothing.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::http::{self, Request, Response};
use crate::json::{Json, num, table, text};

const ANSWER: Duration = Duration::from_millis(4);
const HISTORY: Duration = Duration::from_secs(20);
const MAX_VALUE_BYTES: usize = 1_048_576;
const MAX_ENTRIES: usize = 32;
const MAX_KEY_BYTES: usize = 200;
const MAX_PAGE_ITEMS: usize = 500;
const MAX_PAGE_BYTES: usize = 1 << 20;

struct Item {
    value: String,
    rev: u64,
    created: u64,
}

struct Change {
    at: Instant,
    rev: u64,
    key: String,
    value: Option<(String, u64)>,
}

#[derive(Default)]
struct Kv {
    rev: u64,
    items: BTreeMap<String, Item>,
    history: VecDeque<Change>,
    /// Changes up to this revision are forgotten.
    forgotten: u64,
    /// Which way in the last transaction that took effect came by.
    last_writer: Option<usize>,
}

impl Kv {
    fn record(&mut self, key: &str, value: Option<(String, u64)>) {
        let (at, rev) = (Instant::now(), self.rev);
        self.history.push_back(Change { at, rev, key: key.to_string(), value });
        while self.history.front().is_some_and(|change| change.at + HISTORY < at) {
            self.forgotten = self.history.pop_front().map_or(self.forgotten, |change| change.rev);
        }
    }

    fn put(&mut self, key: &str, value: String) {
        let created = self.items.get(key).map_or(self.rev, |item| item.created);
        self.record(key, Some((value.clone(), created)));
        self.items.insert(key.to_string(), Item { value, rev: self.rev, created });
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.record(key, None);
        }
    }
}

fn row(key: &str, value: &str, rev: u64, created: u64) -> Json {
    table(vec![
        ("key", text(key)),
        ("value", text(value)),
        ("rev", num(rev)),
        ("created", num(created)),
        ("lease", num(0)),
    ])
}

#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<Kv>, Condvar)>);

impl Store {
    fn kv(&self) -> MutexGuard<'_, Kv> {
        self.0.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Listens on an address. Each process of the system has a way in of its own, by which the
    /// last writer is known.
    pub fn listen(&self, address: SocketAddr, way_in: usize) -> std::io::Result<()> {
        let store = self.clone();
        http::serve(address, move |request| store.handle(&request, way_in))
    }

    /// Writes a key as the operator or a worker does.
    pub fn put(&self, key: &str, value: &str) {
        let mut kv = self.kv();
        kv.rev += 1;
        kv.put(key, encode(value.as_bytes()));
        self.0.1.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut kv = self.kv();
        kv.rev += 1;
        kv.remove(key);
        self.0.1.notify_all();
    }

    /// Returns the way in by which the last transaction came.
    pub fn last_writer(&self) -> Option<usize> {
        self.kv().last_writer
    }

    fn handle(&self, request: &Request, way_in: usize) -> Response {
        std::thread::sleep(ANSWER);
        let (status, body) = match (request.method.as_str(), request.path()) {
            ("GET", "/sycamorechute/kv-key") => self.key(&request.parameter("key")?),
            ("GET", "/sycamorechute/kv-range") => self.range(request),
            ("GET", "/sycamorechute/kv-watch") => self.watch(request),
            ("POST", "/sycamorechute/kv-txn") => self.transact(request, way_in),
            _ => (404, table(vec![])),
        };
        Some((status, body.render()))
    }

    fn key(&self, key: &str) -> (u16, Json) {
        let kv = self.kv();
        let Some(item) = kv.items.get(key) else { return (404, table(vec![])) };
        let Json::Table(mut rows) = row(key, &item.value, item.rev, item.created) else {
            return (500, Json::Null);
        };
        rows.push(("as-of".to_string(), num(kv.rev)));
        (200, Json::Table(rows))
    }

    fn range(&self, request: &Request) -> (u16, Json) {
        let prefix = request.parameter("prefix").unwrap_or_default();
        let after = request.parameter("after").unwrap_or_default();
        let kv = self.kv();
        let (mut items, mut bytes, mut has_more) = (Vec::new(), 0, false);
        for (key, item) in kv.items.range(prefix.clone()..) {
            if !key.starts_with(&prefix) {
                break;
            }
            if *key <= after {
                continue;
            }
            if !items.is_empty()
                && (items.len() >= MAX_PAGE_ITEMS || bytes + item.value.len() > MAX_PAGE_BYTES)
            {
                has_more = true;
                break;
            }
            bytes += item.value.len();
            items.push(row(key, &item.value, item.rev, item.created));
        }
        let rows = vec![
            ("items", Json::List(items)),
            ("more-pages", Json::Bool(has_more)),
            ("as-of", num(kv.rev)),
        ];
        (200, table(rows))
    }

    fn watch(&self, request: &Request) -> (u16, Json) {
        let number = |name| request.parameter(name).and_then(|text| text.parse::<u64>().ok());
        let prefix = request.parameter("prefix").unwrap_or_default();
        let (Some(after), Some(wait_ms)) = (number("after"), number("wait-ms")) else {
            return (400, table(vec![]));
        };
        let end = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut kv = self.kv();
        loop {
            if after < kv.forgotten {
                return (410, table(vec![]));
            }
            let changes = kv.history.iter().filter(|change| {
                change.rev > after && change.key.starts_with(&prefix)
            });
            let events: Vec<Json> = changes
                .map(|change| match &change.value {
                    Some((value, created)) => row(&change.key, value, change.rev, *created),
                    None => table(vec![
                        ("key", text(&change.key)),
                        ("rev", num(change.rev)),
                        ("removed", Json::Bool(true)),
                    ]),
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let rows = vec![("events", Json::List(events)), ("as-of", num(kv.rev))];
                return (200, table(rows));
            }
            let waited = self.0.1.wait_timeout(kv, left);
            kv = waited.unwrap_or_else(|poisoned| poisoned.into_inner()).0;
        }
    }

    fn transact(&self, request: &Request, way_in: usize) -> (u16, Json) {
        let body = Json::parse(&String::from_utf8_lossy(&request.body));
        let Some(body) = body else { return (400, table(vec![])) };
        let (expected, puts) = (body.get("expected-rev").list(), body.get("puts").list());
        let removed = body.get("remove").list();
        let keys = puts.iter().map(|put| put.get("key").text());
        let keys: Vec<&str> = keys.chain(removed.iter().map(Json::text)).collect();
        if expected.len() + keys.len() > MAX_ENTRIES
            || keys.iter().any(|key| key.is_empty() || key.len() > MAX_KEY_BYTES)
            || puts.iter().any(|put| decoded_bytes(put.get("value").text()) > MAX_VALUE_BYTES)
        {
            return (400, table(vec![]));
        }
        if keys.iter().any(|key| key.starts_with("op/") || key.starts_with("servers/")) {
            return (403, table(vec![]));
        }
        let mut kv = self.kv();
        let rev_of = |kv: &Kv, key: &str| kv.items.get(key).map_or(0, |item| item.rev);
        let is_met = |row: &Json| row.get("rev").number() == Some(rev_of(&kv, row.get("key").text()));
        if !expected.iter().all(is_met) {
            let items = expected.iter().filter_map(|expected| {
                let key = expected.get("key").text();
                kv.items.get(key).map(|item| row(key, &item.value, item.rev, item.created))
            });
            return (412, table(vec![("items", Json::List(items.collect()))]));
        }
        kv.rev += 1;
        for put in puts {
            kv.put(put.get("key").text(), put.get("value").text().to_string());
        }
        for key in removed {
            kv.remove(key.text());
        }
        kv.last_writer = Some(way_in);
        self.0.1.notify_all();
        (200, table(vec![("rev", num(kv.rev))]))
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Standard base64 with padding.
fn encode(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let part = |at: usize| u32::from(chunk.get(at).copied().unwrap_or(0));
        let bits = part(0) << 16 | part(1) << 8 | part(2);
        for at in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * at)) as usize & 63];
            out.push(if at <= chunk.len() { digit as char } else { '=' });
        }
    }
    out
}

fn decoded_bytes(value: &str) -> usize {
    let padding = value.bytes().rev().take_while(|byte| *byte == b'=').count();
    (value.len() / 4 * 3).saturating_sub(padding)
}
