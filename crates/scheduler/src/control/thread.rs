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

/// Time between two ticks of the core.
const TICK: Duration = Duration::from_millis(20);

/// What the control thread holds.
struct Control<E> {
    node: Node,
    clock: Clock,
    execute: E,
    meters: Meters,
    callers: HashMap<Token, oneshot::Sender<Answer>>,
    /// State that was last written to the log.
    logged: Option<View>,
}

/// Starts the control thread. It ends when the core has left the deployment.
pub(crate) fn spawn<E: Execute>(
    node: Node,
    clock: Clock,
    inputs: Receiver<Input>,
    execute: E,
    meters: Meters,
) -> std::io::Result<std::thread::JoinHandle<()>> {
    let name = format!("control-{}", node.member().name);
    std::thread::Builder::new().name(name).spawn(move || {
        let callers = HashMap::new();
        let mut control = Control { node, clock, execute, meters, callers, logged: None };
        control.run(&inputs);
    })
}

impl<E: Execute> Control<E> {
    fn run(&mut self, inputs: &Receiver<Input>) {
        let mut next_tick = Instant::now();
        loop {
            let wait = next_tick.saturating_duration_since(Instant::now());
            match inputs.recv_timeout(wait) {
                Ok(input) => self.take(input),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            // Under load inputs never run out, and the tick must still come.
            if Instant::now() >= next_tick {
                next_tick = Instant::now() + TICK;
                if !self.step("tick", Event::Tick) {
                    return;
                }
                self.describe();
            }
        }
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Event(event) => {
                self.step(kind(&event), event);
            }
            Input::Call { token, event, respond } => {
                self.callers.insert(token, respond);
                self.step(kind(&event), event);
            }
            Input::View(respond) => {
                let _ = respond.send(self.node.view(self.clock.now()));
            }
        }
    }

    /// Gives one event to the core. Returns whether the core goes on.
    fn step(&mut self, kind: &str, event: Event) -> bool {
        let begun = Instant::now();
        let actions = self.node.step(self.clock.now(), event);
        let spent = u64::try_from(begun.elapsed().as_micros()).unwrap_or(u64::MAX);
        self.meters.events.with_label_values(&[kind]).inc();
        self.meters.control_us.with_label_values(&[kind]).inc_by(spent);
        let mut goes_on = true;
        for action in actions {
            goes_on &= action != Action::Stopped;
            self.carry_out(action);
        }
        goes_on
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Answer { token, answer } => self.answer(token, answer),
            Action::Record(decision) => {
                let kind = verdict_kind(&decision.verdict);
                self.meters.decisions.with_label_values(&[kind]).inc();
                self.execute.carry_out(Action::Record(decision));
            }
            other => self.execute.carry_out(other),
        }
    }

    /// Answers a caller. One that is gone frees what it was given at once.
    fn answer(&mut self, token: Token, answer: Answer) {
        let is_dispatch = matches!(answer, Answer::Dispatch { .. });
        let is_taken =
            self.callers.remove(&token).is_some_and(|respond| respond.send(answer).is_ok());
        if is_dispatch && !is_taken {
            let ending = sycamore_core::Ending::Finished;
            self.step("ended", Event::Ended { token, ending });
        }
    }

    /// Keeps the gauges up to date and logs changes of state.
    fn describe(&mut self) {
        let view = self.node.view(self.clock.now());
        let sum = |f: fn(&sycamore_core::ShardView) -> usize| view.shards.iter().map(f).sum();
        let running: usize = sum(|shard| shard.running);
        let waiting: usize = sum(|shard| shard.waiting as usize);
        let is_active = |shard: &&sycamore_core::ShardView| shard.phase == Phase::Active;
        self.meters.shards.set(view.shards.len() as i64);
        self.meters.active.set(view.shards.iter().filter(is_active).count() as i64);
        self.meters.running.set(running as i64);
        self.meters.waiting.set(waiting as i64);
        self.meters.riding_out.set(i64::from(view.is_riding_out));
        self.meters.config.set(i64::try_from(view.config).unwrap_or(i64::MAX));
        self.log_changes(&view);
        self.logged = Some(view);
    }

    fn log_changes(&self, view: &View) {
        let Some(before) = &self.logged else {
            log::info!("member {} starts", view.member);
            return;
        };
        if before.member != view.member {
            log::warn!("lease of {} is lost; goes on as {}", before.member, view.member);
        }
        if before.is_riding_out != view.is_riding_out {
            let state = if view.is_riding_out { "on promises of peers" } else { "on the store" };
            log::warn!("{} now goes on {state}", view.member);
        }
        if before.config != view.config {
            log::info!("configuration {} is in force", view.config);
        }
        for shard in &view.shards {
            let earlier = before.shards.iter().find(|other| other.id == shard.id);
            if earlier.is_none_or(|earlier| earlier.phase != shard.phase) {
                log::info!("shard {} epoch {}: {:?}", shard.id, shard.epoch, shard.phase);
            }
        }
        for shard in &before.shards {
            if !view.shards.iter().any(|other| other.id == shard.id) {
                log::info!("shard {} epoch {} is given up", shard.id, shard.epoch);
            }
        }
    }
}

fn kind(event: &Event) -> &'static str {
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

fn verdict_kind(verdict: &Verdict) -> &'static str {
    match verdict {
        Verdict::Started { .. } => "started",
        Verdict::Preempted { .. } => "preempted",
        Verdict::Refused { .. } => "refused",
        Verdict::Ended { .. } => "ended",
        Verdict::Accepted => "accepted",
        Verdict::Placed { .. } => "placed",
        Verdict::RunEnded { .. } => "run_ended",
        Verdict::Closed { .. } => "closed",
        Verdict::Owned { .. } => "owned",
    }
}
