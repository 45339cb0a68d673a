//! Stand-in for a worker (PROTOCOL.md, "Running tasks" and "Service discovery").
//!
//! A task does what its `spec` says: `ms=N` ends as done after N ms; `lasts` is at work after 300 ms
//! until it is stopped, or until `done-after=N` or `fails-after=N` ms; `fails-after=N` without `lasts`
//! fails after N ms.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Request, Server};
use crate::json::{Json, number, object};
use crate::record::{Record, unix_ms};
use crate::store::Store;

/// Longest lease, `hold-max-ms` of the sites.
pub const HOLD_MAX_MS: u64 = 6_000;

/// Interval of the status reports, `heartbeat-ms` of the sites.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// Time from the start of a task that lasts until it is at work.
const STARTUP: Duration = Duration::from_millis(300);

/// What stays the same when a worker starts again.
#[derive(Clone)]
pub struct Machine {
    pub address: SocketAddr,
    pub service: String,
    pub zone: String,
    pub rack: String,
    pub cpu: u64,
    pub mem_mb: u64,
}

struct Run {
    started: Instant,
    spec: String,
}

fn field(spec: &str, name: &str) -> Option<u64> {
    spec.split_whitespace()
        .find_map(|word| word.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
}

impl Run {
    fn lasts(&self) -> bool {
        self.spec.split_whitespace().any(|word| word == "lasts")
    }

    fn percent(&self) -> u64 {
        let elapsed = self.started.elapsed();
        if self.lasts() {
            return if elapsed >= STARTUP { 100 } else { 0 };
        }
        let ms = field(&self.spec, "ms").unwrap_or(1_000).max(1);
        (elapsed.as_millis() as u64 * 100 / ms).min(99)
    }

    /// How the run ends by itself, if it does now.
    fn end(&self) -> Option<&'static str> {
        let elapsed_ms = self.started.elapsed().as_millis() as u64;
        if field(&self.spec, "fails-after").is_some_and(|ms| elapsed_ms >= ms) {
            return Some("failed");
        }
        let done_ms = if self.lasts() {
            field(&self.spec, "done-after")
        } else {
            Some(field(&self.spec, "ms").unwrap_or(1_000))
        };
        done_ms.is_some_and(|ms| elapsed_ms >= ms).then_some("done")
    }
}

/// One life of a worker.
struct Life {
    id: String,
    kind: String,
    born: u64,
    clock: Instant,
    fence: u64,
    lease_end_ms: u64,
    runs: BTreeMap<(String, u64), Run>,
    /// Highest attempt that was stopped or has ended, by task.
    closed: BTreeMap<String, u64>,
    ends: VecDeque<(u64, String, u64, &'static str)>,
    last_end: u64,
    seq: u64,
    is_busy: bool,
    /// Starts refused because it is busy.
    refused: u64,
    record: Record,
}

/// A worker and its server. It is down between [`Worker::crash`] and [`Worker::start`].
pub struct Worker {
    pub name: String,
    pub machine: Machine,
    store: Store,
    record: Record,
    life: Option<(Arc<Mutex<Life>>, Server, Arc<AtomicBool>)>,
}

impl Worker {
    pub fn new(name: &str, machine: Machine, store: Store, record: Record) -> Worker {
        Worker { name: name.to_string(), machine, store, record, life: None }
    }

    /// Starts a life with an id and a kind. It registers itself at once.
    pub fn start(&mut self, id: &str, kind: &str) -> std::io::Result<()> {
        let life = Arc::new(Mutex::new(Life {
            id: id.to_string(),
            kind: kind.to_string(),
            born: unix_ms(),
            clock: Instant::now(),
            fence: 0,
            lease_end_ms: 0,
            runs: BTreeMap::new(),
            closed: BTreeMap::new(),
            ends: VecDeque::new(),
            last_end: 0,
            seq: 0,
            is_busy: false,
            refused: 0,
            record: self.record.clone(),
        }));
        let shared = life.clone();
        let server = Server::start(self.machine.address, move |request| answer(&shared, &request))?;
        let down = Arc::new(AtomicBool::new(false));
        let (shared, is_down) = (life.clone(), down.clone());
        let (machine, store) = (self.machine.clone(), self.store.clone());
        std::thread::spawn(move || live(&shared, &is_down, &machine, &store));
        self.record.note(&format!("worker {} starts as {id}, kind {kind}", self.name));
        self.life = Some((life, server, down));
        Ok(())
    }

