//! Crashes, and what is seen of a world from outside.

use super::*;

impl World {
    /// Kills a process.
    pub fn crash(&mut self, index: usize) {
        self.processes[index].is_up = false;
        self.processes[index].incarnation += 1;
    }

    /// Starts a process again, with nothing remembered.
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

    /// Ends every fault.
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

    /// Gives every process the platform's list.
    pub fn announce_hosts(&mut self) {
        let hosts = self.hosts();
        for index in 0..self.processes.len() {
            self.deliver(index, Event::Hosts(hosts.clone()));
        }
    }

    /// Returns the process that starts work of a shard, under the newest epoch.
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

    /// Returns the shards that the workers make up.
    pub fn shards(&self) -> Vec<id::Shard> {
        let per_domain = self.config.shards_per_domain;
        let shards: BTreeSet<id::Shard> =
            self.workers.values().map(|worker| worker.host.shard(per_domain)).collect();
        shards.into_iter().collect()
    }

    /// Tells whether every shard has an owner that starts work.
    pub fn has_all_owners(&self) -> bool {
        self.shards().iter().all(|shard| self.owner(shard).is_some())
    }

    /// Lets time pass until every shard is served.
    pub fn wait_for_owners(&mut self) {
        let end = self.now + Duration::from_secs(120);
        let has_all_owners = self.run_until(end, |world| world.has_all_owners());
        assert!(has_all_owners, "shards without an owner after 120 s: {}", self.describe_shards());
    }

    /// Says where a job runs, by the workers and by the processes.
    pub fn describe_job(&self, job: &id::Job) -> String {
        let mut lines = Vec::new();
        for worker in self.workers.values() {
            let tasks = worker.running.keys().filter(|task| task.job == *job);
            lines.extend(tasks.map(|task| format!("{task} runs on {}", worker.host.name)));
        }
        for process in &self.processes {
            let member = process.node.member();
            let tasks = process.node.running().into_iter().filter(|(task, _)| task.job == *job);
            lines.extend(tasks.map(|(task, host)| format!("{member} counts {task} on {host}")));
        }
        lines.join("\n")
    }

    /// Says which process has which shard in which phase.
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
