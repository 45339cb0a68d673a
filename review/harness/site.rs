//! A small deployment: eight processes started with the command of the deploy file, the platform's
//! store, sixteen workers, and clients.

use std::fs::File;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use crate::http;
use crate::json::{Json, num, table, text};
use crate::ledger::Ledger;
use crate::record::Record;
use crate::store::Store;
use crate::worker::Worker;

pub const NODES: usize = 8;
pub const WORKERS: usize = 16;
pub const SERVICE: &str = "stall-desk";
pub const HOST: &str = "stalls.example";
pub const KEY: &str = "6x73d3zji9n73hh2b9wu";
/// Client retries of the site, and the time limit of a call.
const RETRIES: usize = 4;
const CALL_LIMIT: Duration = Duration::from_millis(3_000);
/// The platform starts a process again shortly after its end.
const RESTART_DELAY: Duration = Duration::from_millis(1_000);

const FRONT: u16 = 8_183;
const READY: u16 = 8_184;
const CONTROL: u16 = 8_180;
const STORE: u16 = 8_182;
const WORKER: u16 = 8_080;
const INTERNAL: u16 = 7_420;
const METRICS: u16 = 9_464;

/// The command of the deploy file.
const COMMAND: [&str; 5] =
    ["target/release/sycamore-node", "--metrics-port", "9464", "--usage-half-life", "3600"];

pub struct Route {
    pub name: &'static str,
    pub prefix: &'static str,
    pub priority: u64,
    pub attempts: u64,
    pub slack_factor: f64,
    pub slo_ms: u64,
}

pub const ROSTER: Route = Route {
    name: "season-roster",
    prefix: "/rosters/",
    priority: 1,
    attempts: 2,
    slack_factor: 2.2,
    slo_ms: 1_000,
};

pub const HOLD: Route = Route {
    name: "ride-hold",
    prefix: "/holds/",
    priority: 2,
    attempts: 4,
    slack_factor: 4.0,
    slo_ms: 3_000,
};

pub const CHECK: Route = Route {
    name: "gate-check",
    prefix: "/checks/",
    priority: 0,
    attempts: 2,
    slack_factor: 1.5,
    slo_ms: 250,
};

pub struct Site {
    pub store: Store,
    pub workers: Vec<Worker>,
    pub ledger: Ledger,
    pub record: Record,
    dir: PathBuf,
    base: [u8; 2],
    nodes: Vec<Option<Child>>,
    next_front: AtomicUsize,
    version: u64,
}

