//! HTTP server of the simulated store, with faults that a test can switch on.
//!
//! A watch is a long poll: it replies at once if the value differs from what the caller has seen.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http::{HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use sycamore_platform::store::{Faults, REVISION_HEADER};
use sycamore_types::id::Revision;
use tokio::sync::Notify;

use super::Counts;
use super::state::{State, Value};
use crate::http::{Body, Server, empty_response, query_parameter, response};

/// Limit of a value. A larger one is refused with status 413.
const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// HTTP server of the store. Clones share the values.
#[derive(Clone, Debug)]
pub struct Store {
    shared: Arc<Shared>,
    server: Arc<Server>,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    /// Notified after every write, successful or not.
    changed: Notify,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Store {
    /// Starts an empty store on a free port of loopback.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener can't be bound.
    pub async fn start() -> std::io::Result<Store> {
        let shared = Arc::new(Shared::default());
        let handler = shared.clone();
        let server =
            Server::start(Arc::default(), move |request| handle(handler.clone(), request)).await?;
        Ok(Store { shared, server: Arc::new(server) })
    }

    /// Returns the address that the store listens on.
    pub fn address(&self) -> std::net::SocketAddr {
        self.server.address
    }

    /// Sets the faults of all later calls.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.state().faults = faults;
    }

    /// Returns the numbers of calls so far.
    pub fn counts(&self) -> Counts {
        self.shared.state().counts
    }

    /// Returns the values of all keys with a prefix.
    pub fn values(&self, prefix: &str) -> Vec<Vec<u8>> {
        let items = self.shared.state().list(prefix);
        items.into_iter().filter_map(|item| hex::decode(item.value).ok()).collect()
    }

    /// Returns the size of a value in bytes, or zero if the key doesn't exist.
    pub fn size_of(&self, key: &str) -> usize {
        self.shared.state().get(key).map_or(0, |value| value.bytes.len())
    }
}

async fn handle(shared: Arc<Shared>, request: Request<Incoming>) -> Option<Response<Body>> {
    let faults = shared.state().faults;
    if faults.slow_ms > 0 {
        tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
    }
    if faults.is_down {
        return Some(empty_response(StatusCode::SERVICE_UNAVAILABLE));
    }
    let path = request.uri().path().trim_start_matches("/v1/").to_string();
    let (kind, key) = path.split_once('/').unwrap_or((&path, ""));
    match (request.method().clone(), kind) {
        (Method::GET, "kv") => Some(read(&shared, key)),
        (Method::GET, "list") => Some(list(&shared, key)),
        (Method::GET, "watch") => Some(watch(&shared, key, request.uri().query()).await),
        (Method::PUT, "kv") => put(&shared, key, request, faults).await,
        (Method::DELETE, "kv") => Some(delete(&shared, key, request.uri().query())),
        _ => Some(empty_response(StatusCode::NOT_FOUND)),
    }
}

fn read(shared: &Shared, key: &str) -> Response<Body> {
    let mut state = shared.state();
    state.counts.reads += 1;
    state.get(key).map_or_else(|| empty_response(StatusCode::NOT_FOUND), value_response)
}

fn value_response(value: Value) -> Response<Body> {
    let revision = HeaderValue::from(value.revision);
    let mut reply = response(StatusCode::OK, value.bytes);
    reply.headers_mut().insert(REVISION_HEADER, revision);
    reply
}

fn list(shared: &Shared, prefix: &str) -> Response<Body> {
    let mut state = shared.state();
    state.counts.reads += 1;
    let items = serde_json::to_vec(&state.list(prefix)).unwrap_or_default();
    response(StatusCode::OK, items)
}

/// Waits until the value has another revision than the caller has seen. Responds with status 204
/// if the wait time is over first. A missing or removed value doesn't end the wait.
async fn watch(shared: &Shared, key: &str, query_string: Option<&str>) -> Response<Body> {
    let seen = number_parameter(query_string, "seen");
    let wait = Duration::from_millis(number_parameter(query_string, "wait_ms"));
    shared.state().counts.watches += 1;
    let deadline = tokio::time::Instant::now() + wait;
    loop {
        let changed = shared.changed.notified();
        if let Some(value) = shared.state().get(key).filter(|value| value.revision != seen) {
            return value_response(value);
        }
        if tokio::time::timeout_at(deadline, changed).await.is_err() {
            return empty_response(StatusCode::NO_CONTENT);
        }
    }
}

async fn put(
    shared: &Shared,
    key: &str,
    request: Request<Incoming>,
    faults: Faults,
) -> Option<Response<Body>> {
    let expected = number_parameter(request.uri().query(), "expected");
    let bytes = request.into_body().collect().await.ok()?.to_bytes();
    if bytes.len() > MAX_VALUE_BYTES {
        return Some(empty_response(StatusCode::PAYLOAD_TOO_LARGE));
    }
    let outcome = compare_and_swap(shared, key, expected, Some(bytes.to_vec()));
    if faults.loses_replies {
        return None;
    }
    Some(outcome)
}

fn delete(shared: &Shared, key: &str, query_string: Option<&str>) -> Response<Body> {
    compare_and_swap(shared, key, number_parameter(query_string, "expected"), None)
}

/// Writes a value, or removes it if `bytes` is `None`, if its revision is the expected one.
fn compare_and_swap(
    shared: &Shared,
    key: &str,
    expected: Revision,
    bytes: Option<Vec<u8>>,
) -> Response<Body> {
    let outcome = {
        let mut state = shared.state();
        state.counts.writes += 1;
        state.compare_and_swap(key, expected, bytes)
    };
    shared.changed.notify_waiters();
    match outcome {
        Some(revision) => value_response(Value { revision, bytes: Vec::new() }),
        None => empty_response(StatusCode::CONFLICT),
    }
}

fn number_parameter(query_string: Option<&str>, name: &str) -> u64 {
    query_parameter(query_string, name).and_then(|text| text.parse().ok()).unwrap_or(0)
}
