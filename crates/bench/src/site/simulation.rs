//! The engine with simulated workers, callers and advice service on a virtual clock.
//!
//! Nothing fails here. The time that the engine really takes is multiplied by a factor for a
//! slow host and decides when the next dispatch pass may start, as on the control thread.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use sycamore_graph::job::{Id, State};
use sycamore_graph::{
    Action, Engine, Event, HostEntry, Moment, Poll, Reading, Recovered, Report, RunEnd,
    StartOutcome, TaskId, Timing, Verdict,
};
use sycamore_types::Name;
use sycamore_types::resources::Resources;

use super::workload::{Draft, KINDS, SERVICE, catalog, draft};
use super::{Outcome, Settings};

/// Wall clock at the start, in milliseconds since 1970.
const UNIX_MS: u64 = 1_700_000_000_000;

/// One way between two processes, in microseconds.
const LINK_US: u64 = 900;

/// From a record to its durability, in microseconds: half of the time for which records are
/// collected, and a store call.
const COMMIT_US: u64 = 16_000;

/// Interval of the engine's ticks, in microseconds.
const TICK_US: u64 = 50_000;

/// Most run ends that a worker lists in one report: the platform's default.
const MAX_ENDS_PER_REPORT: usize = 500;

/// Interval at which the list of workers is read, in microseconds.
const LIST_INTERVAL_US: u64 = 500_000;

/// Reads of the list between two writes of a worker's entry, which are 1.5 s apart.
const READS_PER_HEARTBEAT: usize = 3;

/// Part of the control thread's time that dispatch passes may use, as a divisor.
const PASS_SHARE_DIVISOR: u64 = 4;

/// Speed of a slow worker, as a multiple of that of an ordinary one.
const SLOW_SPEED: f64 = 0.2;

enum Item {
    Arrival(usize),
    Event(Event),
    /// A poll reaches its worker.
    Poll(Poll),
    /// A worker answers a poll that has waited long enough.
    PollEnds(usize, u64),
    Run(usize, TaskId, u32),
    RunEnds(usize, TaskId, u32),
    Tick,
    /// The list of workers is read, with the number of reads before.
    ListRead(usize),
}

#[derive(Default)]
struct Worker {
    running: BTreeMap<(TaskId, u32), u64>,
    ends: Vec<(u64, TaskId, u32, RunEnd, Name)>,
    last_end: u64,
    poll: Option<Poll>,
    speed: f64,
}

struct Job {
    draft: Draft,
    due_us: u64,
    started_us: Option<u64>,
}

pub(super) struct Simulation {
    settings: Settings,
    engine: Engine,
    /// Random numbers of the jobs, by kind.
    rngs: [SmallRng; KINDS.len()],
    /// Time of the last job that was scheduled, by kind.
    last_arrivals_us: [u64; KINDS.len()],
    now_us: u64,
    items: BTreeMap<(u64, u64), Item>,
    sequence: u64,
    workers: Vec<Worker>,
    names: Vec<Name>,
    by_name: BTreeMap<Name, usize>,
    jobs: BTreeMap<Id, Job>,
    gangs: BTreeMap<(TaskId, u32), u32>,
    next_pass_us: u64,
    outcome: Outcome,
}

impl Simulation {
    pub fn new(settings: Settings) -> Simulation {
        let mut rng = SmallRng::seed_from_u64(settings.seed);
        let now = Moment { monotonic_ms: 0, unix_ms: UNIX_MS };
        let engine = Engine::new(now, Timing::default(), catalog(), Recovered::default());
        let names: Vec<Name> =
            (0..settings.workers).map(|number| Name::from(format!("worker-{number}"))).collect();
        let rngs = [1, 2, 3].map(|kind| SmallRng::seed_from_u64(settings.seed * 10 + kind));
        let speeds = [0.8, 1.0, 1.25];
        let workers = (0..settings.workers)
            .map(|_| {
                let is_slow = rng.random_bool(settings.slow_share);
                let speed = if is_slow { SLOW_SPEED } else { speeds[rng.random_range(0..3)] };
                Worker { speed, ..Worker::default() }
            })
            .collect();
        let by_name = names.iter().cloned().zip(0..).collect();
        let outcome = Outcome::new(settings.clone());
        let mut simulation = Simulation {
            settings,
            engine,
            rngs,
            last_arrivals_us: [0; KINDS.len()],
            now_us: 0,
            items: BTreeMap::new(),
            sequence: 0,
            workers,
            names,
            by_name,
            jobs: BTreeMap::new(),
            gangs: BTreeMap::new(),
            next_pass_us: 0,
            outcome,
        };
        simulation.begin();
        simulation
    }

