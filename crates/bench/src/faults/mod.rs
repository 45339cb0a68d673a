//! The fault test: kills, pauses and replaces real processes on loopback under
//! load, and makes the store unavailable.
//!
//! It checks that no accepted job is lost and that no request runs twice, or
//! runs although its caller was told that it did not. It also measures how long
//! shards are without an owner. The platform is simulated; the entry processes
//! and schedulers are real.

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

/// Time under load before the first fault and after each one.
const STEADY_LOAD_TIME: Duration = Duration::from_secs(4);

/// Time for which a scheduler is paused. Longer than its lease, `ttl` of
/// `sycamore_core::Timing`, so that it comes back after its peers may have taken
/// over its shards.
const PAUSE_TIME: Duration = Duration::from_secs(8);

/// Time within which every shard must be served again after a fault.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(60);

/// Number of schedulers that are killed to measure the time of a takeover.
const KILL_COUNT: usize = 3;

/// Reason why the test could not be carried out.
#[derive(Debug, Display)]
#[non_exhaustive]
pub enum Error {
    /// starting the processes or the simulated platform failed: {0}
    Io(std::io::Error),
    /// the configuration could not be stored: {0}
    Config(sycamore_ctl::Error),
    /// some shards still have no active owner after {0} s
    NotReady(u64),
}

impl std::error::Error for Error {}

impl From<std::io::Error> for Error {
    fn from(error: std::io::Error) -> Error {
        Error::Io(error)
    }
}

/// Results of the test.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Outcome {
    /// Number of violations on the simulated workers, such as an overload or a task
    /// that runs twice at the same time.
    pub violations: u64,
    /// Number of accepted jobs that did not succeed in time.
    pub lost_jobs: u64,
    /// Number of requests that ran more than once.
    pub double_runs: u64,
    /// Number of requests that ran although the caller was told that they did not.
    pub false_not_run: u64,
    /// Number of requests that ended, with any outcome.
    pub requests: u64,
    /// Fraction of these requests that were answered.
    pub answered_ratio: f64,
    /// Number of requests of which the caller can't know whether they ran.
    pub unknown: u64,
    /// Number of jobs that were accepted.
    pub jobs: u64,
    /// Median time from killing a scheduler until every shard is served again, in
    /// seconds.
    pub takeover_seconds_median: f64,
    /// Longest of these times, in seconds.
    pub takeover_seconds_worst: f64,
    /// Longest time from a planned stop of a scheduler until every shard is served
    /// again, in seconds.
    pub handover_seconds_worst: f64,
    /// Fraction of the requests that ended during the store outage which were
    /// answered.
    pub outage_answered_ratio: f64,
    /// Length of the store outage, in seconds.
    pub outage_seconds: u64,
    /// Writes to the store per second before the first fault, deletions included.
    pub store_writes_per_second: f64,
    /// Reads from the store per second before the first fault, watches included.
    pub store_reads_per_second: f64,
}

/// Runs the test with a store outage of the given length. Passes messages about
/// its progress to `log`.
///
/// # Errors
///
/// Fails if a process can't be started, if the configuration can't be stored, or
/// if some shard is not served in time after a fault.
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
        log(&format!(
            "scheduler {index} killed; all shards served again after {:.2} s",
            takeovers[index]
        ));
        sleep(STEADY_LOAD_TIME).await;
    }
    log("pausing a scheduler for longer than its lease");
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

/// Kills a scheduler and starts another in its place. Returns the time until
/// every shard was served by the others, in seconds.
async fn measure_takeover(cluster: &mut Cluster, index: usize) -> Result<f64, Error> {
    cluster.kill_scheduler(index).await;
    let killed_at = Instant::now();
    cluster.wait_until_served(TAKEOVER_TIMEOUT).await?;
    let taken = killed_at.elapsed().as_secs_f64();
    cluster.start_scheduler(index).await?;
    Ok(taken)
}

/// Measures the rates of store calls while nothing fails.
async fn measure_store(cluster: &Cluster, outcome: &mut Outcome) {
    const MEASURE_TIME: Duration = Duration::from_secs(5);
    let before = cluster.store_counts();
    sleep(MEASURE_TIME).await;
    let after = cluster.store_counts();
    let rate = |f: fn(&Counts) -> u64| (f(&after) - f(&before)) as f64 / MEASURE_TIME.as_secs_f64();
    outcome.store_writes_per_second = rate(|counts| counts.writes);
    outcome.store_reads_per_second = rate(|counts| counts.reads + counts.watches);
}

/// Ends the load and checks what its callers were told against what the simulated
/// workers ran.
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