impl Drop for Site {
    fn drop(&mut self) {
        for node in 0..NODES {
            self.kill(node);
        }
        if std::env::var_os("REVIEW_KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

impl Site {
    /// Starts everything, with a first configuration, and waits until all processes are ready.
    pub fn start(record: &Record, routes: &[&Route], cap_cpu: u64) -> Result<Site, String> {
        let failed = |what: &'static str| move |error: std::io::Error| format!("{what}: {error}");
        let base = free_addresses().ok_or("no free loopback addresses")?;
        let dir = std::env::temp_dir().join(format!("sycamore-review-{}", std::process::id()));
        std::fs::create_dir_all(&dir).map_err(failed("temporary folder"))?;
        let mut site = Site {
            store: Store::default(),
            workers: Vec::new(),
            ledger: Ledger::default(),
            record: record.clone(),
            dir,
            base,
            nodes: (0..NODES).map(|_| None).collect(),
            next_front: AtomicUsize::new(0),
            version: 0,
        };
        for node in 0..NODES {
            site.store.listen(site.store_way(node), node).map_err(failed("store"))?;
        }
        site.configure(routes, cap_cpu);
        for number in 0..WORKERS {
            let address = site.address(50 + number as u8, WORKER);
            let (store, ledger) = (&site.store, &site.ledger);
            let worker = Worker::start(number, SERVICE, address, store, ledger, record);
            site.workers.push(worker.map_err(failed("worker"))?);
        }
        for node in 0..NODES {
            let path = site.dir.join(format!("edge-{node}.toml"));
            std::fs::write(path, site.settings(node)).map_err(failed("settings"))?;
            site.start_node(node)?;
        }
        let end = Instant::now() + Duration::from_secs(15);
        while !(0..NODES).all(|node| site.is_ready(node)) {
            if Instant::now() > end {
                return Err("the processes are not ready after 15 s".to_string());
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        // A new owner has polled its workers by then.
        std::thread::sleep(Duration::from_millis(1_500));
        record.line("all processes are ready");
        Ok(site)
    }

    fn address(&self, last: u8, port: u16) -> SocketAddr {
        let [b, c] = self.base;
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, b, c, last)), port)
    }

    fn node_address(&self, node: usize, port: u16) -> SocketAddr {
        self.address(10 + node as u8, port)
    }

    fn store_way(&self, node: usize) -> SocketAddr {
        self.address(30 + node as u8, STORE)
    }

    fn settings(&self, node: usize) -> String {
        let ip = self.node_address(node, 0).ip();
        let zone = ["moshi", "machame", "marangu"][node % 3];
        let seeds: Vec<String> = (0..3)
            .map(|seed| format!("\"{}\"", self.node_address(seed, CONTROL)))
            .collect();
        format!(
            "node = \"edge-{zone}-{node}\"\nrole = \"node\"\nmachine-class = \"edge\"\n\
             serves = [\"edge\",\"control\"]\nip = \"{ip}\"\nzone = \"{zone}\"\n\
             region = \"kilimanjaro\"\ninternal-ports = [{INTERNAL},{}]\nseeds = [{}]\n\
             bootstrap = true\ncounts-as-loss = false\ndiscovery = \"platform\"\nentry = \"vip\"\n\
             heartbeat-ms = 1500\ncontracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\
             \"sched\",\"tenants\",\"quota\",\"platform\",\"advice\",\"upkeep\",\"sharing\"]\n\
             control-mode = \"rpc\"\nhint = \"\"\n[zones]\nmoshi = \"kilimanjaro\"\n\
             machame = \"kilimanjaro\"\nmarangu = \"kilimanjaro\"\n[listen]\nfront = \"{}\"\n\
             ready = \"{}\"\ncontrol = \"{}\"\n[limits]\ncpu-share = 0.25\ncores = 1\n\
             memory-mb = 260\nmax-fds = 4100\nlink-mbps = 1000.0\ndisk-mb = 0\n\
             [fault-tolerance]\nmachines = 2\nzones = 0\nregions = 0\n[bounds]\n{BOUNDS}\
             [platform]\naddr = \"{}\"\nform = \"kv\"\nwrites-per-s = 400\nreads-per-s = 2000\n\
             history-s = 20\nvalue-bytes = 1048576\nmin-ttl-ms = 1000\n[cloud]\naddr = \"{}\"\n\
             rate-per-s = 60.0\nduties = []\nduty-per-s = 60.0\n",
            INTERNAL + 15,
            seeds.join(","),
            self.node_address(node, FRONT),
            self.node_address(node, READY),
            self.node_address(node, CONTROL),
            self.store_way(node),
            self.address(29, STORE),
        )
    }

    fn start_node(&mut self, node: usize) -> Result<(), String> {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.dir.join(format!("edge-{node}.log")))
            .map_err(|error| format!("log: {error}"))?;
        let errors = log.try_clone().map_err(|error| format!("log: {error}"))?;
        let mut command = Command::new(COMMAND[0]);
        command.args(&COMMAND[1..]).env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        command
            .env("SYCAMORECHUTE_SETTINGS", self.dir.join(format!("edge-{node}.toml")))
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors);
        let child = command.spawn().map_err(|error| format!("{}: {error}", COMMAND[0]))?;
        self.record.line(&format!("node {node} started, process {}", child.id()));
        self.nodes[node] = Some(child);
        Ok(())
    }

    fn is_ready(&self, node: usize) -> bool {
        let address = self.node_address(node, READY);
        let limit = Duration::from_millis(500);
        let headers = [("host", "ready")];
        let reply = http::call(address, "GET", "/sycamorechute/readyz", &headers, "", limit);
        reply.is_some_and(|(status, _)| status == 200)
    }

