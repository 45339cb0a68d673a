//! The control thread, which runs the engine and answers callers.
//!
//! Events are handled as they arrive. Dispatch passes, which start waiting tasks, cost more:
//! they run at a bounded rate and cover all events that arrived in between.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::time::{Duration, Instant};

use rustc_hash::FxHashMap;
use sycamore_graph::{Action, Engine, Event, Moment, StepId, WaitingStep};
use tokio::sync::{mpsc, oneshot};

use super::Shared;
use super::evacuation::EvacuationLog;
use super::handle::Input;
use crate::clock::{Clock, millis};
use crate::metrics::Meters;
use crate::node::Node;
use crate::peer::{CallerRequest, RequestOutcome};
use crate::timing::TICK_INTERVAL;

/// Pause after a dispatch pass, as a multiple of its duration. Limits passes to a
/// quarter of the thread's time, so that requests and answers never wait for long.
const DISPATCH_PAUSE_FACTOR: u32 = 3;

/// Shortest pause between two dispatch passes.
const MIN_DISPATCH_PAUSE: Duration = Duration::from_millis(2);

/// Interval of the log lines about load and long waits.
const LOAD_LOG_INTERVAL: Duration = Duration::from_secs(2);

/// Time after which a step's wait is logged, in milliseconds: the one within which an accepted job
/// has to start while there is room for it.
const LONG_WAIT_MS: u64 = 3_000;

/// Most waiting steps logged at a time: the longest waits, and the others in turn.
const MAX_LOGGED_WAITS: usize = 5;
const MAX_OTHER_LOGGED_WAITS: usize = 15;

/// Change of the time of the last confirmation that the engine is told of, in milliseconds. Less than
/// the margin by which its leases end before those that a successor waits for.
const MIN_CONFIRMATION_CHANGE_MS: u64 = 50;

/// Most workers of the previous owner logged at a time.
const MAX_LOGGED_HOSTS: usize = 20;

/// Work of the thread since the load was last logged.
#[derive(Debug, Default)]
struct Load {
    events: u64,
    /// Dispatch passes.
    passes: u64,
    /// Time spent on all events.
    event_time: Duration,
    /// Time spent on all passes.
    pass_time: Duration,
    longest_pass: Duration,
    /// Time that hosts had spent on calls for advice at the begin, in milliseconds.
    callers_busy_ms: u64,
}

struct Control {
    engine: Engine,
    clock: Clock,
    meters: Meters,
    shared: Arc<Shared>,
    /// Times of the last confirmations of the ownership that the engine knows, in milliseconds: any,
    /// and by the store.
    confirmed_ms: Option<[u64; 2]>,
    actions: mpsc::UnboundedSender<Action>,
    /// Channels to callers who wait for an answer, by token.
    callers: FxHashMap<u64, oneshot::Sender<RequestOutcome>>,
    last_token: u64,
    /// Time before which no dispatch pass starts.
    next_dispatch: Instant,
    last_load_log: Instant,
    /// Last step that was logged in turn.
    last_logged_wait: Option<StepId>,
    load: Load,
    /// Workers of the previous owner are not all accounted for yet.
    is_recovering: bool,
    evacuation_log: EvacuationLog,
    #[cfg(debug_assertions)]
    bug: super::injected_bug::InjectedBug,
}

/// Starts the control thread. It ends on [`Input::Stop`] or when all senders are dropped.
pub(super) fn spawn(
    engine: Engine,
    node: &Node,
    actions: mpsc::UnboundedSender<Action>,
    shared: Arc<Shared>,
) -> std::io::Result<Sender<Input>> {
    let (sender, inputs) = channel();
    let (clock, meters) = (node.clock, node.meters.clone());
    std::thread::Builder::new().name("control".to_string()).spawn(move || {
        let callers = FxHashMap::default();
        let next_dispatch = Instant::now();
        let last_load_log = next_dispatch;
        let is_recovering = engine.is_recovering();
        let mut control = Control {
            engine,
            clock,
            meters,
            shared,
            confirmed_ms: None,
            actions,
            callers,
            last_token: 0,
            next_dispatch,
            last_load_log,
            last_logged_wait: None,
            load: Load::default(),
            is_recovering,
            evacuation_log: EvacuationLog::default(),
            #[cfg(debug_assertions)]
            bug: super::injected_bug::InjectedBug::from_environment(),
        };
        control.run(&inputs);
    })?;
    Ok(sender)
}

