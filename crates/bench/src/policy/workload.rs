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
pub struct Site {
    /// Name.
    pub name: &'static str,
    /// Workers.
    pub workers: usize,
    /// Memory of each worker, in MiB.
    pub memory_mib: u32,
    /// Teams; the first sixth is large.
    pub teams: usize,
    /// Part of the arrivals that are interactive requests.
    pub interactive: f64,
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
    pub(super) run: Duration,
    pub(super) declared: Duration,
    pub(super) number: u128,
}

/// Everything that is drawn for one site.
#[derive(Clone, Debug)]
pub(super) struct Workload {
    pub(super) site: Site,
    pub(super) hosts: Vec<Host>,
    pub(super) config: Document,
    pub(super) arrivals: Vec<Arrival>,
    pub(super) horizon: Duration,
    pub(super) drain: Duration,
}

/// Mean run time of a batch task, in seconds.
const BATCH_SECONDS: f64 = 12.0;

/// Part of the jobs that are urgent.
const URGENT: f64 = 0.02;

/// Part of the jobs that need all their tasks at once.
const GANGS: f64 = 0.04;

/// Load at the peak, as a part of capacity.
const PEAK: f64 = 1.5;

/// Load at the start and the end.
const BASE: f64 = 0.7;

/// Weight of a large team.
const LARGE_WEIGHT: usize = 3;

/// Capacity of each worker, in cores.
const CORES: f64 = 64.0;

/// Draws the workload of a site.
pub(super) fn draw(seed: u64, site: &Site) -> Workload {
    let mut rng = SmallRng::seed_from_u64(seed);
    let horizon = Duration::from_secs(site.seconds);
    let mut arrivals = Vec::new();
    let mut at = 0.0;
    let mean_task = mean_core_seconds();
    let mean_tasks = 4.0;
    loop {
        let load = load_at(at / site.seconds as f64);
        let rate = load * site.workers as f64 * CORES / (mean_task * mean_tasks);
        at += Exp::new(rate).expect("rate is positive").sample(&mut rng);
        if at >= site.seconds as f64 {
            break;
        }
        let at = Duration::from_secs_f64(at);
        arrivals.push(job(&mut rng, site, at));
        let requests = site.interactive / (1.0 - site.interactive);
        for _ in 0..requests.round() as usize {
            let jitter = Duration::from_secs_f64(rng.random_range(0.0..1.0));
            arrivals.push(request(&mut rng, site, at + jitter));
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    let hosts = hosts(site);
    let config = config(site);
    let drain = Duration::from_secs(60);
    Workload { site: *site, hosts, config, arrivals, horizon, drain }
}

/// Swells from the base to the peak and back, like a day.
fn load_at(part: f64) -> f64 {
    let swell = (part * std::f64::consts::PI).sin();
    BASE + (PEAK - BASE) * swell
}

fn mean_core_seconds() -> f64 {
    // Sizes are 2, 4, 8 or 16 cores in equal parts, with a slot each.
    7.5 * BATCH_SECONDS
}

/// Draws a team by weight, so that all have a backlog at the peak.
fn team(rng: &mut SmallRng, site: &Site) -> Name {
    let large = large_teams(site);
    let total = large * LARGE_WEIGHT + (site.teams - large);
    let roll = rng.random_range(0..total);
    let at = match roll < large * LARGE_WEIGHT {
        true => roll / LARGE_WEIGHT,
        false => roll - large * LARGE_WEIGHT + large,
    };
    Name::from(format!("t{at:03}"))
}

fn large_teams(site: &Site) -> usize {
    site.teams.div_ceil(6)
}

fn job(rng: &mut SmallRng, site: &Site, at: Duration) -> Arrival {
    let roll: f64 = rng.random();
    let class = if roll < URGENT {
        Class::Urgent
    } else if roll < URGENT + GANGS {
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
    let mu = BATCH_SECONDS.ln() - sigma * sigma / 2.0;
    let run = LogNormal::new(mu, sigma).expect("sigma is finite").sample(rng).clamp(0.2, 120.0);
    let wrong = LogNormal::new(0.0, 0.7).expect("sigma is finite").sample(rng);
    let cores = [2_u32, 4, 8, 16][rng.random_range(0..4)];
    let memory = f64::from(cores) * f64::from(site.memory_mib) / CORES;
    Arrival {
        at,
        class,
        team: team(rng, site),
        tasks,
        size: Resources {
            cpu_millis: cores * 1_000,
            memory_mib: (memory * rng.random_range(0.3..1.2)) as u32,
            slots: 1,
            ..Resources::default()
        },
        run: Duration::from_secs_f64(run),
        declared: Duration::from_secs_f64(run * wrong),
        number: rng.random(),
    }
}

fn request(rng: &mut SmallRng, site: &Site, at: Duration) -> Arrival {
    let run = Duration::from_secs_f64(rng.random_range(0.01..0.2));
    Arrival {
        at,
        class: Class::Interactive,
        team: team(rng, site),
        tasks: 1,
        size: Resources {
            cpu_millis: 1_000,
            memory_mib: 512,
            slots: 1,
            connections: 1,
            ..Resources::default()
        },
        run,
        declared: run,
        number: rng.random(),
    }
}

fn hosts(site: &Site) -> Vec<Host> {
    let mut hosts = crate::decide::hosts(site.workers);
    for host in &mut hosts {
        host.capacity.memory_mib = site.memory_mib;
        host.failure_domain = Name::from("site");
    }
    hosts
}

fn config(site: &Site) -> Document {
    let limit = u32::try_from(site.workers * 8).unwrap_or(u32::MAX);
    let team = |at: usize| {
        let weight = if at < large_teams(site) { LARGE_WEIGHT as u32 } else { 1 };
        (Name::from(format!("t{at:03}")), Team { weight, limit, urgent: true })
    };
    Document {
        shards_per_domain: u16::try_from(site.workers / 300).unwrap_or(1).max(1),
        teams: (0..site.teams).map(team).collect(),
        ..Document::default()
    }
}

/// Returns the home shard of a piece of work: the same for every policy.
pub(super) fn home(shards: &[id::Shard], number: u128) -> id::Shard {
    shards[usize::try_from(number % shards.len() as u128).unwrap_or(0)].clone()
}
