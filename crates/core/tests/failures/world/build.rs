//! Setting a world up.

use super::*;

impl World {
    /// Builds `processes` cores and two racks of four workers each.
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
            tokens: BTreeMap::new(),
            services: BTreeSet::new(),
            agenda: BTreeMap::new(),
            order: 0,
            next_token: 1,
            limits: BTreeMap::new(),
            limits_from: Duration::ZERO,
            timing: Timing { ride_out: Duration::from_secs(60), ..Timing::default() },
            config: Document::default(),
            config_revision: 0,
            garbles_peers: false,
            seen: BTreeSet::new(),
        };
        world.add_workers();
        world.set_config(config(&[("a", 12), ("b", 40)]));
        for at in 0..processes {
            world.add_process(at);
        }
        world
    }

    pub(super) fn add_workers(&mut self) {
        for rack in ["r0", "r1", "r2", "r3"] {
            for at in 0..2 {
                let host = host(&format!("{rack}-w{at}"), rack);
                self.workers.insert(host.name.clone(), Worker::new(host));
            }
        }
    }

    pub(super) fn add_process(&mut self, at: usize) {
        let clock = Clock {
            rate_per_mille: [995, 1000, 1005][at % 3],
            started_at: self.now - Duration::from_millis(500),
        };
        let node = self.build_node(at);
        self.processes.push(Process {
            node,
            clock,
            life: 0,
            is_up: true,
            is_paused: false,
            is_cut_from_store: false,
            is_cut_from_peers: false,
            config: 0,
            next_hosts: Duration::ZERO,
        });
        self.greet(at);
    }

    pub(super) fn build_node(&mut self, at: usize) -> Node {
        let member = id::Member::new(&format!("n{at}"), self.rng.random());
        let address = Name::from(format!("n{at}"));
        let failure_domain = Name::from("d");
        let identity = Identity { member, address, failure_domain };
        Node::new(identity, self.timing.clone())
    }

    /// Gives a process what its shell would read at start.
    pub(super) fn greet(&mut self, at: usize) {
        let hosts = self.hosts();
        self.deliver(at, Event::Hosts(hosts));
        if !self.store_fault.is_down {
            self.deliver_config(at);
        }
        self.schedule(TICK, at, Happening::Tick(at));
    }

    pub fn hosts(&self) -> Vec<Host> {
        self.workers.values().map(|worker| worker.host.clone()).collect()
    }

    pub(super) fn deliver_config(&mut self, at: usize) {
        let document = Box::new(self.config.clone());
        let event = Event::Config { revision: self.config_revision, document };
        self.deliver(at, event);
    }

    /// Puts a configuration in force.
    pub fn set_config(&mut self, config: Document) {
        let limits: BTreeMap<Name, u32> =
            config.teams.iter().map(|(name, team)| (name.clone(), team.limit)).collect();
        let is_lowered = self.limits.iter().any(|(name, old)| limits.get(name) < Some(old));
        if is_lowered {
            self.limits_from = self.now + Duration::from_secs(20);
        }
        self.limits = limits;
        self.config = config;
        self.config_revision += 1;
        for at in 0..self.processes.len() {
            self.deliver_config(at);
        }
    }

    /// Breaks a safety rule in every process.
    pub fn set_breakage(&mut self, breakage: InjectedBugs) {
        for process in &mut self.processes {
            process.node.inject_bugs(breakage);
        }
    }
}
