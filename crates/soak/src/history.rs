use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use sycamore_standin::fenced::{Observation, Observer};

/// A state that a caller was shown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportedState {
    /// Waiting or running.
    Open,
    /// All tasks are done.
    Complete,
    /// A task has failed too often.
    Failed,
    /// It was cancelled.
    Cancelled,
    /// No such job exists.
    Unknown,
}

/// What a caller or a worker has seen.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// A caller sends a job, for the first time or again.
    Sent(u64),
    /// A hand-in was answered. `None`: no answer, or one that tells nothing.
    Answered(u64, Option<u16>),
    /// A caller asks for a cancel.
    CancelSent(u64),
    /// A cancel was answered with success.
    Cancelled(u64),
    /// A state was shown.
    Shown(u64, ReportedState),
    /// A process has ended though nobody stopped it.
    Exited(usize),
    /// A worker has done something.
    Worker(String, Observation),
}

/// An event and when it was seen.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// Time since the round began, in milliseconds.
    pub at_ms: u64,
    /// What was seen.
    pub event: Event,
}

/// Facts in the order in which they were seen.
#[derive(Clone, Debug)]
pub struct History {
    origin: Instant,
    entries: Arc<Mutex<Vec<Entry>>>,
}

impl Default for History {
    fn default() -> History {
        History { origin: Instant::now(), entries: Arc::default() }
    }
}

impl History {
    /// Adds an event.
    pub fn record(&self, event: Event) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let at_ms = self.origin.elapsed().as_millis() as u64;
        entries.push(Entry { at_ms, event });
    }

    /// Returns all events so far.
    pub fn entries(&self) -> Vec<Entry> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

impl Observer for History {
    fn observe(&self, worker: &str, observation: Observation) {
        self.record(Event::Worker(worker.to_string(), observation));
    }
}
