//! Measures how long the decision core takes per task start.
//!
//! Jobs arrive at a fixed virtual rate and the number of running tasks stays
//! constant. Only the time inside the core counts, so the result is the cost of
//! the control thread without any network or store latency.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use sycamore_core::caller::Submission;
use sycamore_core::peer::{Demand, Summary};
use sycamore_types::config::{Document, Team};
use sycamore_types::host::Host;
use sycamore_types::job::Spec;
use sycamore_types::resources::Resources;
use sycamore_types::{Name, id, label};

use crate::driver::Driver;

/// Average number of tasks that run on each worker while the cost is measured: 80%
/// of its slots.
const TASKS_PER_WORKER: f64 = 6.4;

/// Virtual time between two submissions. Gives the core about the rate of jobs
/// that one scheduler gets at the design size.
const SUBMIT_INTERVAL: Duration = Duration::from_micros(3_800);

/// Longest step time that the histogram can hold, in nanoseconds. Longer steps
/// count as this long.
const MAX_STEP_NS: u64 = 60_000_000_000;

/// Cost of the decision core for one number of workers and teams.
#[derive(Clone, Debug, Serialize)]
pub struct Cost {
    /// Number of workers.
    pub workers: usize,
    /// Number of teams. Each job belongs to a random one.
    pub teams: usize,
    /// Number of tasks that run at a time, on average.
    pub running: u64,
    /// Number of task starts that were measured.
    pub placements: u64,
    /// Task starts per second of time that the core takes.
    pub placements_per_second: f64,
    /// Time that the core takes per task start, in microseconds. Includes all
    /// events, such as ticks and worker reports.
    pub us_per_placement: f64,
    /// Median time that the core takes to handle one event, called a step, in
    /// microseconds.
    pub step_p50_us: f64,
    /// 99th percentile of the time to handle one event, in microseconds.
    pub step_p99_us: f64,
    /// 99.9th percentile of the time to handle one event, in microseconds.
    pub step_p999_us: f64,
    /// Time that the core takes per task start, by kind of event, in microseconds.
    pub us_by_kind: BTreeMap<&'static str, f64>,
    /// Number of reports that one worker sends per second of virtual time.
    pub reports_per_worker_second: f64,
    /// Mean size of a report of a worker, in bytes of JSON.
    pub report_bytes: f64,
    /// Size of the summary that the owner of a shard sends to the planner, in bytes.
    pub summary_bytes: usize,
    /// Memory that the process takes per worker with the running tasks, in bytes.
    /// It is the growth of the resident memory while the core and the tasks start.
    pub bytes_per_worker: f64,
}

/// Measures the cost for each pair of a number of workers and a number of teams,
/// and calls `on_result` after each. While the cost is measured, `placements` jobs
/// of one task each are submitted.
pub fn run(
    seed: u64,
    placements: u64,
    sizes: &[(usize, usize)],
    mut on_result: impl FnMut(&Cost),
) -> Vec<Cost> {
    let mut costs = Vec::new();
    for (workers, teams) in sizes {
        let cost = measure(seed, placements, *workers, *teams);
        on_result(&cost);
        costs.push(cost);
    }
    costs
}

fn measure(seed: u64, job_count: u64, workers: usize, teams: usize) -> Cost {
    let bytes_before = resident_bytes();
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut driver = Driver::new(hosts(workers), config(teams, workers));
    let running = (workers as f64 * TASKS_PER_WORKER) as usize;
    // A task runs for as long as it takes to submit `running` others, so the
    // number of running tasks stays constant.
    let run_time = SUBMIT_INTERVAL * u32::try_from(running).unwrap_or(u32::MAX);
    for _ in 0..running {
        submit_job(&mut driver, &mut rng, teams, run_time);
    }
    let gained_bytes = resident_bytes().saturating_sub(bytes_before);
    driver.step_times_ns.clear();
    driver.core_time_ns = 0;
    driver.cost_by_kind.clear();
    driver.reports = 0;
    driver.report_bytes = 0;
    let started_at = driver.now;
    let starts_before = driver.starts;
    for _ in 0..job_count {
        submit_job(&mut driver, &mut rng, teams, run_time);
    }
    let placements = driver.starts - starts_before;
    let mut histogram = Histogram::<u64>::new_with_max(MAX_STEP_NS, 3).expect("bounds are valid");
    for nanos in &driver.step_times_ns {
        histogram.saturating_record(*nanos);
    }
    let quantile = |q: f64| histogram.value_at_quantile(q) as f64 / 1e3;
    Cost {
        workers,
        teams,
        running: running as u64,
        placements,
        placements_per_second: placements as f64 / (driver.core_time_ns as f64 / 1e9),
        us_per_placement: driver.core_time_ns as f64 / 1e3 / placements as f64,
        us_by_kind: driver
            .cost_by_kind
            .iter()
            .map(|(kind, cost)| (*kind, cost.spent_ns as f64 / 1e3 / placements as f64))
            .collect(),
        reports_per_worker_second: driver.reports as f64
            / workers as f64
            / (driver.now - started_at).as_secs_f64(),
        report_bytes: driver.report_bytes as f64 / driver.reports.max(1) as f64,
        summary_bytes: summary_bytes(teams),
        step_p50_us: quantile(0.5),
        step_p99_us: quantile(0.99),
        step_p999_us: quantile(0.999),
        bytes_per_worker: gained_bytes as f64 / workers as f64,
    }
}

