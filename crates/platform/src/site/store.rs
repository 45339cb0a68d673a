//! The client of the platform's store, a key-value store with transactions and watches.
//!
//! A write whose response was lost may still take effect, so errors tell a request that changed
//! nothing from one whose outcome is unknown.

use std::net::SocketAddr;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use displaydoc::Display;
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use super::row::{MalformedRow, Object, is_key, read_rows};
use crate::http::{Activity, Client, Error};

/// Characters of a key that are encoded in a query. The others are those of usual keys.
const ENCODED: &AsciiSet =
    &NON_ALPHANUMERIC.remove(b'/').remove(b'-').remove(b'.').remove(b'_').remove(b'~').remove(b':');

/// Time allowed for the response on top of the wait of a watch.
const WATCH_MARGIN: Duration = Duration::from_millis(800);

/// The error of a call to the store.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[non_exhaustive]
pub enum StoreError {
    /// the store rejected the request with status {0} and changed nothing
    Refused(u16),
    /// the request to the store was not sent: {0}
    NotSent(String),
    /// the store may have processed the request: {0}
    Unknown(String),
    /// a key does not have its expected revision
    Conflict,
    /// the store no longer has the changes after the requested revision
    Compacted,
    /// the changes take {0} bytes, more than asked for
    TooLarge(u64),
}

impl std::error::Error for StoreError {}

impl From<Error> for StoreError {
    fn from(error: Error) -> StoreError {
        match error {
            Error::NotSent(text) => StoreError::NotSent(text),
            Error::Unknown(text) => StoreError::Unknown(text),
            Error::TooLarge(bytes) => StoreError::TooLarge(bytes),
        }
    }
}

/// One key with its value.
#[derive(Clone, Debug, Deserialize)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value.
    #[serde(default, deserialize_with = "from_base64")]
    pub value: Vec<u8>,
    /// Revision at which the value was last changed.
    pub rev: u64,
    /// Revision of the store when the key was read. Set only by [`Store::get`], zero in a range.
    #[serde(default, rename = "as-of")]
    pub as_of: u64,
}

/// One page of the keys with a prefix.
#[derive(Clone, Debug)]
pub struct Page {
    /// Items, ordered by key.
    pub items: Vec<Item>,
    /// Rows that can't be read.
    pub malformed: Vec<MalformedRow>,
    /// Key after which the next page begins. `None` if this page is the last one.
    pub next: Option<String>,
    /// Revision of the store when the page was read.
    pub as_of: u64,
}

impl Page {
    /// Parses the body of the response to a range.
    ///
    /// # Errors
    ///
    /// Returns an error if the body can't be read as a whole, or if another page follows and no
    /// key says where it begins.
    pub fn parse(body: &[u8]) -> Result<Page, StoreError> {
        // The rows are read one by one only if that fails, since it costs a second pass over them.
        if let Ok(page) = decode::<PageBody<Object<Item>>>(body) {
            let items: Vec<Item> = page.items.into_iter().map(|Object(item)| item).collect();
            let last_key = items.iter().rev().map(|item| &item.key).find(|key| is_key(key));
            let next = next_page(page.more_pages, last_key.cloned())?;
            return Ok(Page { items, malformed: Vec::new(), next, as_of: page.as_of });
        }
        // Bytes that are not UTF-8 would make the other rows unreadable too.
        let text = String::from_utf8_lossy(body);
        let page = decode::<PageBody<&RawValue>>(text.as_bytes())?;
        let (items, malformed, last_key) = read_rows(&page.items, |item: &Item| &item.key);
        let next = next_page(page.more_pages, last_key)?;
        Ok(Page { items, malformed, next, as_of: page.as_of })
    }
}

/// The response to a watch.
#[derive(Clone, Debug)]
pub struct WatchResponse {
    /// Changes, in the order in which they were made.
    pub events: Vec<Change>,
    /// Changes that can't be read.
    pub malformed: Vec<MalformedRow>,
    /// Revision from which the next watch continues.
    pub as_of: u64,
}

