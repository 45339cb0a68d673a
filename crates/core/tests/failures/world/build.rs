//! Construction of a world, and the inputs that a process reads by itself: the
//! host list and the configuration.

use super::*;

impl World {
    /// Creates a world of `processes` processes and four racks of two workers each.
    pub fn new(seed: u64, processes: usize) -> World {
        let mut world = World {
            now: Duration::from_secs(1),
            rng: SmallRng::seed_from_u64(seed),
            processes: Vec::new(),
            store: Store::default(),
            store_fault: StoreFault::default(),
            workers: BTreeMap::new(),
            checks: Checks::default(),
            answers: BTreeMap::new(),
            jobs_by_token: BTreeMap::new(),
            services: BTreeSet::new(),
            event_queue: BTreeMap::new(),
            sequence: 0,
            next_token: 1,
            limits: BTreeMap::new(),
            limits_checked_from: Duration::ZERO,
            timing: Timing { max_lease_extension: Duration::from_secs(60), ..Timing::default() },
            config: Document::default(),
            config_revision: 0,
            disrupts_peer_messages: false,
            seen_actions: BTreeSet::new(),
        };
        world.add_workers();
        world.set_config(config(&[("a", 12), ("b", 40)]));
        for index in 0..processes {
            world.add_process(index);
        }
        world
    }

    pub(super) fn add_workers(&mut self) {
        for rack in ["r0", "r1", "r2", "r3"] {
            for index in 0..2 {
                let host = host(&format!("{rack}-w{index}"), rack);
                self.workers.insert(host.name.clone(), Worker::new(host));
            }
        }
    }

    pub(super) fn add_process(&mut self, index: usize) {
        let clock = Clock {
            rate_per_mille: [995, 1000, 1005][index % 3],
            started_at: self.now - Duration::from_millis(500),
        };
        let node = self.build_node(index);
        self.processes.push(Process {
            node,
            clock,
            incarnation: 0,
            is_up: true,
            is_paused: false,
            is_partitioned_from_store: false,
            is_partitioned_from_peers: false,
            config_revision: 0,
            next_host_read: Duration::ZERO,
        });
        self.send_startup_events(index);
    }

    pub(super) fn build_node(&mut self, index: usize) -> Node {
        let member = id::Member::new(&format!("n{index}"), self.rng.random());
        let address = Name::from(format!("n{index}"));
        let failure_domain = Name::from("d");
        let identity = Identity { member, address, failure_domain };
        Node::new(identity, self.timing.clone())
    }

    /// Delivers the host list and the configuration, which a process reads at
    /// its start, and schedules its first tick.
    pub(super) fn send_startup_events(&mut self, index: usize) {
        let hosts = self.hosts();
        self.deliver(index, Event::Hosts(hosts));
        if !self.store_fault.is_down {
            self.deliver_config(index);
        }
        self.schedule(TICK_INTERVAL, index, SimEvent::Tick(index));
    }

    /// Returns the host list of the platform.
    pub fn hosts(&self) -> Vec<Host> {
        self.workers.values().map(|worker| worker.host.clone()).collect()
    }

    pub(super) fn deliver_config(&mut self, index: usize) {
        let document = Box::new(self.config.clone());
        let event = Event::Config { revision: self.config_revision, document };
        self.deliver(index, event);
    }

    /// Delivers a new configuration to all processes.
    ///
    /// If a limit was lowered, limits are not checked for the next 20 s, in which
    /// the tasks above it end or are stopped.
    pub fn set_config(&mut self, config: Document) {
        let limits: BTreeMap<Name, u32> =
            config.teams.iter().map(|(name, team)| (name.clone(), team.limit)).collect();
        let is_lowered = self.limits.iter().any(|(name, old)| limits.get(name) < Some(old));
        if is_lowered {
            self.limits_checked_from = self.now + Duration::from_secs(20);
        }
        self.limits = limits;
        self.config = config;
        self.config_revision += 1;
        for index in 0..self.processes.len() {
            self.deliver_config(index);
        }
    }

    /// Switches safety rules off in every process.
    pub fn inject_bugs(&mut self, bugs: InjectedBugs) {
        for process in &mut self.processes {
            process.node.inject_bugs(bugs);
        }
    }
}
