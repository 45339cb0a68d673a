//! Simulation of an owner with its log, workers and callers on one clock.
//!
//! All delays, losses and failures come from a seeded random source, so that a test
//! takes the same course each time.

mod former;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use sycamore_graph::catalog::{Catalog, Queue};
use sycamore_graph::job::{Id, Spec, State};
use sycamore_graph::{
    Action, Advise, Answer, CallLoad, DomainLoad, Ended, Engine, Event, ExpiredLease, HostEntry,
    HostLoss, LastCall, Moment, Poll, PreemptionTiming, Reading, Record, Recovered, Report, RunEnd,
    Start, StartOutcome, TaskId, Timing, Verdict, WaitReason, WaitingStep,
};
use sycamore_types::Name;

use crate::fixture::{QUEUE, TEAM, host};
use crate::oracle::{End, Oracle};
use crate::worker::{Work, Worker};

use former::Former;

/// Time by which the clock advances in each iteration, in milliseconds.
const TIME_STEP_MS: u64 = 5;

/// Time after which a run whose gang is incomplete gives up, in milliseconds.
const GANG_TIMEOUT_MS: u64 = 3_000;

/// Time for which a crashed worker is down, in milliseconds.
const RESTART_MS: u64 = 3_000;

/// Longest time from the end of a run until a poll shows it, for a worker in reach, in milliseconds: a
/// reply and the next request take up to 10 ms, and the log takes 10 ms to store ends before the next
/// poll.
const MAX_POLL_GAP_MS: u64 = 20;

/// Interval at which a worker writes its entry, in milliseconds: the platform's default.
const HEARTBEAT_MS: u64 = 1_500;

/// Time after which a write to a store that is away is tried again, in milliseconds.
const STORE_RETRY_MS: u64 = 100;

/// Wall clock at the start of the simulation, in milliseconds since 1970.
pub const START_UNIX_MS: u64 = 1_000_000;

fn reading(entry: &HostEntry, written_ms: u64, remaining_ms: u64) -> Reading {
    Reading { host: entry.id.clone(), incarnation: entry.incarnation, written_ms, remaining_ms }
}

/// A message or log write in flight.
#[derive(Clone, Debug)]
enum Delivery {
    Request { at: usize, epoch: u64, action: Action, is_lost: bool },
    Event { epoch: u64, event: Event },
    Commit { epoch: u64, records: u64 },
}

pub struct World {
    pub now_ms: u64,
    pub workers: Vec<Worker>,
    pub oracle: Oracle,
    pub epoch: u64,
    pub catalog: Catalog,
    /// Fraction of the start requests that arrive late and whose reply is lost.
    pub late_start_share: f64,
    /// Duration of each task, in milliseconds.
    pub work_ms: u64,
    /// Tasks take as long as they are declared to take.
    pub takes_estimate: bool,
    /// Fraction of the runs that fail.
    pub failure_share: f64,
    /// Fraction of the workers that the advice service allows.
    pub allowed_share: f64,
    /// Calls for advice that name one of these fail.
    pub rejected_hosts: Vec<Name>,
    pub advice_calls: u64,
    pub advised_hosts: u64,
    pub polls: u64,
    pub start_requests: u64,
    /// Time after which deadly tasks crash their worker, in milliseconds.
    pub crash_after_ms: u64,
    /// Time for which workers that begin to drain announce to go on, in milliseconds. Zero if they
    /// announce none.
    pub drain_ms: u64,
    /// Number of crashes that deadly tasks caused.
    pub crashes: u32,
    /// The store is away: no record becomes durable, and the list of workers is not read.
    pub is_store_away: bool,
    /// Neither the store nor the other processes confirm that the owner is the owner.
    pub is_unconfirmed: bool,
    /// Time at which the store last confirmed the owner, in milliseconds.
    store_confirmed_ms: u64,
    /// Runs that gave up waiting for the other members of their gang.
    pub gang_timeouts: u64,
    /// Number of runs that were stopped to give room to others.
    pub preemptions: u64,
    /// Number of runs that were stopped for gangs whose room they used.
    pub recalls: u64,
    /// The runs that were stopped to give room to others: worker, task and attempt.
    preempted: BTreeSet<(Name, TaskId, u32)>,
    /// Most CPU of such runs that had not ended yet, in thousandths of a core.
    pub most_reclaimed_cpu: u32,
    /// The best-effort runs that were stopped for steps with a latency objective: worker, task and
    /// attempt, in order.
    pub cleared: Vec<(Name, TaskId, u32)>,
    /// Time for which jobs waited whose place was decided by it, as recorded with their last start, in
    /// milliseconds.
    pub turn_waits_ms: BTreeMap<Id, u64>,
    /// Reservations that expired.
    pub unused_reservations: u64,
    /// Time at which each job was complete, in milliseconds.
    pub finished_ms: BTreeMap<Id, u64>,
    pub answers: BTreeMap<u64, Answer>,
    pub timing: Timing,
    /// Time from one dispatch pass to the next at least, in milliseconds. Without it, one follows each
    /// event.
    pub dispatch_interval_ms: u64,
    last_dispatch_ms: u64,
    /// Further entries of the list, which another writer has left.
    pub foreign_entries: Vec<HostEntry>,
    /// Entries of the last list that the engine received.
    listed: BTreeMap<Name, HostEntry>,
    /// Failure domains that are evacuated, which a new owner reads before it places tasks.
    evacuated: BTreeSet<Name>,
    /// Losses of workers that the engine has reported.
    pub losses: Vec<HostLoss>,
    /// Leases that the engine has reported as expired.
    pub expired_leases: Vec<ExpiredLease>,
    engine: Engine,
    /// A replaced owner that goes on.
    former: Option<Former>,
    /// The engine is that of the replaced owner at present.
    is_former_acting: bool,
    log: Vec<Record>,
    durable_records: usize,
    delivery_times: BinaryHeap<Reverse<(u64, u64)>>,
    deliveries: BTreeMap<u64, Delivery>,
    sequence: u64,
    last_token: u64,
    tickets: BTreeMap<Name, (Name, u64)>,
    submissions: BTreeMap<u64, Id>,
    /// The queue of each job.
    queues: BTreeMap<Id, Name>,
    /// Newest definition of each queue of this and earlier catalogs.
    definitions: BTreeMap<Name, Queue>,
    /// Time at which each run ended, by worker, task and attempt.
    ended_ms: BTreeMap<(Name, TaskId, u32), u64>,
    pub random: SmallRng,
}