impl WatchResponse {
    /// Parses the body of the response to a watch.
    ///
    /// # Errors
    ///
    /// Returns an error if the body can't be read as a whole.
    pub fn parse(body: &[u8]) -> Result<WatchResponse, StoreError> {
        if let Ok(watch) = decode::<WatchBody<Object<Change>>>(body) {
            let events = watch.events.into_iter().map(|Object(change)| change).collect();
            return Ok(WatchResponse { events, malformed: Vec::new(), as_of: watch.as_of });
        }
        let text = String::from_utf8_lossy(body);
        let watch = decode::<WatchBody<&RawValue>>(text.as_bytes())?;
        let (events, malformed, _) = read_rows(&watch.events, |change: &Change| &change.key);
        Ok(WatchResponse { events, malformed, as_of: watch.as_of })
    }
}

/// A change of one key.
#[derive(Clone, Debug, Deserialize)]
pub struct Change {
    /// The key.
    pub key: String,
    /// The new value. Empty if the key was removed.
    #[serde(default, deserialize_with = "from_base64")]
    pub value: Vec<u8>,
    /// Whether the key was removed.
    #[serde(default)]
    pub removed: bool,
    /// Revision of the change, zero if the store does not tell it.
    #[serde(default)]
    pub rev: u64,
}

/// A conditional change of several keys, which takes effect as a whole or not at all.
#[derive(Clone, Debug, Default, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Transaction {
    /// Revisions that keys must have.
    #[serde(rename = "expected-rev")]
    pub expected: Vec<Expected>,
    /// Keys to write.
    pub puts: Vec<Put>,
    /// Keys to remove.
    pub remove: Vec<String>,
}

/// The revision that a key must have for a transaction to take effect.
#[derive(Clone, Debug, Serialize)]
pub struct Expected {
    /// The key.
    pub key: String,
    /// The expected revision. Zero means that the key must not exist.
    pub rev: u64,
}

/// A key and its new value.
#[derive(Clone, Debug, Serialize)]
pub struct Put {
    /// The key.
    pub key: String,
    /// The value, in base64.
    pub value: String,
}

impl Transaction {
    /// Adds the condition that a key has a revision. Zero means that it must not exist.
    pub fn expect(mut self, key: &str, rev: u64) -> Transaction {
        self.expected.push(Expected { key: key.to_string(), rev });
        self
    }

    /// Adds a write of a key.
    pub fn put(mut self, key: &str, value: &[u8]) -> Transaction {
        self.puts.push(Put { key: key.to_string(), value: STANDARD.encode(value) });
        self
    }

    /// Returns the size of all values as they are sent, in bytes.
    pub fn value_bytes(&self) -> usize {
        self.puts.iter().map(|put| put.value.len()).sum()
    }

    /// Adds a removal of a key.
    pub fn remove(mut self, key: &str) -> Transaction {
        self.remove.push(key.to_string());
        self
    }
}

#[derive(Deserialize)]
struct CommitResponse {
    rev: u64,
}

/// A page whose rows are items, or unread.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct PageBody<R> {
    items: Vec<R>,
    #[serde(default)]
    more_pages: bool,
    as_of: u64,
}

/// A response to a watch whose rows are changes, or unread.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct WatchBody<R> {
    events: Vec<R>,
    as_of: u64,
}

/// A client of the platform's store.
#[derive(Clone, Debug)]
pub struct Store {
    address: SocketAddr,
    client: Client,
}

impl Store {
    /// Builds a client for the store at an address.
    pub fn new(address: SocketAddr, client: Client) -> Store {
        Store { address, client }
    }

    /// Returns a client of the same store that records when it receives data.
    pub fn with_activity(&self, activity: Activity) -> Store {
        Store { address: self.address, client: self.client.with_activity(activity) }
    }

    /// Reads one key. Returns `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns an error if the store rejects the request or does not respond in time.
    pub async fn get(&self, key: &str, timeout: Duration) -> Result<Option<Item>, StoreError> {
        let path = format!("/sycamorechute/kv-key?key={}", encoded(key));
        let (status, body) = self.call(Method::GET, &path, Bytes::new(), timeout).await?;
        match status {
            StatusCode::OK => decode(&body).map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            other => Err(StoreError::Refused(other.as_u16())),
        }
    }

