//! The jobs and faults of a round, derived from its seed alone.
//!
//! The order of the random draws is part of what a seed means: changing it changes the round
//! that a recorded seed repeats.

use std::ops::RangeInclusive;

use rand::rngs::SmallRng;
use rand::seq::{IndexedRandom, index};
use rand::{Rng, SeedableRng};
use sycamore_standin::link::LinkState;

/// Time during which jobs are submitted and faults start, in milliseconds.
const SUBMISSION_WINDOW_MS: u64 = 8_000;

/// Time before the first fault, in which the processes find each other, in milliseconds.
const FAULT_FREE_MS: u64 = 500;

/// Jobs submitted per second.
const JOBS_PER_SECOND: f64 = 25.0;

/// Failed attempts of a task after which its job has failed.
pub(crate) const MAX_ATTEMPTS: u64 = 4;

/// Number of workers in a round.
pub(crate) const WORKER_COUNT: usize = 6;

/// CPU of a worker, in thousandths of a core.
pub(crate) const WORKER_CPU_MILLIS: u32 = 8_000;

/// Memory of a worker, in MiB.
pub(crate) const WORKER_MEMORY_MIB: u32 = 8_000;

/// CPU limit of the second team over all workers, in thousandths of a core.
pub(crate) const TEAM_LIMIT_CPU_MILLIS: u32 = 12_000;

/// Distinguishes the random draws of configurations and links from those of jobs and faults,
/// which a recorded seed repeats.
const CONFIG_SEED: u64 = 0x636f_6e66_6967;

/// Distinguishes the random draws of deadly jobs likewise.
const CRASH_SEED: u64 = 0x0063_7261_7368;

/// Distinguishes the random draws of partitions and long jobs likewise.
const PARTITION_SEED: u64 = 0x7061_7274_6974;

/// Range of the duration of a partition, in milliseconds. It exceeds the wait of a new owner for
/// the leases of its predecessor, which is 6.42 s.
const PARTITION_MS: RangeInclusive<u64> = 9_000..=25_000;

/// Share of long jobs in a round with a partition. Workers have to run all of them once more
/// within the time that a round waits for its jobs.
const LONG_SHARE: f64 = 0.03;

/// Range of the run time of their tasks, in milliseconds. Most exceed the lease of 6 s.
const LONG_WORK_MS: RangeInclusive<u64> = 5_000..=20_000;

/// Share of deadly jobs in a round that has any. Six workers can't bear many.
const DEADLY_SHARE: f64 = 0.02;

/// Most queues without jobs. The store takes 0.8 MB to send them, which is longer over the
/// slowest link than the product waits for the response to a single call.
const MAX_EXTRA_QUEUES: usize = 3_600;

/// Names of the teams. The first team has no limit.
pub(crate) const TEAMS: [&str; 2] = ["clerks", "agents"];

/// A step of a job.
#[derive(Clone, Debug)]
pub struct Step {
    /// Number of tasks.
    pub tasks: u32,
    /// CPU of each task, in thousandths of a core.
    pub cpu_millis: u32,
    /// Whether the step starts only after the previous step is done.
    pub is_after: bool,
}

/// A job.
#[derive(Clone, Debug)]
pub struct Job {
    /// Identifier, unique within a round.
    pub id: u64,
    /// Index of its team, from 0. Team 0 has no limit.
    pub team: usize,
    /// Steps in order; a step can only depend on the one before it.
    pub steps: Vec<Step>,
    /// Run time of each task, in milliseconds.
    pub work_ms: u64,
    /// Number of first attempts of each task that fail.
    pub failing: u64,
    /// Each run crashes its worker.
    pub is_deadly: bool,
    /// When it is submitted, in milliseconds after the load of the round starts.
    pub at_ms: u64,
    /// Delay from its acceptance to its cancel, in milliseconds. `None`: it is not cancelled.
    pub cancel_after_ms: Option<u64>,
}

impl Job {
    /// Returns the payload, which gives workers the run time and the number of failing attempts.
    pub fn payload(&self) -> String {
        let crashing = if self.is_deadly { ",\"crashing\":true" } else { "" };
        format!("{{\"ms\":{},\"failing\":{}{crashing}}}", self.work_ms, self.failing)
    }

    /// Returns whether the job can only fail, since all allowed attempts of its tasks fail or
    /// crash their worker.
    pub fn is_doomed(&self) -> bool {
        self.failing >= MAX_ATTEMPTS || self.is_deadly
    }
}

