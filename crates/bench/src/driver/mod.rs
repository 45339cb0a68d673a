//! Runs one real decision core on a virtual clock.
//!
//! The store and the workers are simulated. They reply immediately and never
//! fail, so the driver measures the decisions and not the network. The time
//! that the core takes is measured on the real clock around each step, in which
//! the core handles one event.

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

/// One report in this many is encoded as JSON to measure its size.
const REPORTS_PER_SIZE_SAMPLE: u64 = 16;

/// Virtual time between two ticks of the core.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// What the driver does when a timer expires.
#[derive(Debug)]
enum TimerEvent {
    /// Passes a tick to the core.
    Tick,
    /// Ends a task on a host.
    TaskEnd(id::Task, Name),
    /// Replies to a poll of a host, also if the end of a task has already answered
    /// it.
    PollReply(u64, Name),
    /// Passes an event to the core.
    CoreEvent(Box<Event>),
}

/// A task or request that runs on a simulated worker.
#[derive(Debug)]
struct Task {
    launch: Launch,
    /// The call of the caller. `None` for a task of a job.
    token: Option<Token>,
    /// Virtual time of the start.
    started_at: Duration,
}

/// A simulated worker.
#[derive(Debug, Default)]
struct Worker {
    running: BTreeMap<id::Task, Task>,
    /// Tasks that have ended and that the core has not told the worker to forget.
    finished: BTreeMap<id::Task, FinishedTask>,
    /// The poll that is answered when a task ends or its wait time is over.
    pending_poll: Option<u64>,
}

/// What happened to a job or request.
#[derive(Clone, Debug)]
pub enum WorkEvent {
    /// A task or request was started.
    Started {
        /// The job or request.
        job: id::Job,
        /// Virtual time of the start.
        at: Duration,
    },
    /// A task or request succeeded.
    Ended {
        /// The job or request.
        job: id::Job,
    },
    /// A task was stopped before its end.
    Stopped {
        /// Run time until the stop.
        ran: Duration,
        /// Capacity that the task took.
        size: Resources,
    },
    /// A call of a caller failed.
    Rejected {
        /// The call that failed.
        token: Token,
    },
}

/// Number and total time of the steps that handled one kind of event.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct StepCost {
    /// Number of steps.
    pub steps: u64,
    /// Total real time of these steps, in nanoseconds.
    pub spent_ns: u64,
}

/// One decision core with a simulated store and simulated workers.
#[derive(Debug)]
pub struct Driver {
    node: Node,
    kv: Kv,
    /// The virtual clock.
    pub now: Duration,
    /// Expiry and identifier of each timer. The earliest is at the top; timers of
    /// the same time expire in the order in which they were set.
    timers: BinaryHeap<Reverse<(Duration, u64)>>,
    /// What each timer does, by its identifier.
    timer_events: BTreeMap<u64, TimerEvent>,
    last_timer_id: u64,
    workers: BTreeMap<Name, Worker>,
    /// Actual run time of the tasks of each job or request.
    run_times: BTreeMap<id::Job, Duration>,
    last_token: Token,
    /// Events since the user of the driver last removed them.
    pub work_events: Vec<WorkEvent>,
    /// Real time of each step of the core, in nanoseconds.
    pub step_times_ns: Vec<u64>,
    /// Total real time of all steps, in nanoseconds.
    pub core_time_ns: u64,
    /// Number and time of the steps by kind of event.
    pub cost_by_kind: BTreeMap<&'static str, StepCost>,
    /// Estimated size of all reports of the workers, in bytes of JSON.
    pub report_bytes: u64,
    /// Number of reports of the workers.
    pub reports: u64,
    /// Number of tasks and requests started.
    pub starts: u64,
    /// Capacity that the running tasks and requests of each team take.
    pub used_by_team: BTreeMap<Name, Resources>,
    /// Capacity that all running tasks and requests take.
    pub used_total: Resources,
}

