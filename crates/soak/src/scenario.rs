//! What happens in a round, drawn from its seed.

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

/// Time during which jobs are handed in, in milliseconds.
const SUBMISSION_WINDOW_MS: u64 = 8_000;

/// Time before the first fault, for the processes to find each other, in milliseconds.
const FAULT_FREE_MS: u64 = 500;

/// Jobs a second.
const JOBS_PER_SECOND: f64 = 25.0;

/// Failed attempts of a task after which its job has failed.
pub(crate) const MAX_ATTEMPTS: u64 = 4;

/// Workers of a round.
pub(crate) const WORKER_COUNT: usize = 6;

/// Processor of a worker, in thousandths of a core.
pub(crate) const WORKER_CPU_MILLIS: u32 = 8_000;

/// Memory of a worker, in MiB.
pub(crate) const WORKER_MEMORY_MIB: u32 = 8_000;

/// Limit of the second team over all workers, in thousandths of a core.
pub(crate) const TEAM_LIMIT_CPU_MILLIS: u32 = 12_000;

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
pub enum LinkState {
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
pub enum FaultKind {
    /// A process is killed, and started again at the end.
    Kill(usize),
    /// A process is paused.
    Pause(usize),
    /// A process is told to stop, and started again when it has.
    Terminate(usize),
    /// A process is told that its settings have changed.
    Reload(usize),
    /// A process's link to the store is harmed.
    StoreLink(usize, LinkState),
    /// A worker's link is harmed.
    WorkerLink(usize, LinkState),
    /// The store refuses everything.
    StoreAway,
    /// The store's answers are lost.
    StoreLosesAnswers,
    /// The store is slow.
    StoreSlow,
    /// A worker loses power, and another incarnation of it begins at the end.
    WorkerCrash(usize),
}

impl FaultKind {
    /// Name for the report.
    pub fn name(&self) -> &'static str {
        match self {
            FaultKind::Kill(_) => "kill",
            FaultKind::Pause(_) => "pause",
            FaultKind::Terminate(_) => "terminate",
            FaultKind::Reload(_) => "reload",
            FaultKind::StoreLink(..) => "store_link",
            FaultKind::WorkerLink(..) => "worker_link",
            FaultKind::StoreAway => "store_away",
            FaultKind::StoreLosesAnswers => "store_loses_answers",
            FaultKind::StoreSlow => "store_slow",
            FaultKind::WorkerCrash(_) => "worker_crash",
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
    pub kind: FaultKind,
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
    pub fn from_seed(seed: u64, processes: usize) -> Scenario {
        let mut random = SmallRng::seed_from_u64(seed);
        let count = (JOBS_PER_SECOND * SUBMISSION_WINDOW_MS as f64 / 1_000.0) as u64;
        let jobs = (0..count)
            .map(|number| random_job(&mut random, number * SUBMISSION_WINDOW_MS / count, number))
            .collect();
        let count = random.random_range(4..=9);
        let mut faults: Vec<Fault> =
            (0..count).map(|_| random_fault(&mut random, processes)).collect();
        faults.sort_by_key(|fault| fault.at_ms);
        Scenario { seed, processes, jobs, faults }
    }
}

fn random_job(random: &mut SmallRng, at_ms: u64, number: u64) -> Job {
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

fn random_fault(random: &mut SmallRng, processes: usize) -> Fault {
    let node = random.random_range(0..processes);
    let worker = random.random_range(0..WORKER_COUNT);
    let links = [
        LinkState::Slow(150),
        LinkState::Reset,
        LinkState::LosesCalls,
        LinkState::LosesAnswers,
        LinkState::Silent,
    ];
    let link = links.choose(random).copied().unwrap_or(LinkState::Reset);
    let kind = match random.random_range(0..10) {
        0 | 1 => FaultKind::Kill(node),
        2 => FaultKind::Pause(node),
        3 => FaultKind::Terminate(node),
        4 => FaultKind::Reload(node),
        5 => FaultKind::StoreLink(node, link),
        6 | 7 => FaultKind::WorkerLink(worker, link),
        8 => *[FaultKind::StoreAway, FaultKind::StoreLosesAnswers, FaultKind::StoreSlow]
            .choose(random)
            .unwrap_or(&FaultKind::StoreAway),
        _ => FaultKind::WorkerCrash(worker),
    };
    Fault {
        at_ms: random.random_range(FAULT_FREE_MS..SUBMISSION_WINDOW_MS),
        for_ms: random.random_range(200..4_000),
        kind,
    }
}