impl World {
    pub fn new(hosts: usize, catalog: Catalog, seed: u64) -> World {
        let workers: Vec<Worker> = (0..hosts).map(|number| Worker::new(host(number))).collect();
        let timing = Timing::default();
        let moment = Moment { monotonic_ms: 0, unix_ms: START_UNIX_MS };
        let engine = Engine::new(moment, timing.clone(), catalog.clone(), Recovered::default());
        let mut oracle = Oracle::default();
        oracle.max_attempts = catalog.queues[QUEUE].max_attempts;
        oracle.set_limit(catalog.teams[TEAM].limit);
        let definitions = catalog.queues.clone();
        let mut world = World {
            now_ms: 0,
            workers,
            oracle,
            epoch: 1,
            catalog,
            late_start_share: 0.0,
            work_ms: 200,
            takes_estimate: false,
            failure_share: 0.0,
            allowed_share: 1.0,
            rejected_hosts: Vec::new(),
            advice_calls: 0,
            advised_hosts: 0,
            polls: 0,
            start_requests: 0,
            crash_after_ms: 10,
            drain_ms: 0,
            crashes: 0,
            is_store_away: false,
            is_unconfirmed: false,
            store_confirmed_ms: 0,
            gang_timeouts: 0,
            preemptions: 0,
            recalls: 0,
            preempted: BTreeSet::new(),
            most_reclaimed_cpu: 0,
            cleared: Vec::new(),
            turn_waits_ms: BTreeMap::new(),
            unused_reservations: 0,
            finished_ms: BTreeMap::new(),
            answers: BTreeMap::new(),
            timing,
            dispatch_interval_ms: 0,
            last_dispatch_ms: 0,
            foreign_entries: Vec::new(),
            listed: BTreeMap::new(),
            evacuated: BTreeSet::new(),
            losses: Vec::new(),
            expired_leases: Vec::new(),
            engine,
            former: None,
            is_former_acting: false,
            log: Vec::new(),
            durable_records: 0,
            delivery_times: BinaryHeap::new(),
            deliveries: BTreeMap::new(),
            sequence: 0,
            last_token: 0,
            tickets: BTreeMap::new(),
            submissions: BTreeMap::new(),
            queues: BTreeMap::new(),
            definitions,
            ended_ms: BTreeMap::new(),
            random: SmallRng::seed_from_u64(seed),
        };
        world.confirm_ownership();
        world.list_hosts();
        world.run(50);
        world
    }

    /// Turns preemption on, with workers that stop and resume runs within these times.
    pub fn enable_preemption(&mut self, timing: PreemptionTiming) {
        self.workers.iter_mut().for_each(|worker| worker.stop_ms = timing.stop_ms);
        self.timing.preemption = Some(timing);
        self.take_over();
        self.run(100);
    }

    /// Makes workers list at most so many run ends in a report. Owners know that from the next one on.
    pub fn limit_listed_ends(&mut self, ends: usize) {
        self.workers.iter_mut().for_each(|worker| worker.max_listed_ends = ends);
        self.timing.max_ends_per_report = ends;
        self.take_over();
        self.run(100);
    }

    /// Changes the configuration, and passes it to the engine.
    pub fn configure(&mut self, change: impl FnOnce(&mut Catalog)) {
        change(&mut self.catalog);
        self.catalog.version += 1;
        let queues = self.catalog.queues.iter();
        self.definitions.extend(queues.map(|(name, queue)| (name.clone(), queue.clone())));
        self.handle(Event::Configured(self.catalog.clone()));
    }

    /// Adds a worker and lists it.
    pub fn add_worker(&mut self, entry: HostEntry) {
        self.workers.push(Worker::new(entry));
        self.list_hosts();
    }

    fn moment(&self) -> Moment {
        Moment { monotonic_ms: self.now_ms, unix_ms: START_UNIX_MS + self.now_ms }
    }

