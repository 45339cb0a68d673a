//! Load for the fault test: requests and jobs at a fixed rate, with a record of
//! what callers were told.
//!
//! The rate does not depend on the responses, so that a slow or unavailable
//! cluster gets as much load as a healthy one.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde_json::{Value, json};
use sycamore_demo::{CallOutcome, Caller};
use tokio::task::JoinHandle;
use tokio::time::{Instant, interval, sleep};

/// Time between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(10);

/// One request in this many carries an idempotency key and is sent twice.
const REQUESTS_PER_IDEMPOTENCY_KEY: u64 = 10;

/// One job is submitted for this many requests.
const REQUESTS_PER_JOB: u64 = 50;

/// Time within which accepted jobs must succeed after the last fault.
const JOB_TIMEOUT: Duration = Duration::from_secs(60);

/// Time that the requests in flight get to end after the last one was sent.
const DRAIN_TIME: Duration = Duration::from_secs(6);

/// Time between two rounds of status queries for the jobs that have not ended.
const STATUS_INTERVAL: Duration = Duration::from_millis(500);

/// Number of requests by outcome.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Counters {
    pub(super) requests: u64,
    pub(super) answered: u64,
    /// Requests that may have run, such as those without a response.
    pub(super) unknown: u64,
    /// Requests with any outcome, the same number as `requests`.
    pub(super) ended: u64,
}

impl Counters {
    /// Returns the difference to earlier counters.
    pub(super) fn since(&self, before: &Counters) -> Counters {
        Counters {
            requests: self.requests - before.requests,
            answered: self.answered - before.answered,
            unknown: self.unknown - before.unknown,
            ended: self.ended - before.ended,
        }
    }

    /// Returns the fraction of the ended requests that were answered.
    pub(super) fn answered_ratio(&self) -> f64 {
        self.answered as f64 / self.ended.max(1) as f64
    }
}

#[derive(Debug, Default)]
struct LoadState {
    counters: Counters,
    /// Paths of all requests. Each path is used by one request and its repetition.
    paths: Vec<String>,
    /// Paths of the requests that did not run, as their callers were told.
    not_run: Vec<String>,
    /// Names of the accepted jobs.
    jobs: Vec<String>,
    callers: Vec<Caller>,
}

/// A task that sends requests and jobs at a fixed rate.
#[derive(Debug)]
pub(super) struct Load {
    state: Arc<Mutex<LoadState>>,
    task: JoinHandle<()>,
}

/// Results of the load after it has ended.
#[derive(Debug)]
pub(super) struct LoadResult {
    pub(super) counters: Counters,
    /// Paths of all requests.
    pub(super) paths: Vec<String>,
    /// Paths of the requests that did not run, as their callers were told.
    pub(super) not_run: Vec<String>,
    /// Number of accepted jobs.
    pub(super) job_count: usize,
    /// Number of accepted jobs that did not succeed in time.
    pub(super) lost_job_count: usize,
}

fn lock(state: &Mutex<LoadState>) -> MutexGuard<'_, LoadState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Load {
    pub(super) fn start(callers: Vec<Caller>) -> Load {
        let state = Arc::new(Mutex::new(LoadState { callers, ..LoadState::default() }));
        let task = tokio::spawn(generate_load(state.clone()));
        Load { state, task }
    }

    pub(super) fn set_callers(&self, callers: Vec<Caller>) {
        lock(&self.state).callers = callers;
    }

    pub(super) fn counters(&self) -> Counters {
        lock(&self.state).counters
    }

    /// Stops sending, and waits for the requests in flight and for the jobs.
    pub(super) async fn finish(self) -> LoadResult {
        self.task.abort();
        sleep(DRAIN_TIME).await;
        let (jobs, callers) = {
            let state = lock(&self.state);
            (state.jobs.clone(), state.callers.clone())
        };
        let lost_job_count = count_unfinished(&jobs, &callers).await;
        let state = lock(&self.state);
        LoadResult {
            counters: state.counters,
            paths: state.paths.clone(),
            not_run: state.not_run.clone(),
            job_count: jobs.len(),
            lost_job_count,
        }
    }
}

async fn generate_load(state: Arc<Mutex<LoadState>>) {
    let mut ticks = interval(REQUEST_INTERVAL);
    let mut number = 0_u64;
    loop {
        ticks.tick().await;
        number += 1;
        tokio::spawn(send_request(state.clone(), number));
        if number.is_multiple_of(REQUESTS_PER_JOB) {
            tokio::spawn(submit_job(state.clone(), number));
        }
    }
}

fn pick_caller(state: &Mutex<LoadState>, number: u64) -> Caller {
    let state = lock(state);
    let index = usize::try_from(number).unwrap_or(0) % state.callers.len();
    state.callers[index].clone()
}

/// Sends one request. If it carries an idempotency key, sends it a second time.
async fn send_request(state: Arc<Mutex<LoadState>>, number: u64) {
    let path = format!("stock/{number}");
    lock(&state).paths.push(path.clone());
    let key = number.is_multiple_of(REQUESTS_PER_IDEMPOTENCY_KEY).then(|| format!("key-{number}"));
    let first = pick_caller(&state, number).request("orderdesk", &path, key.as_deref()).await;
    record_outcome(&state, &path, &first);
    if let Some(key) = key {
        // The request is repeated through another entry process. If the first one
        // ran, the idempotency key must keep the second one from running.
        let repeated =
            pick_caller(&state, number + 1).request("orderdesk", &path, Some(&key)).await;
        let may_have_run = matches!(first, CallOutcome::Answered(_) | CallOutcome::Unknown(_));
        if !may_have_run {
            record_outcome(&state, &path, &repeated);
        }
    }
}

fn record_outcome(state: &Mutex<LoadState>, path: &str, outcome: &CallOutcome) {
    let mut state = lock(state);
    state.counters.requests += 1;
    state.counters.ended += 1;
    match outcome {
        CallOutcome::Answered(_) => {
            state.counters.answered += 1;
            // The first attempt may have been rejected before the second was answered.
            state.not_run.retain(|other| other != path);
        }
        CallOutcome::NotRun(_) => state.not_run.push(path.to_string()),
        CallOutcome::Unknown(_) => {
            state.counters.unknown += 1;
            state.not_run.retain(|other| other != path);
        }
    }
}

async fn submit_job(state: Arc<Mutex<LoadState>>, number: u64) {
    let spec = json!({
        "tasks": 3, "size": { "slots": 1, "cpu_millis": 1000, "memory_mib": 256 },
        "restartable": true, "run_ms": 500, "payload": "team=export",
    });
    if let CallOutcome::Answered(body) = pick_caller(&state, number).submit(&spec).await {
        let outcome: Value = serde_json::from_slice(&body).unwrap_or_default();
        if let Some(name) = outcome["name"].as_str() {
            lock(&state).jobs.push(name.to_string());
        }
    }
}

/// Waits for the jobs. Returns the number of those that did not succeed in time.
async fn count_unfinished(jobs: &[String], callers: &[Caller]) -> usize {
    let end = Instant::now() + JOB_TIMEOUT;
    let mut pending: Vec<&String> = jobs.iter().collect();
    while !pending.is_empty() && Instant::now() < end {
        let mut unfinished = Vec::new();
        for job in pending {
            let status = callers[0].status(job).await.unwrap_or_default();
            if status["progress"].as_str() != Some("done") {
                unfinished.push(job);
            }
        }
        pending = unfinished;
        sleep(STATUS_INTERVAL).await;
    }
    pending.len()
}