    /// Ends the life as the loss of its process does. Its entry goes after three intervals.
    pub fn crash(&mut self) {
        let Some((life, mut server, down)) = self.life.take() else { return };
        down.store(true, Ordering::Relaxed);
        server.kill();
        let mut life = life.lock().unwrap();
        self.record.note(&format!("worker {} ({}) crashes", self.name, life.id));
        let runs: Vec<(String, u64)> = life.runs.keys().cloned().collect();
        for (task, attempt) in runs {
            life.runs.remove(&(task.clone(), attempt));
            life.record.ended(&life.id, &task, attempt, "crashed");
        }
        let (store, key) = (self.store.clone(), format!("servers/{}", life.id));
        std::thread::spawn(move || {
            std::thread::sleep(3 * HEARTBEAT);
            store.remove(&key);
        });
    }

    /// While it is busy, the worker answers starts with 503 and does nothing for them.
    pub fn set_busy(&self, is_busy: bool) {
        if let Some((life, ..)) = &self.life {
            life.lock().unwrap().is_busy = is_busy;
            let words = if is_busy { "answers starts with 503" } else { "serves starts again" };
            self.record.note(&format!("worker {} {words}", self.name));
        }
    }

    /// Returns whether the worker runs a task whose name begins so.
    pub fn runs(&self, prefix: &str) -> bool {
        let Some((life, ..)) = &self.life else { return false };
        life.lock().unwrap().runs.keys().any(|(task, _)| task.starts_with(prefix))
    }
}

/// Advances the runs and writes the entry until the life ends.
fn live(life: &Mutex<Life>, is_down: &AtomicBool, machine: &Machine, store: &Store) {
    let mut next_entry = Instant::now();
    while !is_down.load(Ordering::Relaxed) {
        {
            let mut life = life.lock().unwrap();
            life.advance();
            if Instant::now() >= next_entry && !is_down.load(Ordering::Relaxed) {
                next_entry += HEARTBEAT;
                life.seq += 1;
                store.put(&format!("servers/{}", life.id), &life.entry(machine));
            }
        }
        std::thread::sleep(Duration::from_millis(3));
    }
}

fn answer(life: &Mutex<Life>, request: &Request) -> Option<(u16, String)> {
    let body = Json::parse(&request.body).unwrap_or(Json::Null);
    let call = request.path.rsplit('/').next().unwrap_or("").to_string();
    let (status, body) = {
        let mut life = life.lock().unwrap();
        if request.header("sycamorechute-expect-instance").is_some_and(|id| id != life.id) {
            (421, object([]))
        } else {
            life.call(&call, &body)
        }
    };
    if call != "hold" || status != 200 {
        return Some((status, body.to_string()));
    }
    let wait = Duration::from_millis(request_wait(&request.body));
    let started = Instant::now();
    loop {
        {
            let mut life = life.lock().unwrap();
            life.advance();
            if !life.ends.is_empty() || started.elapsed() >= wait {
                return Some((200, life.report().to_string()));
            }
        }
        std::thread::sleep(Duration::from_millis(2));
    }
}

fn request_wait(body: &str) -> u64 {
    let body = Json::parse(body).unwrap_or(Json::Null);
    body.get("wait-ms").as_u64().unwrap_or(0).min(2_000)
}

impl Life {
    fn clock_ms(&self) -> u64 {
        self.clock.elapsed().as_millis() as u64
    }

    fn entry(&self, machine: &Machine) -> Json {
        let (cpu, mem_mb) = (number(machine.cpu), number(machine.mem_mb));
        object([
            ("service", Json::text(&machine.service)),
            ("addr", Json::text(machine.address.to_string())),
            ("zone", Json::text(&machine.zone)),
            ("version", Json::text("v1")),
            ("slots", number(8)),
            ("state", Json::text("ready")),
            ("cold-left-ms", number(0)),
            ("capacity", object([("cpu", cpu), ("mem-mb", mem_mb), ("gpu", number(0))])),
            ("labels", Json::List(vec![Json::text(&self.kind), Json::text(&machine.rack)])),
            ("clock-ms", number(self.clock_ms())),
            ("seq", number(self.seq)),
            ("born", number(self.born)),
        ])
    }