    /// Reads one page of the keys with a prefix.
    ///
    /// The page starts after the key `after`, or at the first key if `after` is empty.
    ///
    /// # Errors
    ///
    /// Returns an error if the store rejects the request or does not respond in time, or if
    /// another page follows and no key says where it begins.
    pub async fn range(
        &self,
        prefix: &str,
        after: &str,
        timeout: Duration,
    ) -> Result<Page, StoreError> {
        let mut path = format!("/sycamorechute/kv-range?prefix={}", encoded(prefix));
        if !after.is_empty() {
            path.push_str("&after=");
            path.extend(utf8_percent_encode(after, ENCODED));
        }
        let (status, body) = self.call(Method::GET, &path, Bytes::new(), timeout).await?;
        match status {
            StatusCode::OK => Page::parse(&body),
            other => Err(StoreError::Refused(other.as_u16())),
        }
    }

    /// Waits up to `wait` for changes to keys with a prefix, made after the revision `after`.
    ///
    /// The response holds each version of a key that was written since, so that a caller who
    /// needs only the newest one limits its size, in bytes, and reads the key instead.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Compacted`] if the store no longer has the changes since that
    /// revision, [`StoreError::TooLarge`] if the response announces more than `max_bytes`, and
    /// another error if the store rejects the request or does not respond in time.
    pub async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
        max_bytes: u64,
    ) -> Result<WatchResponse, StoreError> {
        let wait_ms = wait.as_millis();
        let prefix = encoded(prefix);
        let path =
            format!("/sycamorechute/kv-watch?prefix={prefix}&after={after}&wait-ms={wait_ms}");
        let request = self.request(Method::GET, &path, Bytes::new())?;
        let response = self.client.call_limited(request, wait + WATCH_MARGIN, max_bytes).await?;
        let (status, body) = (response.status(), response.into_body());
        match status {
            StatusCode::OK => WatchResponse::parse(&body),
            StatusCode::GONE => Err(StoreError::Compacted),
            other => Err(StoreError::Refused(other.as_u16())),
        }
    }

    /// Commits a transaction and returns the new revision of the store.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Conflict`] if a key does not have its expected revision, and
    /// [`StoreError::Unknown`] if the transaction may have taken effect.
    pub async fn commit(
        &self,
        transaction: &Transaction,
        timeout: Duration,
    ) -> Result<u64, StoreError> {
        let body = serde_json::to_vec(transaction)
            .map_err(|error| StoreError::NotSent(error.to_string()))?;
        let path = "/sycamorechute/kv-txn";
        let (status, body) = self.call(Method::POST, path, body.into(), timeout).await?;
        match status {
            StatusCode::OK => decode::<CommitResponse>(&body).map(|response| response.rev),
            StatusCode::PRECONDITION_FAILED => Err(StoreError::Conflict),
            // Only a 503 says that nothing was done.
            other if other.is_server_error() && other != StatusCode::SERVICE_UNAVAILABLE => {
                Err(StoreError::Unknown(format!("status {other}")))
            }
            other => Err(StoreError::Refused(other.as_u16())),
        }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), StoreError> {
        let request = self.request(method, path, body)?;
        let response = self.client.call(request, timeout).await?;
        Ok((response.status(), response.into_body()))
    }

    fn request(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Request<Full<Bytes>>, StoreError> {
        Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header("content-type", "application/json")
            .body(Full::new(body))
            .map_err(|error| StoreError::NotSent(error.to_string()))
    }
}

fn encoded(key: &str) -> impl std::fmt::Display {
    utf8_percent_encode(key, ENCODED)
}

fn decode<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, StoreError> {
    serde_json::from_slice(body).map_err(|error| StoreError::Unknown(error.to_string()))
}

/// Returns the key after which the next page begins, if there is another page.
fn next_page(has_more: bool, last_key: Option<String>) -> Result<Option<String>, StoreError> {
    match last_key {
        _ if !has_more => Ok(None),
        None => Err(StoreError::Unknown("no key of the page can be read".to_string())),
        last_key => Ok(last_key),
    }
}

fn from_base64<'de, D: serde::Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
    let text = std::borrow::Cow::<str>::deserialize(deserializer)?;
    STANDARD.decode(text.as_bytes()).map_err(serde::de::Error::custom)
}
