//! Writes versions of the configuration and asks each process whether it has them in force.
//!
//! Each version has a queue of its own name, so that one request tells from outside whether a
//! process has that version or a newer one.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use sycamore_standin::fenced::{self, Queue, Store, Team};
use tokio::sync::watch;

use crate::caller::{PREFIX, QUEUE_HOST, api_key};
use crate::history::{Event, History, Probe};
use crate::scenario::{ConfigChange, MAX_ATTEMPTS, StoreLink, TEAM_LIMIT_CPU_MILLIS, TEAMS};
use crate::workers::SERVICE;

/// Pause between two requests to one process.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// Longest wait for the response to one of them.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time after which a version has to be in force, in milliseconds, as documented for the
/// platform's sites. Their links carry a version in less than half of it.
const APPLY_MS: u64 = 3_000;

/// Writes versions to the store and tells the probes of the newest one.
#[derive(Clone, Debug)]
pub(crate) struct ConfigWriter {
    history: History,
    /// Slowest link of a process to the store.
    slowest_link: StoreLink,
    newest: watch::Sender<u64>,
}

impl ConfigWriter {
    /// Writes the first version, which no process needs to have in force by a time.
    pub fn start(store: &Store, history: History, slowest_link: StoreLink) -> ConfigWriter {
        store.configure(&document(1, 0));
        ConfigWriter { history, slowest_link, newest: watch::Sender::new(1) }
    }

    /// Writes the versions at their times.
    pub async fn write_all(&self, store: &Store, changes: &[ConfigChange]) {
        let started = tokio::time::Instant::now();
        for change in changes {
            tokio::time::sleep_until(started + Duration::from_millis(change.at_ms)).await;
            self.write(store, change.extra_queues);
        }
    }

    /// Writes the next version. Returns the time after which it has to be in force.
    pub fn write(&self, store: &Store, extra_queues: usize) -> Duration {
        let version = *self.newest.borrow() + 1;
        let document = document(version, extra_queues);
        let apply_ms = self.apply_ms(&document);
        store.configure(&document);
        self.history.record(Event::ConfigWritten(version, apply_ms));
        self.newest.send_replace(version);
        Duration::from_millis(apply_ms)
    }

    /// Returns the time that a version may take, which the slowest link needs in addition.
    fn apply_ms(&self, document: &Value) -> u64 {
        if self.slowest_link != StoreLink::Slowest {
            return APPLY_MS;
        }
        // The store sends values in base64.
        let bytes = document.to_string().len() as u64 * 4 / 3;
        APPLY_MS + 1_000 * bytes / self.slowest_link.bytes_per_s()
    }

    /// Asks one process for the newest version until the task is aborted.
    pub async fn probe(self, process: usize, address: SocketAddr) {
        let client = Client::builder(TokioExecutor::new()).build_http();
        loop {
            let version = *self.newest.borrow();
            let sent_ms = self.history.now_ms();
            if let Some(is_known) = is_version_known(&client, address, version).await {
                let probe = Probe { process, version, sent_ms, is_known };
                self.history.record(Event::Probed(probe));
            }
            tokio::time::sleep(PROBE_INTERVAL).await;
        }
    }
}

/// Returns whether a process knows a version's queue, or `None` if its response doesn't tell.
async fn is_version_known(
    client: &Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    version: u64,
) -> Option<bool> {
    // An invalid name of a job, so that the response depends on the configuration alone.
    let request = Request::get(format!("http://{address}{}x", prefix(version)))
        .header("host", QUEUE_HOST)
        .header(fenced::KEY_HEADER, api_key(0))
        .body(Full::default())
        .ok()?;
    let response = tokio::time::timeout(PROBE_TIMEOUT, client.request(request)).await;
    match response.ok()?.ok()?.status() {
        StatusCode::BAD_REQUEST => Some(true),
        StatusCode::NOT_FOUND => Some(false),
        _ => None,
    }
}

/// Returns the path prefix of the queue that came with a version.
fn prefix(version: u64) -> String {
    format!("/version-{version}/")
}

/// Returns a configuration with the queue of all jobs, one for each version so far, and all
/// teams, of which the first has no limit.
fn document(version: u64, extra_queues: usize) -> Value {
    let team = |(index, name): (usize, &&str)| Team {
        name: name.to_string(),
        key: api_key(index),
        limit_cpu_millis: if index == 0 { 0 } else { TEAM_LIMIT_CPU_MILLIS },
    };
    let teams: Vec<Team> = TEAMS.iter().enumerate().map(team).collect();
    let queue =
        Queue { host: QUEUE_HOST, prefix: PREFIX, service: SERVICE, max_attempts: MAX_ATTEMPTS };
    let versions = (1..=version).map(prefix);
    let extra = (0..extra_queues).map(|number| format!("/extra-{number}/"));
    fenced::with_queues(fenced::config(&queue, &teams), version, versions.chain(extra))
}
