//! Simulated worker that checks fencing tokens and runs tasks under one lease.
//!
//! A run only waits for the time that its payload tells. Its end is reported until the scheduler
//! acknowledges it, so that a lost reply loses no end.

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
use crate::http::{Body, response};

/// Interval at which runs, the lease and waiting polls are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Most ends in one report, by the platform's documentation.
const MAX_ENDS_PER_REPORT: usize = 500;

/// Rate of a worker's clock. By the platform's documentation, it may run 2% slow.
const CLOCK_RATE: f64 = 0.98;

/// Longest lease, as documented for the platform's sites.
const MAX_LEASE_MS: u64 = 6_000;

/// Run time of a task whose payload can't be decoded.
const DEFAULT_RUN_MS: u64 = 150;

/// Time from the start of a run that crashes the worker to the crash.
const CRASH_DELAY: Duration = Duration::from_millis(20);

/// Capacity of a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Capacity {
    /// CPU, in thousandths of a core.
    pub cpu_millis: u32,
    /// Memory, in MiB.
    pub memory_mib: u32,
}

/// Payload of a job, which tells what its tasks do.
#[derive(Debug, Deserialize)]
struct Payload {
    /// Duration of each run, in milliseconds.
    ms: u64,
    /// Attempts of a task up to this number fail.
    #[serde(default)]
    failing: u64,
    /// Each run crashes the worker shortly after its start.
    #[serde(default)]
    crashing: bool,
}

#[derive(Debug)]
struct Run {
    started: Instant,
    duration: Duration,
    will_fail: bool,
    will_crash: bool,
}

impl Run {
    /// Returns the progress in percent.
    fn percent(&self) -> u64 {
        let fraction =
            self.started.elapsed().as_secs_f64() / self.duration.as_secs_f64().max(0.001);
        (100.0 * fraction.min(1.0)) as u64
    }
}

#[derive(Debug)]
struct State<W> {
    id: String,
    /// Start time in milliseconds since 1970, which tells incarnations under one id apart.
    incarnation: u64,
    /// Zero of the worker's own clock.
    clock_start: Instant,
    /// Highest fencing token seen so far.
    fence: u64,
    /// End of the lease by the worker's own clock.
    lease_end_ms: u64,
    /// Current runs by task and attempt.
    runs: BTreeMap<(String, u64), Run>,
    /// Highest attempt that was stopped or has ended, by task. Up to it, no attempt may start.
    closed_attempts: BTreeMap<String, u64>,
    /// Ends that aren't acknowledged yet: sequence number, task, attempt, outcome.
    ends: VecDeque<(u64, String, u64, &'static str)>,
    last_end_seq: u64,
    /// Sequence number of the last end at the latest check that found the lease expired. The
    /// scheduler may have ended these runs itself by then and started the tasks again, so
    /// acknowledgements up to this end aren't observed.
    expired_end_seq: u64,
    /// Set when the worker has crashed or was dropped.
    is_down: Arc<AtomicBool>,
    observer: W,
}

/// HTTP server of one worker on loopback. It stops when it is dropped.
#[derive(Debug)]
pub struct Worker<W: Observer> {
    server: Server,
    state: Arc<Mutex<State<W>>>,
    /// Set when the worker has crashed or was dropped.
    is_down: Arc<AtomicBool>,
    capacity: Capacity,
}

impl<W: Observer> Worker<W> {
    /// Starts a worker with an id on a free port. Its first lease has the maximum length.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener can't be bound.
    pub async fn start(id: &str, capacity: Capacity, observer: W) -> std::io::Result<Worker<W>> {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let is_down = Arc::new(AtomicBool::new(false));
        let state = Arc::new(Mutex::new(State {
            id: id.to_string(),
            incarnation: since_epoch.as_millis() as u64,
            clock_start: Instant::now(),
            fence: 0,
            lease_end_ms: MAX_LEASE_MS,
            runs: BTreeMap::new(),
            closed_attempts: BTreeMap::new(),
            ends: VecDeque::new(),
            last_end_seq: 0,
            expired_end_seq: 0,
            is_down: is_down.clone(),
            observer,
        }));
        let (handler_state, handler_is_down) = (state.clone(), is_down.clone());
        let server = Server::start(Arc::default(), move |request| {
            handle(handler_state.clone(), handler_is_down.clone(), request)
        });
        let server = server.await?;
        tokio::spawn(advance_periodically(state.clone(), is_down.clone()));
        Ok(Worker { server, state, is_down, capacity })
    }

