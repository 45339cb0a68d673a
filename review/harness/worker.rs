//! A worker as PROTOCOL.md describes it: it checks fencing tokens, runs everything under one lease,
//! and lists the ends of its runs until they are acknowledged.
//!
//! A task runs for as long as the first word of its spec says (`run-ms=1500`, or `lasting`).

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Request, Response};
use crate::json::{Json, num, table, text};
use crate::ledger::Ledger;
use crate::record::Record;
use crate::store::Store;

const HOLD_MAX_MS: u64 = 6_000;
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// `drain-ms`, and a little longer.
const DRAIN_TIME: Duration = Duration::from_millis(2_300);
/// Time after which the platform drops the entry of a worker that writes no more.
const ENTRY_LIFE: Duration = Duration::from_millis(4_500);
/// Time from an accepted stop to the end of the run. At most `stop-ms` is allowed.
const STOP_MS: u64 = 100;
const STARTUP_MS: u64 = 300;
/// Times after which TCP repeats what is not acknowledged, in milliseconds.
const REPEATS: [u64; 5] = [200, 600, 1_400, 3_000, 6_200];
const MAX_ENDS: usize = 500;

pub const CPU: u64 = 64_000;
pub const MEMORY_MB: u64 = 131_072;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Power {
    Up,
    /// It runs nothing and closes each connection.
    Down,
    /// It runs nothing and is silent.
    Dark,
}

struct Run {
    started: Instant,
    /// `None` for a task that lasts.
    run_ms: Option<u64>,
    stop_at: Option<Instant>,
}

struct State {
    power: Power,
    is_draining: bool,
    born: u64,
    clock: Instant,
    fence: u64,
    lease_end_ms: u64,
    runs: BTreeMap<(String, u64), Run>,
    closed: BTreeMap<String, u64>,
    ends: VecDeque<(u64, String, u64, &'static str)>,
    last_end: u64,
    seq: u64,
}

impl State {
    fn new() -> State {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        State {
            power: Power::Up,
            is_draining: false,
            born: unix.as_millis() as u64,
            clock: Instant::now(),
            fence: 0,
            lease_end_ms: 0,
            runs: BTreeMap::new(),
            closed: BTreeMap::new(),
            ends: VecDeque::new(),
            last_end: 0,
            seq: 0,
        }
    }

    fn clock_ms(&self) -> u64 {
        self.clock.elapsed().as_millis() as u64
    }

    /// A lease never shortens, and a longer one than allowed is cut to that.
    fn extend_lease(&mut self, deadline_ms: u64) {
        let deadline_ms = deadline_ms.min(self.clock_ms() + HOLD_MAX_MS);
        self.lease_end_ms = self.lease_end_ms.max(deadline_ms);
    }
}

struct Shared {
    id: String,
    service: String,
    address: SocketAddr,
    labels: [String; 2],
    zone: String,
    state: Mutex<State>,
    changed: Condvar,
    store: Store,
    ledger: Ledger,
    record: Record,
}

/// One machine with its worker.
#[derive(Clone)]
pub struct Worker(Arc<Shared>);

impl Worker {
    pub fn start(
        number: usize,
        service: &str,
        address: SocketAddr,
        store: &Store,
        ledger: &Ledger,
        record: &Record,
    ) -> std::io::Result<Worker> {
        let worker = Worker(Arc::new(Shared {
            id: format!("i-{number:08x}"),
            service: service.to_string(),
            address,
            labels: ["a".to_string(), format!("r1-{}", number / 4)],
            zone: ["moshi", "machame", "marangu"][number % 3].to_string(),
            state: Mutex::new(State::new()),
            changed: Condvar::new(),
            store: store.clone(),
            ledger: ledger.clone(),
            record: record.clone(),
        }));
        let server = worker.clone();
        http::serve(address, move |request| server.handle(&request))?;
        let clock = worker.clone();
        std::thread::spawn(move || clock.advance_always());
        let writer = worker.clone();
        std::thread::spawn(move || writer.write_always());
        Ok(worker)
    }