    /// Passes the list of reachable workers to the engine.
    pub fn list_hosts(&mut self) {
        if self.is_store_away {
            return;
        }
        self.announce_drains();
        // The entry of a crashed worker outlives it.
        let is_listed = |worker: &&Worker| {
            (worker.is_alive || worker.back_ms.is_some()) && !worker.is_unreachable
        };
        let listed = self.workers.iter().filter(is_listed);
        let mut entries: Vec<HostEntry> = listed.map(|worker| worker.entry.clone()).collect();
        entries.extend(self.foreign_entries.iter().cloned());
        self.handle(Event::Listed(entries.clone()));
        self.listed = entries.iter().map(|entry| (entry.id.clone(), entry.clone())).collect();
        let readings = entries.iter().map(|entry| {
            let worker = self.workers.iter().find(|worker| worker.entry.id == entry.id);
            let remaining_ms = worker.map_or(0, |worker| worker.remaining_ms(self.now_ms));
            reading(entry, self.now_ms, remaining_ms)
        });
        self.handle(Event::Dated(readings.collect()));
    }

    /// Notes until when workers go on that have begun to drain.
    fn announce_drains(&mut self) {
        let until_ms = self.now_ms + self.drain_ms;
        for worker in &mut self.workers {
            let announced_ms = worker.serves_until_ms.unwrap_or(until_ms);
            worker.serves_until_ms = worker.entry.is_draining.then_some(announced_ms);
        }
    }

    /// Passes to the engine which workers have written the listed entries again at this time. An
    /// entry that has changed since is not dated, as the engine has the former one.
    fn write_entries(&mut self) {
        let is_due =
            |at: usize| (self.now_ms + at as u64 * TIME_STEP_MS).is_multiple_of(HEARTBEAT_MS);
        let is_current = |worker: &Worker| {
            let is_up = worker.is_alive && !worker.is_unreachable;
            is_up && self.listed.get(&worker.entry.id) == Some(&worker.entry)
        };
        let written = self.workers.iter().enumerate();
        let written = written.filter(|(at, worker)| is_due(*at) && is_current(worker));
        let now_ms = self.now_ms;
        let readings: Vec<Reading> = written
            .map(|(_, worker)| reading(&worker.entry, now_ms, worker.remaining_ms(now_ms)))
            .collect();
        if !readings.is_empty() {
            self.handle(Event::Dated(readings));
        }
    }

    pub fn submit(&mut self, job: Id, spec: Spec) -> u64 {
        self.submit_to(QUEUE, job, spec)
    }

    pub fn submit_to(&mut self, queue: &str, job: Id, spec: Spec) -> u64 {
        self.submit_as(TEAM, queue, job, spec)
    }

    pub fn submit_as(&mut self, team: &str, queue: &str, job: Id, spec: Spec) -> u64 {
        self.last_token += 1;
        let token = self.last_token;
        self.oracle.jobs.entry(job).or_insert_with(|| spec.clone());
        self.submissions.insert(token, job);
        let (queue, team) = (Name::from(queue), Name::from(team));
        self.queues.insert(job, queue.clone());
        self.handle(Event::Submit { token, job, queue, team, spec });
        token
    }

    pub fn cancel(&mut self, job: Id) -> u64 {
        self.last_token += 1;
        self.oracle.cancelled.insert(job);
        self.handle(Event::Cancel { token: self.last_token, job, team: Name::from(TEAM) });
        self.last_token
    }

    /// Queries the state of a job. `None` if the job is not known.
    pub fn state(&mut self, job: Id) -> Option<State> {
        self.last_token += 1;
        let token = self.last_token;
        self.handle(Event::Query { token, job, team: Name::from(TEAM) });
        match self.answers.get(&token) {
            Some(Answer::State(state)) => {
                let state = *state;
                self.oracle.check_state(job, state);
                Some(state)
            }
            _ => None,
        }
    }

    /// Replaces the owner. Records that were not durable are lost.
    pub fn take_over(&mut self) {
        self.take_over_unlisted();
        self.list_hosts();
    }

    /// Replaces the owner before it has read the list of workers.
    pub fn take_over_unlisted(&mut self) {
        self.replace_engine();
    }

    /// Replaces the engine by that of a successor, and returns the former one.
    fn replace_engine(&mut self) -> Engine {
        self.epoch += 1;
        self.log.truncate(self.durable_records);
        let mut recovered = Recovered::default();
        self.log.iter().cloned().for_each(|record| recovered.apply(record));
        let timing = self.timing.clone();
        let engine = Engine::new(self.moment(), timing, self.catalog.clone(), recovered);
        let former = std::mem::replace(&mut self.engine, engine);
        self.confirm_ownership();
        if !self.evacuated.is_empty() {
            self.handle(Event::Evacuating(self.evacuated.clone()));
        }
        former
    }

    /// Checks that a successor would judge each open job as the owner does. A job whose acceptance
    /// is not in the log yet would be unknown to both.
    pub fn assert_same_after_recovery(&self) {
        let mut recovered = Recovered::default();
        self.log.iter().cloned().for_each(|record| recovered.apply(record));
        let (timing, catalog) = (self.timing.clone(), self.catalog.clone());
        let successor = Engine::new(self.moment(), timing, catalog, recovered);
        let queues = (self.engine.queues_of_open_jobs(), successor.queues_of_open_jobs());
        let successor = successor.settled_jobs();
        for (job, settled) in self.engine.settled_jobs() {
            let found = successor.get(&job);
            assert_eq!(
                found,
                Some(&settled),
                "{job} differs for a successor at {} ms",
                self.now_ms
            );
        }
        assert_eq!(queues.1, queues.0, "queues differ for a successor at {} ms", self.now_ms);
    }

