//! The baselines: schedulers that start work in the order of arrival on a host
//! chosen by a simple rule.
//!
//! They know neither shares nor urgency, and never stop a task. The scores show
//! what the rules of the decision core gain and cost compared with that.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use sycamore_types::Name;
use sycamore_types::resources::Resources;

use super::simulation::Simulation;
use super::workload::{Arrival, Class, Workload};

/// Rule by which a baseline chooses a host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum HostChoice {
    /// The first host of the list with enough free capacity.
    FirstFit,
    /// Of two random hosts, the one with more free CPU among those that the task
    /// fits on.
    TwoRandomChoices,
}

/// Number of waiting items that one pass tries to start.
const MAX_ITEMS_PER_PASS: usize = 50;

/// A job or request with tasks that wait.
#[derive(Clone, Debug)]
struct WaitingItem {
    /// Identifier of the job or request.
    number: u128,
    team: Name,
    /// Capacity that each task takes.
    size: Resources,
    run_time: Duration,
    /// Number of tasks that wait.
    tasks: u32,
    is_gang: bool,
}

/// A task or request that runs.
#[derive(Debug)]
struct RunningTask {
    /// Index of the host.
    host: usize,
    team: Name,
    size: Resources,
}

/// A scheduler that starts work in the order of arrival.
pub(super) struct Baseline {
    host_choice: HostChoice,
    rng: SmallRng,
    now: Duration,
    /// Capacity of every host.
    capacity: Resources,
    /// Free capacity of each host.
    free: Vec<Resources>,
    queue: VecDeque<WaitingItem>,
    /// End and run number of each running task. The earliest end is at the top.
    ends: BinaryHeap<Reverse<(Duration, u64)>>,
    /// Running tasks by run number.
    running: HashMap<u64, RunningTask>,
    last_run_id: u64,
    start_times: HashMap<u128, Vec<Duration>>,
    used_by_team: BTreeMap<Name, Resources>,
    used_total: Resources,
}

impl Baseline {
    pub(super) fn new(workload: &Workload, host_choice: HostChoice, seed: u64) -> Baseline {
        let capacity = workload.hosts[0].capacity;
        Baseline {
            host_choice,
            rng: SmallRng::seed_from_u64(seed),
            now: Duration::ZERO,
            capacity,
            free: vec![capacity; workload.hosts.len()],
            queue: VecDeque::new(),
            ends: BinaryHeap::new(),
            running: HashMap::new(),
            last_run_id: 0,
            start_times: HashMap::new(),
            used_by_team: BTreeMap::new(),
            used_total: Resources::default(),
        }
    }

    /// Starts the waiting tasks that fit, in the order of arrival. Skips items that
    /// don't fit, so that a large one doesn't block those behind it.
    fn start_waiting(&mut self) {
        let mut at = 0;
        let mut examined = 0;
        while at < self.queue.len() && examined < MAX_ITEMS_PER_PASS {
            examined += 1;
            let item = self.queue[at].clone();
            let started =
                if item.is_gang { self.start_gang(&item) } else { self.start_some(&item) };
            if started == item.tasks {
                self.queue.remove(at);
            } else {
                self.queue[at].tasks -= started;
                at += 1;
            }
        }
    }

    /// Starts as many tasks of an item as fit. Returns their number.
    fn start_some(&mut self, item: &WaitingItem) -> u32 {
        let mut started = 0;
        while started < item.tasks {
            let Some(host) = self.pick_host(&item.size) else {
                break;
            };
            self.start_task(item, host);
            started += 1;
        }
        started
    }

    /// Starts all tasks of an item if they fit at the same time, or none. Returns the
    /// number of tasks started.
    fn start_gang(&mut self, item: &WaitingItem) -> u32 {
        let mut hosts = Vec::new();
        while hosts.len() < item.tasks as usize {
            let Some(host) = self.pick_host(&item.size) else {
                break;
            };
            self.free[host] = self.free[host].minus(&item.size);
            hosts.push(host);
        }
        for host in &hosts {
            self.free[*host] = self.free[*host].plus(&item.size);
        }
        if hosts.len() < item.tasks as usize {
            return 0;
        }
        for host in hosts {
            self.start_task(item, host);
        }
        item.tasks
    }

    fn pick_host(&mut self, size: &Resources) -> Option<usize> {
        match self.host_choice {
            HostChoice::FirstFit => self.free.iter().position(|free| size.fits_in(free)),
            HostChoice::TwoRandomChoices => {
                let one = self.rng.random_range(0..self.free.len());
                let two = self.rng.random_range(0..self.free.len());
                let fitting = [one, two].into_iter().filter(|at| size.fits_in(&self.free[*at]));
                fitting.max_by_key(|at| self.free[*at].cpu_millis)
            }
        }
    }

    fn start_task(&mut self, item: &WaitingItem, host: usize) {
        self.free[host] = self.free[host].minus(&item.size);
        let used = self.used_by_team.entry(item.team.clone()).or_default();
        *used = used.plus(&item.size);
        self.used_total = self.used_total.plus(&item.size);
        self.start_times.entry(item.number).or_default().push(self.now);
        self.last_run_id += 1;
        self.ends.push(Reverse((self.now + item.run_time, self.last_run_id)));
        let running = RunningTask { host, team: item.team.clone(), size: item.size };
        self.running.insert(self.last_run_id, running);
    }

    fn end_task(&mut self, run_id: u64) {
        if let Some(running) = self.running.remove(&run_id) {
            self.free[running.host] = self.free[running.host].plus(&running.size);
            if let Some(used) = self.used_by_team.get_mut(&running.team) {
                *used = used.minus(&running.size);
            }
            self.used_total = self.used_total.minus(&running.size);
        }
    }
}

impl Simulation for Baseline {
    fn now(&self) -> Duration {
        self.now
    }

    fn run_until(&mut self, end: Duration) {
        while let Some(Reverse((at, run_id))) = self.ends.peek().copied() {
            if at > end {
                break;
            }
            self.ends.pop();
            self.now = at;
            self.end_task(run_id);
            self.start_waiting();
        }
        self.now = end;
    }

    fn submit(&mut self, arrival: &Arrival) {
        self.queue.push_back(WaitingItem {
            number: arrival.number,
            team: arrival.team.clone(),
            size: arrival.size,
            run_time: arrival.run_time,
            tasks: arrival.tasks,
            is_gang: arrival.class == Class::Gang,
        });
        self.start_waiting();
    }

    fn start_times(&self, number: u128) -> &[Duration] {
        self.start_times.get(&number).map_or(&[], Vec::as_slice)
    }

    fn used_by_team(&self) -> &BTreeMap<Name, Resources> {
        &self.used_by_team
    }

    fn used_total(&self) -> Resources {
        self.used_total
    }

    fn waiting_count(&self) -> u32 {
        self.queue.iter().map(|item| item.tasks).sum()
    }

    fn team_waiting_count(&self, team: &str) -> u32 {
        self.queue.iter().filter(|item| *item.team == *team).map(|item| item.tasks).sum()
    }

    fn largest_free_cpu_millis(&self) -> u32 {
        let with_free_slot = self.free.iter().filter(|free| free.slots > 0);
        with_free_slot.map(|free| free.cpu_millis).max().unwrap_or(0).min(self.capacity.cpu_millis)
    }

    fn wasted_core_seconds(&self) -> f64 {
        0.0
    }
}