    /// Sends SIGKILL to a process.
    pub fn kill(&mut self, node: usize) {
        if let Some(mut child) = self.nodes[node].take() {
            self.record.line(&format!("node {node} killed"));
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Starts a killed process again, as the platform does.
    pub fn restart(&mut self, node: usize) -> Result<(), String> {
        std::thread::sleep(RESTART_DELAY);
        self.start_node(node)
    }

    /// Returns the process that last wrote to the store under a condition.
    pub fn leader(&self) -> Result<usize, String> {
        self.store.last_writer().ok_or_else(|| "nobody has written to the store".to_string())
    }

    /// Writes the next version of the configuration, as the operator does.
    pub fn configure(&mut self, routes: &[&Route], cap_cpu: u64) {
        self.version += 1;
        let route = |route: &&Route| {
            table(vec![
                ("name", text(route.name)),
                ("host", text(HOST)),
                ("prefix", text(route.prefix)),
                ("kind", text("mutating")),
                ("timeout-ms", num(3_000)),
                ("slo-ms", num(route.slo_ms)),
                ("priority", num(route.priority)),
                ("service", text(SERVICE)),
                ("attempts", num(route.attempts)),
                ("slack-factor", Json::Number(route.slack_factor)),
                ("public", Json::Bool(false)),
            ])
        };
        let service = table(vec![
            ("name", text(SERVICE)),
            ("health-path", text("/healthz")),
            ("max-conns", num(64)),
            ("proto", text("h1")),
            ("tls", Json::Bool(false)),
            ("admission-control", Json::Bool(false)),
            ("standby", Json::Bool(false)),
        ]);
        let limits = table(vec![
            ("max-header-bytes", num(16_384)),
            ("max-body-bytes", num(262_144)),
            ("header-timeout-ms", num(3_000)),
            ("idle-timeout-ms", num(15_000)),
        ]);
        let cap = table(vec![("cpu", num(cap_cpu)), ("mem-mb", num(0)), ("gpu", num(0))]);
        let tenant = table(vec![
            ("name", text("kaje80")),
            ("keys", Json::List(vec![text(KEY)])),
            ("priority", num(1)),
            ("weight", num(27)),
            ("cap", cap),
        ]);
        let config = table(vec![
            ("version", num(self.version)),
            ("routes", Json::List(routes.iter().map(route).collect())),
            ("services", Json::List(vec![service])),
            ("limits", limits),
            ("tenants", Json::List(vec![tenant])),
        ]);
        self.store.put("op/config", &config.render());
        let names: Vec<&str> = routes.iter().map(|route| route.name).collect();
        let (version, names) = (self.version, names.join(", "));
        self.record.line(&format!("operator: version {version} confirmed, routes {names}"));
    }

    /// Makes one call of a client at one process.
    pub fn call_at(&self, node: usize, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
        let headers =
            [("host", HOST), ("x-api-key", KEY), ("sycamorechute-deadline-ms", "3000")];
        let address = self.node_address(node, FRONT);
        let reply = http::call(address, method, path, &headers, body, CALL_LIMIT);
        let shown = reply.as_ref().map_or("no response".to_string(), |(s, b)| format!("{s} {b}"));
        self.record.line(&format!("client: {method} {path} at node {node}: {shown}"));
        reply
    }

    /// Makes a call as a client of the site does: it tries again at other processes.
    pub fn call(&self, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
        let mut last = None;
        for _ in 0..=RETRIES {
            let node = self.next_front.fetch_add(1, Ordering::Relaxed) % NODES;
            if self.nodes[node].is_none() {
                continue;
            }
            let started = Instant::now();
            last = self.call_at(node, method, path, body);
            match last {
                Some((429 | 502 | 503 | 504, _)) | None => {
                    let pause = Duration::from_millis(300).saturating_sub(started.elapsed());
                    std::thread::sleep(pause);
                }
                Some(_) => return last,
            }
        }
        last
    }

    /// Hands a submission in. Fails if it is not accepted.
    pub fn submit(&self, route: &Route, id: &str, spec: &str, steps: Vec<Json>) -> Result<(), String> {
        let body = table(vec![("spec", text(spec)), ("steps", Json::List(steps))]);
        let path = format!("{}{id}", route.prefix);
        match self.call("POST", &path, &body.render()) {
            Some((200..=299, _)) => Ok(()),
            other => Err(format!("submission {id} is not accepted: {other:?}")),
        }
    }

    /// Returns the state that a client is shown.
    pub fn state(&self, route: &Route, id: &str) -> String {
        match self.call("GET", &format!("{}{id}", route.prefix), "") {
            Some((200, body)) => {
                Json::parse(&body).map(|body| body.get("state").text().to_string()).unwrap_or_default()
            }
            Some((status, _)) => status.to_string(),
            None => String::new(),
        }
    }

    /// Returns the runs of a submission: number of the worker, task, attempt.
    pub fn runs_of(&self, id: &str) -> Vec<(usize, String, u64)> {
        let mut found = Vec::new();
        for (number, worker) in self.workers.iter().enumerate() {
            let runs = worker.running().into_iter().filter(|(task, _)| task.starts_with(id));
            found.extend(runs.map(|(task, attempt)| (number, task, attempt)));
        }
        found
    }

    /// Waits until a submission has this many runs.
    pub fn wait_for_runs(&self, id: &str, count: usize, limit: Duration) -> Result<(), String> {
        let end = Instant::now() + limit;
        while self.runs_of(id).len() != count {
            if Instant::now() > end {
                let runs = self.runs_of(id).len();
                return Err(format!("{id} has {runs} runs, not {count}, after {limit:?}"));
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        Ok(())
    }

    /// Returns the longest stretch within `time` in which a submission has no run.
    pub fn longest_gap(&self, id: &str, time: Duration) -> Duration {
        let end = Instant::now() + time;
        let (mut longest, mut since) = (Duration::ZERO, Instant::now());
        while Instant::now() < end {
            if !self.runs_of(id).is_empty() {
                since = Instant::now();
            }
            longest = longest.max(since.elapsed());
            std::thread::sleep(Duration::from_millis(20));
        }
        longest
    }
}

/// The bounds of the site mwakilema-yard.
const BOUNDS: &str = "seed-lag-s = 3\nreuse-after-s = 2\nstability-ms = 3000\nack-ms = 4000\n\
    catch-up-s = 4\ndrain-ms = 2000\ngrace-s = 6\nloss-slack-ms = 200\nconfig-apply-ms = 2000\n\
    rollback-slack-ms = 250\nmax-skew-ms = 5000\nstrict-revoke = false\nrevoke-ms = 5000\n\
    quota-window-s = 5\nquota-overage = 0.1\nquota-slack = 20\nrecover-s = 12\n\
    hold-max-ms = 6000\nstop-ms = 400\ngang-ms = 3000\ncancel_ms = 3000\nvisible_ms = 3000\n\
    early_ms = 250\nfinish_s = 14\nstatus_s = 120\ncross-rack-factor = 2\ncheckpoint-s = 0.5\n\
    restore-ms = 250\nnotice-ms = 4500\nmigrate-s = 1.5\nmaintenance-s = 2\nfencing = false\n\
    lease-ms = 3000\nthaw-ms = 300\npace-ms = 100\nimpact-ms = 4000\n";

/// Finds loopback addresses of the form 127.B.C.x on which all ports are free.
fn free_addresses() -> Option<[u8; 2]> {
    let id = std::process::id();
    let candidates = (0..50).map(|at| [(64 + (id + at) % 128) as u8, (id / 128 % 250 + 1) as u8]);
    let is_free = |[b, c]: &[u8; 2]| {
        let may_bind = |last: u8, port: u16| {
            TcpListener::bind((Ipv4Addr::new(127, *b, *c, last), port)).is_ok()
        };
        let nodes = (10..10 + NODES as u8)
            .all(|last| [FRONT, READY, CONTROL, INTERNAL, METRICS].iter().all(|p| may_bind(last, *p)));
        nodes
            && (30..30 + NODES as u8).all(|last| may_bind(last, STORE))
            && (50..50 + WORKERS as u8).all(|last| may_bind(last, WORKER))
    };
    candidates.into_iter().find(is_free)
}