    /// Evacuates these failure domains and no others.
    pub fn evacuate(&mut self, domains: &[&str]) {
        self.evacuated = domains.iter().copied().map(Name::from).collect();
        self.handle(Event::Evacuating(self.evacuated.clone()));
    }

    /// Adds the end of a run to the log, as an owner does that is lost right afterwards. Makes all
    /// records durable.
    pub fn log_end(&mut self, task: TaskId, attempt: u32, how: RunEnd) {
        let checkpoint = Name::from("");
        self.log.push(Record::Ended(Ended { task, attempt, how, checkpoint }));
        self.durable_records = self.log.len();
    }

    /// Replaces the log by one snapshot of each job, host and queue, as log compaction does.
    pub fn compact(&mut self) {
        let names: Vec<Name> = self.definitions.keys().cloned().collect();
        let mut snapshots: Vec<Record> =
            names.iter().filter_map(|name| self.engine.queue_snapshot(name)).collect();
        for job in self.oracle.jobs.keys() {
            snapshots.extend(self.engine.job_records(*job));
        }
        for worker in &self.workers {
            snapshots.extend(self.engine.host_snapshot(&worker.entry.id));
        }
        self.log = snapshots;
        self.durable_records = self.log.len();
    }

    /// Returns the number of rows in the snapshot of a job in the log.
    pub fn snapshot_rows(&self, job: Id) -> usize {
        let snapshots = self.log.iter().filter_map(|record| match record {
            Record::Snapshot(snapshot) if snapshot.job == job => Some(snapshot.tasks.len()),
            _ => None,
        });
        snapshots.sum()
    }

    /// Returns the queues whose definitions are in the log.
    pub fn logged_queues(&self) -> BTreeSet<Name> {
        let name = |record: &Record| match record {
            Record::QueueDefined(defined) => Some(defined.name.clone()),
            _ => None,
        };
        self.log.iter().filter_map(name).collect()
    }

    /// Removes the definitions of queues from the log, which older builds don't write.
    pub fn drop_logged_queues(&mut self) {
        self.log.retain(|record| !matches!(record, Record::QueueDefined(_)));
        self.durable_records = self.log.len();
    }

    /// Removes the specifications of closed jobs from the log, which older builds don't write.
    pub fn drop_logged_specs_of_closed_jobs(&mut self) {
        let closed = self.logged_closed_jobs();
        self.log.retain(|record| !is_snapshot_of(record, &closed));
        self.durable_records = self.log.len();
    }

    /// Returns the number of closed jobs whose specification is in the log.
    pub fn logged_specs_of_closed_jobs(&self) -> usize {
        let closed = self.logged_closed_jobs();
        self.log.iter().filter(|record| is_snapshot_of(record, &closed)).count()
    }

    fn logged_closed_jobs(&self) -> BTreeSet<Id> {
        let closed = |record: &Record| match record {
            Record::Closed(closed) => Some(closed.job),
            _ => None,
        };
        self.log.iter().filter_map(closed).collect()
    }

    pub fn run(&mut self, ms: u64) {
        let until = self.now_ms + ms;
        while self.now_ms < until {
            self.now_ms += TIME_STEP_MS;
            self.advance_workers();
            self.crash_workers();
            while let Some(Reverse((at, key))) = self.delivery_times.peek().copied() {
                if at > self.now_ms {
                    break;
                }
                self.delivery_times.pop();
                if let Some(delivery) = self.deliveries.remove(&key) {
                    self.deliver(delivery);
                }
            }
            if !self.is_store_away {
                self.write_entries();
            }
            if self.now_ms.is_multiple_of(50) {
                self.confirm_ownership();
                self.handle(Event::Tick);
                self.handle_as_former(Event::Tick);
            }
            let actions = self.dispatch();
            self.assert_no_stale_result();
            self.execute(actions);
        }
    }

