//! Compares waiting times, packing and fairness of the decision core with those
//! of two simple schedulers, the baselines.
//!
//! Arrivals and run times are generated from a seed and are the same for every
//! policy. Run times are heavy-tailed, declared run times and memory sizes are
//! off by random factors, and the load rises above the capacity of the cluster
//! and falls again.

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

/// Results of one policy in one scenario.
#[derive(Clone, Debug, Serialize)]
pub struct Score {
    /// Name of the scenario.
    #[serde(rename = "site")]
    pub scenario: &'static str,
    /// Name of the policy.
    pub policy: &'static str,
    /// Waiting times by class of work.
    pub waits: Vec<Waits>,
    /// Mean fraction in use of the resource that is used most, while the cluster is
    /// full (so many tasks wait that only the policy limits what is in use).
    pub packing: f64,
    /// Mean number of free cores on the host with the most, while the cluster is
    /// full. A larger task can't start.
    pub largest_fit_cores: f64,
    /// Largest difference between the share of a team and its entitlement by weight,
    /// over the teams with a backlog. Mean over time while the cluster is full.
    pub share_error_largest: f64,
    /// Mean of this difference over the teams with a backlog and over time.
    pub share_error_mean: f64,
    /// CPU time of the tasks that were stopped before their end, as a fraction of the
    /// CPU time of all work.
    #[serde(rename = "thrown_away")]
    pub wasted_ratio: f64,
    /// Number of starts of tasks and requests, with restarts of stopped tasks.
    pub started: u64,
}

/// Waiting times of one class, in seconds.
#[derive(Clone, Debug, Serialize)]
pub struct Waits {
    /// Name of the class.
    pub class: &'static str,
    /// Number of tasks and requests that arrived.
    pub count: usize,
    /// Median waiting time.
    pub p50: f64,
    /// 99th percentile of the waiting time.
    pub p99: f64,
    /// Longest waiting time.
    pub max: f64,
}

/// Runs every policy in every scenario and calls `on_score` after each run.
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

/// Virtual time between two samples.
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
    // Work that has not started by now counts as waiting until now.
    simulation.run_until(origin + workload.horizon + workload.drain);
    meter.sample(next_sample, &mut simulation);
    meter.score(workload.scenario.name, policy, origin, &simulation)
}
