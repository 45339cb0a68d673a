//! Submissions of legal size that ask for very much work.

use serde_json::json;

use crate::process::{Process, call};
use crate::usage::peak_memory_mb;
use crate::{KEY, Site, host};

/// Memory that the settings grant each process, in MiB.
const MEMORY_MB: u32 = 64;

/// Descriptors that the settings grant each process.
const MAX_FDS: u32 = 1_000;

/// Submits jobs one after another. The process, and another one that takes over from it, stay within
/// their memory and accept ordinary submissions.
async fn withstands(jobs: u64, job: &str) {
    let site = Site::start(MEMORY_MB, MAX_FDS).await;
    let mut statuses = Vec::new();
    for number in 0..jobs {
        let url = site.process.url(&format!("{:016x}", 0xb000 + number));
        statuses.extend(call("POST", &url, KEY, job).await.map(|(status, _)| status));
    }
    site.accepts("00000000000000a2").await;
    stays_within_memory(&site.process);

    let successor = Process::start_on(&host(&site.platform, "two", MEMORY_MB, MAX_FDS)).await;
    let site = site.replace_process(successor).await;
    site.accepts("00000000000000a3").await;
    stays_within_memory(&site.process);

    // A submission without an answer in time may have been accepted.
    assert!(statuses.iter().all(|status| [200, 503, 504].contains(status)), "{statuses:?}");
    assert!(statuses.contains(&200), "{statuses:?}");
    site.process.kill().await;
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

    withstands(5, &job.to_string()).await;
}
/// Failure: each task that waited had a state of its own, and nothing bounded the accepted jobs.
#[tokio::test(flavor = "multi_thread")]
async fn jobs_with_very_many_tasks() {
    let step = json!({ "count": 10_000, "cpu": 100, "mem-mb": 10, "est-ms": 100 });

    withstands(100, &json!({ "spec": "work", "steps": [step] }).to_string()).await;
}
