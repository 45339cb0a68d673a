//! Measures what an owner spends on its workers, directly or through executors.
//!
//! Starts a simulated store and workers in this process, and real processes of
//! `sycamore-node` on loopback. The owner uses executors if there are enough workers and at least
//! one peer; without peers it calls all workers itself.
//!
//! `cargo build --release -p sycamore-node --bin sycamore-node --example executor_cost`, then
//! `target/release/examples/executor_cost WORKERS PEERS JOBS_PER_SECOND SECONDS`

use std::net::{Ipv4Addr, SocketAddr};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use sycamore_platform::site;
use sycamore_standin::fenced::{self, Capacity, ProcessSettings, Queue, Step, Store, Team, Worker};
use sycamore_standin::ports::Port;

const KEY: &str = "key-of-clerks";

/// Tasks of each job, and their duration.
const TASKS: u32 = 10;
const TASK_MS: u64 = 200;

/// Time until executors are in use, and the connections that the owner opened before are closed:
/// twice the time for which idle ones are kept.
const WARM_UP: Duration = Duration::from_secs(65);

/// Reads of the list of workers that are measured.
const LIST_READS: usize = 20;

const LIST_TIMEOUT: Duration = Duration::from_secs(1);

/// Length of a tick of `/proc/PID/stat` on Linux.
const TICK_MS: u64 = 10;

struct Process {
    child: Child,
    callers: SocketAddr,
    metrics: SocketAddr,
    _ports: [Port; 3],
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    fn start(name: &str, store: SocketAddr) -> Process {
        let port = || Port::reserve().expect("a free port");
        let ports = [port(), port(), port()];
        let callers = ports[0].on(Ipv4Addr::LOCALHOST);
        let text = fenced::settings(&ProcessSettings {
            evacuation_ms: None,
            memory_mb: None,
            max_fds: None,
            host: name.to_string(),
            address: "127.0.0.1".to_string(),
            peer_port: ports[1].number(),
            seeds: Vec::new(),
            caller_address: callers,
            store_address: store,
            advice_address: None,
            grace_s: 6,
            cores: 1.0,
            link_mbps: 1_000.0,
        });
        let id = std::process::id();
        let settings = std::env::temp_dir().join(format!("executor-cost-{id}-{name}.toml"));
        std::fs::write(&settings, text).expect("settings are written");
        let binary = std::env::current_exe().expect("a path").with_file_name("../sycamore-node");
        let child = Command::new(binary)
            .arg("--settings")
            .arg(&settings)
            .arg("--metrics-port")
            .arg(ports[2].number().to_string())
            .stdout(Stdio::null())
            .spawn()
            .expect("the process starts");
        let metrics = ports[2].on(Ipv4Addr::LOCALHOST);
        Process { child, callers, metrics, _ports: ports }
    }

    /// Returns the processor time spent so far, in milliseconds.
    fn cpu_ms(&self) -> u64 {
        self.cpu_ms_of("stat")
    }

    /// Returns the processor time of the thread that runs the engine, in milliseconds.
    fn control_cpu_ms(&self) -> u64 {
        let tasks = std::fs::read_dir(format!("/proc/{}/task", self.child.id()));
        let names = tasks.into_iter().flatten().flatten();
        let task = |name: std::ffi::OsString| format!("task/{}", name.to_string_lossy());
        names
            .map(|entry| task(entry.file_name()))
            .find(|task| self.proc_file(&format!("{task}/comm")).trim() == "control")
            .map_or(0, |task| self.cpu_ms_of(&format!("{task}/stat")))
    }

    fn cpu_ms_of(&self, file: &str) -> u64 {
        let stat = self.proc_file(file);
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        let ticks = |at: usize| fields.get(at).and_then(|f| f.parse::<u64>().ok()).unwrap_or(0);
        (ticks(11) + ticks(12)) * TICK_MS
    }

