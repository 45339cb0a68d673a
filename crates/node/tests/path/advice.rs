//! Steps that need advice, on hosts of which some can't use the advice service.
//!
//! Names of hosts matter: calls went to the first free host in the order of names.

use std::time::{Duration, Instant};

use futures::future::join_all;
use sycamore_standin::fenced::{Advice, AdviceMode};
use sycamore_standin::link::{LinkState, Proxy};

use crate::KEY;
use crate::platform::Platform;
use crate::process::{Host, Process, call, until};

/// Longest wait of an accepted job with a free worker, by rule LOST.
const MAX_WAIT: Duration = Duration::from_secs(3);

/// Duration of the calls that the configuration states, in milliseconds: a short call.
const CALL_MS: u64 = 20;

/// Interval at which the starts on the worker are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

async fn service(mode: AdviceMode) -> Advice {
    Advice::start(mode).await.expect("a free port")
}

async fn submit(process: &Process, id: &str) -> bool {
    let response = call("POST", &process.url(id), KEY, &crate::job(1)).await;
    response.is_some_and(|(status, _)| status == 200)
}

/// Three processes, whose queues need advice. The first by name reaches the service at `first`.
async fn start_hosts(platform: &Platform, first: Option<&Advice>, others: &Advice) -> Vec<Process> {
    let others = Some(others.server.address);
    let addresses = [first.map(|service| service.server.address), others, others];
    start_hosts_at(platform, addresses).await
}

async fn start_hosts_at(
    platform: &Platform,
    advice: [Option<std::net::SocketAddr>; 3],
) -> Vec<Process> {
    let names = ["a-host", "b-host", "c-host"];
    let hosts = names.iter().zip(advice);
    let hosts = hosts
        .map(|(name, advice)| Host { advice, ..Host::strong(name, platform.address) })
        .collect::<Vec<Host<'_>>>();
    join_all(hosts.iter().map(Process::start_on)).await
}

async fn kill_all(processes: Vec<Process>) {
    join_all(processes.into_iter().map(Process::kill)).await;
}

/// Submits a job of one task through each process, so that all know the owner.
async fn assert_each_process_serves(platform: &Platform, processes: &[Process], prefix: &str) {
    for (number, process) in processes.iter().enumerate() {
        assert_job_starts_in_time(platform, process, &format!("{prefix}{number:02x}")).await;
    }
}

/// Submits jobs of one task, one after another, and fails if one has not started in time.
async fn assert_jobs_start_in_time(platform: &Platform, process: &Process, prefix: &str) {
    for number in 0..6 {
        assert_job_starts_in_time(platform, process, &format!("{prefix}{number:02x}")).await;
    }
}

async fn assert_job_starts_in_time(platform: &Platform, process: &Process, suffix: &str) {
    let id = format!("{suffix:0>16}");
    until("the job is accepted", || submit(process, &id)).await;
    assert_starts_in_time(platform, process, &id).await;
}

/// Fails if a job does not start within [`MAX_WAIT`] from now.
async fn assert_starts_in_time(platform: &Platform, process: &Process, id: &str) {
    let begin = Instant::now();
    while !platform.has_started(id) {
        assert!(begin.elapsed() < MAX_WAIT, "job {id} waits: {}", advice_lines(process));
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

/// Returns what the log of a process says about the last calls.
fn advice_lines(process: &Process) -> String {
    let lines = process.grep(&["\"kind\":\"advice\""]);
    let last = lines.iter().rev().take(3).map(ToString::to_string);
    format!("{} calls, the last ones {:?}", lines.len(), last.collect::<Vec<_>>())
}

/// Starts processes of which the first by name reaches another service than the others, and
/// fails if a job waits for longer than the bound.
async fn assert_jobs_start_beside(first: Option<&Advice>) {
    let platform = Platform::start().await;
    let others = service(AdviceMode::Allows).await;
    let processes = start_hosts(&platform, first, &others).await;
    assert_each_process_serves(&platform, &processes, "a0").await;
    require_advice(&platform, &processes).await;

    assert_jobs_start_in_time(&platform, &processes[1], "b0").await;

    assert_eq!(platform.duplicate_starts(), 0);
    kill_all(processes).await;
}

/// Makes the queue need advice, and waits until all processes know.
async fn require_advice(platform: &Platform, processes: &[Process]) {
    platform.require_advice(CALL_MS);
    for process in processes {
        let is_known =
            || async { !process.grep(&["configuration applied", "\"version\":2"]).is_empty() };
        until("advice is required", is_known).await;
    }
}

/// Failure: the first host by name answers every call with a failure at once (no service in its
/// settings), and each retry goes through it again, so that the step never starts.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_without_an_advice_service_starves_no_step() {
    assert_jobs_start_beside(None).await;
}

/// Failure: the first host by name is refused by the service, and each retry goes through it
/// again, so that the step never starts.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_that_the_advice_service_refuses_starves_no_step() {
    assert_jobs_start_beside(Some(&service(AdviceMode::Status(503)).await)).await;
}

