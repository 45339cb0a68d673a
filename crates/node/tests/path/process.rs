//! Starts and stops a `sycamore-node` process, reads its log and calls its API.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::Stdio;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use sycamore_standin::fenced::{self, ProcessSettings};
use sycamore_standin::ports::Port;
use tokio::process::{Child, Command};

use crate::platform::Platform;

/// Longest wait for a condition, far longer than needed even on a busy host.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

pub struct Process {
    child: Child,
    callers: SocketAddr,
    metrics: SocketAddr,
    peers: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    _ports: [Port; 3],
}

/// The host of a process.
pub struct Host<'a> {
    pub name: &'a str,
    /// CPU capacity that the settings state, in cores.
    pub cores: f64,
    /// Bandwidth that the settings state, in Mbit/s.
    pub link_mbps: f64,
    /// Address at which the process reaches the store.
    pub store: SocketAddr,
    /// Address at which the process reaches the advice service, if it has one.
    pub advice: Option<SocketAddr>,
    /// Time after which no task starts in an evacuated failure domain, in milliseconds.
    pub evacuation_ms: Option<u64>,
    /// Memory that the settings grant the process, in MiB, if they name it.
    pub memory_mb: Option<u32>,
    /// Descriptors that the settings grant the process, if they name them.
    pub max_fds: Option<u32>,
}

impl Host<'_> {
    /// A host that may own at once.
    pub fn strong(name: &str, store: SocketAddr) -> Host<'_> {
        Host {
            name,
            cores: 1.0,
            link_mbps: 1_000.0,
            store,
            advice: None,
            evacuation_ms: None,
            memory_mb: None,
            max_fds: None,
        }
    }
}

impl Process {
    pub async fn start(platform: &Platform, name: &str) -> Process {
        Process::start_on(&Host::strong(name, platform.address)).await
    }

    pub async fn start_on(host: &Host<'_>) -> Process {
        Process::start_with(host, &[]).await
    }

    /// Starts a process with environment variables, which debug builds read.
    pub async fn start_with(host: &Host<'_>, variables: &[(&str, &str)]) -> Process {
        Process::launch(host, variables, &[]).await
    }

    /// Starts a process with further arguments.
    pub async fn start_with_arguments(host: &Host<'_>, arguments: &[&str]) -> Process {
        Process::launch(host, &[], arguments).await
    }

    async fn launch(host: &Host<'_>, variables: &[(&str, &str)], arguments: &[&str]) -> Process {
        let caller_port = Port::reserve().expect("a port for callers");
        let peer_port = Port::reserve().expect("a port for peers");
        let metrics_port = Port::reserve().expect("a port for metrics");
        let callers = caller_port.on(Ipv4Addr::LOCALHOST);
        let metrics = metrics_port.on(Ipv4Addr::LOCALHOST);
        let peers = peer_port.on(Ipv4Addr::LOCALHOST);
        let text = fenced::settings(&ProcessSettings {
            host: host.name.to_string(),
            address: "127.0.0.1".to_string(),
            peer_port: peer_port.number(),
            seeds: Vec::new(),
            caller_address: callers,
            store_address: host.store,
            advice_address: host.advice,
            grace_s: 6,
            cores: host.cores,
            link_mbps: host.link_mbps,
            evacuation_ms: host.evacuation_ms,
            memory_mb: host.memory_mb,
            max_fds: host.max_fds,
        });
        let settings =
            std::env::temp_dir().join(format!("sycamore-{}-{callers}.toml", std::process::id()));
        std::fs::write(&settings, text).expect("settings are written");
        let log = settings.with_extension("log");
        let output = std::fs::File::create(&log).expect("a file for the log");
        let mut child = Command::new(env!("CARGO_BIN_EXE_sycamore-node"))
            .arg("--settings")
            .arg(&settings)
            .arg("--metrics-port")
            .arg(metrics_port.number().to_string())
            .args(arguments)
            .envs(variables.iter().copied())
            .stdout(Stdio::from(output))
            .kill_on_drop(true)
            .spawn()
            .expect("the process starts");
        wait_until_listening(&mut child, callers).await;
        let ports = [caller_port, peer_port, metrics_port];
        Process { child, callers, metrics, peers, settings, log, _ports: ports }
    }