    /// Returns the address that the worker listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Returns the worker's entry for the store. `address` is the one at which others reach it,
    /// such as that of a proxy.
    pub fn entry(&self, service: &str, address: SocketAddr) -> Value {
        json!({
            "service": service, "addr": address.to_string(), "state": "ready",
            "zone": "a",
            "born": lock(&self.state).incarnation, "labels": ["a", "r1"],
            "capacity": {
                "cpu": self.capacity.cpu_millis, "mem-mb": self.capacity.memory_mib, "gpu": 0,
            },
        })
    }

    /// Simulates a power loss: all runs end, and no call gets a reply any more.
    pub fn crash(&self) {
        lock(&self.state).crash();
    }

    /// Returns whether the worker has crashed.
    pub fn has_crashed(&self) -> bool {
        self.is_down.load(Ordering::Relaxed)
    }
}

impl<W: Observer> Drop for Worker<W> {
    fn drop(&mut self) {
        self.is_down.store(true, Ordering::Relaxed);
    }
}

fn lock<W>(state: &Mutex<State<W>>) -> MutexGuard<'_, State<W>> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Ends runs and expires the lease in time, also while no calls arrive.
async fn advance_periodically<W: Observer>(state: Arc<Mutex<State<W>>>, is_down: Arc<AtomicBool>) {
    while !is_down.load(Ordering::Relaxed) {
        lock(&state).advance();
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

async fn handle<W: Observer>(
    state: Arc<Mutex<State<W>>>,
    is_down: Arc<AtomicBool>,
    request: Request<Incoming>,
) -> Option<Response<Body>> {
    let call = request.uri().path().rsplit('/').next().unwrap_or_default().to_string();
    let expected = request.headers().get("sycamorechute-expect-instance").cloned();
    let body = request.into_body().collect().await.ok()?.to_bytes();
    let body: Value = serde_json::from_slice(&body).unwrap_or_default();
    if is_down.load(Ordering::Relaxed) {
        return None;
    }
    let reply = {
        let mut state = lock(&state);
        if expected.is_some_and(|expected| expected != *state.id) {
            Some((421, json!({})))
        } else {
            state.handle_call(&call, &body)
        }
    };
    if is_down.load(Ordering::Relaxed) {
        return None;
    }
    let (status, reply) = match reply {
        Some(reply) => reply,
        None => (200, wait_for_report(&state, &is_down, &body).await?),
    };
    Some(response(StatusCode::from_u16(status).ok()?, reply.to_string()))
}

/// Waits until an end is to be reported or the poll's wait time is over. Returns `None` if the
/// worker goes down meanwhile.
async fn wait_for_report<W: Observer>(
    state: &Mutex<State<W>>,
    is_down: &AtomicBool,
    body: &Value,
) -> Option<Value> {
    let started = Instant::now();
    let wait = Duration::from_millis(body["wait-ms"].as_u64().unwrap_or(0));
    while !is_down.load(Ordering::Relaxed) {
        let report = {
            let mut state = lock(state);
            state.advance();
            (!state.ends.is_empty() || started.elapsed() >= wait).then(|| state.report())
        };
        if report.is_some() {
            return report;
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    None
}

impl<W: Observer> State<W> {
    /// Returns the time on the worker's own clock.
    fn clock_ms(&self) -> u64 {
        (self.clock_start.elapsed().as_secs_f64() * 1_000.0 * CLOCK_RATE) as u64
    }

    fn observe(&self, observation: Observation) {
        self.observer.observe(&self.id, observation);
    }

    /// Ends all runs if the lease has expired, and each run whose duration is over.
    fn advance(&mut self) {
        if self.clock_ms() > self.lease_end_ms {
            self.expired_end_seq = self.last_end_seq;
            self.end_all_runs("lapsed");
        }
        if self.runs.values().any(|run| run.will_crash && run.started.elapsed() >= CRASH_DELAY) {
            return self.crash();
        }
        let is_finished = |(_, run): &(&(String, u64), &Run)| run.started.elapsed() >= run.duration;
        let finished: Vec<_> = self
            .runs
            .iter()
            .filter(is_finished)
            .map(|(key, run)| (key.clone(), run.will_fail))
            .collect();
        for ((task, attempt), will_fail) in finished {
            self.end_run(task, attempt, if will_fail { "failed" } else { "done" });
        }
    }

    /// Ends all runs. No call gets a reply any more.
    fn crash(&mut self) {
        self.is_down.store(true, Ordering::Relaxed);
        self.end_all_runs("crashed");
    }

    fn end_all_runs(&mut self, how: &'static str) {
        let runs: Vec<_> = self.runs.keys().cloned().collect();
        for (task, attempt) in runs {
            self.end_run(task, attempt, how);
        }
    }

    fn end_run(&mut self, task: String, attempt: u64, how: &'static str) {
        if self.runs.remove(&(task.clone(), attempt)).is_none() {
            return;
        }
        self.close_attempts(&task, attempt);
        self.last_end_seq += 1;
        self.ends.push_back((self.last_end_seq, task.clone(), attempt, how));
        self.observe(Observation::Ended { task, attempt, how });
    }

    /// Bars the task's attempts up to this one from starting.
    fn close_attempts(&mut self, task: &str, attempt: u64) {
        let closed = self.closed_attempts.entry(task.to_string()).or_default();
        *closed = (*closed).max(attempt);
    }

    /// Carries out a start or stop, or applies the lease and the acknowledgement of a poll.
    /// Returns `None` for a poll, whose reply is a report.
    fn handle_call(&mut self, call: &str, body: &Value) -> Option<(u16, Value)> {
        self.advance();
        if self.is_down.load(Ordering::Relaxed) {
            // The reply is dropped.
            return Some((503, json!({})));
        }
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
                self.close_attempts(task, attempt);
                self.end_run(task.to_string(), attempt, "stopped");
            }
            // A poll, which the platform calls `hold`.
            _ => {
                self.extend_lease(body);
                self.acknowledge_ends(body["ack-seq"].as_u64().unwrap_or(0));
                return None;
            }
        }
        Some((200, json!({ "clock-ms": clock_ms })))
    }

    /// Starts a run and extends the lease. Does nothing if the attempt is already running.
    ///
    /// # Errors
    ///
    /// Returns the reason for a refusal: `late` after the deadline, `old` for a closed attempt.
    fn start(&mut self, task: &str, attempt: u64, body: &Value) -> Result<(), &'static str> {
        let key = (task.to_string(), attempt);
        if self.runs.contains_key(&key) {
            return Ok(());
        }
        if self.clock_ms() > body["deadline-ms"].as_u64().unwrap_or(0) {
            return Err("late");
        }
        if self.closed_attempts.get(task).is_some_and(|closed| attempt <= *closed) {
            return Err("old");
        }
        let payload = body["spec"].as_str().unwrap_or_default().to_string();
        let parsed = serde_json::from_str(&payload).unwrap_or(Payload {
            ms: DEFAULT_RUN_MS,
            failing: 0,
            crashing: false,
        });
        let will_fail = attempt <= parsed.failing;
        let duration = Duration::from_millis(parsed.ms);
        let (started, will_crash) = (Instant::now(), parsed.crashing);
        self.runs.insert(key, Run { started, duration, will_fail, will_crash });
        self.extend_lease(body);
        self.observe(Observation::Started { task: task.to_string(), attempt, payload });
        Ok(())
    }

    /// Extends the lease up to the deadline of a call, but not beyond the longest lease.
    fn extend_lease(&mut self, body: &Value) {
        let max_end_ms = self.clock_ms() + MAX_LEASE_MS;
        if let Some(deadline_ms) = body["deadline-ms"].as_u64() {
            self.lease_end_ms = self.lease_end_ms.max(deadline_ms.min(max_end_ms));
        }
    }

    /// Drops the ends up to a sequence number.
    fn acknowledge_ends(&mut self, ack: u64) {
        while self.ends.front().is_some_and(|(seq, ..)| *seq <= ack) {
            if let Some((seq, task, attempt, how)) = self.ends.pop_front()
                && seq > self.expired_end_seq
            {
                self.observe(Observation::Noted { task, attempt, how });
            }
        }
    }

    /// Builds the reply to a poll.
    fn report(&self) -> Value {
        let row = |((task, attempt), run): (&(String, u64), &Run)| {
            json!([task, attempt, "", run.percent()])
        };
        let running: Vec<Value> = self.runs.iter().map(row).collect();
        let ended = self.ends.iter().take(MAX_ENDS_PER_REPORT);
        let ended: Vec<Value> =
            ended.map(|(seq, task, attempt, how)| json!([seq, task, attempt, how, ""])).collect();
        json!({
            "clock-ms": self.clock_ms(), "born": self.incarnation, "running": running,
            "finished": ended,
        })
    }
}