    fn advance(&mut self) {
        if self.clock_ms() > self.lease_end_ms {
            let runs: Vec<(String, u64)> = self.runs.keys().cloned().collect();
            runs.into_iter().for_each(|(task, attempt)| self.end(&task, attempt, "lapsed"));
        }
        let ended = |(key, run): (&(String, u64), &Run)| Some((key.clone(), run.end()?));
        let ended: Vec<_> = self.runs.iter().filter_map(ended).collect();
        for ((task, attempt), how) in ended {
            self.end(&task, attempt, how);
        }
    }

    fn end(&mut self, task: &str, attempt: u64, how: &'static str) {
        if self.runs.remove(&(task.to_string(), attempt)).is_none() {
            return;
        }
        self.close(task, attempt);
        self.last_end += 1;
        self.ends.push_back((self.last_end, task.to_string(), attempt, how));
        self.record.ended(&self.id, task, attempt, how);
    }

    fn close(&mut self, task: &str, attempt: u64) {
        let closed = self.closed.entry(task.to_string()).or_default();
        *closed = (*closed).max(attempt);
    }

    fn call(&mut self, call: &str, body: &Json) -> (u16, Json) {
        self.advance();
        let clock = ("clock-ms", number(self.clock_ms()));
        let refused = |reason: &str| (409, object([clock.clone(), ("reason", Json::text(reason))]));
        let fence = body.get("fence").as_u64().unwrap_or(0);
        if fence < self.fence {
            return refused("fence");
        }
        if call == "run-start" && self.is_busy {
            self.refused += 1;
            if self.refused.is_power_of_two() || self.refused % 10_000 == 0 {
                let task = body.get("task").as_str().unwrap_or("");
                let text = format!("{} has refused {} starts, now {task}", self.id, self.refused);
                self.record.note(&text);
            }
            return (503, object([clock]));
        }
        self.fence = fence;
        let task = body.get("task").as_str().unwrap_or("").to_string();
        let attempt = body.get("attempt").as_u64().unwrap_or(0);
        match call {
            "run-start" => {
                let key = (task.clone(), attempt);
                if self.runs.contains_key(&key) {
                    return (200, object([clock]));
                }
                if self.clock_ms() > body.get("deadline-ms").as_u64().unwrap_or(0) {
                    return refused("late");
                }
                self.extend(body);
                if self.closed.get(&task).is_some_and(|closed| attempt <= *closed) {
                    return refused("old");
                }
                let spec = body.get("spec").as_str().unwrap_or("").to_string();
                self.runs.insert(key, Run { started: Instant::now(), spec });
                self.record.started(&self.id, &task, attempt);
            }
            "run-stop" => {
                self.close(&task, attempt);
                self.end(&task, attempt, "stopped");
            }
            "hold" => {
                self.extend(body);
                let ack = body.get("ack-seq").as_u64().unwrap_or(0);
                while self.ends.front().is_some_and(|(seq, ..)| *seq <= ack) {
                    self.ends.pop_front();
                }
            }
            _ => return (404, object([])),
        }
        (200, object([clock]))
    }

    fn extend(&mut self, body: &Json) {
        if let Some(deadline_ms) = body.get("deadline-ms").as_u64() {
            let most_ms = self.clock_ms() + HOLD_MAX_MS;
            self.lease_end_ms = self.lease_end_ms.max(deadline_ms.min(most_ms));
        }
    }

    fn report(&self) -> Json {
        let running = self.runs.iter().map(|((task, attempt), run)| {
            let cells = [Json::text(task), number(*attempt), Json::text(""), number(run.percent())];
            Json::List(cells.into_iter().chain([number(100)]).collect())
        });
        let ended = self.ends.iter().take(500).map(|(seq, task, attempt, how)| {
            let cells = [number(*seq), Json::text(task), number(*attempt), Json::text(*how)];
            Json::List(cells.into_iter().chain([Json::text("")]).collect())
        });
        object([
            ("clock-ms", number(self.clock_ms())),
            ("born", number(self.born)),
            ("running", Json::List(running.collect())),
            ("finished", Json::List(ended.collect())),
        ])
    }
}