    pub fn id(&self) -> &str {
        &self.0.id
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn note(&self, what: String) {
        self.0.record.line(&format!("worker {} {what}", self.0.id));
    }

    /// Returns the tasks that run, with their attempts.
    pub fn running(&self) -> Vec<(String, u64)> {
        self.state().runs.keys().cloned().collect()
    }

    /// The worker ends, and all its connections are closed.
    pub fn crash(&self) {
        self.end_life(Power::Down);
    }

    /// The machine loses power: it is silent from now on.
    pub fn crash_silently(&self) {
        self.end_life(Power::Dark);
    }

    /// Reports that it drains, serves for `drain-ms` and a little longer, and leaves for good.
    pub fn leave(&self) {
        self.state().is_draining = true;
        self.note("drains".to_string());
        self.write_entry();
        std::thread::sleep(DRAIN_TIME);
        self.end_life(Power::Down);
        self.0.store.remove(&format!("servers/{}", self.0.id));
    }

    fn end_life(&self, power: Power) {
        let mut state = self.state();
        state.power = power;
        let runs: Vec<String> =
            std::mem::take(&mut state.runs).into_keys().map(|(task, n)| format!("{task}/{n}")).collect();
        self.0.ledger.on_crash(&self.0.id);
        drop(state);
        self.0.changed.notify_all();
        self.note(format!("ended under {}", runs.join(" ")));
    }

    /// The machine is back. Its worker has the same id and knows nothing of before.
    pub fn restart(&self) {
        let mut state = self.state();
        *state = State::new();
        let born = state.born;
        drop(state);
        self.note(format!("started again, born {born}"));
        self.write_entry();
    }

    fn write_entry(&self) {
        let shared = &self.0;
        let mut state = self.state();
        state.seq += 1;
        let entry = table(vec![
            ("service", text(&shared.service)),
            ("addr", text(&shared.address.to_string())),
            ("zone", text(&shared.zone)),
            ("version", text("v1")),
            ("slots", num(8)),
            ("state", text(if state.is_draining { "draining" } else { "ready" })),
            ("cold-left-ms", num(0)),
            (
                "capacity",
                table(vec![("cpu", num(CPU)), ("mem-mb", num(MEMORY_MB)), ("gpu", num(0))]),
            ),
            ("labels", Json::List(shared.labels.iter().map(|label| text(label)).collect())),
            ("clock-ms", num(state.clock_ms())),
            ("born", num(state.born)),
            ("seq", num(state.seq)),
        ]);
        drop(state);
        shared.store.put(&format!("servers/{}", shared.id), &entry.render());
    }

    fn write_always(&self) {
        let mut last = Instant::now();
        let mut is_listed = false;
        loop {
            if self.state().power == Power::Up {
                self.write_entry();
                (last, is_listed) = (Instant::now(), true);
            } else if is_listed && last.elapsed() >= ENTRY_LIFE {
                self.0.store.remove(&format!("servers/{}", self.0.id));
                is_listed = false;
            }
            std::thread::sleep(if is_listed && self.state().power == Power::Up {
                HEARTBEAT
            } else {
                HEARTBEAT / 10
            });
        }
    }

    fn advance_always(&self) {
        loop {
            std::thread::sleep(Duration::from_millis(5));
            self.advance(&mut self.state());
        }
    }

    /// Ends what is over.
    fn advance(&self, state: &mut State) {
        if state.power != Power::Up {
            return;
        }
        let has_lapsed = state.clock_ms() > state.lease_end_ms;
        let now = Instant::now();
        let mut over = Vec::new();
        for (key, run) in &state.runs {
            let is_done = run.run_ms.is_some_and(|ms| run.started.elapsed().as_millis() as u64 >= ms);
            if has_lapsed {
                over.push((key.clone(), "lapsed"));
            } else if run.stop_at.is_some_and(|at| now >= at) {
                over.push((key.clone(), "stopped"));
            } else if is_done {
                over.push((key.clone(), "done"));
            }
        }
        for ((task, attempt), how) in over {
            state.runs.remove(&(task.clone(), attempt));
            let closed = state.closed.entry(task.clone()).or_default();
            *closed = attempt.max(*closed);
            state.last_end += 1;
            let number = state.last_end;
            self.0.ledger.on_end(&self.0.id, &task, attempt);
            self.note(format!("end {task}/{attempt} {how}"));
            state.ends.push_back((number, task, attempt, how));
            self.0.changed.notify_all();
        }
    }

    fn handle(&self, request: &Request) -> Response {
        // What was connected to an earlier life is not to this one.
        if !self.is_reached() || request.opened < self.state().clock {
            return None;
        }
        let shared = &self.0;
        if request.header("Sycamorechute-Expect-Instance").is_some_and(|id| id != shared.id) {
            return Some((421, "{}".to_string()));
        }
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let reply = match request.path() {
            "/sycamorechute/run-start" => self.run_start(&body),
            "/sycamorechute/run-stop" => self.run_stop(&body),
            "/sycamorechute/hold" => self.hold(&body)?,
            "/healthz" => (200, table(vec![])),
            _ => (404, table(vec![])),
        };
        // A response is lost in a cut, too.
        (self.is_reached() && request.opened >= self.state().clock).then(|| (reply.0, reply.1.render()))
    }

    /// Returns whether a message gets through now. One that does not is lost, and its connection is
    /// closed when the sender's next repeat of it meets a worker that knows nothing of it.
    fn is_reached(&self) -> bool {
        let arrived = Instant::now();
        let mut state = self.state();
        if state.power == Power::Up {
            return true;
        }
        let mut repeats = REPEATS.iter().map(|ms| Duration::from_millis(*ms));
        let mut next = repeats.next();
        while let Some(at) = next {
            if state.power == Power::Down {
                return false;
            }
            let left = at.saturating_sub(arrived.elapsed());
            if left.is_zero() {
                if state.power == Power::Up {
                    return false;
                }
                next = repeats.next();
                continue;
            }
            let waited = self.0.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(|poisoned| poisoned.into_inner()).0;
        }
        false
    }

    fn refusal(state: &State, reason: &str) -> (u16, Json) {
        (409, table(vec![("clock-ms", num(state.clock_ms())), ("reason", text(reason))]))
    }

    fn run_start(&self, body: &Json) -> (u16, Json) {
        let (task, spec) = (body.get("task").text().to_string(), body.get("spec").text());
        let attempt = body.get("attempt").number().unwrap_or(0);
        let fence = body.get("fence").number().unwrap_or(0);
        let deadline_ms = body.get("deadline-ms").number().unwrap_or(0);
        let mut state = self.state();
        self.advance(&mut state);
        if fence < state.fence {
            return Worker::refusal(&state, "fence");
        }
        state.fence = fence;
        if deadline_ms < state.clock_ms() {
            return Worker::refusal(&state, "late");
        }
        state.extend_lease(deadline_ms);
        let key = (task.clone(), attempt);
        if !state.runs.contains_key(&key) {
            if state.closed.get(&task).is_some_and(|closed| attempt <= *closed) {
                return Worker::refusal(&state, "old");
            }
            let word = spec.split_whitespace().next().unwrap_or_default();
            let run_ms = word.strip_prefix("run-ms=").and_then(|ms| ms.parse().ok());
            let run_ms = if word == "lasting" { None } else { Some(run_ms.unwrap_or(500)) };
            state.runs.insert(key, Run { started: Instant::now(), run_ms, stop_at: None });
            self.note(format!("start {task}/{attempt} fence {fence}"));
            if let Some(breach) = self.0.ledger.on_start(&self.0.id, &task, attempt) {
                self.note(format!("runs twice: {breach}"));
            }
        }
        (200, table(vec![("clock-ms", num(state.clock_ms()))]))
    }

    fn run_stop(&self, body: &Json) -> (u16, Json) {
        let task = body.get("task").text().to_string();
        let attempt = body.get("attempt").number().unwrap_or(0);
        let fence = body.get("fence").number().unwrap_or(0);
        let mut state = self.state();
        if fence < state.fence {
            return Worker::refusal(&state, "fence");
        }
        state.fence = fence;
        self.note(format!("stop {task}/{attempt} fence {fence}"));
        let stop_at = Instant::now() + Duration::from_millis(STOP_MS);
        match state.runs.get_mut(&(task.clone(), attempt)) {
            Some(run) => {
                run.stop_at.get_or_insert(stop_at);
            }
            None => {
                let closed = state.closed.entry(task).or_default();
                *closed = attempt.max(*closed);
            }
        }
        (200, table(vec![("clock-ms", num(state.clock_ms()))]))
    }

    fn hold(&self, body: &Json) -> Option<(u16, Json)> {
        let fence = body.get("fence").number().unwrap_or(0);
        let ack = body.get("ack-seq").number().unwrap_or(0);
        let wait_ms = body.get("wait-ms").number().unwrap_or(0).min(2_000);
        let end = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.state();
        if fence < state.fence {
            return Some(Worker::refusal(&state, "fence"));
        }
        state.fence = fence;
        self.advance(&mut state);
        if let Some(deadline_ms) = body.get("deadline-ms").number() {
            state.extend_lease(deadline_ms);
        }
        while let Some((number, task, attempt, how)) = state.ends.front()
            && *number <= ack
        {
            if *how == "done" {
                self.0.ledger.on_noted_done(task);
            }
            self.note(format!("end {task}/{attempt} {how} taken note of"));
            state.ends.pop_front();
        }
        let born = state.born;
        loop {
            if state.power != Power::Up || state.born != born {
                drop(state);
                self.is_reached();
                return None;
            }
            let left = end.saturating_duration_since(Instant::now());
            if !state.ends.is_empty() || left.is_zero() {
                break;
            }
            let waited = self.0.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(|poisoned| poisoned.into_inner()).0;
        }
        let running = state.runs.iter().map(|((task, attempt), run)| {
            let elapsed_ms = run.started.elapsed().as_millis() as u64;
            let percent = match run.run_ms {
                Some(ms) => (100 * elapsed_ms / ms.max(1)).min(99),
                None => 100 * u64::from(elapsed_ms >= STARTUP_MS),
            };
            Json::List(vec![text(task), num(*attempt), text(""), num(percent), num(0)])
        });
        let ends = state.ends.iter().take(MAX_ENDS).map(|(number, task, attempt, how)| {
            Json::List(vec![num(*number), text(task), num(*attempt), text(how), text("")])
        });
        let rows = vec![
            ("clock-ms", num(state.clock_ms())),
            ("born", num(state.born)),
            ("running", Json::List(running.collect())),
            ("finished", Json::List(ends.collect())),
        ];
        Some((200, table(rows)))
    }
}
