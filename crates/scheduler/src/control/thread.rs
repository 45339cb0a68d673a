//! The loop of the control thread: events go into the decision core, actions come out.
//!
//! The loop never waits for an action to complete. Results come back as events, so a slow store
//! or worker does not delay the next decision.

use std::collections::HashMap;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::{Duration, Instant};

use sycamore_core::caller::{Answer, Token};
use sycamore_core::record::Verdict;
use sycamore_core::{Action, Event, Node, Phase, View};
use tokio::sync::oneshot;

use super::Input;
use crate::clock::Clock;
use crate::execute::Execute;
use crate::metrics::Meters;

/// Time between two [`Event::Tick`]s.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// The state of the control thread.
struct Control<E> {
    node: Node,
    clock: Clock,
    executor: E,
    meters: Meters,
    /// Callers that wait for an answer.
    callers: HashMap<Token, oneshot::Sender<Answer>>,
    /// State at the latest tick, by which changes are found and logged.
    last_view: Option<View>,
}

/// Starts the control thread, which ends when a planned stop is complete.
pub(crate) fn spawn<E: Execute>(
    node: Node,
    clock: Clock,
    inputs: Receiver<Input>,
    executor: E,
    meters: Meters,
) -> std::io::Result<std::thread::JoinHandle<()>> {
    let name = format!("control-{}", node.member().name);
    std::thread::Builder::new().name(name).spawn(move || {
        let callers = HashMap::new();
        let mut control = Control { node, clock, executor, meters, callers, last_view: None };
        control.run(&inputs);
    })
}

impl<E: Execute> Control<E> {
    fn run(&mut self, inputs: &Receiver<Input>) {
        let mut next_tick = Instant::now();
        loop {
            let wait = next_tick.saturating_duration_since(Instant::now());
            match inputs.recv_timeout(wait) {
                Ok(input) => self.handle_input(input),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            // Checked after every input, since under load the channel is never empty and the
            // receive never times out.
            if Instant::now() >= next_tick {
                next_tick = Instant::now() + TICK_INTERVAL;
                if !self.handle_event("tick", Event::Tick) {
                    return;
                }
                self.report_state();
            }
        }
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Event(event) => {
                self.handle_event(event_kind(&event), event);
            }
            Input::Call { token, event, reply_to } => {
                self.callers.insert(token, reply_to);
                self.handle_event(event_kind(&event), event);
            }
            Input::View(reply_to) => {
                let _ = reply_to.send(self.node.view(self.clock.now()));
            }
        }
    }

    /// Passes one event to the core and executes the resulting actions.
    ///
    /// Returns `false` once the core has completed a planned stop.
    fn handle_event(&mut self, kind: &str, event: Event) -> bool {
        let started_at = Instant::now();
        let actions = self.node.step(self.clock.now(), event);
        let elapsed_us = u64::try_from(started_at.elapsed().as_micros()).unwrap_or(u64::MAX);
        self.meters.events.with_label_values(&[kind]).inc();
        self.meters.control_us.with_label_values(&[kind]).inc_by(elapsed_us);
        let mut is_running = true;
        for action in actions {
            is_running &= action != Action::Stopped;
            self.execute(action);
        }
        is_running
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Answer { token, answer } => self.answer(token, answer),
            Action::Record(decision) => {
                let kind = verdict_kind(&decision.verdict);
                self.meters.decisions.with_label_values(&[kind]).inc();
                self.executor.execute(Action::Record(decision));
            }
            other => self.executor.execute(other),
        }
    }

    /// Answers a caller.
    ///
    /// If the answer dispatches a request and the caller is gone, the request is reported as
    /// ended, which releases its capacity at once.
    fn answer(&mut self, token: Token, answer: Answer) {
        let is_dispatch = matches!(answer, Answer::Dispatch { .. });
        let is_delivered =
            self.callers.remove(&token).is_some_and(|reply_to| reply_to.send(answer).is_ok());
        if is_dispatch && !is_delivered {
            let ending = sycamore_core::Ending::Finished;
            self.handle_event("ended", Event::Ended { token, ending });
        }
    }

    /// Updates the gauges and logs what has changed since the previous tick.
    fn report_state(&mut self) {
        let view = self.node.view(self.clock.now());
        let sum = |f: fn(&sycamore_core::ShardView) -> usize| view.shards.iter().map(f).sum();
        let running: usize = sum(|shard| shard.running);
        let waiting: usize = sum(|shard| shard.waiting as usize);
        let is_active = |shard: &&sycamore_core::ShardView| shard.phase == Phase::Active;
        self.meters.shards.set(view.shards.len() as i64);
        self.meters.active.set(view.shards.iter().filter(is_active).count() as i64);
        self.meters.running.set(running as i64);
        self.meters.waiting.set(waiting as i64);
        self.meters.extended_by_promises.set(i64::from(view.is_lease_extended));
        self.meters.config.set(i64::try_from(view.config).unwrap_or(i64::MAX));
        self.log_changes(&view);
        self.last_view = Some(view);
    }

    fn log_changes(&self, view: &View) {
        let Some(before) = &self.last_view else {
            log::info!("member {} started", view.member);
            return;
        };
        if before.member != view.member {
            log::warn!("lease of {} is lost; goes on as {}", before.member, view.member);
        }
        if before.is_lease_extended != view.is_lease_extended {
            let verb = if view.is_lease_extended { "extends" } else { "no longer extends" };
            log::warn!("{} {verb} its lease by promises of peers", view.member);
        }
        if before.config != view.config {
            log::info!("configuration {} is in force", view.config);
        }
        for shard in &view.shards {
            let previous = before.shards.iter().find(|other| other.id == shard.id);
            if previous.is_none_or(|previous| previous.phase != shard.phase) {
                log::info!("shard {} epoch {}: {:?}", shard.id, shard.epoch, shard.phase);
            }
        }
        for shard in &before.shards {
            if !view.shards.iter().any(|other| other.id == shard.id) {
                log::info!("shard {} epoch {} is no longer owned", shard.id, shard.epoch);
            }
        }
    }
}

/// Returns the value of the `kind` label of the metrics by event.
fn event_kind(event: &Event) -> &'static str {
    match event {
        Event::Tick => "tick",
        Event::Store { .. } => "store",
        Event::Worker { .. } => "worker",
        Event::Peer { .. } => "peer",
        Event::Hosts(_) => "hosts",
        Event::Config { .. } => "config",
        Event::OwnersChanged => "owners",
        Event::Submit { .. } => "submit",
        Event::Request { .. } => "request",
        Event::Ended { .. } => "ended",
        Event::Gone { .. } => "gone",
        Event::Status { .. } => "status",
        Event::Cancel { .. } => "cancel",
        Event::Stop => "stop",
    }
}

/// Returns the value of the `kind` label of the decisions metric.
fn verdict_kind(verdict: &Verdict) -> &'static str {
    match verdict {
        Verdict::Started { .. } => "started",
        Verdict::Preempted { .. } => "preempted",
        Verdict::Refused { .. } => "refused",
        Verdict::Ended { .. } => "ended",
        Verdict::Accepted => "accepted",
        Verdict::Placed { .. } => "placed",
        Verdict::RunEnded { .. } => "run_ended",
        Verdict::GivenUp { .. } => "given_up",
        Verdict::PreemptedFor { .. } => "preempted_for",
        Verdict::Closed { .. } => "closed",
        Verdict::Owned { .. } => "owned",
    }
}
