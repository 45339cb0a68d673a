//! Simulated platform of one test: a store and one worker with 8 cores.

use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use sycamore_standin::fenced::{
    self, Capacity, Mode, Observation, Observer, Queue, Store, Team, Worker,
};
use sycamore_standin::link::{LinkState, Proxy};

use crate::process::call_with_headers;
use crate::{GUEST_KEY, KEY};

/// Counts starts of tasks that are already running or done, and runs whose lease ended.
#[derive(Clone, Debug, Default)]
pub struct DuplicateStarts {
    started_tasks: Arc<Mutex<Vec<String>>>,
    count: Arc<AtomicU32>,
    /// Time of each start, of new tasks and others.
    times: Arc<Mutex<Vec<Instant>>>,
    lapsed: Arc<AtomicU32>,
}

impl Observer for DuplicateStarts {
    fn observe(&self, _worker: &str, observation: Observation) {
        let mut started_tasks = self.started_tasks.lock().unwrap_or_else(PoisonError::into_inner);
        match observation {
            Observation::Started { task, .. } => {
                if started_tasks.contains(&task) {
                    self.count.fetch_add(1, Ordering::Relaxed);
                }
                started_tasks.push(task);
                self.times.lock().unwrap_or_else(PoisonError::into_inner).push(Instant::now());
            }
            // A task that ended in any other way may be started again.
            Observation::Ended { task, how, .. } if how != "done" => {
                if how == "lapsed" {
                    self.lapsed.fetch_add(1, Ordering::Relaxed);
                }
                started_tasks.retain(|t| *t != task)
            }
            Observation::Ended { .. } | Observation::Noted { .. } => {}
        }
    }
}

pub struct Platform {
    pub address: SocketAddr,
    store: Store,
    duplicate_starts: DuplicateStarts,
    worker: Mutex<Worker<DuplicateStarts>>,
    /// Address of the worker, in all its incarnations.
    worker_link: Proxy,
    restarts: AtomicU32,
}

impl Platform {
    pub async fn start() -> Platform {
        let store = Store::start().await.expect("a free port");
        let duplicate_starts = DuplicateStarts::default();
        let worker = start_worker("worker-1", &duplicate_starts).await;
        let worker_link = Proxy::start(worker.address()).await.expect("a free port");
        store.add_worker("worker-1", &worker.entry("desk", worker_link.address));
        store.configure(&config());
        Platform {
            address: store.server.address,
            store,
            duplicate_starts,
            worker: Mutex::new(worker),
            worker_link,
            restarts: AtomicU32::new(0),
        }
    }

    /// Makes all queues need advice, whose calls take this many milliseconds.
    pub fn require_advice(&self, call_ms: u64) {
        let mut config = fenced::with_advice(config(), call_ms, 0);
        config["version"] = 2.into();
        self.store.configure(&config);
    }

    /// Sets the time limit of callers' requests, in milliseconds.
    #[allow(dead_code, reason = "used by the tests in `clients`")]
    pub fn set_request_timeout(&self, version: u64, timeout_ms: u64) {
        let mut config = config();
        config["version"] = version.into();
        config["routes"][0]["timeout-ms"] = timeout_ms.into();
        self.store.configure(&config);
    }

    /// Starts the worker again under another id, at the same address, if a task has crashed it.
    pub async fn restart_crashed_worker(&self) {
        if !self.lock_worker().has_crashed() {
            return;
        }
        let number = self.restarts.fetch_add(1, Ordering::Relaxed) + 2;
        let id = format!("worker-{number}");
        let worker = start_worker(&id, &self.duplicate_starts).await;
        self.worker_link.retarget(worker.address());
        self.store.add_worker(&id, &worker.entry("desk", self.worker_link.address));
        *self.lock_worker() = worker;
    }

    /// Takes the worker down and starts it again under another id, at the same address.
    pub async fn replace_worker(&self) {
        self.lock_worker().crash();
        self.restart_crashed_worker().await;
    }

    /// Writes entries to the list of workers as another writer might. Each is the worker's own one
    /// with one change. Every page of the list then holds a single entry.
    ///
    /// Returns their number.
    pub fn add_foreign_entries(&self) -> usize {
        self.store.set_max_page_items(1);
        let entry = self.lock_worker().entry("desk", self.worker_link.address);
        let change = |field: &str, value: Value| {
            let mut entry = entry.clone();
            entry[field] = value;
            entry
        };
        let text = change("seq", json!("?")).to_string();
        let odd_seq = |seq: &str| text.replace("\"?\"", seq).into_bytes();
        // It would be the successor of the worker at its address.
        let mut odd_service = change("service", json!("odd"));
        odd_service["born"] = json!(entry["born"].as_u64().unwrap_or(0) + 1);
        let foreign = [
            ("a&b#c=\u{e9}/ %", change("state", json!("odd")).to_string().into_bytes()),
            ("control\u{7}", entry.to_string().into_bytes()),
            ("nested", odd_seq(&("[".repeat(100_000) + &"]".repeat(100_000)))),
            ("no-text", vec![0xff; 10]),
            ("port", change("addr", json!("127.0.0.1:70000")).to_string().into_bytes()),
            ("service", odd_service.to_string().into_bytes()),
            ("too-large", odd_seq("18446744073709551616")),
            ("way-too-large", odd_seq("1e400")),
            ("zero", change("addr", json!("127.0.0.1:0")).to_string().into_bytes()),
        ];
        foreign
            .iter()
            .for_each(|(id, value)| self.store.overwrite(&format!("servers/{id}"), value));
        foreign.len()
    }