    /// Returns the log lines so far that contain all of the texts.
    pub fn grep(&self, texts: &[&str]) -> Vec<Value> {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        let found = log.lines().filter(|line| texts.iter().all(|text| line.contains(text)));
        found.filter_map(|line| serde_json::from_str(line).ok()).collect()
    }

    pub fn url(&self, id: &str) -> String {
        self.address(&format!("/checks/{id}"))
    }

    pub fn address(&self, path: &str) -> String {
        format!("http://{}{path}", self.callers())
    }

    /// Returns the address for callers.
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Returns the address of the metrics.
    pub fn metrics(&self) -> SocketAddr {
        self.metrics
    }

    pub fn id(&self) -> u32 {
        self.child.id().expect("the process runs")
    }

    /// Returns the address for peers that the settings state.
    pub fn peer_address(&self) -> SocketAddr {
        self.peers
    }

    pub fn metrics_url(&self) -> String {
        format!("http://{}/metrics", self.metrics())
    }

    /// Sends a signal, by the name that `kill` knows.
    pub async fn signal(&self, name: &str) {
        let id = self.id().to_string();
        let sent = Command::new("kill").arg(format!("-{name}")).arg(id).status().await;
        assert!(sent.is_ok_and(|status| status.success()));
    }

    pub async fn kill(mut self) {
        self.child.kill().await.expect("the process is killed");
        self.remove_files();
    }

    /// Sends SIGTERM. Returns whether the process exits successfully within the timeout.
    pub async fn terminate(mut self, timeout: Duration) -> bool {
        self.signal("TERM").await;
        let ended = tokio::time::timeout(timeout, self.child.wait()).await;
        self.remove_files();
        ended.is_ok_and(|status| status.is_ok_and(|status| status.success()))
    }

    fn remove_files(&self) {
        std::fs::remove_file(&self.settings).expect("settings are removed");
        std::fs::remove_file(&self.log).expect("the log is removed");
    }
}

/// Waits until the process accepts connections. Fails with its exit status if it exits
/// instead; its message is on the test's standard error.
async fn wait_until_listening(child: &mut Child, address: SocketAddr) {
    let end = tokio::time::Instant::now() + WAIT_TIMEOUT;
    while tokio::net::TcpStream::connect(address).await.is_err() {
        let exit = child.try_wait().expect("the state of the process");
        assert!(exit.is_none(), "the process exited at its start: {exit:?}");
        assert!(tokio::time::Instant::now() < end, "{address}: not within {WAIT_TIMEOUT:?}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Makes one HTTP call. Returns the status and body, or `None` without a response.
pub async fn call(method: &str, url: &str, key: &str, body: &str) -> Option<(u16, String)> {
    call_within(method, url, key, body, "3000").await
}

/// Makes one HTTP call that states how long its caller waits, in milliseconds.
pub async fn call_within(
    method: &str,
    url: &str,
    key: &str,
    body: &str,
    deadline_ms: &str,
) -> Option<(u16, String)> {
    let headers = [(fenced::KEY_HEADER, key), (fenced::DEADLINE_HEADER, deadline_ms)];
    call_with_headers(method, url, &headers, body).await
}

pub async fn call_with_headers(
    method: &str,
    url: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<(u16, String)> {
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let mut request = Request::builder().method(method).uri(url);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(Bytes::from(body.to_string()))).expect("a request");
    let response = client.request(request).await.ok()?;
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.ok()?.to_bytes();
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}

/// Waits until a condition holds, and fails with its description after [`WAIT_TIMEOUT`].
pub async fn until<F, Fut>(what: &str, holds: F)
where
    F: Fn() -> Fut,
    Fut: Future<Output = bool>,
{
    let end = tokio::time::Instant::now() + WAIT_TIMEOUT;
    while !holds().await {
        assert!(tokio::time::Instant::now() < end, "{what}: not within {WAIT_TIMEOUT:?}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