/// Processes and workers on one side of a partition, by their numbers.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Group {
    /// Processes, which reach each other and the workers of the group only.
    pub processes: Vec<usize>,
    /// Workers, which only the processes of the group reach.
    pub workers: Vec<usize>,
    /// The group still reaches the store, as the others do.
    pub has_store: bool,
}

/// What a fault does, and the number of the process or worker that it hits.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FaultKind {
    /// A process is killed, and restarted at the end of the fault.
    Kill(usize),
    /// A process is paused by SIGSTOP.
    Pause(usize),
    /// A process is sent SIGTERM, and restarted once the fault is over and it has exited.
    Terminate(usize),
    /// A process is sent SIGHUP, which makes it reload its settings.
    Reload(usize),
    /// The link from a process to the store is set to a state.
    StoreLink(usize, LinkState),
    /// The link from all processes to a worker is set to a state.
    WorkerLink(usize, LinkState),
    /// The store refuses every request.
    StoreAway,
    /// The store carries requests out, but every second response is lost.
    StoreLosesAnswers,
    /// The store responds late.
    StoreSlow,
    /// A worker loses power, and another incarnation of it starts at the end of the fault.
    WorkerCrash(usize),
    /// All links between a group and the others go silent, in both directions.
    Partition(Group),
}

impl FaultKind {
    /// Returns the name under which the report counts the fault.
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
            FaultKind::Partition(_) => "partition",
        }
    }
}

/// A fault.
#[derive(Clone, Debug)]
pub struct Fault {
    /// When it starts, in milliseconds after the load of the round starts.
    pub at_ms: u64,
    /// How long it lasts, in milliseconds.
    pub for_ms: u64,
    /// What it does, and to which process or worker.
    pub kind: FaultKind,
}

/// Usual link of a process to the store, as the users' sites have them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreLink {
    /// 1,000 Mbit/s, not limited by the proxy.
    Fast,
    /// 10 Mbit/s.
    Slow,
    /// 2 Mbit/s.
    Slowest,
}

impl StoreLink {
    /// Returns the bandwidth, in Mbit/s.
    pub fn mbps(self) -> f64 {
        match self {
            StoreLink::Fast => 1_000.0,
            StoreLink::Slow => 10.0,
            StoreLink::Slowest => 2.0,
        }
    }

    /// Returns the bandwidth, in bytes per second.
    pub fn bytes_per_s(self) -> u64 {
        (self.mbps() * 1e6 / 8.0) as u64
    }

    /// Returns the state of the link without faults.
    pub fn state(self) -> LinkState {
        match self {
            StoreLink::Fast => LinkState::Open,
            limited => LinkState::Narrow(limited.bytes_per_s()),
        }
    }
}

/// A change of the configuration. The first configuration has version 1, the first change
/// writes version 2.
#[derive(Clone, Copy, Debug)]
pub struct ConfigChange {
    /// When it is written, in milliseconds after the load of the round starts. The last one is
    /// written once no fault has been active for a while.
    pub at_ms: u64,
    /// Number of queues without jobs that the version has. They make it large.
    pub extra_queues: usize,
}

/// Everything that happens in a round.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Seed that the jobs and faults were derived from.
    pub seed: u64,
    /// Number of processes.
    pub processes: usize,
    /// Jobs in order of submission.
    pub jobs: Vec<Job>,
    /// Faults in order of their start. They may overlap.
    pub faults: Vec<Fault>,
    /// Changes of the configuration in order.
    pub config_changes: Vec<ConfigChange>,
    /// Link of each process to the store.
    pub store_links: Vec<StoreLink>,
}

impl Scenario {
    /// Derives a round from a seed: the same arguments always give the same round.
    pub fn from_seed(seed: u64, processes: usize) -> Scenario {
        let mut random = SmallRng::seed_from_u64(seed);
        let count = (JOBS_PER_SECOND * SUBMISSION_WINDOW_MS as f64 / 1_000.0) as u64;
        let mut jobs: Vec<Job> = (0..count)
            .map(|number| random_job(&mut random, number * SUBMISSION_WINDOW_MS / count, number))
            .collect();
        let count = random.random_range(4..=9);
        let mut faults: Vec<Fault> =
            (0..count).map(|_| random_fault(&mut random, processes)).collect();
        faults.sort_by_key(|fault| fault.at_ms);
        let mut random = SmallRng::seed_from_u64(seed ^ CRASH_SEED);
        make_some_deadly(&mut random, &mut jobs);
        let mut random = SmallRng::seed_from_u64(seed ^ CONFIG_SEED);
        let store_links = random_store_links(&mut random, processes);
        let config_changes = random_config_changes(&mut random);
        Scenario { seed, processes, jobs, faults, config_changes, store_links }
    }

