//! Plays a site with unlike jobs on the engine of `sycamore-node`, and measures what the
//! engine costs and how long jobs wait.
//!
//! Workers, callers and the advice service are simulated on a virtual clock, so that a
//! minute of hundreds of workers takes seconds and differs between two runs only by the time
//! that the engine really takes.

mod simulation;
mod workload;

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use simulation::Simulation;
use workload::{Draft, KINDS, SLACK_FACTOR};

/// Size, load and speed of a simulated site.
#[derive(Clone, Debug, Serialize)]
pub struct Settings {
    /// Seed of the random jobs.
    pub seed: u64,
    /// Number of workers, of 64 cores each.
    pub workers: usize,
    /// Simulated time, in seconds.
    pub seconds: u64,
    /// Arrivals as a multiple of the ordinary rate, which uses 80% of the site.
    pub load: f64,
    /// Multiple of the arrivals during a burst. One begins every 20 s.
    pub burst_factor: f64,
    /// Duration of each burst, in seconds.
    pub burst_seconds: u64,
    /// Fraction of the workers that take five times as long as others.
    pub slow_share: f64,
    /// Multiple of this machine's time that the engine takes on the simulated host.
    pub slow_down: f64,
}

/// Times spent in one kind of call of the engine.
#[derive(Clone, Debug)]
pub struct Spent {
    histogram: Histogram<u64>,
    total: Duration,
}

/// What happened to the jobs of one kind.
#[derive(Clone, Debug)]
pub struct KindOutcome {
    /// Name of the kind.
    pub name: &'static str,
    /// Jobs that completed or missed their objective.
    pub jobs: u64,
    /// Jobs that completed within their objective.
    pub in_time: u64,
    /// Jobs that completed within three times their objective, but not within it.
    pub late: u64,
    /// From the submission to the first order, in microseconds.
    first_starts: Histogram<u64>,
}

/// Result of a simulated site.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// What was simulated.
    pub settings: Settings,
    /// Orders to start a task.
    pub starts: u64,
    /// Dispatch passes.
    pub passes: Spent,
    /// Events that the engine handled.
    pub events: Spent,
    /// Most steps that waited at once.
    pub most_waiting: usize,
    /// Steps that waited at the end.
    pub waiting: usize,
    /// Time that the advice service worked, in milliseconds.
    pub advice_ms: f64,
    /// What happened to the jobs, by kind.
    pub kinds: Vec<KindOutcome>,
}

/// Simulates a site.
pub fn run(settings: Settings) -> Outcome {
    Simulation::new(settings).run()
}

/// Returns the time that a job's objective allows, in microseconds.
fn objective_us(draft: &Draft) -> u64 {
    let path_ms: f64 = draft.work_ms.iter().sum();
    let objective_ms = KINDS[draft.kind].objective_ms as f64;
    ((SLACK_FACTOR * path_ms + objective_ms) * 1_000.0) as u64
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(600_000_000_000, 3).expect("bounds are valid")
}

impl Spent {
    fn new() -> Spent {
        Spent { histogram: histogram(), total: Duration::ZERO }
    }

    fn record(&mut self, spent: Duration) {
        self.histogram.saturating_record(spent.as_nanos() as u64);
        self.total += spent;
    }

    /// Returns the number of calls.
    pub fn count(&self) -> u64 {
        self.histogram.len()
    }

    /// Returns the time of all calls together.
    pub fn total(&self) -> Duration {
        self.total
    }

    /// Returns a quantile of the time of one call, in microseconds.
    pub fn quantile_us(&self, quantile: f64) -> f64 {
        self.histogram.value_at_quantile(quantile) as f64 / 1e3
    }
}

impl KindOutcome {
    fn first_start(&mut self, waited_us: u64) {
        self.first_starts.saturating_record(waited_us);
    }

    fn complete(&mut self, took_us: u64, objective_us: u64) {
        if took_us <= objective_us {
            self.in_time += 1;
        } else if took_us <= 3 * objective_us {
            self.late += 1;
        }
    }

    /// Returns a quantile of the time from submission to the first order, in milliseconds.
    pub fn first_start_ms(&self, quantile: f64) -> f64 {
        self.first_starts.value_at_quantile(quantile) as f64 / 1e3
    }
}

impl Outcome {
    fn new(settings: Settings) -> Outcome {
        let kind =
            |name| KindOutcome { name, jobs: 0, in_time: 0, late: 0, first_starts: histogram() };
        Outcome {
            settings,
            starts: 0,
            passes: Spent::new(),
            events: Spent::new(),
            most_waiting: 0,
            waiting: 0,
            advice_ms: 0.0,
            kinds: KINDS.iter().map(|k| kind(k.name)).collect(),
        }
    }
}