/// Failure: the service closes the connections of the first host by name, and each retry goes
/// through it again, so that the step never starts.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_whose_connections_to_the_advice_service_break_starves_no_step() {
    assert_jobs_start_beside(Some(&service(AdviceMode::ClosesConnections).await)).await;
}

/// Failure: the calls of the first host by name time out, and each retry goes through it again, so
/// that the step never starts.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_whose_calls_for_advice_time_out_starves_no_step() {
    assert_jobs_start_beside(Some(&service(AdviceMode::Silent).await)).await;
}

/// Failure: an answer about workers that were not named was taken as a denial of those that were,
/// which is never asked about again.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_about_other_workers_denies_none() {
    assert_jobs_start_beside(Some(&service(AdviceMode::AllowsOthers).await)).await;
}

/// Failure: a process that is paused with a call in its hands keeps the step waiting.
#[tokio::test(flavor = "multi_thread")]
async fn a_paused_host_delays_no_step_beyond_its_call() {
    let platform = Platform::start().await;
    let others = service(AdviceMode::Allows).await;
    let address = Some(others.server.address);
    let host = |name| Host { advice: address, ..Host::strong(name, platform.address) };
    // The first one becomes the owner, which is not the host that is paused.
    let owner = Process::start_on(&host("b-host")).await;
    assert_job_starts_in_time(&platform, &owner, "a000").await;
    let paused = Process::start_on(&host("a-host")).await;
    let processes = [owner, paused];
    assert_each_process_serves(&platform, &processes, "a1").await;
    require_advice(&platform, &processes).await;
    let [owner, paused] = &processes;

    paused.signal("STOP").await;
    assert_jobs_start_in_time(&platform, owner, "b0").await;
    paused.signal("CONT").await;

    assert_jobs_start_in_time(&platform, owner, "c0").await;
    assert_eq!(platform.duplicate_starts(), 0);
    kill_all(processes.into()).await;
}

/// Failure: the log of the owner does not tell why a call through another process failed.
#[tokio::test(flavor = "multi_thread")]
async fn the_log_explains_why_a_call_for_advice_failed() {
    let platform = Platform::start().await;
    let (refusing, allowing) =
        (service(AdviceMode::Status(503)).await, service(AdviceMode::Allows).await);
    let host = |name, service: &Advice| Host {
        advice: Some(service.server.address),
        ..Host::strong(name, platform.address)
    };
    let owner = Process::start_on(&host("b-host", &allowing)).await;
    assert_job_starts_in_time(&platform, &owner, "a000").await;
    let other = Process::start_on(&host("a-host", &refusing)).await;
    let processes = [owner, other];
    assert_each_process_serves(&platform, &processes, "a1").await;
    require_advice(&platform, &processes).await;
    let [owner, _] = &processes;

    assert_jobs_start_in_time(&platform, owner, "b0").await;

    let is_explained = || async {
        let lines = owner.grep(&["\"kind\":\"advice\"", "\"cause\":\"status\"", "status 503"]);
        lines.iter().any(|line| line["through"] == "a-host" && line["outcome"] == "failed")
    };
    until("a line tells why", is_explained).await;
    let metrics = call("GET", &owner.metrics_url(), "", "").await.map(|(_, text)| text);
    let counted = "advice_failures_total{cause=\"status\"}";
    assert!(metrics.is_some_and(|text| text.contains(counted)), "no {counted}");
    kill_all(processes.into()).await;
}

