use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use sycamore_types::Name;
use sycamore_types::resources::Resources;

use super::engine::Engine;
use super::workload::{Arrival, Class, Workload};

/// How a baseline picks a host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Choice {
    /// The first host in order that has room.
    FirstFit,
    /// The less used of two random hosts.
    RandomOfTwo,
}

/// Waiting work that one look considers.
const DEPTH: usize = 50;

/// Work that waits.
#[derive(Clone, Debug)]
struct Waiting {
    number: u128,
    team: Name,
    size: Resources,
    run: Duration,
    tasks: u32,
    is_gang: bool,
}

/// Work that runs.
#[derive(Debug)]
struct Running {
    host: usize,
    team: Name,
    size: Resources,
}

/// First come, first served, with a simple choice of hosts.
pub(super) struct Baseline {
    choice: Choice,
    rng: SmallRng,
    now: Duration,
    capacity: Resources,
    free: Vec<Resources>,
    queue: VecDeque<Waiting>,
    ends: BinaryHeap<Reverse<(Duration, u64)>>,
    running: HashMap<u64, Running>,
    next: u64,
    starts: HashMap<u128, Vec<Duration>>,
    used: BTreeMap<Name, Resources>,
    used_total: Resources,
}

impl Baseline {
    pub(super) fn new(workload: &Workload, choice: Choice, seed: u64) -> Baseline {
        let capacity = workload.hosts[0].capacity;
        Baseline {
            choice,
            rng: SmallRng::seed_from_u64(seed),
            now: Duration::ZERO,
            capacity,
            free: vec![capacity; workload.hosts.len()],
            queue: VecDeque::new(),
            ends: BinaryHeap::new(),
            running: HashMap::new(),
            next: 0,
            starts: HashMap::new(),
            used: BTreeMap::new(),
            used_total: Resources::default(),
        }
    }

    /// Starts what fits, in the order of arrival.
    fn serve(&mut self) {
        let mut at = 0;
        let mut looked = 0;
        while at < self.queue.len() && looked < DEPTH {
            looked += 1;
            let work = self.queue[at].clone();
            let started =
                if work.is_gang { self.start_gang(&work) } else { self.start_some(&work) };
            if started == work.tasks {
                self.queue.remove(at);
            } else {
                self.queue[at].tasks -= started;
                at += 1;
            }
        }
    }

    fn start_some(&mut self, work: &Waiting) -> u32 {
        let mut started = 0;
        while started < work.tasks {
            let Some(host) = self.pick(&work.size) else {
                break;
            };
            self.start(work, host);
            started += 1;
        }
        started
    }

    fn start_gang(&mut self, work: &Waiting) -> u32 {
        let mut hosts = Vec::new();
        while hosts.len() < work.tasks as usize {
            let Some(host) = self.pick(&work.size) else {
                break;
            };
            self.free[host] = self.free[host].minus(&work.size);
            hosts.push(host);
        }
        for host in &hosts {
            self.free[*host] = self.free[*host].plus(&work.size);
        }
        if hosts.len() < work.tasks as usize {
            return 0;
        }
        for host in hosts {
            self.start(work, host);
        }
        work.tasks
    }

    fn pick(&mut self, size: &Resources) -> Option<usize> {
        match self.choice {
            Choice::FirstFit => self.free.iter().position(|free| size.fits_in(free)),
            Choice::RandomOfTwo => {
                let one = self.rng.random_range(0..self.free.len());
                let two = self.rng.random_range(0..self.free.len());
                let fitting = [one, two].into_iter().filter(|at| size.fits_in(&self.free[*at]));
                fitting.max_by_key(|at| self.free[*at].cpu_millis)
            }
        }
    }

    fn start(&mut self, work: &Waiting, host: usize) {
        self.free[host] = self.free[host].minus(&work.size);
        let used = self.used.entry(work.team.clone()).or_default();
        *used = used.plus(&work.size);
        self.used_total = self.used_total.plus(&work.size);
        self.starts.entry(work.number).or_default().push(self.now);
        self.next += 1;
        self.ends.push(Reverse((self.now + work.run, self.next)));
        let running = Running { host, team: work.team.clone(), size: work.size };
        self.running.insert(self.next, running);
    }

    fn end(&mut self, number: u64) {
        if let Some(running) = self.running.remove(&number) {
            self.free[running.host] = self.free[running.host].plus(&running.size);
            if let Some(used) = self.used.get_mut(&running.team) {
                *used = used.minus(&running.size);
            }
            self.used_total = self.used_total.minus(&running.size);
        }
    }
}

impl Engine for Baseline {
    fn now(&self) -> Duration {
        self.now
    }

    fn run_until(&mut self, end: Duration) {
        while let Some(Reverse((at, number))) = self.ends.peek().copied() {
            if at > end {
                break;
            }
            self.ends.pop();
            self.now = at;
            self.end(number);
            self.serve();
        }
        self.now = end;
    }

    fn arrive(&mut self, arrival: &Arrival) {
        self.queue.push_back(Waiting {
            number: arrival.number,
            team: arrival.team.clone(),
            size: arrival.size,
            run: arrival.run,
            tasks: arrival.tasks,
            is_gang: arrival.class == Class::Gang,
        });
        self.serve();
    }

    fn starts(&self, number: u128) -> &[Duration] {
        self.starts.get(&number).map_or(&[], Vec::as_slice)
    }

    fn used(&self) -> &BTreeMap<Name, Resources> {
        &self.used
    }

    fn used_total(&self) -> Resources {
        self.used_total
    }

    fn waiting(&self) -> u32 {
        self.queue.iter().map(|work| work.tasks).sum()
    }

    fn waiting_of(&self, team: &str) -> u32 {
        self.queue.iter().filter(|work| *work.team == *team).map(|work| work.tasks).sum()
    }

    fn largest_hole(&self) -> u32 {
        let open = self.free.iter().filter(|free| free.slots > 0);
        open.map(|free| free.cpu_millis).max().unwrap_or(0).min(self.capacity.cpu_millis)
    }

    fn thrown_away(&self) -> f64 {
        0.0
    }
}
