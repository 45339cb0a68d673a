//! A worker, as `PROTOCOL.md` describes it: starts, stops, `hold`, one lease for all that runs, fences,
//! ends that are listed (500 at a time) until they are acknowledged. It rejects nothing for want of
//! room, as `admission-control` is false, and guards no capacity.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Reply, Request};
use crate::json::{Json, quoted};
use crate::ledger::{Ledger, What};
use crate::store::Store;

/// `hold-max-ms` of the settings.
pub static HOLD_MAX_MS: AtomicU64 = AtomicU64::new(6_000);
const ENDS_A_REPORT: usize = 500;
const HEARTBEAT: Duration = Duration::from_millis(1_500);

type Key = (String, u64);

struct Run {
    started: Instant,
    duration: Duration,
    /// How it ends.
    how: &'static str,
}

/// One life of a worker.
struct Life {
    born: u64,
    started: Instant,
    fence: u64,
    lease_ms: u64,
    runs: BTreeMap<Key, Run>,
    by_end: BTreeSet<(Instant, Key)>,
    closed: BTreeMap<String, u64>,
    ends: VecDeque<(u64, String, u64, &'static str)>,
    last_end: u64,
    has_lapsed: bool,
}

impl Life {
    fn new() -> Life {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Life {
            born: born.as_millis() as u64,
            started: Instant::now(),
            fence: 0,
            lease_ms: HOLD_MAX_MS.load(Ordering::Relaxed),
            runs: BTreeMap::new(),
            by_end: BTreeSet::new(),
            closed: BTreeMap::new(),
            ends: VecDeque::new(),
            last_end: 0,
            has_lapsed: false,
        }
    }

    fn clock_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}

pub struct Worker {
    pub id: String,
    pub address: SocketAddr,
    service: String,
    /// Kind and rack.
    labels: Mutex<(String, String)>,
    cpu: u64,
    life: Mutex<Life>,
    changed: Condvar,
    is_down: AtomicBool,
    /// Calls get neither an answer nor a reset.
    is_silent: AtomicBool,
    store: Arc<Store>,
    ledger: Arc<Ledger>,
}

impl Worker {
    pub fn start(
        id: &str,
        ip: &str,
        service: &str,
        rack: &str,
        cpu: u64,
        store: &Arc<Store>,
        ledger: &Arc<Ledger>,
    ) -> Arc<Worker> {
        let listener = TcpListener::bind((ip, 0)).expect("a port for a worker");
        let worker = Arc::new(Worker {
            id: id.to_string(),
            address: listener.local_addr().expect("its address"),
            service: service.to_string(),
            labels: Mutex::new(("a".to_string(), rack.to_string())),
            cpu,
            life: Mutex::new(Life::new()),
            changed: Condvar::new(),
            is_down: AtomicBool::new(false),
            is_silent: AtomicBool::new(false),
            store: store.clone(),
            ledger: ledger.clone(),
        });
        let served = worker.clone();
        http::serve(listener, Arc::new(move |request| served.handle(&request)));
        let (beating, timed) = (worker.clone(), worker.clone());
        std::thread::spawn(move || beating.beat());
        std::thread::spawn(move || timed.advance());
        worker
    }

    /// The worker loses power for good: what runs is gone, it writes nothing, and calls get neither an
    /// answer nor a reset.
    pub fn lose_power(&self) {
        self.is_silent.store(true, Ordering::SeqCst);
        self.crash();
    }

    /// The worker crashes: what runs is gone, calls get no answer, and it writes nothing.
    pub fn crash(&self) {
        self.is_down.store(true, Ordering::SeqCst);
        let mut life = self.life.lock().unwrap();
        for (task, attempt) in life.runs.keys() {
            self.ledger.note(&self.id, task, *attempt, What::Ended("crashed"));
        }
        *life = Life::new();
        self.changed.notify_all();
    }

    /// It starts again under the same id and address, and knows nothing of before.
    pub fn restart(&self) {
        *self.life.lock().unwrap() = Life::new();
        self.is_down.store(false, Ordering::SeqCst);
        self.write_entry(0);
    }

    /// Changes the kind of the worker, which is the first of its labels.
    pub fn set_kind(&self, kind: &str) {
        self.labels.lock().unwrap().0 = kind.to_string();
        if !self.is_down() {
            self.write_entry(0);
        }
    }