fn submit_job(driver: &mut Driver, rng: &mut SmallRng, teams: usize, run_time: Duration) {
    let shards = driver.shards();
    let shard = shards[rng.random_range(0..shards.len())].clone();
    let cpu_millis = rng.random_range(1..=8) * 1_000;
    let spec = Spec {
        tasks: 1,
        size: Resources {
            cpu_millis,
            memory_mib: rng.random_range(1..=24) * 1_024,
            slots: 1,
            ..Resources::default()
        },
        restartable: true,
        run_ms: u64::try_from(run_time.as_millis()).unwrap_or(u64::MAX),
        ..Spec::default()
    };
    let team = Name::from(format!("t{:03}", rng.random_range(0..teams)));
    let id = id::Job::new(shard, rng.random());
    let jitter = rng.random_range(0.8..1.2);
    driver.submit(Submission { id, team, spec }, run_time.mul_f64(jitter));
    let next = driver.now + SUBMIT_INTERVAL;
    driver.run_until(next);
}

/// Returns the size of a summary to the planner with the given number of teams,
/// in bytes.
fn summary_bytes(teams: usize) -> usize {
    let demand = Demand { running: 40, waiting: 12, cap: 60, used: hosts(1)[0].capacity };
    let teams = (0..teams).map(|at| (Name::from(format!("t{at:03}")), demand)).collect();
    let summary = Summary {
        shard: id::Shard::new("z0", 0),
        epoch: 3,
        ledger: 40_000,
        lowerings: 9,
        capacity: hosts(1)[0].capacity,
        teams,
    };
    let encoded = bincode::serde::encode_to_vec(summary, bincode::config::standard());
    encoded.map_or(0, |bytes| bytes.len())
}

/// Returns hosts of the size that users run: 64 cores, 256 GiB of memory and 8
/// slots, with 8 hosts to a rack and the racks spread over 4 failure domains.
pub(crate) fn hosts(workers: usize) -> Vec<Host> {
    let host = |at: usize| Host {
        name: Name::from(format!("w{at:05}")),
        address: Name::from(""),
        rack: Name::from(format!("r{:04}", at / 8)),
        failure_domain: Name::from(format!("z{}", at / 8 % 4)),
        capacity: Resources {
            cpu_millis: 64_000,
            memory_mib: 256 * 1_024,
            accelerators: 0,
            slots: 8,
            connections: 64,
        },
        labels: label::Set::default(),
        is_leaving: false,
    };
    (0..workers).map(host).collect()
}

fn config(teams: usize, workers: usize) -> Document {
    // All slots, so that the limit never keeps a task from starting.
    let limit = u32::try_from(workers * 8).unwrap_or(u32::MAX);
    let team = |at: usize| {
        let settings = Team { weight: 1 + at as u32 % 4, limit, urgent: false };
        (Name::from(format!("t{at:03}")), settings)
    };
    // About 300 workers to a shard, in 4 failure domains.
    let shards_per_domain = u16::try_from(workers / 1_250).unwrap_or(u16::MAX).max(1);
    Document { shards_per_domain, teams: (0..teams).map(team).collect(), ..Document::default() }
}

/// Returns the resident memory of the process in bytes, or 0 if it can't be read.
fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4_096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}
