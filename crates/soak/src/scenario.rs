//! What happens in a round, drawn from its seed.

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

/// Time during which jobs are handed in, in milliseconds.
const LOAD_MS: u64 = 8_000;

/// Time before the first fault, for the processes to find each other, in milliseconds.
const CALM_MS: u64 = 500;

/// Jobs a second.
const JOBS_PER_S: f64 = 25.0;

/// Failed attempts of a task after which its job has failed.
pub(crate) const MAX_ATTEMPTS: u64 = 4;

/// Workers of a round.
pub(crate) const WORKERS: usize = 6;

/// Processor of a worker, in thousandths of a core.
pub(crate) const WORKER_CPU: u32 = 8_000;

/// Memory of a worker, in MiB.
pub(crate) const WORKER_MEMORY: u32 = 8_000;

/// Limit of the second team over all workers, in thousandths of a core.
pub(crate) const TEAM_LIMIT_CPU: u32 = 12_000;

/// Teams of a round. The first has no limit.
pub(crate) const TEAMS: [&str; 2] = ["clerks", "agents"];

/// A step of a job.
#[derive(Clone, Debug)]
pub struct Step {
    /// Number of tasks.
    pub tasks: u32,
    /// Processor of each, in thousandths of a core.
    pub cpu_millis: u32,
    /// The step before must be done first.
    pub is_after: bool,
}

/// A job.
#[derive(Clone, Debug)]
pub struct Job {
    /// Name, unique within a round.
    pub id: u64,
    /// Place of its team.
    pub team: usize,
    /// Steps in order.
    pub steps: Vec<Step>,
    /// Time that each task takes, in milliseconds.
    pub work_ms: u64,
    /// First attempts of each task that fail.
    pub failing: u64,
    /// When it is handed in, in milliseconds.
    pub at_ms: u64,
    /// Pause before it is cancelled, in milliseconds.
    pub cancel_after_ms: Option<u64>,
}

impl Job {
    /// What each worker is told.
    pub fn payload(&self) -> String {
        format!("{{\"ms\":{},\"failing\":{}}}", self.work_ms, self.failing)
    }

    /// Tells whether the job can only fail.
    pub fn is_doomed(&self) -> bool {
        self.failing >= MAX_ATTEMPTS
    }
}

/// State of a link.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Link {
    /// Everything passes.
    Open,
    /// Everything passes, late by so many milliseconds.
    Slow(u64),
    /// Connections are reset, new ones too.
    Reset,
    /// What is sent to the server is lost.
    LosesCalls,
    /// What the server answers is lost.
    LosesAnswers,
    /// Nothing passes until the link is open again; nobody is told.
    Silent,
}

/// What is wrong, and with whom.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// A process is killed, and started again at the end.
    Kill(usize),
    /// A process is paused.
    Pause(usize),
    /// A process is told to stop, and started again when it has.
    Terminate(usize),
    /// A process is told that its settings have changed.
    Reload(usize),
    /// A process's link to the store is harmed.
    StoreLink(usize, Link),
    /// A worker's link is harmed.
    WorkerLink(usize, Link),
    /// The store refuses everything.
    StoreAway,
    /// The store's answers are lost.
    StoreLosesAnswers,
    /// The store is slow.
    StoreSlow,
    /// A worker loses power, and another incarnation of it begins at the end.
    WorkerCrash(usize),
}

impl Kind {
    /// Name for the report.
    pub fn name(&self) -> &'static str {
        match self {
            Kind::Kill(_) => "kill",
            Kind::Pause(_) => "pause",
            Kind::Terminate(_) => "terminate",
            Kind::Reload(_) => "reload",
            Kind::StoreLink(..) => "store_link",
            Kind::WorkerLink(..) => "worker_link",
            Kind::StoreAway => "store_away",
            Kind::StoreLosesAnswers => "store_loses_answers",
            Kind::StoreSlow => "store_slow",
            Kind::WorkerCrash(_) => "worker_crash",
        }
    }
}

/// A fault.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    /// When it begins, in milliseconds.
    pub at_ms: u64,
    /// How long it lasts, in milliseconds.
    pub for_ms: u64,
    /// What it is.
    pub kind: Kind,
}

/// Everything that happens in a round.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// What it was drawn from.
    pub seed: u64,
    /// Number of processes.
    pub processes: usize,
    /// Jobs by time.
    pub jobs: Vec<Job>,
    /// Faults by time. They overlap.
    pub faults: Vec<Fault>,
}

impl Scenario {
    /// Draws a round.
    pub fn draw(seed: u64, processes: usize) -> Scenario {
        let mut random = SmallRng::seed_from_u64(seed);
        let count = (JOBS_PER_S * LOAD_MS as f64 / 1_000.0) as u64;
        let jobs = (0..count).map(|at| draw_job(&mut random, at * LOAD_MS / count, at)).collect();
        let count = random.random_range(4..=9);
        let mut faults: Vec<Fault> =
            (0..count).map(|_| draw_fault(&mut random, processes)).collect();
        faults.sort_by_key(|fault| fault.at_ms);
        Scenario { seed, processes, jobs, faults }
    }
}

fn draw_job(random: &mut SmallRng, at_ms: u64, number: u64) -> Job {
    let steps = (0..random.random_range(1..=3))
        .map(|step| Step {
            tasks: random.random_range(1..=4),
            cpu_millis: random.random_range(5..=30) * 100,
            is_after: step > 0 && random.random_bool(0.7),
        })
        .collect();
    let failing = match random.random_range(0..100) {
        0..3 => MAX_ATTEMPTS,
        3..10 => 1,
        _ => 0,
    };
    Job {
        // The number keeps names apart, the rest spreads them.
        id: (random.random::<u64>() << 16) | number,
        team: random.random_range(0..TEAMS.len()),
        steps,
        work_ms: random.random_range(50..=600),
        failing,
        at_ms,
        cancel_after_ms: random.random_bool(0.05).then(|| random.random_range(0..2_000)),
    }
}

fn draw_fault(random: &mut SmallRng, processes: usize) -> Fault {
    let node = random.random_range(0..processes);
    let worker = random.random_range(0..WORKERS);
    let links = [Link::Slow(150), Link::Reset, Link::LosesCalls, Link::LosesAnswers, Link::Silent];
    let link = links.choose(random).copied().unwrap_or(Link::Reset);
    let kind = match random.random_range(0..10) {
        0 | 1 => Kind::Kill(node),
        2 => Kind::Pause(node),
        3 => Kind::Terminate(node),
        4 => Kind::Reload(node),
        5 => Kind::StoreLink(node, link),
        6 | 7 => Kind::WorkerLink(worker, link),
        8 => *[Kind::StoreAway, Kind::StoreLosesAnswers, Kind::StoreSlow]
            .choose(random)
            .unwrap_or(&Kind::StoreAway),
        _ => Kind::WorkerCrash(worker),
    };
    Fault {
        at_ms: random.random_range(CALM_MS..LOAD_MS),
        for_ms: random.random_range(200..4_000),
        kind,
    }
}
