//! An owner, its log, its workers and callers on one simulated clock.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use sycamore_graph::catalog::Catalog;
use sycamore_graph::job::{Id, Spec, State};
use sycamore_graph::{
    Action, Advise, Answer, Engine, Event, HostEntry, Moment, Poll, Record, Recovered, Report,
    RunEnd, Start, StartOutcome, TaskId, Timing,
};
use sycamore_types::Name;

use crate::fixture::{QUEUE, TEAM, host};
use crate::oracle::{End, Oracle};
use crate::worker::{Work, Worker};

/// Time between two steps of the world, in milliseconds.
const STEP_MS: u64 = 5;

/// Time a gang waits for its members, in milliseconds.
const GANG_MS: u64 = 3_000;

/// Time of day at the beginning, in milliseconds since 1970.
const EPOCH_MS: u64 = 1_000_000;

/// Something under way.
#[derive(Clone, Debug)]
enum Due {
    Order { at: usize, epoch: u64, action: Action, is_lost: bool },
    Event { epoch: u64, event: Event },
    Commit { epoch: u64, records: u64 },
}

pub struct World {
    pub now_ms: u64,
    pub workers: Vec<Worker>,
    pub oracle: Oracle,
    pub epoch: u64,
    pub catalog: Catalog,
    /// Part of the start orders that get no answer and are carried out late.
    pub late_share: f64,
    /// Time of each task's work, in milliseconds.
    pub work_ms: u64,
    /// Part of the runs that fail.
    pub fail_share: f64,
    /// Part of the workers that advice allows.
    pub allow_share: f64,
    pub advice_calls: u64,
    pub advised_hosts: u64,
    pub looks: u64,
    /// Members that ended alone.
    pub alone: u64,
    pub answers: BTreeMap<u64, Answer>,
    pub timing: Timing,
    engine: Engine,
    log: Vec<Record>,
    durable: usize,
    due: BinaryHeap<Reverse<(u64, u64)>>,
    waiting: BTreeMap<u64, Due>,
    sequence: u64,
    tokens: u64,
    tickets: BTreeMap<Name, (Name, u64)>,
    asked: BTreeMap<u64, Id>,
    /// The queue of each job.
    queues: BTreeMap<Id, Name>,
    /// Time at which a run on a worker ended.
    ended_ms: BTreeMap<(Name, TaskId, u32), u64>,
    pub random: SmallRng,
}

impl World {
    pub fn new(hosts: usize, catalog: Catalog, seed: u64) -> World {
        let workers: Vec<Worker> = (0..hosts).map(|number| Worker::new(host(number))).collect();
        let timing = Timing::default();
        let moment = Moment { monotonic_ms: 0, unix_ms: EPOCH_MS };
        let engine = Engine::new(moment, timing.clone(), catalog.clone(), Recovered::default());
        let mut oracle = Oracle::default();
        oracle.max_attempts = catalog.queues[QUEUE].max_attempts;
        oracle.limit(catalog.teams[TEAM].limit);
        let mut world = World {
            now_ms: 0,
            workers,
            oracle,
            epoch: 1,
            catalog,
            late_share: 0.0,
            work_ms: 200,
            fail_share: 0.0,
            allow_share: 1.0,
            advice_calls: 0,
            advised_hosts: 0,
            looks: 0,
            alone: 0,
            answers: BTreeMap::new(),
            timing,
            engine,
            log: Vec::new(),
            durable: 0,
            due: BinaryHeap::new(),
            waiting: BTreeMap::new(),
            sequence: 0,
            tokens: 0,
            tickets: BTreeMap::new(),
            asked: BTreeMap::new(),
            queues: BTreeMap::new(),
            ended_ms: BTreeMap::new(),
            random: SmallRng::seed_from_u64(seed),
        };
        world.list();
        world.run(50);
        world
    }

    /// Adds a worker.
    pub fn join(&mut self, entry: HostEntry) {
        self.workers.push(Worker::new(entry));
        self.list();
    }

    fn moment(&self) -> Moment {
        Moment { monotonic_ms: self.now_ms, unix_ms: EPOCH_MS + self.now_ms }
    }

    /// Tells the engine which workers the platform lists.
    pub fn list(&mut self) {
        let listed = self.workers.iter().filter(|worker| worker.is_alive && !worker.is_cut);
        let entries: Vec<HostEntry> = listed.map(|worker| worker.entry.clone()).collect();
        self.give(Event::Listed(entries));
    }

    pub fn submit(&mut self, job: Id, spec: Spec) -> u64 {
        self.submit_to(QUEUE, job, spec)
    }

