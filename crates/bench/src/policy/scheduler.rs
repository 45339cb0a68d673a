//! The decision core as one of the compared schedulers: the same code as in
//! production, on simulated workers and a virtual clock.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use sycamore_core::caller::{Request, Submission};
use sycamore_types::job::{Kind, Spec};
use sycamore_types::resources::Resources;
use sycamore_types::{Name, id};

use super::simulation::Simulation;
use super::workload::{Arrival, Class, Workload, home_shard};
use crate::driver::{Driver, WorkEvent};

/// The real decision core with simulated workers.
pub(super) struct Scheduler {
    driver: Driver,
    shards: Vec<id::Shard>,
    /// Capacity of every host.
    capacity: Resources,
    start_times: HashMap<u128, Vec<Duration>>,
    wasted_core_seconds: f64,
}

impl Scheduler {
    pub(super) fn new(workload: &Workload) -> Scheduler {
        let driver = Driver::new(workload.hosts.clone(), workload.config.clone());
        let shards = driver.shards();
        let capacity = workload.hosts[0].capacity;
        Scheduler {
            driver,
            shards,
            capacity,
            start_times: HashMap::new(),
            wasted_core_seconds: 0.0,
        }
    }

    /// Adds the driver's latest events to the start times and the wasted CPU time.
    fn collect_events(&mut self) {
        for event in std::mem::take(&mut self.driver.work_events) {
            match event {
                WorkEvent::Started { job, at } => {
                    self.start_times.entry(job.number).or_default().push(at);
                }
                WorkEvent::Stopped { ran, size } => {
                    self.wasted_core_seconds +=
                        ran.as_secs_f64() * f64::from(size.cpu_millis) / 1e3;
                }
                _ => {}
            }
        }
    }
}

impl Simulation for Scheduler {
    fn now(&self) -> Duration {
        self.driver.now
    }

    fn run_until(&mut self, end: Duration) {
        self.driver.run_until(end);
        self.driver.step_times_ns.clear();
        self.collect_events();
    }

    fn submit(&mut self, arrival: &Arrival) {
        let id = id::Job::new(home_shard(&self.shards, arrival.number), arrival.number);
        let team = arrival.team.clone();
        if arrival.class == Class::Interactive {
            let request = Request {
                id,
                team,
                service: Name::from("orderdesk"),
                size: arrival.size,
                selector: Default::default(),
                key: None,
                start_timeout: Duration::from_secs(30),
            };
            self.driver.request(request, arrival.run_time);
            return;
        }
        let spec = Spec {
            kind: if arrival.class == Class::Gang { Kind::Gang } else { Kind::Batch },
            tasks: arrival.tasks,
            size: arrival.size,
            urgent: arrival.class == Class::Urgent,
            restartable: true,
            run_ms: u64::try_from(arrival.declared_run_time.as_millis()).unwrap_or(u64::MAX),
            ..Spec::default()
        };
        self.driver.submit(Submission { id, team, spec }, arrival.run_time);
    }

    fn start_times(&self, number: u128) -> &[Duration] {
        self.start_times.get(&number).map_or(&[], Vec::as_slice)
    }

    fn used_by_team(&self) -> &BTreeMap<Name, Resources> {
        &self.driver.used_by_team
    }

    fn used_total(&self) -> Resources {
        self.driver.used_total
    }

    fn waiting_count(&self) -> u32 {
        self.driver.waiting_count()
    }

    fn team_waiting_count(&self, team: &str) -> u32 {
        self.driver.team_waiting_count(team)
    }

    fn largest_free_cpu_millis(&self) -> u32 {
        self.driver.largest_free_cpu_millis(&self.capacity)
    }

    fn wasted_core_seconds(&self) -> f64 {
        self.wasted_core_seconds
    }
}
