use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde_json::{Value, json};
use sycamore_demo::{CallOutcome, Caller};
use tokio::task::JoinHandle;
use tokio::time::{Instant, interval, sleep};

/// Time between two requests.
const REQUEST_GAP: Duration = Duration::from_millis(10);

/// One request in so many carries an idempotency key and is repeated.
const KEYED: u64 = 10;

/// One job for so many requests.
const JOBS: u64 = 50;

/// Time within which accepted jobs must end after all faults are over.
const PATIENCE: Duration = Duration::from_secs(60);

/// Counts of requests.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Tally {
    pub(super) requests: u64,
    pub(super) answered: u64,
    pub(super) unknown: u64,
    pub(super) ended: u64,
}

impl Tally {
    /// Returns what came after an earlier count.
    pub(super) fn since(&self, before: &Tally) -> Tally {
        Tally {
            requests: self.requests - before.requests,
            answered: self.answered - before.answered,
            unknown: self.unknown - before.unknown,
            ended: self.ended - before.ended,
        }
    }

    /// Returns the part of the ended requests that was answered.
    pub(super) fn answered_ratio(&self) -> f64 {
        self.answered as f64 / self.ended.max(1) as f64
    }
}

#[derive(Debug, Default)]
struct Seen {
    tally: Tally,
    paths: Vec<String>,
    not_run: Vec<String>,
    jobs: Vec<String>,
    callers: Vec<Caller>,
}

/// Requests and jobs that keep coming at a fixed rate.
#[derive(Debug)]
pub(super) struct Load {
    seen: Arc<Mutex<Seen>>,
    task: JoinHandle<()>,
}

/// What is left after the load has ended.
#[derive(Debug)]
pub(super) struct Finished {
    pub(super) tally: Tally,
    pub(super) paths: Vec<String>,
    pub(super) not_run: Vec<String>,
    pub(super) jobs: usize,
    pub(super) lost_jobs: usize,
}

fn lock(seen: &Mutex<Seen>) -> MutexGuard<'_, Seen> {
    seen.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Load {
    pub(super) fn start(callers: Vec<Caller>) -> Load {
        let seen = Arc::new(Mutex::new(Seen { callers, ..Seen::default() }));
        let task = tokio::spawn(generate(seen.clone()));
        Load { seen, task }
    }

    pub(super) fn set_callers(&self, callers: Vec<Caller>) {
        lock(&self.seen).callers = callers;
    }

    pub(super) fn tally(&self) -> Tally {
        lock(&self.seen).tally
    }

    /// Ends the load and waits for the jobs.
    pub(super) async fn finish(self) -> Finished {
        self.task.abort();
        sleep(Duration::from_secs(6)).await;
        let (jobs, callers) = {
            let seen = lock(&self.seen);
            (seen.jobs.clone(), seen.callers.clone())
        };
        let lost_jobs = count_lost(&jobs, &callers).await;
        let seen = lock(&self.seen);
        Finished {
            tally: seen.tally,
            paths: seen.paths.clone(),
            not_run: seen.not_run.clone(),
            jobs: jobs.len(),
            lost_jobs,
        }
    }
}

async fn generate(seen: Arc<Mutex<Seen>>) {
    let mut ticks = interval(REQUEST_GAP);
    let mut number = 0_u64;
    loop {
        ticks.tick().await;
        number += 1;
        tokio::spawn(one_request(seen.clone(), number));
        if number.is_multiple_of(JOBS) {
            tokio::spawn(one_job(seen.clone(), number));
        }
    }
}

fn caller(seen: &Mutex<Seen>, at: u64) -> Caller {
    let seen = lock(seen);
    let at = usize::try_from(at).unwrap_or(0) % seen.callers.len();
    seen.callers[at].clone()
}

async fn one_request(seen: Arc<Mutex<Seen>>, number: u64) {
    let path = format!("stock/{number}");
    lock(&seen).paths.push(path.clone());
    let key = number.is_multiple_of(KEYED).then(|| format!("key-{number}"));
    let first = caller(&seen, number).request("orderdesk", &path, key.as_deref()).await;
    note(&seen, &path, &first);
    if let Some(key) = key {
        // A repeat by way of another entry process must not run again.
        let again = caller(&seen, number + 1).request("orderdesk", &path, Some(&key)).await;
        let ran_before = matches!(first, CallOutcome::Answered(_) | CallOutcome::Unknown(_));
        if !ran_before {
            note(&seen, &path, &again);
        }
    }
}

fn note(seen: &Mutex<Seen>, path: &str, told: &CallOutcome) {
    let mut seen = lock(seen);
    seen.tally.requests += 1;
    seen.tally.ended += 1;
    match told {
        CallOutcome::Answered(_) => {
            seen.tally.answered += 1;
            // A repeat may have been answered after a first refusal.
            seen.not_run.retain(|other| other != path);
        }
        CallOutcome::NotRun(_) => seen.not_run.push(path.to_string()),
        CallOutcome::Unknown(_) => {
            seen.tally.unknown += 1;
            seen.not_run.retain(|other| other != path);
        }
    }
}

async fn one_job(seen: Arc<Mutex<Seen>>, number: u64) {
    let spec = json!({
        "tasks": 3, "size": { "slots": 1, "cpu_millis": 1000, "memory_mib": 256 },
        "restartable": true, "run_ms": 500, "payload": "team=export",
    });
    if let CallOutcome::Answered(body) = caller(&seen, number).submit(&spec).await {
        let told: Value = serde_json::from_slice(&body).unwrap_or_default();
        if let Some(name) = told["name"].as_str() {
            lock(&seen).jobs.push(name.to_string());
        }
    }
}

async fn count_lost(jobs: &[String], callers: &[Caller]) -> usize {
    let end = Instant::now() + PATIENCE;
    let mut left: Vec<&String> = jobs.iter().collect();
    while !left.is_empty() && Instant::now() < end {
        let mut still = Vec::new();
        for job in left {
            let status = callers[0].status(job).await.unwrap_or_default();
            if status["progress"].as_str() != Some("done") {
                still.push(job);
            }
        }
        left = still;
        sleep(Duration::from_millis(500)).await;
    }
    left.len()
}