    fn begin(&mut self) {
        let entries = self.names.iter().enumerate().map(|(number, name)| HostEntry {
            id: name.clone(),
            address: None,
            incarnation: 1,
            service: Name::from(SERVICE),
            capacity: Resources { cpu_millis: 64_000, memory_mib: 262_144, ..Resources::default() },
            labels: Arc::from([]),
            rack: Name::from(format!("rack-{}", number / 12)),
            failure_domain: Name::from(""),
            is_draining: false,
        });
        let entries = entries.collect();
        // As `node::owner::advice` deals the calls out: a quarter of the processes takes short
        // calls only, 45% take long ones.
        let callers = (self.settings.workers as f64 * 97.0 / 540.0).max(4.0);
        let limits = [callers, callers * 0.75, callers * 0.45].map(|count| count as u32 + 1);
        self.handle(Event::Listed(entries));
        self.handle(Event::Dated(self.readings(0, 1)));
        self.handle(Event::AdviceConcurrency(limits));
        for kind in 0..KINDS.len() {
            self.schedule_arrival(kind);
        }
        self.schedule(TICK_US, Item::Tick);
        self.schedule(LIST_INTERVAL_US, Item::ListRead(0));
    }

    pub fn run(mut self) -> Outcome {
        let end_us = self.settings.seconds * 1_000_000;
        while let Some(((at_us, _), item)) = self.items.pop_first() {
            while self.engine.needs_dispatch() && self.next_pass_us <= at_us {
                self.now_us = self.now_us.max(self.next_pass_us);
                self.pass();
            }
            self.now_us = self.now_us.max(at_us);
            if self.now_us > end_us {
                break;
            }
            self.carry_out(item);
        }
        self.finish()
    }

    fn finish(mut self) -> Outcome {
        for job in self.jobs.values() {
            let age_us = self.now_us - job.due_us;
            let kind = &mut self.outcome.kinds[job.draft.kind];
            // A job that is not over and could still be in time counts neither way.
            if age_us > super::objective_us(&job.draft) {
                kind.jobs += 1;
            }
        }
        self.outcome.waiting = self.engine.waiting_steps();
        self.outcome
    }

    /// Returns the readings of each `stride`-th worker from the worker `first` on.
    fn readings(&self, first: usize, stride: usize) -> Vec<Reading> {
        let written_ms = self.now_us / 1_000;
        let reading = |host: &Name| Reading {
            host: host.clone(),
            incarnation: 1,
            written_ms,
            remaining_ms: 0,
        };
        self.names.iter().skip(first).step_by(stride).map(reading).collect()
    }

    fn moment(&self) -> Moment {
        let ms = self.now_us / 1_000;
        Moment { monotonic_ms: ms, unix_ms: UNIX_MS + ms }
    }

    fn schedule(&mut self, after_us: u64, item: Item) {
        self.sequence += 1;
        self.items.insert((self.now_us + after_us, self.sequence), item);
    }

    /// Schedules the next job of a kind. The jobs depend on the seed only, not on the time that
    /// the engine takes.
    fn schedule_arrival(&mut self, kind: usize) {
        let last_us = self.last_arrivals_us[kind];
        let is_burst = (last_us / 1_000_000) % 20 < self.settings.burst_seconds;
        let factor = if is_burst { self.settings.burst_factor } else { 1.0 };
        let rate = KINDS[kind].rate * self.settings.workers as f64 * self.settings.load * factor;
        let wait_s = -self.rngs[kind].random_range(1e-9..1.0_f64).ln() / rate;
        let at_us = last_us + (wait_s * 1e6) as u64;
        self.last_arrivals_us[kind] = at_us;
        self.schedule(at_us.saturating_sub(self.now_us), Item::Arrival(kind));
    }

