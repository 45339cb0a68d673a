//! A few decision cores, a store and workers on a virtual clock.
//!
//! This is no simulator of a cluster: it delivers what the cores ask for,
//! late, twice or not at all, and checks the invariants at every start.

mod checks;
mod clock;
mod store;
mod worker;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use sycamore_core::caller::{Answer, Request, Submission, Token};
use sycamore_core::{Action, Breakage, Ending, Event, Identity, Node, Timing, store as core_store};
use sycamore_core::{peer, worker as core_worker};
use sycamore_types::config::{Document, Team};
use sycamore_types::host::Host;
use sycamore_types::job::{Kind, Spec};
use sycamore_types::outcome::Certainty;
use sycamore_types::resources::Resources;
use sycamore_types::{Name, id, label};

pub use checks::Checks;
use clock::Clock;
use store::Store;
pub use worker::Worker;

/// Time between two ticks of a core.
const TICK: Duration = Duration::from_millis(50);

/// Time between two reads of the host list.
const HOSTS: Duration = Duration::from_secs(1);

/// Time after which a call to the store counts as lost.
const STORE_TIMEOUT: Duration = Duration::from_millis(400);

/// One process.
pub struct Process {
    pub node: Node,
    clock: Clock,
    /// Life of the process: what was meant for an earlier one is dropped.
    life: u32,
    pub is_up: bool,
    pub is_paused: bool,
    pub is_cut_from_store: bool,
    pub is_cut_from_peers: bool,
    config: u64,
    next_hosts: Duration,
}

/// Something that will happen.
enum Happening {
    Tick(usize),
    Deliver(usize, Event),
    Send(usize, Action),
    StoreCall(usize, u64, core_store::Op),
    WorkerCall(usize, u64, Name, core_worker::Op),
    RequestArrives(usize, Token, Name, Box<core_worker::Launch>),
}

/// How the store misbehaves.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreFault {
    pub is_down: bool,
    /// Every write takes effect and its reply is lost.
    pub loses_replies: bool,
    pub is_slow: bool,
}

