//! HTTP server of a simulated worker, with faults that a test can switch on.
//!
//! No background task ends the runs: each call ends those that are due, and a waiting poll wakes up
//! for the next one.

use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::de::DeserializeOwned;
use sycamore_core::worker::Launch;
use sycamore_platform::worker::{LAUNCH_HEADER, Poll, Stop};
use sycamore_types::host::Host;
use tokio::sync::Notify;

use super::RunTracker;
use super::state::{State, TaskRun};
use crate::http::{Body, Server, empty_response, response};

/// Open connections beyond which a start counts as an overload.
const MAX_CONNECTIONS: i64 = 64;

/// Run time of a request without the header `x-work-ms`.
const DEFAULT_REQUEST_TIME: Duration = Duration::from_millis(5);

/// Header that holds the run time of a request, in milliseconds.
const REQUEST_MS_HEADER: &str = "x-work-ms";

/// Header that names the team from which a request comes.
const EXPECTED_TEAM_HEADER: &str = "x-expect-team";

/// Lease of an interactive request. The request ends with its response, usually long before.
const REQUEST_LEASE: Duration = Duration::from_secs(60);

/// Faults of a worker that a test can switch on.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Every new task ends at once, and every task that ends has failed.
    pub fails_everything: bool,
    /// Every connection is closed without a response.
    pub is_unreachable: bool,
}

/// HTTP server of one worker. Clones share the tasks.
#[derive(Clone, Debug)]
pub struct Worker {
    shared: Arc<Shared>,
    server: Arc<Server>,
}

#[derive(Debug)]
struct Shared {
    host: Host,
    state: Mutex<State>,
    /// Notified when a task starts, and when tasks or requests end.
    changed: Notify,
    /// Number of open connections.
    connections: Arc<AtomicI64>,
    run_tracker: RunTracker,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Ends the tasks that are done or whose lease has expired.
    fn advance(&self) {
        let ended = self.state().advance(Instant::now());
        for launch in &ended {
            self.run_tracker.record_end(launch);
        }
        if !ended.is_empty() {
            self.changed.notify_waiters();
        }
    }
}

impl Worker {
    /// Starts a worker on a free port of loopback.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener can't be bound.
    pub async fn start(mut host: Host, run_tracker: RunTracker) -> std::io::Result<Worker> {
        let connections = Arc::new(AtomicI64::new(0));
        // Filled below, since the shared state needs the server's address.
        let shared_slot: Arc<Mutex<Option<Arc<Shared>>>> = Arc::default();
        let handler = shared_slot.clone();
        let server = Server::start(connections.clone(), move |request| {
            let shared = handler.lock().unwrap_or_else(PoisonError::into_inner).clone();
            async move { handle(shared?, request).await }
        })
        .await?;
        host.address = server.address.to_string().into();
        let shared = Arc::new(Shared {
            host,
            state: Mutex::default(),
            changed: Notify::new(),
            connections,
            run_tracker,
        });
        *shared_slot.lock().unwrap_or_else(PoisonError::into_inner) = Some(shared.clone());
        Ok(Worker { shared, server: Arc::new(server) })
    }

    /// Returns the worker's entry in the host list.
    pub fn host(&self) -> &Host {
        &self.shared.host
    }

    /// Returns the address that the worker listens on.
    pub fn address(&self) -> std::net::SocketAddr {
        self.server.address
    }

    /// Sets the faults of all later calls.
    pub fn set_faults(&self, faults: Faults) {
        let mut state = self.shared.state();
        state.fails_everything = faults.fails_everything;
        state.is_unreachable = faults.is_unreachable;
    }

    /// Returns the number of running tasks and requests.
    pub fn running(&self) -> usize {
        self.shared.advance();
        self.shared.state().running.len()
    }
}

async fn handle(shared: Arc<Shared>, request: Request<Incoming>) -> Option<Response<Body>> {
    if shared.state().is_unreachable {
        return None;
    }
    shared.advance();
    let path = request.uri().path().to_string();
    match path.as_str() {
        "/v1/start" => {
            let launch: Launch = body(request).await?;
            start_task(&shared, launch);
            Some(empty_response(StatusCode::OK))
        }
        "/v1/stop" => {
            let stop: Stop = body(request).await?;
            stop_task(&shared, &stop);
            Some(empty_response(StatusCode::OK))
        }
        "/v1/poll" => Some(poll(&shared, body(request).await?).await),
        _ if path.starts_with("/v1/serve") => serve_request(&shared, request).await,
        _ => Some(empty_response(StatusCode::NOT_FOUND)),
    }
}

async fn body<T: DeserializeOwned>(request: Request<Incoming>) -> Option<T> {
    let bytes = request.into_body().collect().await.ok()?.to_bytes();
    serde_json::from_slice(&bytes).ok()
}

