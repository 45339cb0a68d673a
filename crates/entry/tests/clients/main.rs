//! Runs one real entry process on loopback against clients that don't behave, without a platform.
//!
//! The settings grant the process little, so that a small crowd reaches the limits. The tests run one
//! at a time.

use std::net::SocketAddr;
use std::process::Stdio;
use std::time::Duration;

use futures::future::join_all;
use sycamore_standin::ports::Port;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::sync::{Mutex, MutexGuard};

/// Memory that the settings grant the process, in MiB.
const MEMORY_MB: u64 = 64;

/// Largest job that an entry process takes, in bytes.
const MAX_JOB_BYTES: usize = 65_536;

/// Held by the test that runs.
static TURN: Mutex<()> = Mutex::const_new(());

struct Process {
    child: Child,
    callers: SocketAddr,
    operators: SocketAddr,
    _ports: [Port; 3],
    _turn: MutexGuard<'static, ()>,
}

impl Process {
    async fn start(max_fds: usize) -> Process {
        let turn = TURN.lock().await;
        let ports = [(); 3].map(|()| Port::reserve().expect("a free port"));
        let [callers, operators, peers] = [0, 1, 2].map(|at| loopback(ports[at].number()));
        let child = Command::new(env!("CARGO_BIN_EXE_sycamore-entry"))
            .args(["--name", "one", "--failure-domain", "a"])
            .args(["--listen", &callers.to_string()])
            .args(["--operator-listen", &operators.to_string()])
            .args(["--peer-listen", &peers.to_string()])
            // Nothing listens there.
            .args(["--store", "127.0.0.1:9", "--hosts", "127.0.0.1:9"])
            .env("SYCAMORE_MEMORY_MB", MEMORY_MB.to_string())
            .env("SYCAMORE_MAX_FDS", max_fds.to_string())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .kill_on_drop(true)
            .spawn()
            .expect("the process starts");
        let process = Process { child, callers, operators, _ports: ports, _turn: turn };
        process.answers().await;
        process
    }

    /// Waits until the process answers a caller and an operator.
    async fn answers(&self) {
        let deadline = tokio::time::Instant::now() + Duration::from_secs(60);
        for (address, path) in [(self.callers, "/v1/jobs/one"), (self.operators, "/healthz")] {
            while !is_answered(address, path).await {
                assert!(tokio::time::Instant::now() < deadline, "{address}{path}: no answer");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }

    fn proc_file(&self, name: &str) -> String {
        format!("/proc/{}/{name}", self.child.id().expect("the process runs"))
    }

    fn peak_memory_mb(&self) -> u64 {
        let status = std::fs::read_to_string(self.proc_file("status")).expect("the status");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kib = line.and_then(|text| text.trim().strip_suffix(" kB"));
        kib.and_then(|text| text.parse::<u64>().ok()).expect("the peak memory in kB") / 1_024
    }

    fn open_descriptors(&self) -> usize {
        std::fs::read_dir(self.proc_file("fd")).expect("the descriptors").count()
    }
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

async fn is_answered(address: SocketAddr, path: &str) -> bool {
    let Ok(mut socket) = TcpStream::connect(address).await else { return false };
    let request = format!("GET {path} HTTP/1.1\r\nHost: one\r\n\r\n");
    let mut start = [0; 8];
    let answer = async {
        socket.write_all(request.as_bytes()).await?;
        socket.read_exact(&mut start).await
    };
    let answer = tokio::time::timeout(Duration::from_secs(10), answer).await;
    answer.is_ok_and(|read| read.is_ok()) && start == *b"HTTP/1.1"
}

/// Opens connections on which this text is sent and nothing else.
async fn crowd(clients: usize, address: SocketAddr, text: &[u8]) -> Vec<TcpStream> {
    let client = |_| async {
        let mut socket = TcpStream::connect(address).await.ok()?;
        // A client whose connection is closed stops sending.
        let _ = socket.write_all(text).await;
        Some(socket)
    };
    join_all((0..clients).map(client)).await.into_iter().flatten().collect()
}

/// Reads until the process closes a connection.
async fn read_to_end(mut socket: TcpStream) {
    // A reset is an end as well.
    let _ = socket.read_to_end(&mut Vec::new()).await;
}

/// A submission in chunks of a size that stops one byte short of its end.
fn chunked_submission(size: usize) -> Vec<u8> {
    let head = "POST /v1/jobs HTTP/1.1\r\nHost: one\r\nTransfer-Encoding: chunked\r\n\r\n";
    let mut text = head.as_bytes().to_vec();
    for chunk in vec![b' '; MAX_JOB_BYTES - 1].chunks(size) {
        text.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        text.extend_from_slice(chunk);
        text.extend_from_slice(b"\r\n");
    }
    text
}

/// The process stays within its memory and answers while the crowd is open and afterwards.
async fn withstands_bodies(clients: usize, text: &[u8]) {
    let process = Process::start(4_000).await;

    let crowd = crowd(clients, process.callers, text).await;
    process.answers().await;
    join_all(crowd.into_iter().map(read_to_end)).await;

    process.answers().await;
    let peak_mb = process.peak_memory_mb();
    assert!(peak_mb <= MEMORY_MB, "{peak_mb} MiB of {MEMORY_MB}");
}

/// Failure: each body was bounded, all of them together were not.
#[tokio::test(flavor = "multi_thread")]
async fn many_large_submissions_that_stop_before_their_end() {
    let head = format!(
        "POST /v1/jobs HTTP/1.1\r\nHost: one\r\nContent-Length: {MAX_JOB_BYTES}\r\n\r\n{}",
        " ".repeat(MAX_JOB_BYTES - 1)
    );
    withstands_bodies(1_200, head.as_bytes()).await;
}

/// Failure: each chunk kept a buffer alive, so that a byte took several.
#[tokio::test(flavor = "multi_thread")]
async fn submissions_in_small_chunks_that_stop_before_their_end() {
    withstands_bodies(500, &chunked_submission(16)).await;
}

/// Failure: 10,000 connections were accepted whatever the process may open, and further ones waited.
#[tokio::test(flavor = "multi_thread")]
async fn connections_that_say_nothing() {
    const MAX_FDS: usize = 200;
    let process = Process::start(MAX_FDS).await;

    let callers = crowd(300, process.callers, b"").await;
    let operators = crowd(300, process.operators, b"").await;
    process.answers().await;
    let descriptors = process.open_descriptors();
    drop((callers, operators));

    process.answers().await;
    assert!(descriptors <= MAX_FDS, "{descriptors} descriptors of {MAX_FDS}");
}