    /// Advances the runs on all workers, and ends those that are due or whose lease has
    /// expired.
    fn advance_workers(&mut self) {
        let now_ms = self.now_ms;
        for at in 0..self.workers.len() {
            let worker = &mut self.workers[at];
            if worker.is_hung {
                // A hung worker makes no progress, but its lease still expires.
                for run in worker.runs.values_mut() {
                    run.started_ms += TIME_STEP_MS;
                    run.until_ms += TIME_STEP_MS;
                }
            }
            let keys: Vec<(TaskId, u32)> = worker.runs.keys().copied().collect();
            for (task, attempt) in keys {
                let worker = &mut self.workers[at];
                let Some(run) = worker.runs.get(&(task, attempt)).cloned() else { continue };
                let how = if now_ms > worker.lease_until_ms {
                    RunEnd::LeaseExpired
                } else if run.stop_ms.is_some_and(|stop_ms| now_ms >= stop_ms) {
                    RunEnd::Stopped
                } else if self.is_gang(task) && !self.is_gang_complete(task, attempt) {
                    if now_ms - run.started_ms <= GANG_TIMEOUT_MS {
                        self.wait_for_members(at, task, attempt);
                        continue;
                    }
                    self.gang_timeouts += 1;
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
                self.finish_run(at, task, attempt, how);
            }
        }
    }

    fn finish_run(&mut self, at: usize, task: TaskId, attempt: u32, how: RunEnd) {
        if how == RunEnd::Failed {
            self.oracle.record_failed_run(task, attempt);
        }
        if self.is_gang(task) && matches!(how, RunEnd::Done | RunEnd::Failed) {
            let others = if how == RunEnd::Done { RunEnd::Done } else { RunEnd::GangBroken };
            for worker in 0..self.workers.len() {
                let of_gang: Vec<_> = self.workers[worker].runs.keys().copied().collect();
                for (member, number) in of_gang {
                    if member.step == task.step && number == attempt && member != task {
                        self.end_run(worker, member, number, others);
                    }
                }
            }
        }
        self.end_run(at, task, attempt, how);
        if how == RunEnd::Done {
            self.oracle.mark_done(task);
        }
    }

    /// Crashes the workers that have run a deadly task for long enough, and restarts those whose
    /// time has come.
    fn crash_workers(&mut self) {
        for at in 0..self.workers.len() {
            let worker = &mut self.workers[at];
            if worker.back_ms.is_some_and(|back_ms| self.now_ms >= back_ms) {
                worker.replace(self.now_ms);
                self.list_hosts();
                continue;
            }
            let is_due = |((task, _), run): (&(TaskId, u32), &crate::worker::Run)| {
                self.oracle.deadly.contains(task)
                    && self.now_ms >= run.started_ms + self.crash_after_ms
            };
            if worker.runs.iter().any(is_due) {
                self.crashes += 1;
                self.crash_worker(at, RESTART_MS);
            }
        }
    }

    /// Restarts a worker under its name, which nobody is told of.
    pub fn restart_worker(&mut self, at: usize) {
        self.workers[at].restart(self.now_ms);
    }

    /// Crashes a worker. It is back under another name after a time.
    pub fn crash_worker(&mut self, at: usize, restart_ms: u64) {
        self.workers[at].back_ms = Some(self.now_ms + restart_ms);
        self.record_crashes(at);
        self.stop_worker(at);
    }

    /// Records under which tasks a worker crashes now.
    pub fn record_crashes(&mut self, at: usize) {
        let worker = &self.workers[at];
        worker.runs.keys().for_each(|(task, _)| self.oracle.record_crash(*task));
        for (task, attempt) in worker.unlisted_ends() {
            let ended_ms = self.ended_ms[&(worker.entry.id.clone(), task, attempt)];
            let is_hidden = worker.ends.len() > worker.max_listed_ends;
            if is_hidden || self.now_ms <= ended_ms + MAX_POLL_GAP_MS {
                self.oracle.record_unclear_crash(task);
            }
        }
    }

    /// Ends a worker that leaves as planned, which is no crash. Another one has its address after a time.
    pub fn leave_worker(&mut self, at: usize, restart_ms: u64) {
        self.workers[at].back_ms = Some(self.now_ms + restart_ms);
        self.stop_worker(at);
    }

    /// Stops a worker for good. The other members of the gangs that it ran are broken off.
    pub fn lose_worker(&mut self, at: usize) {
        self.stop_worker(at);
        self.list_hosts();
    }

    fn stop_worker(&mut self, at: usize) {
        self.workers[at].is_alive = false;
        let lost = std::mem::take(&mut self.workers[at].runs);
        for (task, attempt) in lost.into_keys() {
            if !self.is_gang(task) {
                continue;
            }
            for worker in 0..self.workers.len() {
                let runs: Vec<_> = self.workers[worker].runs.keys().copied().collect();
                let of_gang = |(member, number): &(TaskId, u32)| {
                    member.step == task.step && *number == attempt
                };
                for (member, number) in runs.into_iter().filter(of_gang) {
                    self.end_run(worker, member, number, RunEnd::GangBroken);
                }
            }
        }
    }

    fn wait_for_members(&mut self, at: usize, task: TaskId, attempt: u32) {
        if let Some(run) = self.workers[at].runs.get_mut(&(task, attempt)) {
            run.is_waiting = true;
        }
    }

    fn end_run(&mut self, at: usize, task: TaskId, attempt: u32, how: RunEnd) {
        let worker = &mut self.workers[at];
        worker.end(self.now_ms, task, attempt, how);
        self.ended_ms.insert((worker.entry.id.clone(), task, attempt), self.now_ms);
    }

    fn is_gang(&self, task: TaskId) -> bool {
        self.oracle.jobs[&task.step.job].steps[usize::from(task.step.index)].is_gang
    }

    fn is_gang_complete(&self, task: TaskId, attempt: u32) -> bool {
        let tasks = self.oracle.jobs[&task.step.job].steps[usize::from(task.step.index)].tasks;
        let counted = self.workers.iter().filter(|worker| !worker.hides_members);
        let members = |worker: &Worker| {
            worker.runs.keys().filter(|(m, n)| m.step == task.step && *n == attempt).count()
        };
        counted.map(members).sum::<usize>() as u32 == tasks
    }

    fn dispatch(&mut self) -> Vec<Action> {
        if self.now_ms < self.last_dispatch_ms + self.dispatch_interval_ms {
            return Vec::new();
        }
        self.last_dispatch_ms = self.now_ms;
        self.engine.dispatch(self.moment())
    }

    pub fn handle(&mut self, event: Event) {
        let mut actions = self.engine.handle(self.moment(), event);
        self.assert_no_stale_result();
        actions.extend(self.dispatch());
        self.assert_no_stale_result();
        self.execute(actions);
    }

    /// Guards against a result that the engine keeps and doesn't update after a change.
    fn assert_no_stale_result(&self) {
        let stale = self.engine.stale_results();
        assert!(stale.is_empty(), "STALE at {} ms: {}", self.now_ms, stale.join(", "));
    }

    fn execute(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                // The store takes no records of a replaced owner.
                Action::Append(_) if self.is_former_acting => {}
                Action::Append(record) => {
                    self.log.push(record);
                    let records = self.engine.appended_records();
                    self.schedule(10, Delivery::Commit { epoch: self.epoch, records });
                }
                Action::Answer { token, answer } => {
                    if answer == Answer::Accepted {
                        self.oracle.accepted.insert(self.submissions[&token]);
                    }
                    self.answers.insert(token, answer);
                }
                Action::Advise(advise) => self.advise(advise),
                Action::Start(Start { ref host, .. }) => {
                    self.start_requests += 1;
                    let host = host.clone();
                    self.send(&host, action, self.late_start_share);
                }
                Action::Stop(ref stop) => {
                    let host = stop.host.clone();
                    self.send(&host, action, 0.0);
                }
                Action::Poll(ref poll) => {
                    self.polls += 1;
                    let host = poll.host.clone();
                    self.send(&host, action, 0.0);
                }
                Action::ReportLoss(loss) => self.losses.push(loss),
                Action::RecordDecision(decision) => self.check_decision(decision.verdict),
                Action::ReportUnusedReservation { .. } => self.unused_reservations += 1,
                Action::ReportRestriction(_) | Action::ReportTeamUse(_) | Action::Deposed => {}
                Action::ReportExpiredLease(lease) => self.expired_leases.push(lease),
            }
        }
    }

    /// Returns the CPU of the runs that were stopped to give room to others and have not ended yet.
    fn reclaimed_cpu(&self) -> u32 {
        let cpu = |(host, task, attempt): &(Name, TaskId, u32)| {
            let worker = self.workers.iter().find(|worker| worker.entry.id == *host)?;
            worker.runs.get(&(*task, *attempt)).map(|run| run.cpu_millis)
        };
        self.preempted.iter().filter_map(cpu).sum()
    }

    fn check_decision(&mut self, verdict: Verdict) {
        match verdict {
            Verdict::Preempted { task, attempt, host, beneficiary, .. }
                if self.oracle.step(task.step).is_best_effort =>
            {
                let has_objective = self.oracle.step(beneficiary).latency_objective_ms > 0;
                assert!(has_objective, "{beneficiary:?} clears {host} of {task:?}");
                self.oracle.check_clearing(task, &self.workers, &self.cleared);
                self.cleared.push((host, task, attempt));
            }
            Verdict::Preempted { task, attempt, host, beneficiary, .. } => {
                self.preemptions += 1;
                self.preempted.insert((host.clone(), task, attempt));
                self.most_reclaimed_cpu = self.most_reclaimed_cpu.max(self.reclaimed_cpu());
                let priority = |job: Id| self.definitions[&self.queues[&job]].priority;
                let (victim, other) = (priority(task.step.job), priority(beneficiary.job));
                assert!(other < victim, "{beneficiary:?} takes the room of {task:?} on {host}");
                self.oracle.check_preemption(task, self.epoch);
            }
            Verdict::Recalled { task, beneficiary, .. } => {
                self.recalls += 1;
                self.oracle.check_recall(task, beneficiary, self.epoch);
            }
            Verdict::Closed(job, State::Complete) => {
                self.finished_ms.entry(job).or_insert(self.now_ms);
            }
            Verdict::Placed { task, grounds, .. } => {
                if let Some(wait_ms) = grounds.turn_wait_ms {
                    self.turn_waits_ms.insert(task.step.job, wait_ms);
                }
            }
            _ => {}
        }
    }

    fn send(&mut self, host: &Name, action: Action, late_start_share: f64) {
        let had_name =
            |worker: &Worker| worker.entry.id == *host || worker.former_names.contains(host);
        let Some(at) = self.workers.iter().position(had_name) else {
            return;
        };
        let is_lost = self.random.random_bool(late_start_share);
        let delay = if is_lost {
            self.random.random_range(2_000..12_000)
        } else {
            self.random.random_range(0..4)
        };
        if is_lost {
            self.report_no_reply(self.epoch, &action, 500);
        }
        self.schedule(delay, Delivery::Request { at, epoch: self.epoch, action, is_lost });
    }

    fn schedule(&mut self, delay_ms: u64, delivery: Delivery) {
        self.sequence += 1;
        self.delivery_times.push(Reverse((self.now_ms + delay_ms, self.sequence)));
        self.deliveries.insert(self.sequence, delivery);
    }

    fn advise(&mut self, advise: Advise) {
        self.advice_calls += 1;
        self.advised_hosts += advise.hosts.len() as u64;
        let expires_ms = self.now_ms + advise.cost_ms as u64 + 1_500;
        let mut allowed = Vec::new();
        for name in &advise.hosts {
            if is_allowed(advise.step.job, name, self.allowed_share) {
                let ticket = Name::from(format!("{name}-{expires_ms}"));
                self.tickets.insert(ticket.clone(), (name.clone(), expires_ms));
                allowed.push((name.clone(), ticket));
            }
        }
        let Advise { step, class, hosts: asked, cost_ms, .. } = advise;
        let issued_ms = self.now_ms + cost_ms as u64;
        let is_rejected = asked.iter().any(|name| self.rejected_hosts.contains(name));
        let allowed = (!is_rejected).then_some(allowed);
        let event = Event::Advised { step, class, asked, allowed, issued_ms };
        self.schedule(cost_ms as u64, Delivery::Event { epoch: self.epoch, event });
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Event { epoch, event } if epoch == self.epoch => self.handle(event),
            Delivery::Event { epoch, event } if self.is_former(epoch) => {
                self.handle_as_former(event);
            }
            Delivery::Commit { .. } if self.is_store_away => {
                self.schedule(STORE_RETRY_MS, delivery);
            }
            Delivery::Commit { epoch, records } if epoch == self.epoch => {
                // Records of this epoch are the last ones of the log.
                let pending = self.engine.appended_records() - records;
                self.durable_records = self.durable_records.max(self.log.len() - pending as usize);
                self.handle(Event::Committed(records));
            }
            Delivery::Request { at, epoch, action, is_lost } => {
                self.deliver_request(at, epoch, action, is_lost)
            }
            _ => {}
        }
    }

    fn deliver_request(&mut self, at: usize, epoch: u64, action: Action, is_lost: bool) {
        let worker = &self.workers[at];
        let is_long_poll = matches!(&action, Action::Poll(poll) if poll.wait_ms > 0);
        let is_reset = worker.resets_connections && !matches!(&action, Action::Poll(_));
        let is_dropped = worker.loses_long_polls && is_long_poll || is_reset;
        let is_former = self.is_former(epoch);
        let is_cut = if is_former { !worker.hears_former } else { worker.is_unreachable };
        if !worker.is_alive || is_cut || is_dropped {
            if !is_lost && (is_former || epoch == self.epoch) {
                // A process that is gone refuses connections; a cut swallows them.
                let after_ms = if worker.back_ms.is_some() || is_reset { 1 } else { 500 };
                self.report_no_reply(epoch, &action, after_ms);
            }
            return;
        }
        if is_former && epoch < worker.fence {
            // The first worker that has heard the successor ends the replaced owner.
            self.end_former();
            return;
        }
        if let Some(event) = reply_of_successor(&action, &worker.entry.id) {
            self.schedule(1, Delivery::Event { epoch, event });
            return;
        }
        let reply = match &action {
            Action::Start(start) => self.start(at, epoch, start),
            Action::Stop(stop) => {
                let now_ms = self.now_ms;
                let is_accepted = self.workers[at].stop(now_ms, epoch, stop);
                let name = self.workers[at].entry.id.clone();
                self.ended_ms.entry((name, stop.task, stop.attempt)).or_insert(self.now_ms);
                if self.workers[at].loses_stop_replies {
                    self.report_no_reply(epoch, &action, 500);
                    return;
                }
                let (host, task, attempt) = (stop.host.clone(), stop.task, stop.attempt);
                Event::Stopped { host, task, attempt, is_accepted }
            }
            Action::Poll(poll) => match self.poll(at, epoch, poll) {
                Some(report) => {
                    Event::Polled { host: poll.host.clone(), poll: poll.number, report }
                }
                None => return,
            },
            _ => return,
        };
        if !is_lost {
            self.schedule(1, Delivery::Event { epoch, event: reply });
        }
    }

    /// Returns the reply of a worker to a poll, after the oracle has checked which run ends
    /// the poll lets it drop.
    fn poll(&mut self, at: usize, epoch: u64, poll: &Poll) -> Option<Report> {
        let worker = &mut self.workers[at];
        if epoch >= worker.fence {
            for (seq, task, attempt, how, _) in worker.ends.clone() {
                if seq <= poll.ack {
                    let at_ms = self.ended_ms[&(worker.entry.id.clone(), task, attempt)];
                    let is_expired = self.now_ms > worker.lease_until_ms;
                    let end = End { task, attempt, how, at_ms };
                    self.oracle.check_acknowledgement(
                        &end,
                        worker.expired_lease_ms >= at_ms || is_expired,
                    );
                }
            }
        }
        worker.poll(self.now_ms, epoch, poll)
    }

    fn start(&mut self, at: usize, epoch: u64, start: &Start) -> Event {
        let (host, task, attempt) = (start.host.clone(), start.task, start.attempt);
        let spec = self.oracle.jobs[&task.step.job].steps[usize::from(task.step.index)].clone();
        let will_fail = self.random.random_bool(self.failure_share);
        let preemption = self.timing.preemption.as_ref().filter(|_| spec.is_checkpointing);
        let work = Work {
            cpu_millis: spec.footprint().cpu_millis,
            work_ms: if self.takes_estimate { spec.estimate_ms } else { self.work_ms },
            will_fail,
            restore_ms: preemption.map_or(0, |timing| timing.restore_ms),
            checkpoint_ms: preemption.map_or(0, |timing| timing.checkpoint_ms),
            is_service: spec.is_service,
        };
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
            self.workers[at].starts += 1;
            self.oracle.check_start(self.now_ms, task, at, &self.workers);
        }
        let clock_ms = self.workers[at].clock_ms(self.now_ms);
        Event::Started { host, task, attempt, outcome, clock_ms }
    }

    /// Reports to the engine, after a delay, that a request got no reply.
    fn report_no_reply(&mut self, epoch: u64, action: &Action, after_ms: u64) {
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
            Action::Poll(poll) => {
                Event::PollFailed { host: poll.host.clone(), poll: poll.number, is_gone: false }
            }
            _ => return,
        };
        self.schedule(after_ms, Delivery::Event { epoch, event });
    }

    /// Tells the engine that it is still the owner, unless nobody can tell.
    fn confirm_ownership(&mut self) {
        if self.is_unconfirmed {
            return;
        }
        if !self.is_store_away {
            self.store_confirmed_ms = self.now_ms;
        }
        let (at_ms, by_store_ms) = (self.now_ms, self.store_confirmed_ms);
        self.handle(Event::Confirmed { at_ms, by_store_ms });
    }

    /// Returns the number of workers that the engine uses only if no other has room.
    pub fn avoided_hosts(&self) -> usize {
        self.engine.avoided_hosts()
    }

    /// Returns the number of runs on workers that are alive.
    pub fn running(&self) -> usize {
        let up = self.workers.iter().filter(|worker| worker.is_alive);
        up.map(|worker| worker.runs.len()).sum()
    }
}

