use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::time::Instant;

use rustc_hash::FxHashMap;
use sycamore_graph::{Action, Engine, Event};
use tokio::sync::{mpsc, oneshot};

use super::handle::Input;
use crate::clock::Clock;
use crate::peer::{Ask, Verdict};
use crate::timing::TICK;

struct Control {
    engine: Engine,
    clock: Clock,
    actions: mpsc::UnboundedSender<Action>,
    callers: FxHashMap<u64, oneshot::Sender<Verdict>>,
    last_token: u64,
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
        let mut control = Control { engine, clock, actions, callers, last_token: 0 };
        control.run(&inputs);
    })?;
    Ok(sender)
}

impl Control {
    fn run(&mut self, inputs: &Receiver<Input>) {
        let mut next_tick = Instant::now();
        loop {
            let wait = next_tick.saturating_duration_since(Instant::now());
            match inputs.recv_timeout(wait) {
                Ok(Input::Stop) | Err(RecvTimeoutError::Disconnected) => return,
                Ok(input) => self.take(input),
                Err(RecvTimeoutError::Timeout) => {}
            }
            // Under load inputs never run out, and the tick must still come.
            if Instant::now() >= next_tick {
                next_tick = Instant::now() + TICK;
                self.step(Event::Tick);
            }
        }
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Event(event) => self.step(event),
            Input::Ask { ask, respond } => {
                self.last_token += 1;
                self.callers.insert(self.last_token, respond);
                self.step(event_of(ask, self.last_token));
            }
            Input::Images { jobs, respond } => {
                let images = jobs.into_iter().filter_map(|id| self.engine.image(id)).collect();
                // The journal ended; its owner is about to end as well.
                let _ = respond.send(images);
            }
            Input::Stop => {}
        }
    }

    fn step(&mut self, event: Event) {
        for action in self.engine.step(self.clock.now(), event) {
            if let Action::Answer { token, answer } = action {
                if let Some(respond) = self.callers.remove(&token) {
                    // A caller that went away needs no answer.
                    let _ = respond.send(answer.into());
                }
            } else {
                // Without a receiver the owner has ended and `Stop` is on its way.
                let _ = self.actions.send(action);
            }
        }
    }
}

fn event_of(ask: Ask, token: u64) -> Event {
    match ask {
        Ask::Submit { job, queue, team, spec } => Event::Submit { token, job, queue, team, spec },
        Ask::Cancel { job, team } => Event::Cancel { token, job, team },
        Ask::Query { job, team } => Event::Query { token, job, team },
        Ask::Count { queue } => Event::Count { token, queue },
    }
}
