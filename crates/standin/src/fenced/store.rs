//! HTTP server of the simulated store, with faults that a test can switch on.
//!
//! A waiting watch checks the contents every few milliseconds, so it reports a change with that
//! delay.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use http::{Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::{Value, json};

use super::kv::Kv;
use crate::Server;
use crate::http::{Body, query_parameter, response};

/// Interval at which a waiting watch checks for changes.
const WATCH_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Behaviour of the store, normal or faulty.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mode {
    /// Calls are carried out at once.
    Normal,
    /// Every call is refused with status 503 and has no effect.
    Unavailable,
    /// Every call is carried out, but the connection of every second one is closed before the
    /// reply.
    LosesResponses,
    /// Every transaction that is carried out is answered by 502, as a proxy before the store does
    /// when it loses the response.
    HidesResponses,
    /// Every call is carried out after this delay.
    Slow(Duration),
}

/// Interval at which each worker writes its entry, the default of the platform.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

#[derive(Debug)]
struct State {
    kv: Kv,
    /// Keys of the workers whose entries are written again at an interval.
    workers: BTreeSet<String>,
    mode: Mode,
    /// Ranges and watches of this prefix are refused with status 503.
    refused_prefix: Option<String>,
    /// Number of calls so far.
    calls: u64,
}

/// HTTP server of the store on loopback.
#[derive(Debug)]
pub struct Store {
    /// Server that listens for calls. It holds the address.
    pub server: Server,
    state: Arc<Mutex<State>>,
}