    fn carry_out(&mut self, item: Item) {
        match item {
            Item::Arrival(kind) => {
                self.submit(kind);
                self.schedule_arrival(kind);
            }
            Item::Event(event) => self.handle(event),
            Item::Tick => {
                self.schedule(TICK_US, Item::Tick);
                let at_ms = self.now_us / 1_000;
                self.handle(Event::Confirmed { at_ms, by_store_ms: at_ms });
                self.handle(Event::Tick);
            }
            Item::ListRead(number) => {
                self.schedule(LIST_INTERVAL_US, Item::ListRead(number + 1));
                let readings = self.readings(number % READS_PER_HEARTBEAT, READS_PER_HEARTBEAT);
                self.handle(Event::Dated(readings));
            }
            Item::Poll(poll) => self.receive_poll(poll),
            Item::PollEnds(at, number) => {
                if self.workers[at].poll.as_ref().is_some_and(|poll| poll.number == number) {
                    self.report(at);
                }
            }
            Item::Run(at, task, attempt) => self.start(at, task, attempt),
            Item::RunEnds(at, task, attempt) => {
                let worker = &mut self.workers[at];
                worker.running.remove(&(task, attempt));
                worker.last_end += 1;
                let end = (worker.last_end, task, attempt, RunEnd::Done, Name::from(""));
                worker.ends.push(end);
                self.report(at);
            }
        }
    }

    fn submit(&mut self, kind: usize) {
        let draft = draft(&mut self.rngs[kind], kind);
        let job = Id(self.rngs[kind].random());
        let (team, spec) = (draft.team.clone(), draft.spec.clone());
        self.jobs.insert(job, Job { draft, due_us: self.now_us, started_us: None });
        let queue = Name::from(KINDS[kind].name);
        self.handle(Event::Submit { token: 0, job, queue, team, spec });
    }

    fn handle(&mut self, event: Event) {
        let started = Instant::now();
        let actions = self.engine.handle(self.moment(), event);
        self.outcome.events.record(started.elapsed());
        self.execute(actions);
    }

    fn pass(&mut self) {
        let waiting = self.engine.waiting_steps();
        let started = Instant::now();
        let actions = self.engine.dispatch(self.moment());
        let spent = started.elapsed();
        self.outcome.passes.record(spent);
        self.outcome.most_waiting = self.outcome.most_waiting.max(waiting);
        let spent_us = (spent.as_micros() as f64 * self.settings.slow_down) as u64;
        self.now_us += spent_us;
        self.next_pass_us = self.now_us + ((PASS_SHARE_DIVISOR - 1) * spent_us).max(2_000);
        self.execute(actions);
    }

