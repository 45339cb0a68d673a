//! Drives one real decision core on a virtual clock.
//!
//! The store and the workers answer at once and never fail: this measures the
//! decisions, not the network. The time that the core spends is measured on
//! the real clock around every step.

mod kv;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::{Duration, Instant};

use serde::Serialize;
use sycamore_core::caller::{Answer, Request, Submission, Token};
use sycamore_core::worker::{FinishedTask, Launch, Op, Reply, Report, RunningTask, StopMode};
use sycamore_core::{Action, Ending, Event, Identity, Node, Timing};
use sycamore_types::config::Document;
use sycamore_types::host::Host;
use sycamore_types::resources::Resources;
use sycamore_types::{Name, id};

use kv::Kv;

/// One report in so many is written out to measure its size.
const MEASURED_REPORT: u64 = 16;

/// Time between two ticks of the core.
const TICK: Duration = Duration::from_millis(50);

/// Something that will happen at a virtual time.
#[derive(Debug)]
enum Due {
    Tick,
    End(id::Task, Name),
    Poll(u64, Name),
    Deliver(Box<Event>),
}

/// A task that runs on a virtual worker.
#[derive(Debug)]
struct Task {
    launch: Launch,
    token: Option<Token>,
    started_at: Duration,
}

/// A virtual worker.
#[derive(Debug, Default)]
struct Worker {
    running: BTreeMap<id::Task, Task>,
    finished: BTreeMap<id::Task, FinishedTask>,
    /// The poll that waits for something to change.
    polled: Option<u64>,
}

/// Something that the benchmark wants to know.
#[derive(Clone, Debug)]
pub enum Seen {
    /// A task or request was started.
    Started {
        /// Job or request.
        job: id::Job,
        /// Virtual time.
        at: Duration,
    },
    /// A task or request has ended well.
    Ended {
        /// Job or request.
        job: id::Job,
    },
    /// A task was stopped before its end.
    Stopped {
        /// Time that it had run.
        ran: Duration,
        /// Capacity that it took.
        size: Resources,
    },
    /// Work was refused.
    Refused {
        /// Call that was refused.
        token: Token,
    },
}

/// What steps of one kind have cost.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Share {
    /// Number of steps.
    pub steps: u64,
    /// Real time spent, in nanoseconds.
    pub spent_ns: u64,
}

/// One core with its virtual surroundings.
#[derive(Debug)]
pub struct Driver {
    node: Node,
    kv: Kv,
    /// Virtual time.
    pub now: Duration,
    agenda: BinaryHeap<Reverse<(Duration, u64)>>,
    dues: BTreeMap<u64, Due>,
    order: u64,
    workers: BTreeMap<Name, Worker>,
    run_times: BTreeMap<id::Job, Duration>,
    next_token: Token,
    /// What has happened since it was last taken.
    pub seen: Vec<Seen>,
    /// Real time that the core has spent on each step, in nanoseconds.
    pub steps_ns: Vec<u64>,
    /// Real time that the core has spent in all, in nanoseconds.
    pub spent_ns: u64,
    /// The same by kind of event.
    pub by_kind: BTreeMap<&'static str, Share>,
    /// Bytes of all reports that workers have sent, as JSON.
    pub report_bytes: u64,
    /// Number of these reports.
    pub reports: u64,
    /// Starts so far.
    pub starts: u64,
    /// Capacity in use by team.
    pub used: BTreeMap<Name, Resources>,
    /// Capacity in use in all.
    pub used_total: Resources,
}

impl Driver {
    /// Starts a core over the given hosts and waits until it serves them.
    pub fn new(hosts: Vec<Host>, config: Document) -> Driver {
        let identity = Identity {
            member: id::Member::new("bench", 7),
            address: Name::from("bench"),
            failure_domain: Name::from("bench"),
        };
        let names: Vec<Name> = hosts.iter().map(|host| host.name.clone()).collect();
        let mut driver = Driver {
            node: Node::new(identity, Timing::default()),
            kv: Kv::default(),
            now: Duration::from_secs(1),
            agenda: BinaryHeap::new(),
            dues: BTreeMap::new(),
            order: 0,
            workers: names.into_iter().map(|name| (name, Worker::default())).collect(),
            run_times: BTreeMap::new(),
            next_token: 1,
            seen: Vec::new(),
            steps_ns: Vec::new(),
            spent_ns: 0,
            by_kind: BTreeMap::new(),
            report_bytes: 0,
            reports: 0,
            starts: 0,
            used: BTreeMap::new(),
            used_total: Resources::default(),
        };
        driver.step(Event::Hosts(hosts));
        driver.step(Event::Config { revision: 1, document: Box::new(config) });
        driver.schedule(Duration::ZERO, Due::Tick);
        driver.run_until(Duration::from_secs(6));
        driver
    }

