//! Random jobs of three kinds that share the workers of a site: wide gangs, wide steps of
//! independent tasks, and short urgent ones.

use rand::Rng;
use rand::rngs::SmallRng;
use rand_distr::{Distribution, LogNormal};
use sycamore_graph::catalog::{AdviceCost, Catalog, Queue, Team};
use sycamore_graph::job::{Spec, Step};
use sycamore_types::Name;
use sycamore_types::resources::Resources;

/// Service of all workers.
pub(super) const SERVICE: &str = "desk";

/// Teams, of which the first sends a third of all jobs.
const TEAM_COUNT: usize = 29;

/// A kind of job.
#[derive(Debug)]
pub(super) struct Kind {
    pub name: &'static str,
    /// Jobs per second and worker.
    pub rate: f64,
    priority: u32,
    pub objective_ms: u64,
    /// Fraction of the jobs whose steps are gangs.
    gang_share: f64,
    mean_steps: f64,
    mean_tasks: f64,
    mean_cpu_millis: f64,
    mean_memory_mib: f64,
    mean_work_ms: f64,
    advice: AdviceCost,
    /// Fraction of the workers that advice allows.
    pub allowed_share: f64,
}

/// The kinds of a site of 540 workers of 64 cores that is 80% used.
pub(super) const KINDS: [Kind; 3] = [
    Kind {
        name: "plan",
        rate: 5.45 / 540.0,
        priority: 1,
        objective_ms: 1_000,
        gang_share: 1.0,
        mean_steps: 1.2,
        mean_tasks: 20.0,
        mean_cpu_millis: 18_000.0,
        mean_memory_mib: 37_000.0,
        mean_work_ms: 6_200.0,
        advice: AdviceCost { base_ms: 600.0, per_host_ms: 8.6, valid_ms: 1_500 },
        allowed_share: 0.25,
    },
    Kind {
        name: "quote",
        rate: 11.1 / 540.0,
        priority: 2,
        objective_ms: 3_000,
        gang_share: 0.0,
        mean_steps: 1.5,
        mean_tasks: 24.0,
        mean_cpu_millis: 11_000.0,
        mean_memory_mib: 41_000.0,
        mean_work_ms: 2_200.0,
        advice: AdviceCost { base_ms: 140.0, per_host_ms: 2.0, valid_ms: 1_500 },
        allowed_share: 0.45,
    },
    Kind {
        name: "check",
        rate: 98.6 / 540.0,
        priority: 0,
        objective_ms: 250,
        gang_share: 0.3,
        mean_steps: 1.0,
        mean_tasks: 3.1,
        mean_cpu_millis: 16_000.0,
        mean_memory_mib: 58_000.0,
        mean_work_ms: 800.0,
        advice: AdviceCost { base_ms: 16.0, per_host_ms: 0.23, valid_ms: 1_500 },
        allowed_share: 0.7,
    },
];

/// Multiple of a job's longest path that its objective allows.
pub(super) const SLACK_FACTOR: f64 = 1.5;

/// A random job with what only its worker knows.
pub(super) struct Draft {
    pub kind: usize,
    pub team: Name,
    pub spec: Spec,
    /// Duration of a task on a worker of ordinary speed, by step, in milliseconds.
    pub work_ms: Vec<f64>,
}

pub(super) fn catalog() -> Catalog {
    let queue = |kind: &Kind| Queue {
        service: Name::from(SERVICE),
        priority: kind.priority,
        max_attempts: 2,
        slack_factor: SLACK_FACTOR,
        objective_ms: kind.objective_ms,
        advice: Some(kind.advice),
    };
    let team = Team { weight: 1, limit: Resources::default() };
    Catalog {
        version: 1,
        queues: KINDS.iter().map(|kind| (Name::from(kind.name), queue(kind))).collect(),
        teams: (0..TEAM_COUNT).map(|number| (team_name(number), team.clone())).collect(),
    }
}

fn team_name(number: usize) -> Name {
    Name::from(format!("team-{number}"))
}

/// Returns a random value around `mean`, at most five times as large.
fn around(rng: &mut SmallRng, mean: f64, spread: f64) -> f64 {
    let location = mean.ln() - spread * spread / 2.0;
    let distribution = LogNormal::new(location, spread).expect("a finite spread");
    distribution.sample(rng).min(5.0 * mean)
}

/// Draws a job of a kind.
pub(super) fn draft(rng: &mut SmallRng, kind: usize) -> Draft {
    let Kind { gang_share, mean_steps, mean_tasks, .. } = KINDS[kind];
    let is_gang = rng.random_bool(gang_share);
    let step_count = 1 + usize::from(rng.random_bool(mean_steps - 1.0));
    let (mut steps, mut work_ms) = (Vec::new(), Vec::new());
    for index in 0..step_count {
        let work = around(rng, KINDS[kind].mean_work_ms, 0.5);
        let cpu = around(rng, KINDS[kind].mean_cpu_millis, 0.4).clamp(500.0, 47_000.0);
        let memory = around(rng, KINDS[kind].mean_memory_mib, 0.5).clamp(100.0, 170_000.0);
        steps.push(Step {
            tasks: around(rng, mean_tasks, 0.8).max(1.0) as u32,
            size: Resources {
                cpu_millis: cpu as u32,
                memory_mib: memory as u32,
                ..Resources::default()
            },
            estimate_ms: (work * rng.random_range(0.6..1.5)) as u64,
            after: if index == 0 { Vec::new() } else { vec![index as u16 - 1] },
            is_gang,
            ..Step::default()
        });
        work_ms.push(work);
    }
    let team = if rng.random_bool(0.33) { 0 } else { rng.random_range(0..TEAM_COUNT) };
    let spec = Spec { payload: Name::from("work"), steps, schedule: None };
    Draft { kind, team: team_name(team), spec, work_ms }
}
