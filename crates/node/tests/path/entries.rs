//! Entries in the list of workers that another writer has left.

use crate::evacuation::job_of;
use crate::platform::Platform;
use crate::process::{call, until};
use crate::{KEY, is_complete, start_serving, submit};

/// Failure: one odd entry among those of the workers ended each process that read the list, or
/// stopped it from following the list, or made a running worker count as replaced, so that its
/// tasks were started a second time.
#[tokio::test(flavor = "multi_thread")]
async fn entries_of_another_writer_name_no_worker_and_the_others_hold() {
    let platform = Platform::start().await;
    let process = start_serving(&platform, "one", "00000000000000a1").await;
    until("the job is complete", || is_complete(&process, "00000000000000a1")).await;
    let accepted = call("POST", &process.url("00000000000000a2"), KEY, &job_of(3_000)).await;
    assert_eq!(accepted.map(|(status, _)| status), Some(200));
    until("the job runs", || async { platform.start_times().len() == 4 }).await;

    let foreign = platform.add_foreign_entries();
    let skipped = || process.grep(&["worker entry skipped"]);
    until("all are skipped", || async { skipped().len() == foreign }).await;
    until("the job from before completes", || is_complete(&process, "00000000000000a2")).await;
    assert!(process.grep(&["lost a worker with its runs"]).is_empty());
    platform.replace_worker().await;

    until("a job is accepted", || submit(&process, "00000000000000a3")).await;
    until("the new worker completes it", || is_complete(&process, "00000000000000a3")).await;
    assert_eq!(platform.duplicate_starts(), 0);
    // Each entry is reported once, however often the list is read.
    assert_eq!(skipped().len(), foreign);
    let (_, metrics) = call("GET", &process.metrics_url(), KEY, "").await.expect("the metrics");
    for (reason, count) in [("syntax", 5), ("address", 1), ("id", 1), ("service", 1), ("state", 1)]
    {
        let line = format!("worker_entries_skipped_total{{reason=\"{reason}\"}} {count}");
        assert!(metrics.contains(&line), "{line}");
    }
    process.kill().await;
}