    pub fn running(&self) -> Vec<Key> {
        self.life.lock().unwrap().runs.keys().cloned().collect()
    }

    /// Returns how many ends are listed and not acknowledged.
    pub fn listed_ends(&self) -> usize {
        self.life.lock().unwrap().ends.len()
    }

    fn is_down(&self) -> bool {
        self.is_down.load(Ordering::SeqCst)
    }

    fn write_entry(&self, sequence: u64) {
        let born = self.life.lock().unwrap().born;
        let (kind, rack) = self.labels.lock().unwrap().clone();
        let entry = format!(
            "{{\"service\":{},\"addr\":\"{}\",\"zone\":\"north\",\"version\":\"1\",\"slots\":8,\
             \"state\":\"ready\",\"cold-left-ms\":0,\"seq\":{sequence},\"born\":{born},\
             \"labels\":[{},{}],\"capacity\":{{\"cpu\":{},\"mem-mb\":131072,\"gpu\":0}}}}",
            quoted(&self.service),
            self.address,
            quoted(&kind),
            quoted(&rack),
            self.cpu
        );
        self.store.put(&format!("servers/{}", self.id), &entry);
    }

    fn beat(&self) {
        let mut missed = 0;
        for sequence in 1.. {
            if self.is_down() {
                missed += 1;
                // The store drops the entry after three intervals of silence.
                if missed == 3 {
                    self.store.remove(&format!("servers/{}", self.id));
                }
            } else {
                missed = 0;
                self.write_entry(sequence);
            }
            std::thread::sleep(HEARTBEAT);
        }
    }

    /// Ends runs in time, and all of them when the lease has expired.
    fn advance(&self) {
        let mut life = self.life.lock().unwrap();
        loop {
            let now = Instant::now();
            let is_over = life.clock_ms() > life.lease_ms;
            if is_over && !std::mem::replace(&mut life.has_lapsed, is_over) && !self.is_down() {
                self.ledger.note(&self.id, "", 0, What::Lapsed);
            }
            life.has_lapsed = is_over;
            if is_over {
                let keys: Vec<Key> = life.runs.keys().cloned().collect();
                for key in keys {
                    self.end(&mut life, &key, "lapsed");
                }
            }
            while let Some((at, key)) = life.by_end.first().cloned()
                && at <= now
            {
                let how = life.runs.get(&key).map_or("done", |run| run.how);
                self.end(&mut life, &key, how);
            }
            let next = life.by_end.first().map(|(at, _)| at.saturating_duration_since(now));
            let wait = next.unwrap_or(HEARTBEAT).min(Duration::from_millis(50));
            life = self.changed.wait_timeout(life, wait).unwrap().0;
        }
    }

    fn end(&self, life: &mut Life, key: &Key, how: &'static str) {
        let Some(run) = life.runs.remove(key) else { return };
        life.by_end.remove(&(run.started + run.duration, key.clone()));
        let closed = life.closed.entry(key.0.clone()).or_default();
        *closed = (*closed).max(key.1);
        life.last_end += 1;
        life.ends.push_back((life.last_end, key.0.clone(), key.1, how));
        self.ledger.note(&self.id, &key.0, key.1, What::Ended(how));
        self.changed.notify_all();
    }

    fn handle(&self, request: &Request) -> Reply {
        if self.is_down() {
            return self.no_answer();
        }
        if request.expected_instance.as_ref().is_some_and(|expected| *expected != self.id) {
            return Some((421, "{}".into()));
        }
        let Some(body) = Json::parse(&request.body) else { return Some((400, "{}".into())) };
        let call = request.path.rsplit('/').next().unwrap_or_default();
        let reply = match call {
            "run-start" => self.run_start(&body),
            "run-stop" => self.run_stop(&body),
            "hold" => self.hold(&body),
            _ => (404, "{}".into()),
        };
        if self.is_down() { self.no_answer() } else { Some(reply) }
    }

    /// Closes the connection, or leaves it open for as long as the process runs.
    fn no_answer(&self) -> Reply {
        while self.is_silent.load(Ordering::SeqCst) {
            std::thread::sleep(HEARTBEAT);
        }
        None
    }