fn is_snapshot_of(record: &Record, jobs: &BTreeSet<Id>) -> bool {
    matches!(record, Record::Snapshot(snapshot) if jobs.contains(&snapshot.job))
}

/// Returns the reply to a request that was meant for an earlier incarnation at the address of a
/// worker. `None` if it was meant for this one.
fn reply_of_successor(action: &Action, name: &Name) -> Option<Event> {
    match action {
        Action::Start(start) if start.host != *name => Some(Event::Started {
            host: start.host.clone(),
            task: start.task,
            attempt: start.attempt,
            outcome: StartOutcome::Gone,
            clock_ms: 0,
        }),
        Action::Stop(stop) if stop.host != *name => Some(Event::Stopped {
            host: stop.host.clone(),
            task: stop.task,
            attempt: stop.attempt,
            is_accepted: false,
        }),
        Action::Poll(poll) if poll.host != *name => {
            Some(Event::PollFailed { host: poll.host.clone(), poll: poll.number, is_gone: true })
        }
        _ => None,
    }
}

/// Returns whether advice allows a worker for the steps of a job: the same answer for each
/// call.
fn is_allowed(job: Id, name: &Name, share: f64) -> bool {
    let mixed = name.bytes().fold(job.0.wrapping_mul(0x9E37_79B9_7F4A_7C15), |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01B3)
    });
    ((mixed >> 16) % 1_000) as f64 / 1_000.0 < share
}

