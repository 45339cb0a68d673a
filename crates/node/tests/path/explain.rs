//! Follows the five procedures of `docs/OPERATIONS.md` that lead from a failed or delayed
//! request to its cause, with the log of a real process.

use std::time::Duration;

use serde_json::Value;
use sycamore_standin::link::LinkState;

use crate::platform::Platform;
use crate::process::{Host, Process, call, until};
use crate::{GUEST_KEY, KEY, deadly_job, is_complete, job, start_serving, submit};

fn has(lines: &[Value], field: &str, value: impl Into<Value>) -> bool {
    let value = value.into();
    lines.iter().any(|line| line[field] == value)
}

#[tokio::test(flavor = "multi_thread")]
async fn the_log_explains_a_refusal_by_the_unavailable_store() {
    let platform = Platform::start().await;
    let process = start_serving(&platform, "one", "00000000000000e1").await;
    platform.set_store_unavailable(true);
    let refused = || async {
        let response = call("POST", &process.url("00000000000000e2"), KEY, &job(1)).await;
        response.is_some_and(|(status, _)| status == 503)
    };
    until("a submission is refused", refused).await;

    let lines = || async { !process.grep(&["00000000000000e2", "StoreAway"]).is_empty() };
    until("the request's log line has the verdict", lines).await;
    let store = || async { has(&process.grep(&["\"kind\":\"store\""]), "is_away", true) };
    until("the store's log line has the cause", store).await;
    process.kill().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_log_shows_an_unknown_outcome_and_its_retry() {
    let platform = Platform::start().await;
    let process = start_serving(&platform, "one", "00000000000000f1").await;
    until("the job is complete", || is_complete(&process, "00000000000000f1")).await;
    platform.set_store_stalled(true);
    let response = call("POST", &process.url("00000000000000f2"), KEY, &job(1)).await;
    platform.set_store_stalled(false);
    assert_eq!(response.map(|(status, _)| status), Some(504));

    until("the retry is accepted", || submit(&process, "00000000000000f2")).await;

    let request = ["00000000000000f2", "\"kind\":\"request\""];
    let both = || async {
        let lines = process.grep(&request);
        has(&lines, "verdict", "Unknown") && has(&lines, "verdict", "Accepted")
    };
    until("the job's log lines show both outcomes", both).await;
    let accepted =
        || async { !process.grep(&["00000000000000f2", "\"verdict\":\"accepted\""]).is_empty() };
    until("a decision record shows that it was accepted", accepted).await;
    process.kill().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_log_explains_why_a_job_waits() {
    let platform = Platform::start().await;
    let process = start_serving(&platform, "one", "00000000000000a7").await;
    let response = call("POST", &process.url("00000000000000a8"), GUEST_KEY, &job(1)).await;
    assert_eq!(response.map(|(status, _)| status), Some(200));

    let explained = || async {
        let lines = process.grep(&["00000000000000a8", "\"kind\":\"wait\""]);
        has(&lines, "obstacle", "the team is at its limit")
    };
    until("a wait line names the reason", explained).await;
    let load = || async { has(&process.grep(&["\"kind\":\"load\""]), "waiting_steps", 1) };
    until("the load line counts the step", load).await;
    process.kill().await;
}

/// Failure: an owner reads no list of workers any more, by which nothing starts, and the log does not tell.
#[tokio::test(flavor = "multi_thread")]
async fn the_log_tells_that_the_list_of_workers_is_not_read() {
    let platform = Platform::start().await;
    let process = start_serving(&platform, "one", "00000000000000ac").await;
    platform.set_workers_unlisted(true);

    let lines = |message: &'static str| process.grep(&["\"kind\":\"worker\"", message]);
    let is_told = || async { !lines("worker list is not read").is_empty() };
    until("a line tells that the list is not read", is_told).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    platform.set_workers_unlisted(false);
    until("a line tells that it is read again", || async {
        !lines("worker list is read again").is_empty()
    })
    .await;

    let outages = lines("worker list is not read");
    assert_eq!(outages.len(), 1, "{outages:?}");
    assert!(outages[0]["silent_ms"].as_u64() >= Some(2_000), "{outages:?}");
    assert!(lines("worker list is read again")[0]["silent_ms"].as_u64() >= Some(4_000));
    process.kill().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_log_explains_why_an_old_configuration_is_in_force() {
    let platform = Platform::start().await;
    let link = platform.store_link(LinkState::Open).await;
    let process = Process::start_on(&Host::strong("one", link.address)).await;
    until("the process serves", || submit(&process, "00000000000000a9")).await;
    link.set_state(LinkState::Silent);
    platform.add_queues(2, 1);

    let explained = || async {
        let lines = process.grep(&["configuration not received", "no progress"]);
        has(&lines, "origin", "store") && has(&lines, "version", 1)
    };
    until("the log tells why no version arrives", explained).await;
    process.kill().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_log_explains_why_a_job_was_given_up() {
    let platform = Platform::start().await;
    let process = start_serving(&platform, "one", "00000000000000aa").await;
    until("the job is complete", || is_complete(&process, "00000000000000aa")).await;
    let url = process.url("00000000000000ab");
    let response = call("POST", &url, KEY, &deadly_job()).await;
    assert_eq!(response.map(|(status, _)| status), Some(200));

    let failed = || async {
        platform.restart_crashed_worker().await;
        let response = call("GET", &url, KEY, "").await;
        response.is_some_and(|(_, body)| body.contains("failed"))
    };
    until("the job is shown as failed", failed).await;

    let of_job = |text: &'static str| process.grep(&["00000000000000ab.0.0.0", text]);
    let recorded =
        || async { of_job("\"how\":\"crashed\"").len() == 2 && !of_job("given_up").is_empty() };
    until("the records tell of two crashes", recorded).await;
    let losses = process.grep(&["lost a worker", "00000000000000ab"]);
    assert!(has(&losses, "cause", "crashed") && has(&losses, "suspects", 1), "{losses:?}");
    process.kill().await;
}