impl Control {
    fn run(&mut self, inputs: &Receiver<Input>) {
        let mut next_tick = Instant::now();
        loop {
            let wait = next_tick.saturating_duration_since(Instant::now());
            let wait = if self.engine.needs_dispatch() {
                wait.min(self.next_dispatch.saturating_duration_since(Instant::now()))
            } else {
                wait
            };
            match inputs.recv_timeout(wait) {
                Ok(Input::Stop) | Err(RecvTimeoutError::Disconnected) => return,
                Ok(input) => self.handle_input(input),
                Err(RecvTimeoutError::Timeout) => {}
            }
            // Handles all queued inputs first, so that one pass covers them.
            while let Ok(input) = inputs.try_recv() {
                if matches!(input, Input::Stop) {
                    return;
                }
                self.handle_input(input);
            }
            if Instant::now() >= next_tick {
                next_tick = Instant::now() + TICK_INTERVAL;
                self.handle_event(Event::Tick);
                self.log_load();
            }
            self.log_recovery_end();
            self.evacuation_log.log_changes(&self.engine);
            self.dispatch_if_due();
        }
    }

    /// Logs the thread's load and the steps that wait longest, at a bounded rate.
    fn log_load(&mut self) {
        let interval = self.last_load_log.elapsed();
        if interval < LOAD_LOG_INTERVAL {
            return;
        }
        self.last_load_log = Instant::now();
        let callers = &self.shared.callers;
        let callers_busy_ms = callers.busy_ms.load(Ordering::Relaxed);
        let load = Load { callers_busy_ms, ..Load::default() };
        let load = std::mem::replace(&mut self.load, load);
        let callers_busy_ms = callers_busy_ms - load.callers_busy_ms;
        let callers = callers.hosts.load(Ordering::Relaxed) as u64;
        let callers_busy_percent = 100 * callers_busy_ms / (callers * millis(interval)).max(1);
        let calls = self.engine.call_load();
        self.meters.advice_waiting_steps.set(calls.waiting_steps as i64);
        let job_bytes = self.engine.job_bytes();
        self.meters.job_bytes.set(job_bytes as i64);
        let (free_cpu_millis, kept_cpu_millis) = self.engine.free_and_kept_cpu();
        log::info!(
            target: "load", running = self.engine.running_tasks(),
            waiting_steps = self.engine.waiting_steps(),
            hopeless_steps = self.engine.hopeless_steps(),
            isolated_runs = self.engine.isolated_runs(), job_bytes,
            avoided_workers = self.engine.avoided_hosts(), free_cpu_millis, kept_cpu_millis,
            confirmed_ms_ago = millis(self.shared.confirmation.age()), events = load.events,
            events_ms = millis(load.event_time), passes = load.passes,
            passes_ms = millis(load.pass_time), longest_pass_ms = millis(load.longest_pass),
            callers, callers_busy_percent,
            calls_in_flight:? = calls.in_flight, call_limits:? = calls.limits,
            steps_without_call = calls.waiting_steps,
            longest_wait_for_call_ms = calls.longest_wait_ms;
            "load of the control thread"
        );
        self.log_awaited_hosts();
        let mut waits = self.engine.long_waits(LONG_WAIT_MS);
        waits.sort_by_key(|wait| std::cmp::Reverse(wait.age_ms));
        let total = waits.len();
        let mut others = waits.split_off(MAX_LOGGED_WAITS.min(total));
        others.sort_by_key(|wait| (Some(wait.step) <= self.last_logged_wait, wait.step));
        others.truncate(MAX_OTHER_LOGGED_WAITS);
        self.last_logged_wait = others.last().map(|wait| wait.step);
        for wait in waits.into_iter().chain(others) {
            let WaitingStep { step, age_ms, reason, allowed, denied, last_call, .. } = wait;
            let spent = wait.spent_ms.iter().map(|(reason, ms)| format!("{reason}: {ms} ms"));
            let spent = spent.collect::<Vec<String>>().join("; ");
            let last_call_ms = last_call.map(|call| call.age_ms);
            let last_call =
                last_call.map(|call| if call.is_answered { "answered" } else { "failed" });
            log::info!(
                target: "wait", job:% = step.job, occurrence = step.occurrence,
                step = step.index, age_ms, gang = wait.is_gang, tasks = wait.tasks,
                obstacle:% = reason, spent, allowed_workers = allowed,
                denied_workers = denied, last_call, last_call_ms, waiting_steps = total; "waiting"
            );
        }
    }

    /// Logs for which workers of the previous owner the tasks wait, and for how long.
    fn log_awaited_hosts(&self) {
        if !self.is_recovering {
            return;
        }
        let awaited = self.engine.awaited_hosts();
        let workers = awaited.len();
        for (host, lease_left_ms) in awaited.into_iter().take(MAX_LOGGED_HOSTS) {
            log::info!(
                target: "worker", host:%, lease_left_ms, workers;
                "waiting for a worker of the previous owner"
            );
        }
    }