impl World {
    fn is_advised(&self, job: Id) -> bool {
        self.definitions[&self.queues[&job]].advice.is_some()
    }

    /// Returns whether advice allows a worker for the steps of a job.
    pub fn is_allowed(&self, job: Id, name: &Name) -> bool {
        is_allowed(job, name, self.allowed_share)
    }

    /// Returns whether a job could run if it had all workers for itself.
    pub fn is_feasible(&self, job: Id) -> bool {
        let is_advised = self.is_advised(job);
        self.oracle.jobs[&job].steps.iter().all(|step| {
            let slots = |worker: &Worker| {
                let is_open = !is_advised || is_allowed(job, &worker.entry.id, self.allowed_share);
                let most = if step.max_per_host > 0 { step.max_per_host } else { u32::MAX };
                let fitting = worker.entry.capacity.cpu_millis / step.size.cpu_millis;
                if is_open { fitting.min(most) } else { 0 }
            };
            let total: u32 = self.workers.iter().map(slots).sum();
            total >= if step.is_gang { step.tasks } else { 1 }
        })
    }
}

impl World {
    /// Returns the hosts of an earlier owner that the engine waits for, each with the time left of its
    /// lease in milliseconds.
    pub fn awaited_hosts(&self) -> Vec<(Name, u64)> {
        self.engine.awaited_hosts()
    }

