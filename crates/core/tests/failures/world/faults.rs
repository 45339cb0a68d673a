//! Crashes, and what is seen of a world from outside.

use super::*;

impl World {
    /// Kills a process.
    pub fn crash(&mut self, at: usize) {
        self.processes[at].is_up = false;
        self.processes[at].life += 1;
    }

    /// Starts a process again, with nothing remembered.
    pub fn restart(&mut self, at: usize) {
        self.crash(at);
        let node = self.build_node(at);
        let process = &mut self.processes[at];
        process.node = node;
        process.config = 0;
        process.is_up = true;
        process.is_paused = false;
        process.clock.started_at = self.now - Duration::from_millis(100);
        self.greet(at);
    }

    /// Ends every fault.
    pub fn heal(&mut self) {
        self.store_fault = StoreFault::default();
        self.garbles_peers = false;
        for worker in self.workers.values_mut() {
            worker.is_unreachable = false;
            worker.loses_replies = false;
            worker.fails_everything = false;
            worker.host.is_leaving = false;
        }
        for at in 0..self.processes.len() {
            self.processes[at].is_cut_from_store = false;
            self.processes[at].is_cut_from_peers = false;
            self.processes[at].is_paused = false;
            if !self.processes[at].is_up {
                self.restart(at);
            }
        }
        self.announce_hosts();
        for at in 0..self.processes.len() {
            self.deliver_config(at);
        }
    }

    /// Gives every process the platform's list.
    pub fn announce_hosts(&mut self) {
        let hosts = self.hosts();
        for at in 0..self.processes.len() {
            self.deliver(at, Event::Hosts(hosts.clone()));
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
        let active = up.filter_map(|(at, process)| epoch(process).map(|epoch| (epoch, at)));
        active.max().map(|(_, at)| at)
    }

    /// Returns the shards that the workers make up.
    pub fn shards(&self) -> Vec<id::Shard> {
        let per_domain = self.config.shards_per_domain;
        let shards: BTreeSet<id::Shard> =
            self.workers.values().map(|worker| worker.host.shard(per_domain)).collect();
        shards.into_iter().collect()
    }

    /// Tells whether every shard has an owner that starts work.
    pub fn is_settled(&self) -> bool {
        self.shards().iter().all(|shard| self.owner(shard).is_some())
    }

    /// Lets time pass until every shard is served.
    pub fn settle(&mut self) {
        let end = self.now + Duration::from_secs(120);
        let is_settled = self.run_until(end, |world| world.is_settled());
        assert!(is_settled, "shards without an owner after 120 s: {}", self.describe());
    }

    /// Says where a job runs, by the workers and by the processes.
    pub fn whereabouts(&self, job: &id::Job) -> String {
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
    pub fn describe(&self) -> String {
        let line = |process: &Process| {
            let view = process.node.view(process.clock.read(self.now));
            let shards: Vec<String> =
                view.shards.iter().map(|s| format!("{}:{:?}", s.id, s.phase)).collect();
            format!("{} up={} {}", view.member, process.is_up, shards.join(" "))
        };
        self.processes.iter().map(line).collect::<Vec<_>>().join("\n")
    }
}
