use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use sycamore_core::caller::{Request, Submission};
use sycamore_types::job::{Kind, Spec};
use sycamore_types::resources::Resources;
use sycamore_types::{Name, id};

use super::engine::Engine;
use super::workload::{Arrival, Class, Workload, home};
use crate::driver::{Driver, Seen};

/// The real decision core.
pub(super) struct Scheduler {
    driver: Driver,
    shards: Vec<id::Shard>,
    capacity: Resources,
    starts: HashMap<u128, Vec<Duration>>,
    thrown_away: f64,
}

impl Scheduler {
    pub(super) fn new(workload: &Workload) -> Scheduler {
        let driver = Driver::new(workload.hosts.clone(), workload.config.clone());
        let shards = driver.shards();
        let capacity = workload.hosts[0].capacity;
        Scheduler { driver, shards, capacity, starts: HashMap::new(), thrown_away: 0.0 }
    }

    fn take_in(&mut self) {
        for seen in std::mem::take(&mut self.driver.seen) {
            match seen {
                Seen::Started { job, at } => self.starts.entry(job.number).or_default().push(at),
                Seen::Stopped { ran, size } => {
                    self.thrown_away += ran.as_secs_f64() * f64::from(size.cpu_millis) / 1e3;
                }
                _ => {}
            }
        }
    }
}

impl Engine for Scheduler {
    fn now(&self) -> Duration {
        self.driver.now
    }

    fn run_until(&mut self, end: Duration) {
        self.driver.run_until(end);
        self.driver.steps_ns.clear();
        self.take_in();
    }

    fn arrive(&mut self, arrival: &Arrival) {
        let id = id::Job::new(home(&self.shards, arrival.number), arrival.number);
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
            self.driver.request(request, arrival.run);
            return;
        }
        let spec = Spec {
            kind: if arrival.class == Class::Gang { Kind::Gang } else { Kind::Batch },
            tasks: arrival.tasks,
            size: arrival.size,
            urgent: arrival.class == Class::Urgent,
            restartable: true,
            run_ms: u64::try_from(arrival.declared.as_millis()).unwrap_or(u64::MAX),
            ..Spec::default()
        };
        self.driver.submit(Submission { id, team, spec }, arrival.run);
    }

    fn starts(&self, number: u128) -> &[Duration] {
        self.starts.get(&number).map_or(&[], Vec::as_slice)
    }

    fn used(&self) -> &BTreeMap<Name, Resources> {
        &self.driver.used
    }

    fn used_total(&self) -> Resources {
        self.driver.used_total
    }

    fn waiting(&self) -> u32 {
        self.driver.waiting()
    }

    fn waiting_of(&self, team: &str) -> u32 {
        self.driver.waiting_of(team)
    }

    fn largest_hole(&self) -> u32 {
        self.driver.largest_hole(&self.capacity)
    }

    fn thrown_away(&self) -> f64 {
        self.thrown_away
    }
}