    /// Returns whether the engine may not know all runs of an earlier owner.
    pub fn is_recovering(&self) -> bool {
        self.engine.is_recovering()
    }

    /// Returns the steps that wait, in no particular order.
    pub fn waits(&self) -> Vec<WaitingStep> {
        self.engine.long_waits(0)
    }

    /// Returns why steps wait, in no particular order.
    pub fn wait_reasons(&self) -> Vec<WaitReason> {
        self.engine.long_waits(0).iter().map(|wait| wait.reason).collect()
    }

    /// Returns the call for advice of each waiting step that ended last.
    pub fn last_calls(&self) -> Vec<Option<LastCall>> {
        self.engine.long_waits(0).iter().map(|wait| wait.last_call).collect()
    }

    /// Returns the calls for advice in flight, and the steps that wait for one.
    pub fn call_load(&self) -> CallLoad {
        self.engine.call_load()
    }

    /// Returns what the engine knows of the workers in a failure domain.
    pub fn domain_load(&self, domain: &str) -> DomainLoad {
        self.engine.domain_load(domain)
    }

    pub fn job_bytes(&self) -> usize {
        self.engine.job_bytes()
    }

    /// Describes what is settled about a job (see [`Engine::settled_jobs`]).
    pub fn settled(&self, job: Id) -> String {
        self.engine.settled_jobs().remove(&job).unwrap_or_default()
    }

    /// Describes why steps wait, for assertion messages.
    pub fn describe_waits(&self) -> String {
        format!("{:?}", self.engine.long_waits(0))
    }
}