    fn memory_kib(&self) -> u64 {
        let status = self.proc_file("status");
        let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or("");
        line.split_whitespace().nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    fn sockets(&self) -> usize {
        let files = std::fs::read_dir(format!("/proc/{}/fd", self.child.id()));
        let targets = files.into_iter().flatten().flatten();
        let is_socket = |path: std::path::PathBuf| path.to_string_lossy().starts_with("socket:");
        targets.filter(|file| std::fs::read_link(file.path()).is_ok_and(is_socket)).count()
    }

    fn proc_file(&self, name: &str) -> String {
        std::fs::read_to_string(format!("/proc/{}/{name}", self.child.id())).unwrap_or_default()
    }
}

type HttpClient = Client<HttpConnector, Full<Bytes>>;

async fn call(client: &HttpClient, method: &str, url: &str, body: String) -> (u16, String) {
    let request = Request::builder()
        .method(method)
        .uri(url)
        .header(fenced::KEY_HEADER, KEY)
        .header(fenced::DEADLINE_HEADER, "3000")
        .body(Full::new(Bytes::from(body)))
        .expect("a request");
    let Ok(response) = client.request(request).await else { return (0, String::new()) };
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.map(|body| body.to_bytes()).unwrap_or_default();
    (status, String::from_utf8_lossy(&body).into_owned())
}

fn job() -> String {
    let step = Step {
        tasks: TASKS,
        cpu_millis: 1_000,
        memory_mib: 10,
        estimate_ms: TASK_MS,
        after: vec![],
    };
    fenced::job(&format!("{{\"ms\":{TASK_MS}}}"), &[step]).to_string()
}

/// Prints the time of one read of the list of workers, which an owner does twice a second. It
/// includes the time of the simulated store.
async fn print_list_cost(store: SocketAddr) {
    let store = site::Store::new(store, sycamore_platform::http::Client::new());
    let (mut entries, mut pages, mut bytes) = (0, 0, 0);
    let started = Instant::now();
    for _ in 0..LIST_READS {
        let mut after = String::new();
        loop {
            let page = store.range(site::key::WORKER_PREFIX, &after, LIST_TIMEOUT).await;
            let page = page.expect("a page of the list");
            pages += 1;
            for item in &page.items {
                bytes += item.key.len() + item.value.len();
                let parsed = site::parse_worker_entry(&item.key, &item.value);
                entries += usize::from(parsed.is_ok());
            }
            match page.next {
                Some(next) => after = next,
                None => break,
            }
        }
    }
    println!(
        "one read of the list: {} entries, {} pages, {} KiB of keys and values, {:.1} ms",
        entries / LIST_READS,
        pages / LIST_READS,
        bytes / LIST_READS / 1_024,
        started.elapsed().as_secs_f64() * 1_000.0 / LIST_READS as f64,
    );
}

#[tokio::main]
async fn main() {
    let numbers: Vec<u64> = std::env::args().skip(1).filter_map(|arg| arg.parse().ok()).collect();
    let [workers, peers, rate, seconds] = numbers[..] else {
        eprintln!("usage: executor_cost WORKERS PEERS JOBS_PER_SECOND SECONDS");
        std::process::exit(2);
    };
    let store = Store::start().await.expect("a free port");
    let queue = Queue { host: "127.0.0.1", prefix: "/checks/", service: "desk", max_attempts: 4 };
    let team = Team { name: "clerks".to_string(), key: KEY.to_string(), limit_cpu_millis: 0 };
    store.configure(&fenced::config(&queue, &[team]));
    let capacity = Capacity { cpu_millis: 16_000, memory_mib: 32_000 };
    let mut running = Vec::new();
    for number in 0..workers {
        let id = format!("worker-{number:04}");
        let worker = Worker::start(&id, capacity, ()).await.expect("a free port");
        store.add_worker(&id, &worker.entry("desk", worker.address()));
        running.push(worker);
    }
    print_list_cost(store.server.address).await;
    let owner = Process::start("owner", store.server.address);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let peer_processes: Vec<Process> = (0..peers)
        .map(|number| Process::start(&format!("peer-{number}"), store.server.address))
        .collect();
    tokio::time::sleep(WARM_UP).await;

    let client: HttpClient = Client::builder(TokioExecutor::new()).build_http();
    let peers_ms = || peer_processes.iter().map(Process::cpu_ms).sum::<u64>();
    let (cpu_before, control_before) = (owner.cpu_ms(), owner.control_cpu_ms());
    let (started, peers_before) = (Instant::now(), peers_ms());
    let mut calls = tokio::task::JoinSet::new();
    let mut interval = tokio::time::interval(Duration::from_millis(1_000 / rate.max(1)));
    let mut number = 0xa000_u64;
    while started.elapsed() < Duration::from_secs(seconds) {
        interval.tick().await;
        if rate > 0 {
            number += 1;
            let (client, callers) = (client.clone(), owner.callers);
            calls.spawn(async move {
                let url = format!("http://{callers}/checks/{number:016x}");
                call(&client, "POST", &url, job()).await.0
            });
        }
    }
    let spent_ms = owner.cpu_ms() - cpu_before;
    let control_ms = owner.control_cpu_ms() - control_before;
    let peers_spent_ms = peers_ms() - peers_before;
    let wall = started.elapsed();
    let statuses = calls.join_all().await;
    let accepted = statuses.iter().filter(|status| **status == 200).count();
    let (_, metrics) =
        call(&client, "GET", &format!("http://{}/metrics", owner.metrics), String::new()).await;
    let cores = |ms: u64| ms as f64 / wall.as_millis() as f64;
    println!(
        "workers {workers}, peers {peers}, jobs {accepted} of {} accepted: owner {:.3} cores ({:.3} \
         per 1,000 workers), of which the control thread {:.3}; all peers {:.3}; owner {} MiB, {} \
         sockets",
        statuses.len(),
        cores(spent_ms),
        cores(spent_ms) * 1_000.0 / workers as f64,
        cores(control_ms),
        cores(peers_spent_ms),
        owner.memory_kib() / 1_024,
        owner.sockets(),
    );
    let shown = ["executor", "starts_total", "looks_total", "ends_total"];
    for line in metrics.lines().filter(|line| shown.iter().any(|name| line.starts_with(name))) {
        println!("  {line}");
    }
}
