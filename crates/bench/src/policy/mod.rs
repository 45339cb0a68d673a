//! Policy under load: waiting, packing and shares, against two baselines.
//!
//! Arrivals and run times are drawn from a seed and are the same for every
//! policy. Run times are heavy-tailed, declared run times and sizes are wrong
//! by a drawn factor, and the load swells past capacity and back.

mod baseline;
mod measure;
mod scheduler;
mod simulation;
mod workload;

use std::time::Duration;

use serde::Serialize;

use baseline::{Baseline, HostChoice};
use measure::Meter;
use scheduler::Scheduler;
use simulation::Simulation;
pub use workload::Scenario;
use workload::{Workload, generate};

/// What one policy did at one site.
#[derive(Clone, Debug, Serialize)]
pub struct Score {
    /// Site.
    #[serde(rename = "site")]
    pub scenario: &'static str,
    /// Policy.
    pub policy: &'static str,
    /// Waiting times by class.
    pub waits: Vec<Waits>,
    /// Used part of the scarcest resource while work waits, mean.
    pub packing: f64,
    /// Processor cores that the largest task that still fits may have, mean while work waits.
    pub largest_fit_cores: f64,
    /// Largest distance of a team from its weighted entitlement while full, mean over time.
    pub share_error_largest: f64,
    /// Mean distance of all teams from their weighted entitlements while full.
    pub share_error_mean: f64,
    /// Part of all processor time that was thrown away by stopping work.
    #[serde(rename = "thrown_away")]
    pub wasted_ratio: f64,
    /// Tasks and requests that were started.
    pub started: u64,
}

/// Waiting times of one class, in seconds.
#[derive(Clone, Debug, Serialize)]
pub struct Waits {
    /// Class.
    pub class: &'static str,
    /// Tasks and requests that were started.
    pub count: usize,
    /// Median.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Longest.
    pub max: f64,
}

/// Runs every policy over every site.
pub fn run(seed: u64, scenarios: &[Scenario], mut on_score: impl FnMut(&Score)) -> Vec<Score> {
    let mut scores = Vec::new();
    for scenario in scenarios {
        let workload = generate(seed, scenario);
        for score in [
            run_policy("sycamorechute", &workload, Scheduler::new(&workload)),
            run_policy(
                "first-fit",
                &workload,
                Baseline::new(&workload, HostChoice::FirstFit, seed),
            ),
            run_policy(
                "random-of-two",
                &workload,
                Baseline::new(&workload, HostChoice::TwoRandomChoices, seed),
            ),
        ] {
            on_score(&score);
            scores.push(score);
        }
    }
    scores
}

/// Time between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);

fn run_policy(policy: &'static str, workload: &Workload, mut simulation: impl Simulation) -> Score {
    let mut meter = Meter::new(workload);
    let origin = simulation.now();
    let mut next_sample = SAMPLE_INTERVAL;
    for arrival in &workload.arrivals {
        while arrival.at >= next_sample {
            simulation.run_until(origin + next_sample);
            meter.sample(next_sample, &mut simulation);
            next_sample += SAMPLE_INTERVAL;
        }
        simulation.run_until(origin + arrival.at);
        simulation.submit(arrival);
    }
    // What still waits at the end has waited at least until then.
    simulation.run_until(origin + workload.horizon + workload.drain);
    meter.sample(next_sample, &mut simulation);
    meter.score(workload.scenario.name, policy, origin, &simulation)
}