    fn lock_worker(&self) -> MutexGuard<'_, Worker<DuplicateStarts>> {
        self.worker.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Resets connections to the worker unless they come from an address.
    pub fn limit_worker_to(&self, source: IpAddr) {
        self.worker_link.set_state(LinkState::Reset);
        self.worker_link.set_state_from(source, LinkState::Slow(1));
    }

    /// Puts a link in the given state between a process and the store.
    pub async fn store_link(&self, state: LinkState) -> Proxy {
        let link = Proxy::start(self.address).await.expect("a free port");
        link.set_state(state);
        link
    }

    /// Writes a configuration with this many further queues, `/added-0/` and so on.
    pub fn add_queues(&self, version: u64, count: usize) {
        let prefixes = (0..count).map(|number| format!("/added-{number}/"));
        self.store.configure(&fenced::with_queues(config(), version, prefixes));
    }

    /// Writes a configuration that has another queue in place of the usual one.
    pub fn replace_queue(&self, version: u64) {
        let mut config = config();
        config["version"] = version.into();
        config["routes"][0]["name"] = "others".into();
        config["routes"][0]["prefix"] = "/others/".into();
        self.store.configure(&config);
    }

    /// Returns the keys of the log under which definitions of queues are stored.
    pub fn definition_keys(&self) -> Vec<String> {
        self.store.keys("sycamore/log/", ".queues")
    }

    pub fn set_store_unavailable(&self, is_unavailable: bool) {
        self.store.set_mode(if is_unavailable { Mode::Unavailable } else { Mode::Normal });
    }

    /// Refuses reads of the list of workers, and nothing else.
    pub fn set_workers_unlisted(&self, is_unlisted: bool) {
        if is_unlisted {
            self.store.refuse_prefix("servers/");
        } else {
            self.store.serve_all_prefixes();
        }
    }

    /// Evacuates the failure domain of the worker. The store has acknowledged it on return.
    pub fn evacuate(&self) {
        self.store.evacuate("a");
    }

    pub fn end_evacuation(&self) {
        self.store.end_evacuation("a");
    }

    /// Returns whether a task of a job has started on the worker and has not been cut off.
    pub fn has_started(&self, job: &str) -> bool {
        let started = &self.duplicate_starts.started_tasks;
        let started = started.lock().unwrap_or_else(PoisonError::into_inner);
        started.iter().any(|task| task.starts_with(job))
    }

    /// Returns the times of all starts on the worker.
    pub fn start_times(&self) -> Vec<Instant> {
        self.duplicate_starts.times.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Answers each transaction of the store with 502 after it has been carried out.
    pub fn set_store_responses_hidden(&self, is_hidden: bool) {
        self.store.set_mode(if is_hidden { Mode::HidesResponses } else { Mode::Normal });
    }

    /// Polls the worker with a fencing token, as an owner of that epoch would.
    pub async fn fence_worker(&self, epoch: u64) {
        let url = format!("http://{}/sycamorechute/hold", self.worker_link.address);
        let body = format!("{{\"fence\":{epoch},\"ack-seq\":0}}");
        let headers = [("sycamorechute-expect-instance", "worker-1")];
        let response = call_with_headers("POST", &url, &headers, &body).await;
        assert_eq!(response.map(|(status, _)| status), Some(200));
    }

    /// Writes the owner record that another process would write if it won this epoch. Nothing
    /// answers at its address.
    pub fn replace_owner(&self, epoch: u64) {
        let record = json!({
            "epoch": epoch, "host": "other", "address": "127.0.0.1:9", "nonce": 1,
            "is_vacant": false,
        });
        self.store.overwrite("sycamore/owner", record.to_string().as_bytes());
    }

    pub fn corrupt_owner_record(&self) {
        self.store.overwrite("sycamore/owner", b"not a record");
    }

    /// Delays each reply of the store beyond all timeouts.
    pub fn set_store_stalled(&self, is_stalled: bool) {
        let stalled = Mode::Slow(Duration::from_secs(30));
        self.store.set_mode(if is_stalled { stalled } else { Mode::Normal });
    }

    /// Returns the number of runs that ended with the worker's lease.
    pub fn lapsed_runs(&self) -> u32 {
        self.duplicate_starts.lapsed.load(Ordering::Relaxed)
    }

    pub fn duplicate_starts(&self) -> u32 {
        self.duplicate_starts.count.load(Ordering::Relaxed)
    }
}

async fn start_worker(id: &str, observer: &DuplicateStarts) -> Worker<DuplicateStarts> {
    let capacity = Capacity { cpu_millis: 8_000, memory_mib: 1_000 };
    Worker::start(id, capacity, observer.clone()).await.expect("a free port")
}

fn config() -> Value {
    let team = |name: &str, key: &str, limit_cpu_millis| Team {
        name: name.to_string(),
        key: key.to_string(),
        limit_cpu_millis,
    };
    let teams = [team("clerks", KEY, 0), team("guests", GUEST_KEY, 500)];
    let queue = Queue { host: "127.0.0.1", prefix: "/checks/", service: "desk", max_attempts: 4 };
    fenced::config(&queue, &teams)
}