/// Failure: an accepted job does not start, and the log does not tell that its calls for advice fail.
#[tokio::test(flavor = "multi_thread")]
async fn the_log_tells_how_the_last_call_of_a_waiting_step_ended() {
    let platform = Platform::start().await;
    let refusing = service(AdviceMode::Status(503)).await;
    let advice = Some(refusing.server.address);
    let process =
        Process::start_on(&Host { advice, ..Host::strong("one", platform.address) }).await;
    assert_job_starts_in_time(&platform, &process, "a000").await;
    let processes = [process];
    require_advice(&platform, &processes).await;
    let [process] = &processes;
    until("the job is accepted", || submit(process, "000000000000b000")).await;

    let waits = || process.grep(&["\"kind\":\"wait\"", "000000000000b000"]);
    until("a line tells that the job waits", || async { !waits().is_empty() }).await;

    let first = &waits()[0];
    assert_eq!(first["last_call"], "failed", "{first}");
    assert!(first["last_call_ms"].as_u64().is_some_and(|ms| ms <= 500), "{first}");
    // Lines are written every 2 s, for waits of 3 s and more.
    assert!(first["age_ms"].as_u64().is_some_and(|ms| ms <= 6_000), "{first}");
    refusing.set_mode(AdviceMode::Allows);
    assert_starts_in_time(&platform, process, "000000000000b000").await;
    kill_all(processes.into()).await;
}

/// Failure: after an outage of the service, processes are passed over although they could reach it, or steps
/// are not asked about any more.
#[tokio::test(flavor = "multi_thread")]
async fn steps_that_waited_for_the_service_start_when_it_is_back() {
    let platform = Platform::start().await;
    let advice = service(AdviceMode::Allows).await;
    let processes = start_hosts(&platform, Some(&advice), &advice).await;
    assert_each_process_serves(&platform, &processes, "a0").await;
    require_advice(&platform, &processes).await;

    for (round, mode) in [AdviceMode::Status(429), AdviceMode::Silent].into_iter().enumerate() {
        advice.set_mode(mode);
        let ids: Vec<String> =
            (0..6).map(|job| format!("{:0>16}", format!("b{round}{job}"))).collect();
        for id in &ids {
            until("the job is accepted", || submit(&processes[1], id)).await;
        }
        tokio::time::sleep(Duration::from_secs(5)).await;
        advice.set_mode(AdviceMode::Allows);
        for id in &ids {
            assert_starts_in_time(&platform, &processes[1], id).await;
        }
    }
    assert_eq!(platform.duplicate_starts(), 0);
    kill_all(processes).await;
}

/// Incident inc1 at Mwakilema: all processes were killed and started again, and two jobs of one task
/// that were accepted right after it never started. Failure: one host can't reach the advice
/// service, and all calls at a low load go through it.
#[tokio::test(flavor = "multi_thread")]
async fn jobs_start_after_all_processes_were_killed_beside_a_host_without_advice() {
    let platform = Platform::start().await;
    let advice = service(AdviceMode::Allows).await;
    let link = Proxy::start(advice.server.address).await.expect("a free port");
    let addresses = [link.address, advice.server.address, advice.server.address].map(Some);
    platform.require_advice(CALL_MS);
    let processes = start_hosts_at(&platform, addresses).await;
    assert_each_process_serves(&platform, &processes, "a0").await;

    kill_all(processes).await;
    link.set_state(LinkState::Reset);
    let processes = start_hosts_at(&platform, addresses).await;

    assert_each_process_serves(&platform, &processes, "a1").await;
    for (number, process) in processes.iter().enumerate() {
        assert_jobs_start_in_time(&platform, process, &format!("b{number}")).await;
    }
    assert_eq!(platform.duplicate_starts(), 0);
    kill_all(processes).await;
}