    pub fn submit_to(&mut self, queue: &str, job: Id, spec: Spec) -> u64 {
        self.tokens += 1;
        let token = self.tokens;
        self.oracle.jobs.entry(job).or_insert_with(|| spec.clone());
        self.asked.insert(token, job);
        let (queue, team) = (Name::from(queue), Name::from(TEAM));
        self.queues.insert(job, queue.clone());
        self.give(Event::Submit { token, job, queue, team, spec });
        token
    }

    pub fn cancel(&mut self, job: Id) -> u64 {
        self.tokens += 1;
        self.oracle.cancelled.insert(job);
        self.give(Event::Cancel { token: self.tokens, job, team: Name::from(TEAM) });
        self.tokens
    }

    /// Asks for a job's state. `None` when it is not known.
    pub fn state(&mut self, job: Id) -> Option<State> {
        self.tokens += 1;
        let token = self.tokens;
        self.give(Event::Query { token, job, team: Name::from(TEAM) });
        match self.answers.get(&token) {
            Some(Answer::State(state)) => {
                let state = *state;
                self.oracle.show(job, state);
                Some(state)
            }
            _ => None,
        }
    }

    /// Replaces the owner. What was not durable is gone.
    pub fn take_over(&mut self) {
        self.take_over_unlisted();
        self.list();
    }

    /// Replaces the owner before it has read the list of workers.
    pub fn take_over_unlisted(&mut self) {
        self.epoch += 1;
        self.log.truncate(self.durable);
        let mut recovered = Recovered::default();
        self.log.iter().cloned().for_each(|record| recovered.apply(record));
        let timing = self.timing.clone();
        self.engine = Engine::new(self.moment(), timing, self.catalog.clone(), recovered);
    }

    /// Replaces the log by one image of each job, as the compaction of the log does.
    pub fn compact(&mut self) {
        let mut images = Vec::new();
        for job in self.oracle.jobs.keys() {
            images.extend(self.engine.job_snapshot(*job));
        }
        for worker in &self.workers {
            images.extend(self.engine.host_snapshot(&worker.entry.id));
        }
        self.log = images;
        self.durable = self.log.len();
    }

    pub fn run(&mut self, ms: u64) {
        let until = self.now_ms + ms;
        while self.now_ms < until {
            self.now_ms += STEP_MS;
            self.work();
            while let Some(Reverse((at, key))) = self.due.peek().copied() {
                if at > self.now_ms {
                    break;
                }
                self.due.pop();
                if let Some(due) = self.waiting.remove(&key) {
                    self.carry_out(due);
                }
            }
            if self.now_ms.is_multiple_of(50) {
                self.give(Event::Tick);
            }
            let actions = self.engine.dispatch(self.moment());
            self.take(actions);
        }
    }

    /// Lets the workers work, and ends leases that have run out.
    fn work(&mut self) {
        let now_ms = self.now_ms;
        for at in 0..self.workers.len() {
            let worker = &mut self.workers[at];
            if worker.is_hung {
                // Time stands still for what runs, not for leases.
                for run in worker.runs.values_mut() {
                    run.started_ms += STEP_MS;
                    run.until_ms += STEP_MS;
                }
            }
            let keys: Vec<(TaskId, u32)> = worker.runs.keys().copied().collect();
            for (task, attempt) in keys {
                let worker = &mut self.workers[at];
                let Some(run) = worker.runs.get(&(task, attempt)).cloned() else { continue };
                let how = if now_ms > worker.lease_until_ms {
                    RunEnd::LeaseExpired
                } else if self.is_gang(task) && !self.is_gang_whole(task, attempt) {
                    if now_ms - run.started_ms <= GANG_MS {
                        self.wait_for_members(at, task, attempt);
                        continue;
                    }
                    self.alone += 1;
                    RunEnd::GangTimedOut
                } else if now_ms < run.until_ms {
                    if let Some(run) = self.workers[at].runs.get_mut(&(task, attempt)) {
                        run.is_waiting = false;
                    }
                    continue;
                } else if run.will_fail {
                    RunEnd::Failed
                } else {
                    RunEnd::Done
                };
                self.end(at, task, attempt, how);
            }
        }
    }

    fn end(&mut self, at: usize, task: TaskId, attempt: u32, how: RunEnd) {
        if self.is_gang(task) && matches!(how, RunEnd::Done | RunEnd::Failed) {
            let others = if how == RunEnd::Done { RunEnd::Done } else { RunEnd::GangBroken };
            for worker in 0..self.workers.len() {
                let of_gang: Vec<_> = self.workers[worker].runs.keys().copied().collect();
                for (member, number) in of_gang {
                    if member.step == task.step && number == attempt && member != task {
                        self.list_end(worker, member, number, others);
                    }
                }
            }
        }
        self.list_end(at, task, attempt, how);
        if how == RunEnd::Done {
            self.oracle.done(task);
        }
    }

    fn wait_for_members(&mut self, at: usize, task: TaskId, attempt: u32) {
        if let Some(run) = self.workers[at].runs.get_mut(&(task, attempt)) {
            run.is_waiting = true;
        }
    }