/// Everything together.
pub struct World {
    pub now: Duration,
    rng: SmallRng,
    pub processes: Vec<Process>,
    pub store: Store,
    pub store_fault: StoreFault,
    pub workers: BTreeMap<Name, Worker>,
    pub checks: Checks,
    pub answers: BTreeMap<Token, Answer>,
    pub tokens: BTreeMap<Token, id::Job>,
    /// Jobs that run until they are cancelled.
    pub services: BTreeSet<id::Job>,
    agenda: BTreeMap<(Duration, u64), (u32, Happening)>,
    order: u64,
    next_token: Token,
    pub limits: BTreeMap<Name, u32>,
    /// Limits are not compared before this time, since one was just lowered.
    pub limits_from: Duration,
    pub timing: Timing,
    pub config: Document,
    pub config_revision: u64,
    /// Copies and delays of messages between peers.
    pub garbles_peers: bool,
    /// Called for with every action before it is carried out.
    pub seen: BTreeSet<&'static str>,
}

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

    fn add_workers(&mut self) {
        for rack in ["r0", "r1", "r2", "r3"] {
            for at in 0..2 {
                let host = host(&format!("{rack}-w{at}"), rack);
                self.workers.insert(host.name.clone(), Worker::new(host));
            }
        }
    }

    fn add_process(&mut self, at: usize) {
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

    fn build_node(&mut self, at: usize) -> Node {
        let member = id::Member::new(&format!("n{at}"), self.rng.random());
        let address = Name::from(format!("n{at}"));
        let failure_domain = Name::from("d");
        let identity = Identity { member, address, failure_domain };
        Node::new(identity, self.timing.clone())
    }

    /// Gives a process what its shell would read at start.
    fn greet(&mut self, at: usize) {
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

    fn deliver_config(&mut self, at: usize) {
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
    pub fn set_breakage(&mut self, breakage: Breakage) {
        for process in &mut self.processes {
            process.node.set_breakage(breakage);
        }
    }

    fn schedule(&mut self, delay: Duration, process: usize, happening: Happening) {
        let life = self.processes.get(process).map_or(0, |process| process.life);
        self.order += 1;
        self.agenda.insert((self.now + delay, self.order), (life, happening));
    }

    fn latency(&mut self) -> Duration {
        Duration::from_micros(self.rng.random_range(200..3_000))
    }

    pub fn deliver(&mut self, at: usize, event: Event) {
        let delay = self.latency();
        self.schedule(delay, at, Happening::Deliver(at, event));
    }

    /// Lets time pass.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        self.run_until(end, |_| false);
    }

    /// Lets time pass until something holds. Returns whether it did.
    pub fn run_until(&mut self, end: Duration, mut holds: impl FnMut(&World) -> bool) -> bool {
        while let Some(((at, order), _)) = self.agenda.first_key_value() {
            let (at, order) = (*at, *order);
            if at > end {
                break;
            }
            self.now = self.now.max(at);
            let Some((life, happening)) = self.agenda.remove(&(at, order)) else {
                break;
            };
            self.happen(life, happening);
            if holds(self) {
                return true;
            }
        }
        self.now = end;
        false
    }

    fn happen(&mut self, life: u32, happening: Happening) {
        match happening {
            Happening::Tick(at) => {
                if self.is_current(at, life) {
                    self.defer_or(at, life, Happening::Tick(at), |world| {
                        world.schedule(TICK, at, Happening::Tick(at));
                        world.read_hosts(at);
                        world.step(at, Event::Tick);
                    });
                }
            }
            Happening::Deliver(at, event) => {
                if self.is_current(at, life) {
                    let copy = event.clone();
                    self.defer_or(at, life, Happening::Deliver(at, copy), |world| {
                        world.step(at, event);
                    });
                }
            }
            Happening::Send(at, action) => {
                if self.is_current(at, life) {
                    let copy = action.clone();
                    self.defer_or(at, life, Happening::Send(at, copy), |world| {
                        world.carry_out(at, action);
                    });
                }
            }
            Happening::StoreCall(at, call, op) => self.call_store(at, life, call, &op),
            Happening::WorkerCall(at, call, host, op) => {
                self.call_worker(at, life, call, &host, op)
            }
            Happening::RequestArrives(at, token, host, launch) => {
                self.request_arrives(at, life, token, &host, &launch);
            }
        }
        self.check_limits();
    }

    /// Reads the platform's list again and again, as a shell does.
    fn read_hosts(&mut self, at: usize) {
        let process = &mut self.processes[at];
        if self.now >= process.next_hosts {
            process.next_hosts = self.now + HOSTS;
            let hosts = self.hosts();
            self.deliver(at, Event::Hosts(hosts));
        }
    }

    fn is_current(&self, at: usize, life: u32) -> bool {
        self.processes[at].is_up && self.processes[at].life == life
    }

    /// A paused process does everything after it wakes.
    fn defer_or(&mut self, at: usize, _: u32, later: Happening, f: impl FnOnce(&mut World)) {
        if self.processes[at].is_paused {
            self.schedule(TICK, at, later);
        } else {
            f(self);
        }
    }

    fn step(&mut self, at: usize, event: Event) {
        let process = &mut self.processes[at];
        let local = process.clock.read(self.now);
        let actions = process.node.step(local, event);
        let config = process.node.view(local).config;
        if config < process.config {
            self.checks.violations.push(format!("n{at} went back to configuration {config}"));
        }
        self.processes[at].config = config;
        for action in actions {
            self.note(&action);
            let delay = Duration::from_micros(self.rng.random_range(0..500));
            self.schedule(delay, at, Happening::Send(at, action));
        }
    }

    /// Names the step that an action belongs to, for tests that wait for one.
    fn note(&mut self, action: &Action) {
        let name = match action {
            Action::Worker { op: core_worker::Op::Start { .. }, .. } => "start",
            Action::Worker { op: core_worker::Op::Stop { .. }, .. } => "stop",
            Action::Store { op: core_store::Op::Put { key, .. }, .. } => match key.as_str() {
                key if key.starts_with("log/") => "page",
                key if key.starts_with("snapshot/") => "snapshot",
                "owners" => "owners",
                "ledger" => "ledger",
                _ => "renewal",
            },
            Action::Peer { message: peer::Message::Lower { .. }, .. } => "lower",
            _ => return,
        };
        self.seen.insert(name);
    }

    fn carry_out(&mut self, at: usize, action: Action) {
        let local = self.processes[at].clock.read(self.now);
        let is_late = action.not_after().is_some_and(|end| local > end);
        let delay = self.latency();
        match action {
            Action::Store { call, op } => {
                let delay =
                    if self.store_fault.is_slow { delay + STORE_TIMEOUT / 2 } else { delay };
                self.schedule(delay, at, Happening::StoreCall(at, call, op));
            }
            Action::Worker { call, .. } if is_late => {
                let reply = core_worker::Reply::NotSent;
                self.deliver(at, Event::Worker { call, reply });
            }
            Action::Worker { call, host, op, .. } => {
                self.schedule(delay, at, Happening::WorkerCall(at, call, host, op));
            }
            Action::Peer { to, message, .. } => self.send_peer(at, &to, message),
            Action::Answer { token, answer } => self.answer(at, token, answer, is_late),
            Action::Record(_) => {}
            Action::Stopped => self.processes[at].is_up = false,
        }
    }

    fn send_peer(&mut self, at: usize, to: &id::Member, message: peer::Message) {
        let found = self.processes.iter().position(|p| p.node.member().name == to.name);
        let Some(target) = found else {
            return;
        };
        let is_cut =
            self.processes[at].is_cut_from_peers || self.processes[target].is_cut_from_peers;
        let is_addressee = self.processes[target].node.member() == to;
        if is_cut || !is_addressee {
            return;
        }
        let from = self.processes[at].node.member().clone();
        let event = Event::Peer { from, message };
        if self.garbles_peers {
            let late = Duration::from_millis(self.rng.random_range(0..3_000));
            let kind = self.rng.random_range(0..5);
            if kind == 0 {
                return;
            }
            if kind <= 2 {
                let copy = event.clone();
                self.schedule(late, target, Happening::Deliver(target, copy));
            }
            if kind == 2 {
                return;
            }
        }
        self.deliver(target, event);
    }

    fn answer(&mut self, at: usize, token: Token, answer: Answer, is_late: bool) {
        if let Answer::Dispatch { host, launch, .. } = &answer {
            if is_late {
                self.deliver(at, Event::Ended { token, ending: Ending::Over });
            } else {
                let delay = self.latency();
                let arrival = Happening::RequestArrives(at, token, host.clone(), launch.clone());
                self.schedule(delay, at, arrival);
            }
        }
        if let Answer::Failed(failure) = &answer
            && failure.certainty == Certainty::NotRun
            && let Some(job) = self.tokens.get(&token).cloned()
            && !self.answers.contains_key(&token)
        {
            self.checks.told_not_run(&job);
        }
        self.answers.insert(token, answer);
    }

    fn call_store(&mut self, at: usize, life: u32, call: u64, op: &core_store::Op) {
        let is_cut = self.store_fault.is_down || self.processes[at].is_cut_from_store;
        if is_cut {
            self.reply_store(at, life, call, core_store::Reply::Unavailable, Duration::ZERO);
            return;
        }
        let reply = self.store.call(op);
        if self.store_fault.loses_replies && op.is_write() {
            self.reply_store(at, life, call, core_store::Reply::Unknown, STORE_TIMEOUT);
        } else {
            self.reply_store(at, life, call, reply, Duration::ZERO);
        }
    }

    fn reply_store(
        &mut self,
        at: usize,
        life: u32,
        call: u64,
        reply: core_store::Reply,
        extra: Duration,
    ) {
        if self.processes[at].life == life {
            let delay = self.latency() + extra;
            let event = Event::Store { call, reply };
            self.schedule(delay, at, Happening::Deliver(at, event));
        }
    }

    fn call_worker(&mut self, at: usize, life: u32, call: u64, host: &Name, op: core_worker::Op) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(host) else {
            return;
        };
        let (reply, extra) = if worker.is_unreachable {
            (core_worker::Reply::Unknown, Duration::from_millis(300))
        } else {
            (worker.call(now, &op), Duration::ZERO)
        };
        let is_start = matches!(op, core_worker::Op::Start { .. });
        let is_reply_lost = worker.loses_replies && is_start;
        if let core_worker::Op::Start { launch, .. } = &op
            && reply == core_worker::Reply::Done
        {
            self.checks.started(launch, &self.workers);
        }
        let reply = if is_reply_lost { core_worker::Reply::Unknown } else { reply };
        if self.processes[at].life == life {
            let delay = self.latency() + extra;
            self.schedule(delay, at, Happening::Deliver(at, Event::Worker { call, reply }));
        }
    }

    fn request_arrives(
        &mut self,
        at: usize,
        life: u32,
        token: Token,
        host: &Name,
        launch: &core_worker::Launch,
    ) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(host) else {
            return;
        };
        let mut ending = Ending::InDoubt;
        if !worker.is_unreachable {
            let op = core_worker::Op::Start { launch: launch.clone(), not_after: Duration::ZERO };
            worker.call(now, &op);
            self.checks.started(launch, &self.workers);
            ending = Ending::Over;
        }
        if self.processes[at].life == life {
            let event = Event::Ended { token, ending };
            self.schedule(Duration::from_millis(30), at, Happening::Deliver(at, event));
        }
    }

    fn check_limits(&mut self) {
        for worker in self.workers.values_mut() {
            worker.advance(self.now);
        }
        if self.now >= self.limits_from {
            self.checks.limits(&self.limits, &self.workers);
        }
    }

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

    /// Hands in a job to whoever owns its shard, or to process 0.
    pub fn submit(&mut self, shard: &id::Shard, team: &str, spec: Spec) -> (Token, id::Job) {
        let job = id::Job::new(shard.clone(), self.rng.random());
        if spec.kind == Kind::Service {
            self.services.insert(job.clone());
        }
        if !spec.restartable {
            self.checks.once.insert(job.clone());
        }
        let at = self.owner(shard).unwrap_or(0);
        let token = self.token_for(&job);
        let team = Name::from(team);
        let submission = Submission { id: job.clone(), team, spec };
        self.deliver(at, Event::Submit { token, submission });
        (token, job)
    }

    /// Makes an interactive request at whoever owns its shard, or at process 0.
    pub fn request(&mut self, shard: &id::Shard, team: &str, key: Option<u128>) -> Token {
        let at = self.owner(shard).unwrap_or(0);
        let id = id::Job::new(shard.clone(), self.rng.random());
        self.checks.once.insert(id.clone());
        if let Some(key) = key {
            self.checks.keys.insert(id.clone(), key);
        }
        let token = self.token_for(&id);
        let request = Request {
            id,
            team: Name::from(team),
            service: Name::from("orderdesk"),
            size: size(),
            selector: Default::default(),
            key,
            patience: Duration::from_secs(3),
        };
        self.deliver(at, Event::Request { token, request });
        token
    }

    /// Cancels a job at whoever owns its shard, or at process 0.
    pub fn cancel(&mut self, job: &id::Job) {
        let at = self.owner(&job.home).unwrap_or(0);
        let token = self.next_token;
        self.next_token += 1;
        self.deliver(at, Event::Cancel { token, job: job.clone() });
    }

    /// Asks for a job's status and waits for the answer.
    pub fn status(&mut self, job: &id::Job) -> Option<sycamore_core::caller::Status> {
        let at = self.owner(&job.home)?;
        let token = self.next_token;
        self.next_token += 1;
        self.deliver(at, Event::Status { token, job: job.clone() });
        let end = self.now + Duration::from_secs(1);
        self.run_until(end, |world| world.answers.contains_key(&token));
        match self.answers.get(&token) {
            Some(Answer::Status(status)) => Some((**status).clone()),
            _ => None,
        }
    }

    fn token_for(&mut self, job: &id::Job) -> Token {
        let token = self.next_token;
        self.next_token += 1;
        self.tokens.insert(token, job.clone());
        token
    }

    /// Returns the jobs whose callers were told that they are on record.
    pub fn accepted(&self) -> Vec<id::Job> {
        let accepted = |(_, answer): (&Token, &Answer)| match answer {
            Answer::Accepted(job) => Some(job.clone()),
            _ => None,
        };
        self.answers.iter().filter_map(accepted).collect()
    }
}

/// Builds a configuration with limits by team.
pub fn config(limits: &[(&str, u32)]) -> Document {
    let team = |(name, limit): &(&str, u32)| {
        (Name::from(*name), Team { weight: 1, limit: *limit, urgent: true })
    };
    Document { teams: limits.iter().map(team).collect(), ..Document::default() }
}

/// Builds a host with four slots.
pub fn host(name: &str, rack: &str) -> Host {
    Host {
        name: Name::from(name),
        address: Name::from(name),
        rack: Name::from(rack),
        failure_domain: Name::from("d"),
        capacity: Resources {
            cpu_millis: 8_000,
            memory_mib: 16_000,
            accelerators: 0,
            slots: 4,
            connections: 16,
        },
        labels: label::Set::default(),
        is_leaving: false,
    }
}

/// Builds the size of a small task.
pub fn size() -> Resources {
    Resources { cpu_millis: 1_000, memory_mib: 1_000, slots: 1, ..Resources::default() }
}

/// Builds a job of a few tasks.
pub fn spec(tasks: u32, run_ms: u64) -> Spec {
    Spec { tasks, size: size(), run_ms, restartable: true, ..Spec::default() }
}
