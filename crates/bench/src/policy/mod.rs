//! Policy under load: waiting, packing and shares, against two baselines.
//!
//! Arrivals and run times are drawn from a seed and are the same for every
//! policy. Run times are heavy-tailed, declared run times and sizes are wrong
//! by a drawn factor, and the load swells past capacity and back.

mod baseline;
mod engine;
mod measure;
mod scheduler;
mod workload;

use std::time::Duration;

use serde::Serialize;

use baseline::{Baseline, Choice};
use engine::Engine;
use measure::Meter;
use scheduler::Scheduler;
pub use workload::Site;
use workload::{Workload, draw};

/// What one policy did at one site.
#[derive(Clone, Debug, Serialize)]
pub struct Score {
    /// Site.
    pub site: &'static str,
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
    pub thrown_away: f64,
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
pub fn run(seed: u64, sites: &[Site], mut say: impl FnMut(&Score)) -> Vec<Score> {
    let mut scores = Vec::new();
    for site in sites {
        let workload = draw(seed, site);
        for score in [
            play("sycamorechute", &workload, Scheduler::new(&workload)),
            play("first-fit", &workload, Baseline::new(&workload, Choice::FirstFit, seed)),
            play("random-of-two", &workload, Baseline::new(&workload, Choice::RandomOfTwo, seed)),
        ] {
            say(&score);
            scores.push(score);
        }
    }
    scores
}

/// Time between two samples.
const SAMPLE: Duration = Duration::from_secs(1);

fn play(policy: &'static str, workload: &Workload, mut engine: impl Engine) -> Score {
    let mut meter = Meter::new(workload);
    let origin = engine.now();
    let mut next_sample = SAMPLE;
    for arrival in &workload.arrivals {
        while arrival.at >= next_sample {
            engine.run_until(origin + next_sample);
            meter.sample(next_sample, &mut engine);
            next_sample += SAMPLE;
        }
        engine.run_until(origin + arrival.at);
        engine.arrive(arrival);
    }
    // What still waits at the end has waited at least until then.
    engine.run_until(origin + workload.horizon + workload.drain);
    meter.sample(next_sample, &mut engine);
    meter.score(workload.site.name, policy, origin, &engine)
}