    /// Hands in a job whose tasks run for `run`.
    pub fn submit(&mut self, submission: Submission, run: Duration) -> Token {
        let token = self.token();
        self.run_times.insert(submission.id.clone(), run);
        self.step(Event::Submit { token, submission });
        token
    }

    /// Makes an interactive request that runs for `run`.
    pub fn request(&mut self, request: Request, run: Duration) -> Token {
        let token = self.token();
        self.run_times.insert(request.id.clone(), run);
        self.step(Event::Request { token, request });
        token
    }

    /// Cancels a job.
    pub fn cancel(&mut self, job: id::Job) {
        let token = self.token();
        self.step(Event::Cancel { token, job });
    }

    fn token(&mut self) -> Token {
        self.next_token += 1;
        self.next_token
    }

    /// Lets virtual time pass.
    pub fn run_until(&mut self, end: Duration) {
        while let Some(Reverse((at, order))) = self.agenda.peek().copied() {
            if at > end {
                break;
            }
            self.agenda.pop();
            self.now = at;
            if let Some(due) = self.dues.remove(&order) {
                self.happen(due);
            }
        }
        self.now = end;
    }

    fn happen(&mut self, due: Due) {
        match due {
            Due::Tick => {
                self.schedule(TICK, Due::Tick);
                self.step(Event::Tick);
            }
            Due::End(task, host) => self.end(&task, &host),
            Due::Poll(call, host) => self.answer_poll(call, &host),
            Due::Deliver(event) => self.step(*event),
        }
    }

    fn schedule(&mut self, delay: Duration, due: Due) {
        self.order += 1;
        self.agenda.push(Reverse((self.now + delay, self.order)));
        self.dues.insert(self.order, due);
    }

    fn step(&mut self, event: Event) {
        let kind = kind(&event);
        let begun = Instant::now();
        let actions = self.node.step(self.now, event);
        let spent = u64::try_from(begun.elapsed().as_nanos()).unwrap_or(u64::MAX);
        self.spent_ns += spent;
        self.steps_ns.push(spent);
        let share = self.by_kind.entry(kind).or_default();
        share.steps += 1;
        share.spent_ns += spent;
        for action in actions {
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Store { call, op } => {
                let reply = self.kv.call(op);
                self.deliver(Event::Store { call, reply });
            }
            Action::Worker { call, host, op, .. } => self.call_worker(call, &host, op),
            Action::Answer { token, answer } => self.answer(token, answer),
            _ => {}
        }
    }

    fn deliver(&mut self, event: Event) {
        self.schedule(Duration::ZERO, Due::Deliver(Box::new(event)));
    }

    fn answer(&mut self, token: Token, answer: Answer) {
        match answer {
            Answer::Dispatch { host, launch, .. } => self.start(&host, *launch, Some(token)),
            Answer::Failed(_) => self.seen.push(Seen::Refused { token }),
            _ => {}
        }
    }

    fn call_worker(&mut self, call: u64, host: &Name, op: Op) {
        match op {
            Op::Start { launch, .. } => {
                self.start(host, launch, None);
                self.deliver(Event::Worker { call, reply: Reply::Done });
            }
            Op::Stop { task, how } => {
                self.stop(host, &task, how);
                self.deliver(Event::Worker { call, reply: Reply::Done });
            }
            Op::Poll { wait, forget, .. } => {
                let Some(worker) = self.workers.get_mut(host) else {
                    return;
                };
                for task in forget {
                    worker.finished.remove(&task);
                }
                if worker.finished.is_empty() && !wait.is_zero() {
                    worker.polled = Some(call);
                    self.schedule(wait, Due::Poll(call, host.clone()));
                } else {
                    self.schedule(Duration::ZERO, Due::Poll(call, host.clone()));
                }
            }
        }
    }

