//! Submissions of legal size that ask for very much work.

use futures::future::join_all;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::process::Process;
use crate::usage::peak_memory_mb;
use crate::{GUEST_KEY, KEY, Site, host};

/// Memory that the settings grant each process, in MiB.
const MEMORY_MB: u32 = 64;

/// Descriptors that the settings grant each process.
const MAX_FDS: u32 = 1_000;

/// Submits as many jobs on each of some connections, one after another. The process, and another one
/// that takes over from it, stay within their memory and accept ordinary submissions.
async fn withstands(connections: u64, jobs_per_connection: u64, job: &str) {
    let site = Site::start(MEMORY_MB, MAX_FDS).await;
    let submitted = (0..connections).map(|connection| {
        let first = 0xb_0000 + connection * jobs_per_connection;
        submit_all(&site.process, first..first + jobs_per_connection, job)
    });
    let statuses: Vec<u16> = join_all(submitted).await.concat();
    site.accepts("00000000000000a2", GUEST_KEY).await;
    stays_within_memory(&site.process);

    let successor = Process::start_on(&host(&site.platform, "two", MEMORY_MB, MAX_FDS)).await;
    let site = site.replace_process(successor).await;
    site.accepts("00000000000000a3", GUEST_KEY).await;
    stays_within_memory(&site.process);

    // A submission without an answer in time may have been accepted.
    assert!(statuses.iter().all(|status| [200, 503, 504].contains(status)), "{statuses:?}");
    assert!(statuses.contains(&200), "{statuses:?}");
    site.process.kill().await;
}

/// Submits a job under many names on one connection. Returns the statuses of the answers.
async fn submit_all(process: &Process, names: std::ops::Range<u64>, job: &str) -> Vec<u16> {
    let mut socket = TcpStream::connect(process.callers()).await.expect("a connection");
    let mut statuses = Vec::new();
    for name in names {
        let request = format!(
            "POST /checks/{name:016x} HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Api-Key: {KEY}\r\n\
             Content-Length: {}\r\n\r\n{job}",
            job.len()
        );
        socket.write_all(request.as_bytes()).await.expect("the request is sent");
        let mut response = vec![0; 4_096];
        let length = socket.read(&mut response).await.expect("an answer");
        let text = String::from_utf8_lossy(&response[..length]).into_owned();
        let status = text.strip_prefix("HTTP/1.1 ").and_then(|rest| rest.get(..3)?.parse().ok());
        statuses.push(status.expect("a status"));
    }
    statuses
}

fn stays_within_memory(process: &Process) {
    let peak_mb = peak_memory_mb(process);
    assert!(peak_mb <= u64::from(MEMORY_MB), "{peak_mb} MiB of {MEMORY_MB}");
}

/// Failure: all occurrences that are due began at once, at the owner and again at each successor.
#[tokio::test(flavor = "multi_thread")]
async fn schedules_with_very_many_due_occurrences() {
    let step = json!({ "count": 1, "cpu": 100, "mem-mb": 10, "est-ms": 100 });
    let job = json!({
        "spec": "work", "steps": [step], "start-at-ms": 1, "interval-ms": 1, "times": 100_000,
    });

    withstands(5, 1, &job.to_string()).await;
}
/// Failure: each task that waited had a state of its own, and nothing bounded the accepted jobs.
#[tokio::test(flavor = "multi_thread")]
async fn jobs_with_very_many_tasks() {
    let step = json!({ "count": 10_000, "cpu": 100, "mem-mb": 10, "est-ms": 100 });

    withstands(20, 5, &json!({ "spec": "work", "steps": [step] }).to_string()).await;
}

/// Failure: nothing bounded the accepted jobs, which wait for a worker that doesn't exist.
#[tokio::test(flavor = "multi_thread")]
async fn very_many_jobs_with_the_longest_payload() {
    let step =
        json!({ "count": 1, "cpu": 100, "mem-mb": 10, "est-ms": 100, "constraints": "none" });
    let job = json!({ "spec": "x".repeat(4_000), "steps": [step] });

    withstands(20, 600, &job.to_string()).await;
}