impl Driver {
    /// Starts a core that is the only scheduler of the given hosts, and lets 5 s of
    /// virtual time pass, in which it takes over their shards.
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
            timers: BinaryHeap::new(),
            timer_events: BTreeMap::new(),
            last_timer_id: 0,
            workers: names.into_iter().map(|name| (name, Worker::default())).collect(),
            run_times: BTreeMap::new(),
            last_token: 1,
            work_events: Vec::new(),
            step_times_ns: Vec::new(),
            core_time_ns: 0,
            cost_by_kind: BTreeMap::new(),
            report_bytes: 0,
            reports: 0,
            starts: 0,
            used_by_team: BTreeMap::new(),
            used_total: Resources::default(),
        };
        driver.step(Event::Hosts(hosts));
        driver.step(Event::Config { revision: 1, document: Box::new(config) });
        driver.schedule(Duration::ZERO, TimerEvent::Tick);
        driver.run_until(Duration::from_secs(6));
        driver
    }

    /// Submits a job, each task of which runs for `run_time`.
    pub fn submit(&mut self, submission: Submission, run_time: Duration) -> Token {
        let token = self.next_token();
        self.run_times.insert(submission.id.clone(), run_time);
        self.step(Event::Submit { token, submission });
        token
    }

    /// Makes an interactive request that runs for `run_time`.
    pub fn request(&mut self, request: Request, run_time: Duration) -> Token {
        let token = self.next_token();
        self.run_times.insert(request.id.clone(), run_time);
        self.step(Event::Request { token, request });
        token
    }

    /// Cancels a job.
    pub fn cancel(&mut self, job: id::Job) {
        let token = self.next_token();
        self.step(Event::Cancel { token, job });
    }

    fn next_token(&mut self) -> Token {
        self.last_token += 1;
        self.last_token
    }

    /// Advances the virtual clock to `end` and handles the timers that expire.
    pub fn run_until(&mut self, end: Duration) {
        while let Some(Reverse((at, timer_id))) = self.timers.peek().copied() {
            if at > end {
                break;
            }
            self.timers.pop();
            self.now = at;
            if let Some(event) = self.timer_events.remove(&timer_id) {
                self.handle_timer(event);
            }
        }
        self.now = end;
    }

    fn handle_timer(&mut self, event: TimerEvent) {
        match event {
            TimerEvent::Tick => {
                self.schedule(TICK_INTERVAL, TimerEvent::Tick);
                self.step(Event::Tick);
            }
            TimerEvent::TaskEnd(task, host) => self.end_task(&task, &host),
            TimerEvent::PollReply(call, host) => self.reply_to_poll(call, &host),
            TimerEvent::CoreEvent(event) => self.step(*event),
        }
    }

    fn schedule(&mut self, delay: Duration, event: TimerEvent) {
        self.last_timer_id += 1;
        self.timers.push(Reverse((self.now + delay, self.last_timer_id)));
        self.timer_events.insert(self.last_timer_id, event);
    }

    /// Passes an event to the core, measures the time that it takes, and performs
    /// the actions that it returns.
    fn step(&mut self, event: Event) {
        let kind = event_kind(&event);
        let started = Instant::now();
        let actions = self.node.step(self.now, event);
        let spent = u64::try_from(started.elapsed().as_nanos()).unwrap_or(u64::MAX);
        self.core_time_ns += spent;
        self.step_times_ns.push(spent);
        let cost = self.cost_by_kind.entry(kind).or_default();
        cost.steps += 1;
        cost.spent_ns += spent;
        for action in actions {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Store { call, op } => {
                let reply = self.kv.call(op);
                self.deliver(Event::Store { call, reply });
            }
            Action::Worker { call, host, op, .. } => self.call_worker(call, &host, op),
            Action::Answer { token, answer } => self.handle_answer(token, answer),
            _ => {}
        }
    }

    /// Schedules an event for the present virtual time. The core gets it after the
    /// step that caused it.
    fn deliver(&mut self, event: Event) {
        self.schedule(Duration::ZERO, TimerEvent::CoreEvent(Box::new(event)));
    }

    fn handle_answer(&mut self, token: Token, answer: Answer) {
        match answer {
            Answer::Dispatch { host, launch, .. } => self.start_task(&host, *launch, Some(token)),
            Answer::Failed(_) => self.work_events.push(WorkEvent::Rejected { token }),
            _ => {}
        }
    }

    fn call_worker(&mut self, call: u64, host: &Name, op: Op) {
        match op {
            Op::Start { launch, .. } => {
                self.start_task(host, launch, None);
                self.deliver(Event::Worker { call, reply: Reply::Done });
            }
            Op::Stop { task, how } => {
                self.stop_task(host, &task, how);
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
                    worker.pending_poll = Some(call);
                    self.schedule(wait, TimerEvent::PollReply(call, host.clone()));
                } else {
                    self.schedule(Duration::ZERO, TimerEvent::PollReply(call, host.clone()));
                }
            }
        }
    }

    fn start_task(&mut self, host: &Name, launch: Launch, token: Option<Token>) {
        let task = launch.task.clone();
        let run_time = self.run_times.get(&task.job).copied().unwrap_or_default();
        self.starts += 1;
        self.work_events.push(WorkEvent::Started { job: task.job.clone(), at: self.now });
        let used = self.used_by_team.entry(launch.tag.team.clone()).or_default();
        *used = used.plus(&launch.tag.size);
        self.used_total = self.used_total.plus(&launch.tag.size);
        let started_at = self.now;
        if let Some(worker) = self.workers.get_mut(host) {
            worker.running.insert(task.clone(), Task { launch, token, started_at });
        }
        self.schedule(run_time, TimerEvent::TaskEnd(task, host.clone()));
    }

    fn stop_task(&mut self, host: &Name, task: &id::Task, _: StopMode) {
        let Some(found) = self.remove_task(host, task) else {
            return;
        };
        let ran = self.now - found.started_at;
        self.work_events.push(WorkEvent::Stopped { ran, size: found.launch.tag.size });
        self.add_finished(host, task, false);
    }

    fn end_task(&mut self, task: &id::Task, host: &Name) {
        let Some(found) = self.remove_task(host, task) else {
            return;
        };
        self.work_events.push(WorkEvent::Ended { job: task.job.clone() });
        match found.token {
            Some(token) => self.step(Event::Ended { token, ending: Ending::Finished }),
            None => self.add_finished(host, task, true),
        }
    }

    fn remove_task(&mut self, host: &Name, task: &id::Task) -> Option<Task> {
        let found = self.workers.get_mut(host)?.running.remove(task)?;
        let size = found.launch.tag.size;
        if let Some(used) = self.used_by_team.get_mut(&found.launch.tag.team) {
            *used = used.minus(&size);
        }
        self.used_total = self.used_total.minus(&size);
        Some(found)
    }

    /// Records the end of a task for the next report and answers a pending poll.
    fn add_finished(&mut self, host: &Name, task: &id::Task, is_success: bool) {
        let Some(worker) = self.workers.get_mut(host) else {
            return;
        };
        let is_stopped = !is_success;
        let finished = FinishedTask { task: task.clone(), is_success, is_stopped };
        worker.finished.insert(task.clone(), finished);
        if let Some(call) = worker.pending_poll.take() {
            self.reply_to_poll(call, host);
        }
    }

    fn reply_to_poll(&mut self, call: u64, host: &Name) {
        let Some(worker) = self.workers.get_mut(host) else {
            return;
        };
        worker.pending_poll = worker.pending_poll.filter(|waiting| *waiting != call);
        let listed = |(task, found): (&id::Task, &Task)| RunningTask {
            task: task.clone(),
            tag: found.launch.tag.clone(),
            used: found.launch.tag.size,
        };
        let report = Report {
            running: worker.running.iter().map(listed).collect(),
            finished: worker.finished.values().cloned().collect(),
        };
        if self.reports.is_multiple_of(REPORTS_PER_SIZE_SAMPLE) {
            let bytes = serde_json::to_vec(&report).unwrap_or_default().len();
            self.report_bytes += u64::try_from(bytes).unwrap_or(0) * REPORTS_PER_SIZE_SAMPLE;
        }
        self.reports += 1;
        self.step(Event::Worker { call, reply: Reply::Report(report) });
    }

    /// Returns the number of tasks and requests that wait.
    pub fn waiting_count(&self) -> u32 {
        self.node.view(self.now).shards.iter().map(|shard| shard.waiting).sum()
    }

    /// Returns the number of tasks and requests of a team that wait.
    pub fn team_waiting_count(&self, team: &str) -> u32 {
        self.node.waiting_of(team)
    }

    /// Returns the shards that the core owns.
    pub fn shards(&self) -> Vec<id::Shard> {
        self.node.view(self.now).shards.into_iter().map(|shard| shard.id).collect()
    }

    /// Returns the largest free CPU of a host with a free slot, in thousandths of
    /// a core. `capacity` is the capacity of every host.
    pub fn largest_free_cpu_millis(&self, capacity: &Resources) -> u32 {
        let free = |worker: &Worker| {
            let sizes = worker.running.values().map(|task| &task.launch.tag.size);
            let used = sizes.fold(Resources::default(), |sum, size| sum.plus(size));
            let free = capacity.minus(&used);
            if free.slots == 0 { 0 } else { free.cpu_millis }
        };
        self.workers.values().map(free).max().unwrap_or(0)
    }

    /// Returns how many writes to and reads from the store the core has made.
    pub fn store_calls(&self) -> (u64, u64) {
        (self.kv.writes, self.kv.reads)
    }
}

fn event_kind(event: &Event) -> &'static str {
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