    fn start(&mut self, host: &Name, launch: Launch, token: Option<Token>) {
        let task = launch.task.clone();
        let run = self.run_times.get(&task.job).copied().unwrap_or_default();
        self.starts += 1;
        self.seen.push(Seen::Started { job: task.job.clone(), at: self.now });
        let used = self.used.entry(launch.tag.team.clone()).or_default();
        *used = used.plus(&launch.tag.size);
        self.used_total = self.used_total.plus(&launch.tag.size);
        let started_at = self.now;
        if let Some(worker) = self.workers.get_mut(host) {
            worker.running.insert(task.clone(), Task { launch, token, started_at });
        }
        self.schedule(run, Due::End(task, host.clone()));
    }

    fn stop(&mut self, host: &Name, task: &id::Task, _: StopMode) {
        let Some(found) = self.remove(host, task) else {
            return;
        };
        let ran = self.now - found.started_at;
        self.seen.push(Seen::Stopped { ran, size: found.launch.tag.size });
        self.finish(host, task, false);
    }

    fn end(&mut self, task: &id::Task, host: &Name) {
        let Some(found) = self.remove(host, task) else {
            return;
        };
        self.seen.push(Seen::Ended { job: task.job.clone() });
        match found.token {
            Some(token) => self.step(Event::Ended { token, ending: Ending::Finished }),
            None => self.finish(host, task, true),
        }
    }

    fn remove(&mut self, host: &Name, task: &id::Task) -> Option<Task> {
        let found = self.workers.get_mut(host)?.running.remove(task)?;
        let size = found.launch.tag.size;
        if let Some(used) = self.used.get_mut(&found.launch.tag.team) {
            *used = used.minus(&size);
        }
        self.used_total = self.used_total.minus(&size);
        Some(found)
    }

    fn finish(&mut self, host: &Name, task: &id::Task, is_success: bool) {
        let Some(worker) = self.workers.get_mut(host) else {
            return;
        };
        let is_stopped = !is_success;
        let finished = FinishedTask { task: task.clone(), is_success, is_stopped };
        worker.finished.insert(task.clone(), finished);
        if let Some(call) = worker.polled.take() {
            self.answer_poll(call, host);
        }
    }

    fn answer_poll(&mut self, call: u64, host: &Name) {
        let Some(worker) = self.workers.get_mut(host) else {
            return;
        };
        worker.polled = worker.polled.filter(|waiting| *waiting != call);
        let listed = |(task, found): (&id::Task, &Task)| RunningTask {
            task: task.clone(),
            tag: found.launch.tag.clone(),
            used: found.launch.tag.size,
        };
        let report = Report {
            running: worker.running.iter().map(listed).collect(),
            finished: worker.finished.values().cloned().collect(),
        };
        if self.reports.is_multiple_of(MEASURED_REPORT) {
            let bytes = serde_json::to_vec(&report).unwrap_or_default().len();
            self.report_bytes += u64::try_from(bytes).unwrap_or(0) * MEASURED_REPORT;
        }
        self.reports += 1;
        self.step(Event::Worker { call, reply: Reply::Report(report) });
    }

    /// Returns the number of tasks and requests that wait.
    pub fn waiting(&self) -> u32 {
        self.node.view(self.now).shards.iter().map(|shard| shard.waiting).sum()
    }

    /// Returns the number of tasks and requests of a team that wait.
    pub fn waiting_of(&self, team: &str) -> u32 {
        self.node.waiting_of(team)
    }

    /// Returns the shards that the core serves.
    pub fn shards(&self) -> Vec<id::Shard> {
        self.node.view(self.now).shards.into_iter().map(|shard| shard.id).collect()
    }

    /// Returns the largest number of free millicores on one host.
    pub fn largest_hole(&self, capacity: &Resources) -> u32 {
        let free = |worker: &Worker| {
            let sizes = worker.running.values().map(|task| &task.launch.tag.size);
            let used = sizes.fold(Resources::default(), |sum, size| sum.plus(size));
            let free = capacity.minus(&used);
            if free.slots == 0 { 0 } else { free.cpu_millis }
        };
        self.workers.values().map(free).max().unwrap_or(0)
    }

    /// Returns the writes and reads that the core has made.
    pub fn store_calls(&self) -> (u64, u64) {
        (self.kv.writes, self.kv.reads)
    }
}

fn kind(event: &Event) -> &'static str {
    match event {
        Event::Tick => "tick",
        Event::Store { .. } => "store reply",
        Event::Worker { reply: Reply::Report(_), .. } => "worker report",
        Event::Worker { .. } => "start or stop reply",
        Event::Submit { .. } => "job",
        Event::Request { .. } => "request",
        Event::Ended { .. } => "end of request",
        _ => "other",
    }
}
