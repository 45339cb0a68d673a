use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use http::{Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::Deserialize;
use serde_json::{Value, json};

use super::{Observation, Observer};
use crate::Server;
use crate::http::{Body, text};

/// Time between two looks of a call that waits.
const POLL: Duration = Duration::from_millis(5);

/// Most ends in one answer. Platform documentation.
const MAX_ENDS: usize = 500;

/// Speed of a worker's clock. Platform documentation: it may be 2% slow.
const CLOCK_RATE: f64 = 0.98;

/// Longest lease, in milliseconds. The documented sites' figure.
const MAX_LEASE_MS: u64 = 6_000;

/// Work of a job without a readable payload, in milliseconds.
const DEFAULT_WORK_MS: u64 = 150;

/// What a worker can hold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Capacity {
    /// Processor, in thousandths of a core.
    pub cpu_millis: u32,
    /// Memory, in MiB.
    pub memory_mib: u32,
}

/// What a payload asks of each task.
#[derive(Debug, Deserialize)]
struct Work {
    /// Time that a run takes, in milliseconds.
    ms: u64,
    /// Number of first attempts that fail.
    #[serde(default)]
    failing: u64,
}

#[derive(Debug)]
struct Run {
    begun: Instant,
    work: Duration,
    fails: bool,
}

impl Run {
    fn percent(&self) -> u64 {
        let part = self.begun.elapsed().as_secs_f64() / self.work.as_secs_f64().max(0.001);
        (100.0 * part.min(1.0)) as u64
    }
}

#[derive(Debug)]
struct State<W> {
    id: String,
    born_ms: u64,
    origin: Instant,
    fence: u64,
    lease_until_ms: u64,
    runs: BTreeMap<(String, u64), Run>,
    /// Highest attempt that was stopped or has ended, by task.
    closed: BTreeMap<String, u64>,
    ends: VecDeque<(u64, String, u64, &'static str)>,
    last_end: u64,
    /// Ends up to this one were listed before a lease ran out: nobody can rely on them.
    lapsed_end: u64,
    observer: W,
}

/// A worker on loopback. It ends when it is dropped.
#[derive(Debug)]
pub struct Worker<W: Observer> {
    server: Server,
    state: Arc<Mutex<State<W>>>,
    is_gone: Arc<AtomicBool>,
    capacity: Capacity,
}

impl<W: Observer> Worker<W> {
    /// Starts a worker under an id.
    ///
    /// # Errors
    ///
    /// Fails when no port can be had.
    pub async fn start(id: &str, capacity: Capacity, observer: W) -> std::io::Result<Worker<W>> {
        let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let state = Arc::new(Mutex::new(State {
            id: id.to_string(),
            born_ms: since_1970.as_millis() as u64,
            origin: Instant::now(),
            fence: 0,
            lease_until_ms: MAX_LEASE_MS,
            runs: BTreeMap::new(),
            closed: BTreeMap::new(),
            ends: VecDeque::new(),
            last_end: 0,
            lapsed_end: 0,
            observer,
        }));
        let is_gone = Arc::new(AtomicBool::new(false));
        let (shared, gone) = (state.clone(), is_gone.clone());
        let server = Server::start(Arc::default(), move |request| {
            serve(shared.clone(), gone.clone(), request)
        });
        let server = server.await?;
        tokio::spawn(work_on(state.clone(), is_gone.clone()));
        Ok(Worker { server, state, is_gone, capacity })
    }

    /// Address that the worker listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// What the worker says of itself, with the address at which it is reached.
    pub fn entry(&self, service: &str, reached_at: SocketAddr) -> Value {
        json!({
            "service": service, "addr": reached_at.to_string(), "state": "ready",
            "born": lock(&self.state).born_ms, "labels": ["a", "r1"],
            "capacity": {
                "cpu": self.capacity.cpu_millis, "mem-mb": self.capacity.memory_mib, "gpu": 0,
            },
        })
    }

    /// Loses power: what runs is gone, and nothing answers any more.
    pub fn crash(&self) {
        self.is_gone.store(true, Ordering::Relaxed);
        lock(&self.state).end_all("lapsed");
    }
}

impl<W: Observer> Drop for Worker<W> {
    fn drop(&mut self) {
        self.is_gone.store(true, Ordering::Relaxed);
    }
}

fn lock<W>(state: &Mutex<State<W>>) -> MutexGuard<'_, State<W>> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Ends runs and leases when their time comes, also while nobody calls.
async fn work_on<W: Observer>(state: Arc<Mutex<State<W>>>, is_gone: Arc<AtomicBool>) {
    while !is_gone.load(Ordering::Relaxed) {
        lock(&state).work();
        tokio::time::sleep(POLL).await;
    }
}

async fn serve<W: Observer>(
    state: Arc<Mutex<State<W>>>,
    is_gone: Arc<AtomicBool>,
    request: Request<Incoming>,
) -> Option<Response<Body>> {
    let call = request.uri().path().rsplit('/').next().unwrap_or_default().to_string();
    let expected = request.headers().get("sycamorechute-expect-instance").cloned();
    let body = request.into_body().collect().await.ok()?.to_bytes();
    let body: Value = serde_json::from_slice(&body).unwrap_or_default();
    if is_gone.load(Ordering::Relaxed) {
        return None;
    }
    let answer = {
        let mut state = lock(&state);
        if expected.is_some_and(|expected| expected != *state.id) {
            Some((421, json!({})))
        } else {
            state.carry_out(&call, &body)
        }
    };
    let (status, answer) = match answer {
        Some(answer) => answer,
        None => (200, look(&state, &is_gone, &body).await?),
    };
    Some(text(StatusCode::from_u16(status).ok()?, answer.to_string()))
}

/// Waits for an end, but not longer than the look wants to. `None` when the worker is gone.
async fn look<W: Observer>(
    state: &Mutex<State<W>>,
    is_gone: &AtomicBool,
    body: &Value,
) -> Option<Value> {
    let begun = Instant::now();
    let wait = Duration::from_millis(body["wait-ms"].as_u64().unwrap_or(0));
    while !is_gone.load(Ordering::Relaxed) {
        let found = {
            let mut state = lock(state);
            state.work();
            (!state.ends.is_empty() || begun.elapsed() >= wait).then(|| state.report())
        };
        if found.is_some() {
            return found;
        }
        tokio::time::sleep(POLL).await;
    }
    None
}

impl<W: Observer> State<W> {
    fn clock_ms(&self) -> u64 {
        (self.origin.elapsed().as_secs_f64() * 1_000.0 * CLOCK_RATE) as u64
    }