    fn execute(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Append(_) => {
                    let records = self.engine.appended_records();
                    self.schedule(COMMIT_US, Item::Event(Event::Committed(records)));
                }
                Action::Start(start) => {
                    let at = self.by_name[&start.host];
                    self.schedule(LINK_US, Item::Run(at, start.task, start.attempt));
                }
                Action::Poll(poll) => self.schedule(LINK_US, Item::Poll(poll)),
                Action::Advise(advise) => {
                    let (step, class, asked) = (advise.step, advise.class, advise.hosts);
                    let share = KINDS[self.jobs[&step.job].draft.kind].allowed_share;
                    let is_allowed = |host: &&Name| {
                        let mut hash = step.job.0 ^ (u64::from(step.index) << 40);
                        for byte in host.bytes() {
                            hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
                        }
                        (((hash >> 20) % 1_000) as f64) < share * 1_000.0
                    };
                    let allowed = asked.iter().filter(is_allowed);
                    let allowed = allowed.map(|host| (host.clone(), Name::from("t"))).collect();
                    self.outcome.advice_ms += advise.cost_ms;
                    let after_us = (advise.cost_ms * 1_000.0) as u64 + 4 * LINK_US;
                    let issued_ms = (self.now_us + after_us) / 1_000;
                    let event =
                        Event::Advised { step, class, asked, allowed: Some(allowed), issued_ms };
                    self.schedule(after_us, Item::Event(event));
                }
                Action::RecordDecision(decision) => self.note(decision.verdict),
                // Nobody waits for answers, and nothing fails.
                Action::Answer { .. }
                | Action::Stop(_)
                | Action::ReportLoss(_)
                | Action::ReportRestriction(_)
                | Action::ReportTeamUse(_)
                | Action::ReportExpiredLease(_)
                | Action::ReportUnusedReservation { .. }
                | Action::Deposed => {}
            }
        }
    }

    fn note(&mut self, verdict: Verdict) {
        match verdict {
            Verdict::Placed { task, .. } => {
                self.outcome.starts += 1;
                let Some(job) = self.jobs.get_mut(&task.step.job) else { return };
                if job.started_us.is_none() {
                    job.started_us = Some(self.now_us);
                    self.outcome.kinds[job.draft.kind].first_start(self.now_us - job.due_us);
                }
            }
            Verdict::Closed(id, State::Complete) => {
                let Some(job) = self.jobs.remove(&id) else { return };
                let kind = &mut self.outcome.kinds[job.draft.kind];
                kind.jobs += 1;
                kind.complete(self.now_us - job.due_us, super::objective_us(&job.draft));
            }
            _ => {}
        }
    }

    fn start(&mut self, at: usize, task: TaskId, attempt: u32) {
        let Some(job) = self.jobs.get(&task.step.job) else { return };
        let step = &job.draft.spec.steps[usize::from(task.step.index)];
        let (is_gang, tasks) = (step.is_gang, step.tasks);
        let work_us = (job.draft.work_ms[usize::from(task.step.index)] * 1_000.0) as u64;
        self.workers[at].running.insert((task, attempt), self.now_us);
        let (host, clock_ms) = (self.names[at].clone(), self.now_us / 1_000);
        let outcome = StartOutcome::Started;
        let started = Event::Started { host, task, attempt, outcome, clock_ms };
        self.schedule(LINK_US, Item::Event(started));
        if !is_gang {
            let work_us = (work_us as f64 / self.workers[at].speed) as u64;
            self.schedule(work_us, Item::RunEnds(at, task, attempt));
            return;
        }
        let gang = (TaskId { index: 0, ..task }, attempt);
        let present = self.gangs.entry(gang).or_default();
        *present += 1;
        if *present == tasks {
            self.gangs.remove(&gang);
            self.end_gang(task, attempt, work_us);
        }
    }

    /// Ends all members of a gang together, with the speed of the slowest worker.
    fn end_gang(&mut self, task: TaskId, attempt: u32, work_us: u64) {
        let of_gang =
            |(other, number): &(TaskId, u32)| other.step == task.step && *number == attempt;
        let mut members = Vec::new();
        let mut speed = f64::INFINITY;
        for (at, worker) in self.workers.iter().enumerate() {
            for (member, _) in worker.running.keys().filter(|key| of_gang(key)) {
                members.push((at, *member));
                speed = speed.min(worker.speed);
            }
        }
        let work_us = (work_us as f64 / speed) as u64;
        for (at, member) in members {
            self.schedule(work_us, Item::RunEnds(at, member, attempt));
        }
    }

    fn receive_poll(&mut self, poll: Poll) {
        let at = self.by_name[&poll.host];
        let (number, wait_us) = (poll.number, poll.wait_ms * 1_000);
        self.workers[at].ends.retain(|(seq, ..)| *seq > poll.ack);
        self.workers[at].poll = Some(poll);
        if wait_us == 0 || !self.workers[at].ends.is_empty() {
            self.report(at);
        } else {
            self.schedule(wait_us, Item::PollEnds(at, number));
        }
    }

    fn report(&mut self, at: usize) {
        let worker = &mut self.workers[at];
        let Some(poll) = worker.poll.take() else { return };
        let running = worker.running.iter().map(|((task, attempt), started_us)| {
            let percent = ((self.now_us - started_us) / 100_000).min(99) as u8;
            (*task, *attempt, Name::from(""), percent)
        });
        let report = Report {
            incarnation: 1,
            clock_ms: self.now_us / 1_000,
            running: running.collect(),
            ended: worker.ends.iter().take(MAX_ENDS_PER_REPORT).cloned().collect(),
            is_truncated: worker.ends.len() >= MAX_ENDS_PER_REPORT,
        };
        let event = Event::Polled { host: poll.host, poll: poll.number, report };
        self.schedule(LINK_US, Item::Event(event));
    }
}
