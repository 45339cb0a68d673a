//! Stand-in for the platform's store (PROTOCOL.md, "The platform's metadata store").

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Request, Server};
use crate::json::{Json, number, object};

/// Largest value, in bytes.
const VALUE_BYTES: usize = 1 << 20;

/// Most items and bytes of one page.
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1 << 20;

#[derive(Clone)]
struct Item {
    /// In base64.
    value: String,
    rev: u64,
    created: u64,
}

#[derive(Default)]
struct Kv {
    rev: u64,
    items: BTreeMap<String, Item>,
    /// Changes in order: revision, key, and the item unless it was removed.
    history: Vec<(u64, String, Option<Item>)>,
}

/// The store. Copies share its contents.
#[derive(Clone, Default)]
pub struct Store {
    kv: Arc<Mutex<Kv>>,
}

impl Store {
    pub fn serve(&self, address: SocketAddr) -> std::io::Result<Server> {
        let store = self.clone();
        Server::start(address, move |request| Some(store.answer(&request)))
    }

    /// Writes a document, as the operator or a worker does.
    pub fn put(&self, key: &str, document: &Json) {
        self.kv.lock().unwrap().put(key, encode(document.to_string().as_bytes()));
    }

    pub fn remove(&self, key: &str) {
        self.kv.lock().unwrap().remove(key);
    }

    /// Reads a document.
    pub fn read(&self, key: &str) -> Option<Json> {
        let value = self.kv.lock().unwrap().items.get(key)?.value.clone();
        Json::parse(&String::from_utf8(decode(&value)).ok()?)
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        let call = request.path.rsplit('/').next().unwrap_or("");
        let (status, body) = match call {
            "kv-key" => self.kv.lock().unwrap().key(request.query("key")),
            "kv-range" => {
                self.kv.lock().unwrap().range(request.query("prefix"), request.query("after"))
            }
            "kv-txn" => {
                let body = Json::parse(&request.body).unwrap_or(Json::Null);
                self.kv.lock().unwrap().transaction(&body)
            }
            "kv-watch" => self.watch(request),
            _ => (404, Json::Null),
        };
        (status, body.to_string())
    }

    fn watch(&self, request: &Request) -> (u16, Json) {
        let after = request.query("after").parse().unwrap_or(0);
        let wait = Duration::from_millis(request.query("wait-ms").parse().unwrap_or(0));
        let started = Instant::now();
        loop {
            let found = self.kv.lock().unwrap().changes(request.query("prefix"), after);
            if !found.get("events").list().is_empty() || started.elapsed() >= wait {
                return (200, found);
            }
            std::thread::sleep(Duration::from_millis(4));
        }
    }
}

fn row(key: &str, item: &Item) -> Json {
    object([
        ("key", Json::text(key)),
        ("value", Json::text(&item.value)),
        ("rev", number(item.rev)),
        ("created", number(item.created)),
        ("lease", number(0)),
    ])
}

impl Kv {
    fn put(&mut self, key: &str, value: String) {
        self.rev += 1;
        let created = self.items.get(key).map_or(self.rev, |item| item.created);
        let item = Item { value, rev: self.rev, created };
        self.items.insert(key.to_string(), item.clone());
        self.history.push((self.rev, key.to_string(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.rev += 1;
            self.history.push((self.rev, key.to_string(), None));
        }
    }

    fn key(&self, key: &str) -> (u16, Json) {
        let Some(item) = self.items.get(key) else { return (404, object([])) };
        let Json::Object(mut found) = row(key, item) else { return (404, object([])) };
        found.insert("as-of".to_string(), number(self.rev));
        (200, Json::Object(found))
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, Json) {
        let from = self.items.range(prefix.to_string()..);
        let found = from.take_while(|(key, _)| key.starts_with(prefix));
        let mut found = found.filter(|(key, _)| after.is_empty() || key.as_str() > after);
        let (mut rows, mut bytes, mut more) = (Vec::new(), 0, false);
        for (key, item) in found.by_ref() {
            if rows.len() == PAGE_ITEMS || bytes > PAGE_BYTES {
                more = true;
                break;
            }
            bytes += item.value.len();
            rows.push(row(key, item));
        }
        let body = [
            ("items", Json::List(rows)),
            ("more-pages", Json::Bool(more)),
            ("as-of", number(self.rev)),
        ];
        (200, object(body))
    }

    fn changes(&self, prefix: &str, after: u64) -> Json {
        let new =
            self.history.iter().filter(|(rev, key, _)| *rev > after && key.starts_with(prefix));
        let event = |(rev, key, item): &(u64, String, Option<Item>)| match item {
            Some(item) => row(key, item),
            None => object([
                ("key", Json::text(key)),
                ("rev", number(*rev)),
                ("removed", Json::Bool(true)),
            ]),
        };
        object([("events", Json::List(new.map(event).collect())), ("as-of", number(self.rev))])
    }

    fn transaction(&mut self, body: &Json) -> (u16, Json) {
        let key_of = |row: &Json| row.get("key").as_str().unwrap_or("").to_string();
        let expected: Vec<(String, u64)> = body
            .get("expected-rev")
            .list()
            .iter()
            .map(|row| (key_of(row), row.get("rev").as_u64().unwrap_or(0)))
            .collect();
        let puts: Vec<(String, String)> = body
            .get("puts")
            .list()
            .iter()
            .map(|row| (key_of(row), row.get("value").as_str().unwrap_or("").to_string()))
            .collect();
        let removed: Vec<String> =
            body.get("remove").list().iter().filter_map(|key| Some(key.as_str()?.into())).collect();
        if expected.len() + puts.len() + removed.len() > 32
            || puts.iter().any(|(_, value)| value.len() / 4 * 3 > VALUE_BYTES + 2)
        {
            return (400, object([]));
        }
        let written = puts.iter().map(|(key, _)| key).chain(&removed);
        if written.into_iter().any(|key| key.starts_with("op/") || key.starts_with("servers/")) {
            return (403, object([]));
        }
        let rev_of = |key: &String| self.items.get(key).map_or(0, |item| item.rev);
        if expected.iter().any(|(key, rev)| rev_of(key) != *rev) {
            let found = expected.iter().filter_map(|(key, _)| Some(row(key, self.items.get(key)?)));
            return (412, object([("items", Json::List(found.collect()))]));
        }
        for (key, value) in puts {
            self.put(&key, value);
        }
        for key in removed {
            self.remove(&key);
        }
        (200, object([("rev", number(self.rev))]))
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn encode(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0u32, |word, byte| word << 8 | u32::from(*byte));
        let word = word << (8 * (3 - chunk.len()));
        for at in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * at) & 63) as usize] as char;
            text.push(if at <= chunk.len() { digit } else { '=' });
        }
    }
    text
}

fn decode(text: &str) -> Vec<u8> {
    let digits = text.bytes().filter_map(|b| DIGITS.iter().position(|digit| *digit == b));
    let (mut bytes, mut word, mut bits) = (Vec::new(), 0u32, 0);
    for digit in digits {
        word = word << 6 | digit as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((word >> bits & 255) as u8);
        }
    }
    bytes
}