    /// Adds a partition and some long jobs to this share of all rounds, in percent. The others, and
    /// all other jobs and faults, stay as they are.
    pub fn with_partition(mut self, percent: u64) -> Scenario {
        let mut random = SmallRng::seed_from_u64(self.seed ^ PARTITION_SEED);
        if random.random_range(0..100) < percent {
            make_some_long(&mut random, &mut self.jobs);
            self.faults.push(random_partition(&mut random, self.processes));
            self.faults.sort_by_key(|fault| fault.at_ms);
        }
        self
    }

    /// Returns the slowest link of a process to the store.
    pub fn slowest_link(&self) -> StoreLink {
        let slowest = self.store_links.iter().min_by_key(|link| link.bytes_per_s());
        slowest.copied().unwrap_or(StoreLink::Fast)
    }
}

/// Returns a few changes, some of which follow closely, of configurations that mostly grow.
fn random_config_changes(random: &mut SmallRng) -> Vec<ConfigChange> {
    let mut at_ms = 0;
    let mut extra_queues = 0;
    let count = random.random_range(2..=6);
    let mut next = |_| {
        at_ms += if random.random_bool(0.4) {
            random.random_range(100..400)
        } else {
            random.random_range(500..3_000)
        };
        extra_queues = if random.random_bool(0.2) {
            0
        } else {
            MAX_EXTRA_QUEUES.min(extra_queues + random.random_range(0..=MAX_EXTRA_QUEUES / 2))
        };
        ConfigChange { at_ms, extra_queues }
    };
    let mut changes: Vec<ConfigChange> = (0..count).map(&mut next).collect();
    changes.push(ConfigChange { at_ms, extra_queues: MAX_EXTRA_QUEUES });
    changes
}

/// Returns fast and slow links, or in one round of three the slowest ones only, so that no
/// process can pass a version on that it got over a faster link.
fn random_store_links(random: &mut SmallRng, processes: usize) -> Vec<StoreLink> {
    let is_slowest = random.random_range(0..3) == 0;
    let mut link = |_| match random.random_bool(0.5) {
        _ if is_slowest => StoreLink::Slowest,
        true => StoreLink::Fast,
        false => StoreLink::Slow,
    };
    (0..processes).map(&mut link).collect()
}

/// Makes a few jobs deadly, in every second round.
fn make_some_deadly(random: &mut SmallRng, jobs: &mut [Job]) {
    if random.random_bool(0.5) {
        jobs.iter_mut().for_each(|job| job.is_deadly = random.random_bool(DEADLY_SHARE));
    }
}

/// Gives long run times to a few of the jobs that can succeed. Each keeps one step only, so that it
/// ends within the time of a round.
fn make_some_long(random: &mut SmallRng, jobs: &mut [Job]) {
    for job in jobs.iter_mut().filter(|job| !job.is_deadly && job.failing == 0) {
        if random.random_bool(LONG_SHARE) {
            job.work_ms = random.random_range(LONG_WORK_MS);
            job.steps.truncate(1);
            job.cancel_after_ms = None;
        }
    }
}

/// Separates half of the processes at most, and any number of workers but all.
fn random_partition(random: &mut SmallRng, processes: usize) -> Fault {
    let count = random.random_range(1..=(processes / 2).max(1));
    let cut_off_processes = index::sample(random, processes, count).into_vec();
    let count = random.random_range(1..WORKER_COUNT);
    let workers = index::sample(random, WORKER_COUNT, count).into_vec();
    let group = Group { processes: cut_off_processes, workers, has_store: random.random_bool(0.2) };
    Fault {
        at_ms: random.random_range(FAULT_FREE_MS..SUBMISSION_WINDOW_MS),
        for_ms: random.random_range(PARTITION_MS),
        kind: FaultKind::Partition(group),
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
        // The low bits make the identifier unique; the random bits spread identifiers evenly.
        id: (random.random::<u64>() << 16) | number,
        team: random.random_range(0..TEAMS.len()),
        steps,
        work_ms: random.random_range(50..=600),
        failing,
        is_deadly: false,
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
        8 => [FaultKind::StoreAway, FaultKind::StoreLosesAnswers, FaultKind::StoreSlow]
            .choose(random)
            .cloned()
            .unwrap_or(FaultKind::StoreAway),
        _ => FaultKind::WorkerCrash(worker),
    };
    Fault {
        at_ms: random.random_range(FAULT_FREE_MS..SUBMISSION_WINDOW_MS),
        for_ms: random.random_range(200..4_000),
        kind,
    }
}
