//! Generates the arrivals of a scenario from a seed, so that every policy gets
//! the same work.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use sycamore_types::config::{Document, Team};
use sycamore_types::host::Host;
use sycamore_types::resources::Resources;
use sycamore_types::{Name, id};

/// A cluster and the load on it.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// Name, by which `--site` selects the scenario.
    pub name: &'static str,
    /// Number of workers.
    pub workers: usize,
    /// Memory of each worker, in MiB.
    pub memory_mib: u32,
    /// Number of teams. The first sixth, rounded up, has a larger weight.
    pub teams: usize,
    /// Fraction of the arrivals that are interactive requests, below 1. Rounded so
    /// that a whole number of requests arrives with each job.
    pub interactive_ratio: f64,
    /// Time during which jobs arrive, in seconds.
    pub seconds: u64,
}

/// Class of a job or request.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Class {
    Interactive,
    Urgent,
    Batch,
    Gang,
}

impl Class {
    pub(super) const ALL: [Class; 4] =
        [Class::Interactive, Class::Urgent, Class::Batch, Class::Gang];

    pub(super) fn name(self) -> &'static str {
        match self {
            Class::Interactive => "interactive",
            Class::Urgent => "urgent",
            Class::Batch => "batch",
            Class::Gang => "gang",
        }
    }
}

/// A job or request that arrives.
#[derive(Clone, Debug)]
pub(super) struct Arrival {
    /// Time since the start of the run.
    pub(super) at: Duration,
    pub(super) class: Class,
    pub(super) team: Name,
    pub(super) tasks: u32,
    /// Capacity that each task takes.
    pub(super) size: Resources,
    /// Actual run time of each task.
    pub(super) run_time: Duration,
    /// Run time that the job declares. It is wrong by a random factor.
    pub(super) declared_run_time: Duration,
    /// Random number that identifies the job or request.
    pub(super) number: u128,
}

/// Everything that is generated for one scenario.
#[derive(Clone, Debug)]
pub(super) struct Workload {
    pub(super) scenario: Scenario,
    pub(super) hosts: Vec<Host>,
    pub(super) config: Document,
    pub(super) arrivals: Vec<Arrival>,
    /// Time during which jobs arrive.
    pub(super) horizon: Duration,
    /// Time after the horizon in which waiting work can still start.
    pub(super) drain: Duration,
}

/// Mean run time of a task of a job, in seconds, before it is clamped.
const BATCH_MEAN_SECONDS: f64 = 12.0;

/// Fraction of the jobs that are urgent.
const URGENT_RATIO: f64 = 0.02;

/// Fraction of the jobs that are gangs, whose tasks must all start together.
const GANG_RATIO: f64 = 0.04;

/// Load in the middle of a run, as a fraction of the CPU capacity.
const PEAK_LOAD: f64 = 1.5;

/// Load at the start and the end of a run, as a fraction of the CPU capacity.
const BASE_LOAD: f64 = 0.7;

/// Weight of a large team. The others have weight 1.
const LARGE_WEIGHT: usize = 3;

/// Capacity of each worker, in cores.
const CORES_PER_WORKER: f64 = 64.0;

