//! Crashes, restarts and the end of all faults, and the state of a world as
//! failure messages describe it.

use super::*;

impl World {
    /// Crashes a process. Calls that it has sent still take effect, but their
    /// replies are dropped.
    pub fn crash(&mut self, index: usize) {
        self.processes[index].is_up = false;
        self.processes[index].incarnation += 1;
    }

    /// Restarts a process, which loses all its state.
    pub fn restart(&mut self, index: usize) {
        self.crash(index);
        let node = self.build_node(index);
        let process = &mut self.processes[index];
        process.node = node;
        process.config_revision = 0;
        process.is_up = true;
        process.is_paused = false;
        process.clock.started_at = self.now - Duration::from_millis(100);
        self.send_startup_events(index);
    }

    /// Ends all faults and restarts the processes that are down.
    pub fn heal(&mut self) {
        self.store_fault = StoreFault::default();
        self.disrupts_peer_messages = false;
        for worker in self.workers.values_mut() {
            worker.is_unreachable = false;
            worker.loses_replies = false;
            worker.fails_tasks = false;
            worker.host.is_leaving = false;
        }
        for index in 0..self.processes.len() {
            self.processes[index].is_partitioned_from_store = false;
            self.processes[index].is_partitioned_from_peers = false;
            self.processes[index].is_paused = false;
            if !self.processes[index].is_up {
                self.restart(index);
            }
        }
        self.announce_hosts();
        for index in 0..self.processes.len() {
            self.deliver_config(index);
        }
    }

    /// Delivers the host list to every process.
    pub fn announce_hosts(&mut self) {
        let hosts = self.hosts();
        for index in 0..self.processes.len() {
            self.deliver(index, Event::Hosts(hosts.clone()));
        }
    }

    /// Returns the index of the active owner of a shard. While several processes
    /// consider themselves the owner, returns the one with the latest epoch.
    pub fn owner(&self, shard: &id::Shard) -> Option<usize> {
        let epoch = |process: &Process| {
            let view = process.node.view(process.clock.read(self.now));
            let found = view.shards.into_iter().find(|found| found.id == *shard);
            found.filter(|found| found.phase == sycamore_core::Phase::Active).map(|s| s.epoch)
        };
        let up = self.processes.iter().enumerate().filter(|(_, process)| process.is_up);
        let active = up.filter_map(|(index, process)| epoch(process).map(|epoch| (epoch, index)));
        active.max().map(|(_, index)| index)
    }

    /// Returns the shards that the hosts are divided into.
    pub fn shards(&self) -> Vec<id::Shard> {
        let per_domain = self.config.shards_per_domain;
        let shards: BTreeSet<id::Shard> =
            self.workers.values().map(|worker| worker.host.shard(per_domain)).collect();
        shards.into_iter().collect()
    }

    /// Returns whether every shard has an active owner.
    pub fn has_all_owners(&self) -> bool {
        self.shards().iter().all(|shard| self.owner(shard).is_some())
    }

    /// Runs until every shard has an active owner.
    ///
    /// # Panics
    ///
    /// Panics if a shard has none after 120 s.
    pub fn wait_for_owners(&mut self) {
        let end = self.now + Duration::from_secs(120);
        let has_all_owners = self.run_until(end, |world| world.has_all_owners());
        assert!(has_all_owners, "shards without an owner after 120 s: {}", self.describe_shards());
    }

    /// Describes where the tasks of a job run, according to the workers and to the
    /// processes.
    pub fn describe_job(&self, job: &id::Job) -> String {
        let mut lines = Vec::new();
        for worker in self.workers.values() {
            let tasks = worker.running.keys().filter(|task| task.job == *job);
            lines.extend(tasks.map(|task| format!("{task} runs on {}", worker.host.name)));
        }
        for process in &self.processes {
            let member = process.node.member();
            let tasks = process.node.running().into_iter().filter(|(task, _)| task.job == *job);
            lines.extend(tasks.map(|(task, host)| format!("{member} expects {task} on {host}")));
        }
        lines.join("\n")
    }

    /// Describes which shards each process owns and in which phase they are.
    pub fn describe_shards(&self) -> String {
        let line = |process: &Process| {
            let view = process.node.view(process.clock.read(self.now));
            let shards: Vec<String> =
                view.shards.iter().map(|s| format!("{}:{:?}", s.id, s.phase)).collect();
            format!("{} up={} {}", view.member, process.is_up, shards.join(" "))
        };
        self.processes.iter().map(line).collect::<Vec<_>>().join("\n")
    }
}