impl Store {
    /// Starts an empty store on a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener can't be bound.
    pub async fn start() -> std::io::Result<Store> {
        let state = State {
            kv: Kv::default(),
            workers: BTreeSet::new(),
            mode: Mode::Normal,
            refused_prefix: None,
            calls: 0,
        };
        let state = Arc::new(Mutex::new(state));
        let shared = state.clone();
        let server = Server::start(Arc::default(), move |request| handle(shared.clone(), request));
        let server = server.await?;
        tokio::spawn(write_worker_entries(Arc::downgrade(&state)));
        Ok(Store { server, state })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Writes the configuration that processes apply, as an operator would.
    pub fn configure(&self, config: &Value) {
        self.put("op/config", config);
    }

    /// Writes the entry of a worker, see [`Worker::entry`](super::Worker::entry). From then on it is
    /// written again at an interval, except while the store is unavailable.
    pub fn add_worker(&self, id: &str, entry: &Value) {
        let key = format!("servers/{id}");
        self.put(&key, entry);
        self.state().workers.insert(key);
    }

    /// Removes the entry of a worker.
    pub fn remove_worker(&self, id: &str) {
        let key = format!("servers/{id}");
        let mut state = self.state();
        state.kv.remove(&key);
        state.workers.remove(&key);
    }

    /// Stops writing the entry of a worker again, as when it can't reach the store.
    pub fn stop_heartbeat(&self, id: &str) {
        self.state().workers.remove(&format!("servers/{id}"));
    }

    /// Evacuates a failure domain, as an operator would.
    pub fn evacuate(&self, domain: &str) {
        self.put(&format!("op/evacuate/{domain}"), &json!({}));
    }

    /// Ends the evacuation of a failure domain.
    pub fn end_evacuation(&self, domain: &str) {
        self.state().kv.remove(&format!("op/evacuate/{domain}"));
    }

    /// Sets the most items that one page of a range holds.
    pub fn set_max_page_items(&self, count: usize) {
        self.state().kv.max_page_items = Some(count);
    }

    /// Drops the history of changes. A watch from an earlier revision is refused with status 410.
    pub fn forget_history(&self) {
        self.state().kv.forget_history();
    }

    /// Returns the keys with a prefix and a suffix.
    pub fn keys(&self, prefix: &str, suffix: &str) -> Vec<String> {
        let state = self.state();
        let is_asked = |key: &&str| key.starts_with(prefix) && key.ends_with(suffix);
        state.kv.keys().filter(is_asked).map(str::to_string).collect()
    }

    /// Overwrites the value of a key, as a faulty writer would.
    pub fn overwrite(&self, key: &str, value: &[u8]) {
        self.state().kv.put(key, &STANDARD.encode(value));
    }

    /// Makes the row of a key one whose value is not base64, as a faulty store would.
    pub fn corrupt_row(&self, key: &str) {
        self.state().kv.put(key, "?");
    }

    fn put(&self, key: &str, document: &Value) {
        self.state().kv.put(key, &STANDARD.encode(document.to_string()));
    }

    /// Refuses ranges and watches of a prefix with status 503, whatever the mode.
    pub fn refuse_prefix(&self, prefix: &str) {
        self.state().refused_prefix = Some(prefix.to_string());
    }

    /// Serves ranges and watches of all prefixes again.
    pub fn serve_all_prefixes(&self) {
        self.state().refused_prefix = None;
    }

    /// Sets the behaviour for all later calls.
    pub fn set_mode(&self, mode: Mode) {
        self.state().mode = mode;
    }
}

/// Writes the entries of all workers at an interval, as these do, until the store is dropped.
async fn write_worker_entries(state: Weak<Mutex<State>>) {
    loop {
        tokio::time::sleep(HEARTBEAT).await;
        let Some(state) = state.upgrade() else { return };
        let mut state = lock(&state);
        if state.mode != Mode::Unavailable {
            let State { kv, workers, .. } = &mut *state;
            workers.iter().for_each(|key| kv.touch(key));
        }
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn handle(state: Arc<Mutex<State>>, request: Request<Incoming>) -> Option<Response<Body>> {
    let uri = request.uri().clone();
    let call = uri.path().rsplit('/').next().unwrap_or_default();
    let body = request.into_body().collect().await.ok()?.to_bytes();
    let body: Value = serde_json::from_slice(&body).unwrap_or_default();
    let started = Instant::now();
    let prefix = query_parameter(uri.query(), "prefix");
    let (mode, calls, is_refused) = {
        let mut state = lock(&state);
        state.calls += 1;
        let is_refused = prefix.is_some() && state.refused_prefix.as_deref() == prefix.as_deref();
        (state.mode, state.calls, is_refused)
    };
    if is_refused {
        return Some(response(StatusCode::SERVICE_UNAVAILABLE, "{}"));
    }
    match mode {
        Mode::Unavailable => return Some(response(StatusCode::SERVICE_UNAVAILABLE, "{}")),
        Mode::Slow(delay) => tokio::time::sleep(delay).await,
        Mode::Normal | Mode::LosesResponses | Mode::HidesResponses => {}
    }
    let (status, reply) = loop {
        let reply = try_reply(&mut lock(&state).kv, call, uri.query(), &body, started.elapsed());
        if let Some(reply) = reply {
            break reply;
        }
        tokio::time::sleep(WATCH_CHECK_INTERVAL).await;
    };
    if mode == Mode::HidesResponses && call == "kv-txn" && status == 200 {
        return Some(response(StatusCode::BAD_GATEWAY, "{}"));
    }
    let is_lost = mode == Mode::LosesResponses && calls.is_multiple_of(2);
    let status = StatusCode::from_u16(status).ok()?;
    (!is_lost).then(|| response(status, reply.to_string()))
}

/// Carries out a call. Returns `None` while a watch has nothing to report.
fn try_reply(
    kv: &mut Kv,
    call: &str,
    query_string: Option<&str>,
    body: &Value,
    waited: Duration,
) -> Option<(u16, Value)> {
    let parameter = |name| query_parameter(query_string, name).unwrap_or_default();
    let number = |name| parameter(name).parse::<u64>().unwrap_or(0);
    Some(match call {
        "kv-key" => kv.get(&parameter("key")),
        "kv-range" => kv.range(&parameter("prefix"), &parameter("after")),
        "kv-txn" => kv.commit(body),
        "kv-watch" => {
            let (status, reply) = kv.changes(&parameter("prefix"), number("after"));
            let is_empty = reply["events"].as_array().is_some_and(Vec::is_empty);
            if is_empty && waited < Duration::from_millis(number("wait-ms")) {
                return None;
            }
            (status, reply)
        }
        _ => (404, json!({})),
    })
}
