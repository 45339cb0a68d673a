//! The kill test: real processes on loopback that are killed, paused and
//! replaced under load, and a store that goes away.

mod fleet;
mod load;
mod process;

use std::time::Duration;

use displaydoc::Display;
use serde::Serialize;
use sycamore_demo::Profile;
use sycamore_standin::store::Counts;
use tokio::time::{Instant, sleep};

use fleet::Fleet;
use load::{Load, Tally};

/// Time of load before the first fault and after each one.
const CALM: Duration = Duration::from_secs(4);

/// Time for which a process is paused, longer than its lease.
const PAUSE: Duration = Duration::from_secs(8);

/// Time within which shards must have owners again.
const TAKEOVER: Duration = Duration::from_secs(60);

/// Processes that are killed to measure the time of a takeover.
const KILLS: usize = 3;

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
pub async fn run(outage: Duration, mut say: impl FnMut(&str)) -> Result<Outcome, Error> {
    let mut fleet = Fleet::start(Profile::sialkot()).await?;
    fleet.wait_until_served(TAKEOVER).await?;
    let load = Load::start(fleet.callers());
    let mut outcome = Outcome { outage_seconds: outage.as_secs(), ..Outcome::default() };
    sleep(CALM).await;
    measure_store(&fleet, &mut outcome).await;
    say("killing schedulers");
    let mut takeovers = Vec::new();
    for at in 0..KILLS {
        takeovers.push(kill_one(&mut fleet, at).await?);
        load.set_callers(fleet.callers());
        say(&format!("scheduler {at} killed: served again after {:.2} s", takeovers[at]));
        sleep(CALM).await;
    }
    say("pausing a scheduler past its lease");
    fleet.pause_scheduler(0, PAUSE).await;
    fleet.wait_until_served(TAKEOVER).await?;
    sleep(CALM).await;
    say("killing an entry process");
    fleet.replace_entry(0, true).await?;
    load.set_callers(fleet.callers());
    sleep(CALM).await;
    say("replacing every process in turn");
    for at in 0..fleet.schedulers() {
        let taken = fleet.replace_scheduler(at).await?;
        outcome.handover_seconds_worst = outcome.handover_seconds_worst.max(taken.as_secs_f64());
    }
    for at in 0..fleet.entries() {
        fleet.replace_entry(at, false).await?;
        load.set_callers(fleet.callers());
    }
    sleep(CALM).await;
    say(&format!("store outage of {} s", outage.as_secs()));
    let before = load.tally();
    fleet.set_store_down(true);
    sleep(outage).await;
    let during = load.tally().since(&before);
    fleet.set_store_down(false);
    outcome.outage_answered_ratio = during.answered_ratio();
    fleet.wait_until_served(TAKEOVER).await?;
    sleep(CALM).await;
    say("waiting for jobs to end");
    takeovers.sort_by(f64::total_cmp);
    outcome.takeover_seconds_median = takeovers[takeovers.len() / 2];
    outcome.takeover_seconds_worst = takeovers[takeovers.len() - 1];
    conclude(&fleet, load, &mut outcome).await;
    fleet.stop().await;
    Ok(outcome)
}

async fn kill_one(fleet: &mut Fleet, at: usize) -> Result<f64, Error> {
    fleet.kill_scheduler(at).await;
    let begun = Instant::now();
    fleet.wait_until_served(TAKEOVER).await?;
    let taken = begun.elapsed().as_secs_f64();
    fleet.start_scheduler(at).await?;
    Ok(taken)
}

async fn measure_store(fleet: &Fleet, outcome: &mut Outcome) {
    const SPAN: Duration = Duration::from_secs(5);
    let before = fleet.store_counts();
    sleep(SPAN).await;
    let after = fleet.store_counts();
    let rate = |f: fn(&Counts) -> u64| (f(&after) - f(&before)) as f64 / SPAN.as_secs_f64();
    outcome.store_writes_per_second = rate(|counts| counts.writes);
    outcome.store_reads_per_second = rate(|counts| counts.reads + counts.watches);
}

async fn conclude(fleet: &Fleet, load: Load, outcome: &mut Outcome) {
    let finished = load.finish().await;
    let Tally { requests, answered, unknown, .. } = finished.tally;
    outcome.requests = requests;
    outcome.answered_ratio = answered as f64 / requests.max(1) as f64;
    outcome.unknown = unknown;
    outcome.jobs = finished.jobs as u64;
    outcome.lost_jobs = finished.lost_jobs as u64;
    let ledger = fleet.ledger();
    outcome.violations = ledger.violations().total();
    for path in &finished.paths {
        outcome.double_runs += u64::from(ledger.request_runs(path) > 1);
    }
    for path in &finished.not_run {
        outcome.false_not_run += u64::from(ledger.request_runs(path) > 0);
    }
}