    /// Tells the engine when the ownership was last confirmed, if that has changed. Its clock may have
    /// stood still meanwhile, that of the confirmation has not.
    fn update_confirmation(&mut self, now: Moment) {
        let confirmation = &self.shared.confirmation;
        let ages = [confirmation.age(), confirmation.store_age()];
        let times @ [at_ms, by_store_ms] =
            ages.map(|age| now.monotonic_ms.saturating_sub(millis(age)));
        let is_as_before = self.confirmed_ms.is_some_and(|known| {
            let mut differences = known.iter().zip(times).map(|(ms, time)| ms.abs_diff(time));
            differences.all(|ms| ms < MIN_CONFIRMATION_CHANGE_MS)
        });
        if !is_as_before {
            self.confirmed_ms = Some(times);
            let actions = self.engine.handle(now, Event::Confirmed { at_ms, by_store_ms });
            self.forward(actions);
        }
    }

    /// Runs a dispatch pass if one is needed and the pause after the last one is over.
    fn dispatch_if_due(&mut self) {
        let started = Instant::now();
        if !self.engine.needs_dispatch() || started < self.next_dispatch {
            return;
        }
        let now = self.clock.now();
        self.update_confirmation(now);
        let actions = self.engine.dispatch(now);
        self.forward(actions);
        let spent = started.elapsed();
        self.load.passes += 1;
        self.load.pass_time += spent;
        self.load.longest_pass = self.load.longest_pass.max(spent);
        self.next_dispatch =
            Instant::now() + (spent * DISPATCH_PAUSE_FACTOR).max(MIN_DISPATCH_PAUSE);
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Event(event) => {
                if matches!(event, Event::Listed(_)) {
                    self.evacuation_log.set_listed();
                }
                self.handle_event(event);
            }
            Input::Evacuated(evacuated) => {
                let domains = evacuated.domains.keys().cloned().collect();
                self.evacuation_log.set_known(evacuated);
                self.handle_event(Event::Evacuating(domains));
            }
            Input::Request { request, respond } => {
                self.last_token += 1;
                self.callers.insert(self.last_token, respond);
                self.handle_event(to_event(request, self.last_token));
            }
            Input::Snapshots { jobs, hosts, queues, with_team_use, respond } => {
                let queue_snapshots: Vec<_> =
                    queues.iter().filter_map(|name| self.engine.queue_snapshot(name)).collect();
                let job_snapshots = jobs.into_iter().flat_map(|id| self.engine.job_records(id));
                let host_snapshots =
                    hosts.iter().filter_map(|name| self.engine.host_snapshot(name));
                let team_use = with_team_use.then(|| self.engine.team_use_record()).flatten();
                let snapshots = queue_snapshots
                    .into_iter()
                    .chain(job_snapshots)
                    .chain(host_snapshots)
                    .chain(team_use)
                    .collect();
                // Without a receiver the journal has ended, and the owner ends with it.
                let _ = respond.send(snapshots);
            }
            Input::Stop => {}
        }
    }

    fn handle_event(&mut self, event: Event) {
        #[cfg(debug_assertions)]
        let event = match self.bug.alter_event(event) {
            Ok(event) => event,
            Err((token, answer)) => return self.forward(vec![Action::Answer { token, answer }]),
        };
        let started = Instant::now();
        let now = self.clock.now();
        self.update_confirmation(now);
        let actions = self.engine.handle(now, event);
        self.forward(actions);
        self.load.events += 1;
        self.load.event_time += started.elapsed();
    }

    /// Logs once that all workers of the previous owner are accounted for.
    fn log_recovery_end(&mut self) {
        if self.is_recovering && !self.engine.is_recovering() {
            self.is_recovering = false;
            let running = self.engine.running_tasks();
            let waiting_steps = self.engine.waiting_steps();
            log::info!(
                target: "worker", running, waiting_steps;
                "recovery finished; all workers are accounted for"
            );
        }
    }

    /// Answers callers, and passes all other actions on to be carried out.
    fn forward(&mut self, actions: Vec<Action>) {
        for action in actions {
            if let Action::Answer { token, answer } = action {
                if let Some(respond) = self.callers.remove(&token) {
                    // The caller may have gone away.
                    let _ = respond.send(answer.into());
                }
            } else {
                #[cfg(debug_assertions)]
                if let Some(extra) = self.bug.extra_action(&action) {
                    let _ = self.actions.send(extra);
                }
                // Without a receiver the owner has ended, and `Input::Stop` follows.
                let _ = self.actions.send(action);
            }
        }
    }
}

fn to_event(request: CallerRequest, token: u64) -> Event {
    match request {
        CallerRequest::Submit { job, queue, team, spec } => {
            Event::Submit { token, job, queue, team, spec }
        }
        CallerRequest::Cancel { job, team } => Event::Cancel { token, job, team },
        CallerRequest::Query { job, team } => Event::Query { token, job, team },
        CallerRequest::Count { queue } => Event::Count { token, queue },
    }
}