    fn refuse(life: &Life, reason: &str) -> (u16, String) {
        (
            409,
            format!(
                "{{\"clock-ms\":{},\"born\":{},\"reason\":\"{reason}\"}}",
                life.clock_ms(),
                life.born
            ),
        )
    }

    fn extend(life: &mut Life, body: &Json) {
        if !body.get("deadline-ms").is_null() {
            let most = life.clock_ms() + HOLD_MAX_MS.load(Ordering::Relaxed);
            life.lease_ms = life.lease_ms.max(body.get("deadline-ms").u64().min(most));
        }
    }

    fn run_start(&self, body: &Json) -> (u16, String) {
        let mut life = self.life.lock().unwrap();
        let key = (body.get("task").text().to_string(), body.get("attempt").u64());
        let fence = body.get("fence").u64();
        if fence < life.fence {
            return Worker::refuse(&life, "fence");
        }
        life.fence = fence;
        let ok = format!("{{\"clock-ms\":{},\"born\":{}}}", life.clock_ms(), life.born);
        if life.runs.contains_key(&key) {
            return (200, ok);
        }
        if life.clock_ms() > body.get("deadline-ms").u64() {
            return Worker::refuse(&life, "late");
        }
        Worker::extend(&mut life, body);
        if life.closed.get(&key.0).is_some_and(|closed| key.1 <= *closed) {
            return Worker::refuse(&life, "old");
        }
        let spec = body.get("spec").text();
        let number = spec.split(';').next().and_then(|part| part.strip_prefix("ms="));
        let duration = Duration::from_millis(number.and_then(|n| n.parse().ok()).unwrap_or(500));
        let run = Run { started: Instant::now(), duration, how: "done" };
        life.by_end.insert((run.started + duration, key.clone()));
        self.ledger.note(&self.id, &key.0, key.1, What::Started);
        life.runs.insert(key, run);
        self.changed.notify_all();
        (200, ok)
    }

    fn run_stop(&self, body: &Json) -> (u16, String) {
        let mut life = self.life.lock().unwrap();
        let key = (body.get("task").text().to_string(), body.get("attempt").u64());
        let fence = body.get("fence").u64();
        if fence < life.fence {
            return Worker::refuse(&life, "fence");
        }
        life.fence = fence;
        let closed = life.closed.entry(key.0.clone()).or_default();
        *closed = (*closed).max(key.1);
        self.end(&mut life, &key, "stopped");
        (200, format!("{{\"clock-ms\":{},\"born\":{}}}", life.clock_ms(), life.born))
    }

    fn hold(&self, body: &Json) -> (u16, String) {
        let mut life = self.life.lock().unwrap();
        let fence = body.get("fence").u64();
        if fence < life.fence {
            return Worker::refuse(&life, "fence");
        }
        life.fence = fence;
        Worker::extend(&mut life, body);
        let acknowledged = body.get("ack-seq").u64();
        while life.ends.front().is_some_and(|(number, ..)| *number <= acknowledged) {
            if let Some((_, task, attempt, how)) = life.ends.pop_front() {
                self.ledger.note(&self.id, &task, attempt, What::Noted(how));
            }
        }
        let born = life.born;
        let wait = Duration::from_millis(body.get("wait-ms").u64().min(2_000));
        let end = Instant::now() + wait;
        while life.ends.is_empty() && Instant::now() < end && life.born == born {
            let left = end.saturating_duration_since(Instant::now());
            life = self.changed.wait_timeout(life, left).unwrap().0;
        }
        let running = life.runs.iter().map(|((task, attempt), run)| {
            let share = run.started.elapsed().as_secs_f64() / run.duration.as_secs_f64().max(0.001);
            format!("[\"{task}\",{attempt},\"\",{},0]", (share.min(1.0) * 100.0) as u64)
        });
        let running = running.collect::<Vec<_>>().join(",");
        let finished = life.ends.iter().take(ENDS_A_REPORT);
        let finished = finished.map(|(number, task, attempt, how)| {
            format!("[{number},\"{task}\",{attempt},\"{how}\",\"\"]")
        });
        let finished = finished.collect::<Vec<_>>().join(",");
        let body = format!(
            "{{\"clock-ms\":{},\"born\":{},\"running\":[{running}],\"finished\":[{finished}]}}",
            life.clock_ms(),
            life.born
        );
        (200, body)
    }
}