/// Generates the workload of a scenario.
pub(super) fn generate(seed: u64, scenario: &Scenario) -> Workload {
    let mut rng = SmallRng::seed_from_u64(seed);
    let horizon = Duration::from_secs(scenario.seconds);
    let mut arrivals = Vec::new();
    let mut at = 0.0;
    let core_seconds_per_task = mean_core_seconds();
    // Mean of the 1 to 7 tasks of a batch job. Leaves out the few other jobs.
    let tasks_per_job = 4.0;
    loop {
        let load = load_at(at / scenario.seconds as f64);
        let rate = load * scenario.workers as f64 * CORES_PER_WORKER
            / (core_seconds_per_task * tasks_per_job);
        at += Exp::new(rate).expect("rate is positive").sample(&mut rng);
        if at >= scenario.seconds as f64 {
            break;
        }
        let at = Duration::from_secs_f64(at);
        arrivals.push(generate_job(&mut rng, scenario, at));
        let requests = scenario.interactive_ratio / (1.0 - scenario.interactive_ratio);
        for _ in 0..requests.round() as usize {
            let jitter = Duration::from_secs_f64(rng.random_range(0.0..1.0));
            arrivals.push(generate_request(&mut rng, scenario, at + jitter));
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    let hosts = hosts(scenario);
    let config = config(scenario);
    let drain = Duration::from_secs(60);
    Workload { scenario: *scenario, hosts, config, arrivals, horizon, drain }
}

/// Returns the load at a point between the start of a run (0) and its end (1). It
/// rises from the base to the peak and falls again, as on a working day.
fn load_at(fraction: f64) -> f64 {
    let rise = (fraction * std::f64::consts::PI).sin();
    BASE_LOAD + (PEAK_LOAD - BASE_LOAD) * rise
}

/// Returns the mean CPU time of a task of a job, in core seconds.
fn mean_core_seconds() -> f64 {
    // Tasks take 2, 4, 8 or 16 cores with equal probability, and one slot each.
    7.5 * BATCH_MEAN_SECONDS
}

/// Returns a random team. The probability is proportional to the weight, so that
/// every team has a backlog at the peak.
fn pick_team(rng: &mut SmallRng, scenario: &Scenario) -> Name {
    let large = large_teams(scenario);
    let total = large * LARGE_WEIGHT + (scenario.teams - large);
    let roll = rng.random_range(0..total);
    let index = match roll < large * LARGE_WEIGHT {
        true => roll / LARGE_WEIGHT,
        false => roll - large * LARGE_WEIGHT + large,
    };
    Name::from(format!("t{index:03}"))
}

fn large_teams(scenario: &Scenario) -> usize {
    scenario.teams.div_ceil(6)
}

fn generate_job(rng: &mut SmallRng, scenario: &Scenario, at: Duration) -> Arrival {
    let roll: f64 = rng.random();
    let class = if roll < URGENT_RATIO {
        Class::Urgent
    } else if roll < URGENT_RATIO + GANG_RATIO {
        Class::Gang
    } else {
        Class::Batch
    };
    let tasks = match class {
        Class::Gang => rng.random_range(6..=12),
        Class::Urgent => 1,
        _ => rng.random_range(1..=7),
    };
    let sigma: f64 = 1.0;
    let mu = BATCH_MEAN_SECONDS.ln() - sigma * sigma / 2.0;
    let run_time =
        LogNormal::new(mu, sigma).expect("sigma is finite").sample(rng).clamp(0.2, 120.0);
    let estimate_error = LogNormal::new(0.0, 0.7).expect("sigma is finite").sample(rng);
    let cores = [2_u32, 4, 8, 16][rng.random_range(0..4)];
    let memory = f64::from(cores) * f64::from(scenario.memory_mib) / CORES_PER_WORKER;
    Arrival {
        at,
        class,
        team: pick_team(rng, scenario),
        tasks,
        size: Resources {
            cpu_millis: cores * 1_000,
            memory_mib: (memory * rng.random_range(0.3..1.2)) as u32,
            slots: 1,
            ..Resources::default()
        },
        run_time: Duration::from_secs_f64(run_time),
        declared_run_time: Duration::from_secs_f64(run_time * estimate_error),
        number: rng.random(),
    }
}

fn generate_request(rng: &mut SmallRng, scenario: &Scenario, at: Duration) -> Arrival {
    let run_time = Duration::from_secs_f64(rng.random_range(0.01..0.2));
    Arrival {
        at,
        class: Class::Interactive,
        team: pick_team(rng, scenario),
        tasks: 1,
        size: Resources {
            cpu_millis: 1_000,
            memory_mib: 512,
            slots: 1,
            connections: 1,
            ..Resources::default()
        },
        run_time,
        declared_run_time: run_time,
        number: rng.random(),
    }
}

fn hosts(scenario: &Scenario) -> Vec<Host> {
    let mut hosts = crate::decide::hosts(scenario.workers);
    for host in &mut hosts {
        host.capacity.memory_mib = scenario.memory_mib;
        host.failure_domain = Name::from("site");
    }
    hosts
}

fn config(scenario: &Scenario) -> Document {
    // All slots, so that the limit never keeps a task from starting.
    let limit = u32::try_from(scenario.workers * 8).unwrap_or(u32::MAX);
    let team = |at: usize| {
        let weight = if at < large_teams(scenario) { LARGE_WEIGHT as u32 } else { 1 };
        (Name::from(format!("t{at:03}")), Team { weight, limit, urgent: true })
    };
    Document {
        // About 300 workers to a shard, in one failure domain.
        shards_per_domain: u16::try_from(scenario.workers / 300).unwrap_or(1).max(1),
        teams: (0..scenario.teams).map(team).collect(),
        ..Document::default()
    }
}

/// Returns the shard that a job or request is submitted to. It depends only on the
/// number, so that it is the same in every run.
pub(super) fn home_shard(shards: &[id::Shard], number: u128) -> id::Shard {
    shards[usize::try_from(number % shards.len() as u128).unwrap_or(0)].clone()
}
