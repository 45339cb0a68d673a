use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::time::{Duration, Instant};

use rustc_hash::FxHashMap;
use sycamore_graph::{Action, Engine, Event, WaitingStep};
use tokio::sync::{mpsc, oneshot};

use super::handle::Input;
use crate::clock::{Clock, millis};
use crate::peer::{CallerRequest, RequestOutcome};
use crate::timing::TICK_INTERVAL;

/// Pause after a pass of decisions, in multiples of what it took: passes take at most a
/// quarter of the thread's time, so that orders and answers never wait for long.
const SETTLE_PAUSE_FACTOR: u32 = 3;

/// Shortest pause between two passes of decisions.
const MIN_SETTLE_PAUSE: Duration = Duration::from_millis(2);

/// Time between two descriptions of what waits.
const DESCRIBE_EVERY: Duration = Duration::from_secs(2);

/// Age from which a wait is described, in milliseconds.
const LONG_WAIT_MS: u64 = 8_000;

/// Most waits in one description.
const DESCRIBED: usize = 5;

/// What the thread has done since the last description.
#[derive(Debug, Default)]
struct Load {
    events: u64,
    passes: u64,
    /// Time spent on events, on passes, and on the longest pass.
    events_spent: Duration,
    passes_spent: Duration,
    longest_pass: Duration,
}

struct Control {
    engine: Engine,
    clock: Clock,
    actions: mpsc::UnboundedSender<Action>,
    callers: FxHashMap<u64, oneshot::Sender<RequestOutcome>>,
    last_token: u64,
    /// Time before which the engine does not decide again.
    next_settle: Instant,
    described: Instant,
    load: Load,
    is_recovering: bool,
    #[cfg(debug_assertions)]
    breakage: super::breakage::Breakage,
}

/// Starts the control thread. It ends when told to, or when nobody can reach it.
pub(super) fn spawn(
    engine: Engine,
    clock: Clock,
    actions: mpsc::UnboundedSender<Action>,
) -> std::io::Result<Sender<Input>> {
    let (sender, inputs) = channel();
    std::thread::Builder::new().name("control".to_string()).spawn(move || {
        let callers = FxHashMap::default();
        let next_settle = Instant::now();
        let described = next_settle;
        let is_recovering = engine.is_recovering();
        let mut control = Control {
            engine,
            clock,
            actions,
            callers,
            last_token: 0,
            next_settle,
            described,
            load: Load::default(),
            is_recovering,
            #[cfg(debug_assertions)]
            breakage: super::breakage::Breakage::from_environment(),
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
                wait.min(self.next_settle.saturating_duration_since(Instant::now()))
            } else {
                wait
            };
            match inputs.recv_timeout(wait) {
                Ok(Input::Stop) | Err(RecvTimeoutError::Disconnected) => return,
                Ok(input) => self.take(input),
                Err(RecvTimeoutError::Timeout) => {}
            }
            // What has gathered meanwhile is decided on together.
            while let Ok(input) = inputs.try_recv() {
                if matches!(input, Input::Stop) {
                    return;
                }
                self.take(input);
            }
            if Instant::now() >= next_tick {
                next_tick = Instant::now() + TICK_INTERVAL;
                self.step(Event::Tick);
                self.describe();
            }
            self.note_recovery();
            self.settle();
        }
    }

    /// Logs the thread's load and the steps that wait longest, at a bounded rate.
    fn describe(&mut self) {
        if self.described.elapsed() < DESCRIBE_EVERY {
            return;
        }
        self.described = Instant::now();
        let load = std::mem::take(&mut self.load);
        log::info!(
            target: "load", running = self.engine.running_tasks(),
            waiting_steps = self.engine.waiting_steps(), events = load.events,
            events_ms = millis(load.events_spent), passes = load.passes,
            passes_ms = millis(load.passes_spent), longest_pass_ms = millis(load.longest_pass);
            "load of the control thread"
        );
        let mut waits = self.engine.long_waits(LONG_WAIT_MS);
        waits.sort_by_key(|wait| std::cmp::Reverse(wait.age_ms));
        let total = waits.len();
        for wait in waits.into_iter().take(DESCRIBED) {
            let WaitingStep { step, age_ms, reason: obstacle, allowed, denied } = wait;
            log::info!(
                target: "wait", job:% = step.job, occurrence = step.occurrence,
                step = step.index, age_ms, obstacle:%, allowed_workers = allowed,
                denied_workers = denied, waiting_steps = total; "waiting"
            );
        }
    }

    /// Lets the engine decide, but not more often than its own cost allows.
    fn settle(&mut self) {
        let begun = Instant::now();
        if !self.engine.needs_dispatch() || begun < self.next_settle {
            return;
        }
        let actions = self.engine.dispatch(self.clock.now());
        self.carry_out(actions);
        let spent = begun.elapsed();
        self.load.passes += 1;
        self.load.passes_spent += spent;
        self.load.longest_pass = self.load.longest_pass.max(spent);
        self.next_settle = Instant::now() + (spent * SETTLE_PAUSE_FACTOR).max(MIN_SETTLE_PAUSE);
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Event(event) => self.step(event),
            Input::Ask { ask, respond } => {
                self.last_token += 1;
                self.callers.insert(self.last_token, respond);
                self.step(event_of(ask, self.last_token));
            }
            Input::Images { jobs, hosts, respond } => {
                let of_jobs = jobs.into_iter().filter_map(|id| self.engine.job_snapshot(id));
                let of_hosts = hosts.iter().filter_map(|name| self.engine.host_snapshot(name));
                let images = of_jobs.chain(of_hosts).collect();
                // The journal ended; its owner is about to end as well.
                let _ = respond.send(images);
            }
            Input::Stop => {}
        }
    }

    fn step(&mut self, event: Event) {
        #[cfg(debug_assertions)]
        let event = match self.breakage.event(event) {
            Ok(event) => event,
            Err((token, answer)) => return self.carry_out(vec![Action::Answer { token, answer }]),
        };
        let begun = Instant::now();
        let actions = self.engine.handle(self.clock.now(), event);
        self.carry_out(actions);
        self.load.events += 1;
        self.load.events_spent += begun.elapsed();
    }

    /// Logs when all workers of the owner before are accounted for.
    fn note_recovery(&mut self) {
        if self.is_recovering && !self.engine.is_recovering() {
            self.is_recovering = false;
            let running = self.engine.running_tasks();
            let waiting_steps = self.engine.waiting_steps();
            log::info!(target: "worker", running, waiting_steps; "all workers accounted for");
        }
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            if let Action::Answer { token, answer } = action {
                if let Some(respond) = self.callers.remove(&token) {
                    // A caller that went away needs no answer.
                    let _ = respond.send(answer.into());
                }
            } else {
                #[cfg(debug_assertions)]
                if let Some(other) = self.breakage.beside(&action) {
                    let _ = self.actions.send(other);
                }
                // Without a receiver the owner has ended and `Stop` is on its way.
                let _ = self.actions.send(action);
            }
        }
    }
}

fn event_of(ask: CallerRequest, token: u64) -> Event {
    match ask {
        CallerRequest::Submit { job, queue, team, spec } => {
            Event::Submit { token, job, queue, team, spec }
        }
        CallerRequest::Cancel { job, team } => Event::Cancel { token, job, team },
        CallerRequest::Query { job, team } => Event::Query { token, job, team },
        CallerRequest::Count { queue } => Event::Count { token, queue },
    }
}