    fn list_end(&mut self, at: usize, task: TaskId, attempt: u32, how: RunEnd) {
        let worker = &mut self.workers[at];
        worker.end(task, attempt, how);
        self.ended_ms.insert((worker.entry.id.clone(), task, attempt), self.now_ms);
    }

    fn is_gang(&self, task: TaskId) -> bool {
        self.oracle.jobs[&task.step.job].steps[usize::from(task.step.index)].is_gang
    }

    fn is_gang_whole(&self, task: TaskId, attempt: u32) -> bool {
        let tasks = self.oracle.jobs[&task.step.job].steps[usize::from(task.step.index)].tasks;
        let counted = self.workers.iter().filter(|worker| !worker.hides_members);
        let members = |worker: &Worker| {
            worker.runs.keys().filter(|(m, n)| m.step == task.step && *n == attempt).count()
        };
        counted.map(members).sum::<usize>() as u32 == tasks
    }

    pub fn give(&mut self, event: Event) {
        let mut actions = self.engine.handle(self.moment(), event);
        actions.extend(self.engine.dispatch(self.moment()));
        self.take(actions);
    }

    fn take(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Append(record) => {
                    self.log.push(record);
                    let records = self.engine.appended();
                    self.later(10, Due::Commit { epoch: self.epoch, records });
                }
                Action::Answer { token, answer } => {
                    if answer == Answer::Accepted {
                        self.oracle.accepted.insert(self.asked[&token]);
                    }
                    self.answers.insert(token, answer);
                }
                Action::Advise(advise) => self.advise(advise),
                Action::Start(Start { ref host, .. }) => {
                    let host = host.clone();
                    self.send(&host, action, self.late_share);
                }
                Action::Stop(ref stop) => {
                    let host = stop.host.clone();
                    self.send(&host, action, 0.0);
                }
                Action::Poll(ref hold) => {
                    self.looks += 1;
                    let host = hold.host.clone();
                    self.send(&host, action, 0.0);
                }
                Action::RecordDecision(_) | Action::Deposed => {}
            }
        }
    }

    fn send(&mut self, host: &Name, action: Action, late_share: f64) {
        let Some(at) = self.workers.iter().position(|worker| worker.entry.id == *host) else {
            return;
        };
        let is_lost = self.random.random_bool(late_share);
        let delay = if is_lost {
            self.random.random_range(2_000..6_000)
        } else {
            self.random.random_range(0..4)
        };
        if is_lost {
            self.leave_unanswered(&action, 500);
        }
        self.later(delay, Due::Order { at, epoch: self.epoch, action, is_lost });
    }

    fn later(&mut self, delay_ms: u64, due: Due) {
        self.sequence += 1;
        self.due.push(Reverse((self.now_ms + delay_ms, self.sequence)));
        self.waiting.insert(self.sequence, due);
    }

    fn advise(&mut self, advise: Advise) {
        self.advice_calls += 1;
        self.advised_hosts += advise.hosts.len() as u64;
        let expires_ms = self.now_ms + advise.cost_ms as u64 + 1_500;
        let mut allowed = Vec::new();
        for name in &advise.hosts {
            if is_allowed(advise.step.job, name, self.allow_share) {
                let ticket = Name::from(format!("{name}-{expires_ms}"));
                self.tickets.insert(ticket.clone(), (name.clone(), expires_ms));
                allowed.push((name.clone(), ticket));
            }
        }
        let Advise { step, class, hosts: asked, cost_ms } = advise;
        let event = Event::Advised { step, class, asked, allowed: Some(allowed), age_ms: 0 };
        self.later(cost_ms as u64, Due::Event { epoch: self.epoch, event });
    }

    fn carry_out(&mut self, due: Due) {
        match due {
            Due::Event { epoch, event } if epoch == self.epoch => self.give(event),
            Due::Commit { epoch, records } if epoch == self.epoch => {
                // Records of this epoch are the last ones of the log.
                let pending = self.engine.appended() - records;
                self.durable = self.durable.max(self.log.len() - pending as usize);
                self.give(Event::Committed(records));
            }
            Due::Order { at, epoch, action, is_lost } => self.order(at, epoch, action, is_lost),
            _ => {}
        }
    }

    fn order(&mut self, at: usize, epoch: u64, action: Action, is_lost: bool) {
        let worker = &self.workers[at];
        if !worker.is_alive || worker.is_cut {
            if !is_lost && epoch == self.epoch {
                self.leave_unanswered(&action, 500);
            }
            return;
        }
        let answer = match &action {
            Action::Start(start) => self.start(at, epoch, start),
            Action::Stop(stop) => {
                let is_taken = self.workers[at].stop(epoch, stop);
                let name = self.workers[at].entry.id.clone();
                self.ended_ms.entry((name, stop.task, stop.attempt)).or_insert(self.now_ms);
                let (host, task, attempt) = (stop.host.clone(), stop.task, stop.attempt);
                Event::Stopped { host, task, attempt, is_accepted: is_taken }
            }
            Action::Poll(hold) => match self.hold(at, epoch, hold) {
                Some(report) => {
                    Event::Polled { host: hold.host.clone(), poll: hold.number, report }
                }
                None => return,
            },
            _ => return,
        };
        if !is_lost {
            self.later(1, Due::Event { epoch, event: answer });
        }
    }

    /// Lets a worker answer a look, and judges what it may forget.
    fn hold(&mut self, at: usize, epoch: u64, hold: &Poll) -> Option<Report> {
        let worker = &mut self.workers[at];
        if epoch >= worker.fence {
            for (seq, task, attempt, how, _) in worker.ends.clone() {
                if seq <= hold.ack {
                    let at_ms = self.ended_ms[&(worker.entry.id.clone(), task, attempt)];
                    let is_over = self.now_ms > worker.lease_until_ms;
                    let end = End { task, attempt, how, at_ms };
                    self.oracle.acknowledged(&end, worker.lapsed_ms >= at_ms || is_over);
                }
            }
        }
        worker.hold(self.now_ms, epoch, hold)
    }

    fn start(&mut self, at: usize, epoch: u64, start: &Start) -> Event {
        let (host, task, attempt) = (start.host.clone(), start.task, start.attempt);
        let spec = self.oracle.jobs[&task.step.job].steps[usize::from(task.step.index)].clone();
        let will_fail = self.random.random_bool(self.fail_share);
        let work =
            Work { cpu_millis: spec.footprint().cpu_millis, work_ms: self.work_ms, will_fail };
        let has_ticket =
            !self.is_advised(task.step.job)
                || start.ticket.as_ref().and_then(|ticket| self.tickets.get(ticket)).is_some_and(
                    |(name, expires_ms)| *name == start.host && *expires_ms > self.now_ms,
                );
        let was_there = self.workers[at].runs.contains_key(&(task, attempt));
        let outcome = if has_ticket {
            self.workers[at].start(self.now_ms, epoch, start, work)
        } else {
            StartOutcome::BadTicket
        };
        if outcome == StartOutcome::Started && !was_there {
            self.oracle.started(self.now_ms, task, at, &self.workers);
        }
        Event::Started { host, task, attempt, outcome, clock_ms: self.now_ms }
    }

    /// Lets an order go unanswered after a while.
    fn leave_unanswered(&mut self, action: &Action, after_ms: u64) {
        let event = match action {
            Action::Start(start) => Event::Started {
                host: start.host.clone(),
                task: start.task,
                attempt: start.attempt,
                outcome: StartOutcome::Unknown,
                clock_ms: 0,
            },
            Action::Stop(stop) => Event::Stopped {
                host: stop.host.clone(),
                task: stop.task,
                attempt: stop.attempt,
                is_accepted: false,
            },
            Action::Poll(hold) => {
                Event::PollFailed { host: hold.host.clone(), poll: hold.number, is_gone: false }
            }
            _ => return,
        };
        self.later(after_ms, Due::Event { epoch: self.epoch, event });
    }

    /// Number of runs on workers that are up.
    pub fn running(&self) -> usize {
        let up = self.workers.iter().filter(|worker| worker.is_alive);
        up.map(|worker| worker.runs.len()).sum()
    }
}

