use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use sycamore_types::config::{Document, Team};
use sycamore_types::host::Host;
use sycamore_types::resources::Resources;
use sycamore_types::{Name, id};

/// A site to play the workload at.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// Name.
    pub name: &'static str,
    /// Workers.
    pub workers: usize,
    /// Memory of each worker, in MiB.
    pub memory_mib: u32,
    /// Teams; the first sixth is large.
    pub teams: usize,
    /// Part of the arrivals that are interactive requests.
    pub interactive_ratio: f64,
    /// Length of the play, in seconds.
    pub seconds: u64,
}

/// Class of an arrival.
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

/// One piece of work.
#[derive(Clone, Debug)]
pub(super) struct Arrival {
    pub(super) at: Duration,
    pub(super) class: Class,
    pub(super) team: Name,
    pub(super) tasks: u32,
    pub(super) size: Resources,
    pub(super) run_time: Duration,
    pub(super) declared_run_time: Duration,
    pub(super) number: u128,
}

/// Everything that is drawn for one site.
#[derive(Clone, Debug)]
pub(super) struct Workload {
    pub(super) scenario: Scenario,
    pub(super) hosts: Vec<Host>,
    pub(super) config: Document,
    pub(super) arrivals: Vec<Arrival>,
    pub(super) horizon: Duration,
    pub(super) drain: Duration,
}

/// Mean run time of a batch task, in seconds.
const BATCH_MEAN_SECONDS: f64 = 12.0;

/// Part of the jobs that are urgent.
const URGENT_RATIO: f64 = 0.02;

/// Part of the jobs that need all their tasks at once.
const GANG_RATIO: f64 = 0.04;

/// Load at the peak, as a part of capacity.
const PEAK_LOAD: f64 = 1.5;

/// Load at the start and the end.
const BASE_LOAD: f64 = 0.7;

/// Weight of a large team.
const LARGE_WEIGHT: usize = 3;

/// Capacity of each worker, in cores.
const CORES_PER_WORKER: f64 = 64.0;

/// Draws the workload of a site.
pub(super) fn generate(seed: u64, scenario: &Scenario) -> Workload {
    let mut rng = SmallRng::seed_from_u64(seed);
    let horizon = Duration::from_secs(scenario.seconds);
    let mut arrivals = Vec::new();
    let mut at = 0.0;
    let mean_task = mean_core_seconds();
    let mean_tasks = 4.0;
    loop {
        let load = load_at(at / scenario.seconds as f64);
        let rate = load * scenario.workers as f64 * CORES_PER_WORKER / (mean_task * mean_tasks);
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

/// Swells from the base to the peak and back, like a day.
fn load_at(part: f64) -> f64 {
    let rise = (part * std::f64::consts::PI).sin();
    BASE_LOAD + (PEAK_LOAD - BASE_LOAD) * rise
}

fn mean_core_seconds() -> f64 {
    // Sizes are 2, 4, 8 or 16 cores in equal parts, with a slot each.
    7.5 * BATCH_MEAN_SECONDS
}

/// Draws a team by weight, so that all have a backlog at the peak.
fn pick_team(rng: &mut SmallRng, scenario: &Scenario) -> Name {
    let large = large_teams(scenario);
    let total = large * LARGE_WEIGHT + (scenario.teams - large);
    let roll = rng.random_range(0..total);
    let at = match roll < large * LARGE_WEIGHT {
        true => roll / LARGE_WEIGHT,
        false => roll - large * LARGE_WEIGHT + large,
    };
    Name::from(format!("t{at:03}"))
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
    let limit = u32::try_from(scenario.workers * 8).unwrap_or(u32::MAX);
    let team = |at: usize| {
        let weight = if at < large_teams(scenario) { LARGE_WEIGHT as u32 } else { 1 };
        (Name::from(format!("t{at:03}")), Team { weight, limit, urgent: true })
    };
    Document {
        shards_per_domain: u16::try_from(scenario.workers / 300).unwrap_or(1).max(1),
        teams: (0..scenario.teams).map(team).collect(),
        ..Document::default()
    }
}

/// Returns the home shard of a piece of work: the same for every policy.
pub(super) fn home_shard(shards: &[id::Shard], number: u128) -> id::Shard {
    shards[usize::try_from(number % shards.len() as u128).unwrap_or(0)].clone()
}
