//! The kill test: real processes on loopback that are killed, paused and
//! replaced under load, and a store that goes away.

mod cluster;
mod load;
mod process;

use std::time::Duration;

use displaydoc::Display;
use serde::Serialize;
use sycamore_demo::Profile;
use sycamore_standin::store::Counts;
use tokio::time::{Instant, sleep};

use cluster::Cluster;
use load::{Counters, Load};

/// Time of load before the first fault and after each one.
const STEADY_LOAD_TIME: Duration = Duration::from_secs(4);

/// Time for which a process is paused, longer than its lease.
const PAUSE_TIME: Duration = Duration::from_secs(8);

/// Time within which shards must have owners again.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(60);

/// Processes that are killed to measure the time of a takeover.
const KILL_COUNT: usize = 3;

/// Why the test could not be carried out.
#[derive(Debug, Display)]
#[non_exhaustive]
pub enum Error {
    /// stand-ins or processes: {0}
    Io(std::io::Error),
    /// configuration: {0}
    Config(sycamore_ctl::Error),
    /// shards without an owner after {0} s
    NotReady(u64),
}

impl std::error::Error for Error {}

impl From<std::io::Error> for Error {
    fn from(error: std::io::Error) -> Error {
        Error::Io(error)
    }
}

/// What was seen.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Outcome {
    /// What the stand-ins saw that must never happen.
    pub violations: u64,
    /// Accepted jobs that did not end well.
    pub lost_jobs: u64,
    /// Requests that ran more than once.
    pub double_runs: u64,
    /// Requests that ran though the caller was told they did not.
    pub false_not_run: u64,
    /// Requests that were made.
    pub requests: u64,
    /// Part of the requests that was answered.
    pub answered_ratio: f64,
    /// Requests whose outcome was unknown.
    pub unknown: u64,
    /// Jobs that were accepted.
    pub jobs: u64,
    /// Median time from a kill until every shard was served again, in seconds.
    pub takeover_seconds_median: f64,
    /// Worst such time, in seconds.
    pub takeover_seconds_worst: f64,
    /// Time from a planned stop until every shard was served again, worst, in seconds.
    pub handover_seconds_worst: f64,
    /// Part of the requests during the store outage that was answered.
    pub outage_answered_ratio: f64,
    /// Length of the store outage, in seconds.
    pub outage_seconds: u64,
    /// Calls to the store while nothing failed, per second.
    pub store_writes_per_second: f64,
    /// Reads from the store while nothing failed, watches counted, per second.
    pub store_reads_per_second: f64,
}

/// Runs the test.
///
/// # Errors
///
/// Fails when processes can't be started or don't get ready.
pub async fn run(outage: Duration, mut log: impl FnMut(&str)) -> Result<Outcome, Error> {
    let mut cluster = Cluster::start(Profile::sialkot()).await?;
    cluster.wait_until_served(TAKEOVER_TIMEOUT).await?;
    let load = Load::start(cluster.callers());
    let mut outcome = Outcome { outage_seconds: outage.as_secs(), ..Outcome::default() };
    sleep(STEADY_LOAD_TIME).await;
    measure_store(&cluster, &mut outcome).await;
    log("killing schedulers");
    let mut takeovers = Vec::new();
    for index in 0..KILL_COUNT {
        takeovers.push(measure_takeover(&mut cluster, index).await?);
        load.set_callers(cluster.callers());
        log(&format!("scheduler {index} killed: served again after {:.2} s", takeovers[index]));
        sleep(STEADY_LOAD_TIME).await;
    }
    log("pausing a scheduler past its lease");
    cluster.pause_scheduler(0, PAUSE_TIME).await;
    cluster.wait_until_served(TAKEOVER_TIMEOUT).await?;
    sleep(STEADY_LOAD_TIME).await;
    log("killing an entry process");
    cluster.replace_entry(0, true).await?;
    load.set_callers(cluster.callers());
    sleep(STEADY_LOAD_TIME).await;
    log("replacing every process in turn");
    for index in 0..cluster.scheduler_count() {
        let taken = cluster.replace_scheduler(index).await?;
        outcome.handover_seconds_worst = outcome.handover_seconds_worst.max(taken.as_secs_f64());
    }
    for index in 0..cluster.entry_count() {
        cluster.replace_entry(index, false).await?;
        load.set_callers(cluster.callers());
    }
    sleep(STEADY_LOAD_TIME).await;
    log(&format!("store outage of {} s", outage.as_secs()));
    let before_outage = load.counters();
    cluster.set_store_down(true);
    sleep(outage).await;
    let during = load.counters().since(&before_outage);
    cluster.set_store_down(false);
    outcome.outage_answered_ratio = during.answered_ratio();
    cluster.wait_until_served(TAKEOVER_TIMEOUT).await?;
    sleep(STEADY_LOAD_TIME).await;
    log("waiting for jobs to end");
    takeovers.sort_by(f64::total_cmp);
    outcome.takeover_seconds_median = takeovers[takeovers.len() / 2];
    outcome.takeover_seconds_worst = takeovers[takeovers.len() - 1];
    record_results(&cluster, load, &mut outcome).await;
    cluster.stop().await;
    Ok(outcome)
}

async fn measure_takeover(cluster: &mut Cluster, index: usize) -> Result<f64, Error> {
    cluster.kill_scheduler(index).await;
    let killed_at = Instant::now();
    cluster.wait_until_served(TAKEOVER_TIMEOUT).await?;
    let taken = killed_at.elapsed().as_secs_f64();
    cluster.start_scheduler(index).await?;
    Ok(taken)
}

async fn measure_store(cluster: &Cluster, outcome: &mut Outcome) {
    const MEASURE_TIME: Duration = Duration::from_secs(5);
    let before = cluster.store_counts();
    sleep(MEASURE_TIME).await;
    let after = cluster.store_counts();
    let rate = |f: fn(&Counts) -> u64| (f(&after) - f(&before)) as f64 / MEASURE_TIME.as_secs_f64();
    outcome.store_writes_per_second = rate(|counts| counts.writes);
    outcome.store_reads_per_second = rate(|counts| counts.reads + counts.watches);
}

async fn record_results(cluster: &Cluster, load: Load, outcome: &mut Outcome) {
    let finished = load.finish().await;
    let Counters { requests, answered, unknown, .. } = finished.counters;
    outcome.requests = requests;
    outcome.answered_ratio = answered as f64 / requests.max(1) as f64;
    outcome.unknown = unknown;
    outcome.jobs = finished.job_count as u64;
    outcome.lost_jobs = finished.lost_job_count as u64;
    let run_tracker = cluster.run_tracker();
    outcome.violations = run_tracker.violations().total();
    for path in &finished.paths {
        outcome.double_runs += u64::from(run_tracker.request_runs(path) > 1);
    }
    for path in &finished.not_run {
        outcome.false_not_run += u64::from(run_tracker.request_runs(path) > 0);
    }
}