/// Whether advice allows a worker for the steps of a job: the same answer each time.
fn is_allowed(job: Id, name: &Name, share: f64) -> bool {
    let mixed = name.bytes().fold(job.0.wrapping_mul(0x9E37_79B9_7F4A_7C15), |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01B3)
    });
    ((mixed >> 16) % 1_000) as f64 / 1_000.0 < share
}

impl World {
    fn is_advised(&self, job: Id) -> bool {
        self.catalog.queues[&self.queues[&job]].advice.is_some()
    }

    /// Tells whether a job could run if it had all workers for itself.
    pub fn is_feasible(&self, job: Id) -> bool {
        let is_advised = self.is_advised(job);
        self.oracle.jobs[&job].steps.iter().all(|step| {
            let slots = |worker: &Worker| {
                let is_open = !is_advised || is_allowed(job, &worker.entry.id, self.allow_share);
                if is_open { worker.entry.capacity.cpu_millis / step.size.cpu_millis } else { 0 }
            };
            let total: u32 = self.workers.iter().map(slots).sum();
            total >= if step.is_gang { step.tasks } else { 1 }
        })
    }
}

impl World {
    /// Says why steps wait, for messages of failed checks.
    pub fn waits(&self) -> String {
        format!("{:?}", self.engine.long_waits(0))
    }
}