fn start_task(shared: &Shared, launch: Launch) {
    let now = Instant::now();
    let expected = launch.payload.strip_prefix("team=").map(str::to_string);
    shared.run_tracker.record_start(&launch, expected.as_deref());
    let run = Duration::from_millis(launch.run_ms.max(1));
    let lease_until = now + launch.lease;
    let mut state = shared.state();
    let run = if state.fails_everything { Duration::ZERO } else { run };
    let task = launch.task.clone();
    state.running.insert(task, TaskRun { launch, ends_at: Some(now + run), lease_until });
    record_overload(shared, &state);
    drop(state);
    shared.changed.notify_waiters();
}

/// Records a violation if the worker is overloaded. The start isn't refused.
fn record_overload(shared: &Shared, state: &State) {
    let is_full = state.used().first_lacking(&shared.host.capacity).is_some();
    let is_crowded = shared.connections.load(Ordering::Relaxed) > MAX_CONNECTIONS;
    if is_full || is_crowded {
        shared.run_tracker.record_overload();
    }
}

fn stop_task(shared: &Shared, stop: &Stop) {
    let removed = shared.state().running.remove(&stop.task);
    if let Some(task) = removed {
        shared.run_tracker.record_end(&task.launch);
        shared.state().finish(&task.launch, false, true);
        shared.changed.notify_waiters();
    }
}

/// Forgets acknowledged tasks and renews all leases at once, then waits until a task has
/// finished or the wait time is over, and reports.
async fn poll(shared: &Shared, poll: Poll) -> Response<Body> {
    let has_finished = {
        let mut state = shared.state();
        for task in &poll.forget {
            state.finished.remove(task);
        }
        let lease_until = Instant::now() + poll.lease;
        for task in state.running.values_mut() {
            task.lease_until = task.lease_until.max(lease_until);
        }
        !state.finished.is_empty()
    };
    if !has_finished && !poll.wait.is_zero() {
        wait_for_finished_task(shared, poll.wait).await;
    }
    shared.advance();
    let report = serde_json::to_vec(&shared.state().report()).unwrap_or_default();
    response(StatusCode::OK, report)
}

async fn wait_for_finished_task(shared: &Shared, wait: Duration) {
    let deadline = Instant::now() + wait;
    loop {
        let changed = shared.changed.notified();
        if !shared.state().finished.is_empty() {
            return;
        }
        let next = shared.state().next_end().map_or(deadline, |end| end.min(deadline));
        let _ = tokio::time::timeout_at(next.into(), changed).await;
        shared.advance();
        if Instant::now() >= deadline {
            return;
        }
    }
}

async fn serve_request(shared: &Shared, request: Request<Incoming>) -> Option<Response<Body>> {
    let launch: Launch = {
        let launch = request.headers().get(LAUNCH_HEADER)?;
        serde_json::from_slice(launch.as_bytes()).ok()?
    };
    let header = |name: &str| request.headers().get(name).and_then(|value| value.to_str().ok());
    let expected = header(EXPECTED_TEAM_HEADER).map(str::to_string);
    let run_time = header(REQUEST_MS_HEADER).and_then(|text| text.parse().ok());
    let run_time = run_time.map_or(DEFAULT_REQUEST_TIME, Duration::from_millis);
    shared.run_tracker.record_request_path(request.uri().path().trim_start_matches("/v1/serve/"));
    start_request(shared, &launch, expected.as_deref());
    let guard = RequestGuard { shared, launch: &launch };
    let received = request.into_body().collect().await.ok()?.to_bytes();
    tokio::time::sleep(run_time).await;
    let body = response_body(shared, &launch, &received);
    drop(guard);
    Some(response(StatusCode::OK, body))
}

fn start_request(shared: &Shared, launch: &Launch, expected_team: Option<&str>) {
    shared.run_tracker.record_start(launch, expected_team);
    let lease_until = Instant::now() + REQUEST_LEASE;
    let task = TaskRun { launch: launch.clone(), ends_at: None, lease_until };
    let mut state = shared.state();
    state.running.insert(launch.task.clone(), task);
    record_overload(shared, &state);
}

/// Ends a request when it is dropped, which also happens if the connection is closed early.
struct RequestGuard<'a> {
    shared: &'a Shared,
    launch: &'a Launch,
}

impl Drop for RequestGuard<'_> {
    fn drop(&mut self) {
        if self.shared.state().running.remove(&self.launch.task).is_some() {
            self.shared.run_tracker.record_end(self.launch);
        }
        self.shared.changed.notify_waiters();
    }
}

fn response_body(shared: &Shared, launch: &Launch, received: &Bytes) -> String {
    format!(
        "{{\"service\":\"{}\",\"worker\":\"{}\",\"request\":\"{}\",\"received\":{}}}\n",
        launch.tag.label,
        shared.host.name,
        launch.task.job,
        received.len()
    )
}