    fn observe(&self, observation: Observation) {
        self.observer.observe(&self.id, observation);
    }

    fn work(&mut self) {
        if self.clock_ms() > self.lease_until_ms {
            self.lapsed_end = self.last_end;
            self.end_all("lapsed");
        }
        let is_over = |(_, run): &(&(String, u64), &Run)| run.begun.elapsed() >= run.work;
        let over: Vec<_> =
            self.runs.iter().filter(is_over).map(|(key, run)| (key.clone(), run.fails)).collect();
        for ((task, attempt), fails) in over {
            self.end(task, attempt, if fails { "failed" } else { "done" });
        }
    }

    fn end_all(&mut self, how: &'static str) {
        let runs: Vec<_> = self.runs.keys().cloned().collect();
        for (task, attempt) in runs {
            self.end(task, attempt, how);
        }
    }

    fn end(&mut self, task: String, attempt: u64, how: &'static str) {
        if self.runs.remove(&(task.clone(), attempt)).is_none() {
            return;
        }
        self.close(&task, attempt);
        self.last_end += 1;
        self.ends.push_back((self.last_end, task.clone(), attempt, how));
        self.observe(Observation::Ended { task, attempt, how });
    }

    fn close(&mut self, task: &str, attempt: u64) {
        let closed = self.closed.entry(task.to_string()).or_default();
        *closed = (*closed).max(attempt);
    }

    /// Carries an order out, or takes in what a look brings along. `None` when a report
    /// is owed.
    fn carry_out(&mut self, call: &str, body: &Value) -> Option<(u16, Value)> {
        self.work();
        let clock_ms = self.clock_ms();
        let fence = body["fence"].as_u64().unwrap_or(0);
        let refused = |reason| Some((409, json!({ "clock-ms": clock_ms, "reason": reason })));
        if fence < self.fence {
            return refused("fence");
        }
        self.fence = fence;
        let task = body["task"].as_str().unwrap_or_default();
        let attempt = body["attempt"].as_u64().unwrap_or(0);
        match call {
            "run-start" => {
                if let Err(reason) = self.start(task, attempt, body) {
                    return refused(reason);
                }
            }
            "run-stop" => {
                self.close(task, attempt);
                self.end(task.to_string(), attempt, "stopped");
            }
            _ => {
                self.extend_lease(body);
                self.forget_ends(body["ack-seq"].as_u64().unwrap_or(0));
                return None;
            }
        }
        Some((200, json!({ "clock-ms": clock_ms })))
    }

    fn start(&mut self, task: &str, attempt: u64, body: &Value) -> Result<(), &'static str> {
        let key = (task.to_string(), attempt);
        if self.runs.contains_key(&key) {
            return Ok(());
        }
        if self.clock_ms() > body["deadline-ms"].as_u64().unwrap_or(0) {
            return Err("late");
        }
        if self.closed.get(task).is_some_and(|closed| attempt <= *closed) {
            return Err("old");
        }
        let payload = body["spec"].as_str().unwrap_or_default().to_string();
        let work =
            serde_json::from_str(&payload).unwrap_or(Work { ms: DEFAULT_WORK_MS, failing: 0 });
        let fails = attempt <= work.failing;
        let work = Duration::from_millis(work.ms);
        self.runs.insert(key, Run { begun: Instant::now(), work, fails });
        self.extend_lease(body);
        self.observe(Observation::Started { task: task.to_string(), attempt, payload });
        Ok(())
    }

    fn extend_lease(&mut self, body: &Value) {
        let most_ms = self.clock_ms() + MAX_LEASE_MS;
        if let Some(deadline_ms) = body["deadline-ms"].as_u64() {
            self.lease_until_ms = self.lease_until_ms.max(deadline_ms.min(most_ms));
        }
    }

    fn forget_ends(&mut self, ack: u64) {
        while self.ends.front().is_some_and(|(seq, ..)| *seq <= ack) {
            if let Some((seq, task, attempt, how)) = self.ends.pop_front()
                && seq > self.lapsed_end
            {
                self.observe(Observation::Noted { task, attempt, how });
            }
        }
    }

    fn report(&self) -> Value {
        let row = |((task, attempt), run): (&(String, u64), &Run)| {
            json!([task, attempt, "", run.percent()])
        };
        let running: Vec<Value> = self.runs.iter().map(row).collect();
        let ended = self.ends.iter().take(MAX_ENDS);
        let ended: Vec<Value> =
            ended.map(|(seq, task, n, how)| json!([seq, task, n, how, ""])).collect();
        json!({
            "clock-ms": self.clock_ms(), "born": self.born_ms, "running": running,
            "finished": ended,
        })
    }
}
