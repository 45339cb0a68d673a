//! What callers and workers saw during a round.
//!
//! All of them record into one list, so that the checker sees a single order of events.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use sycamore_standin::fenced::{Observation, Observer};

/// A job's state as a response showed it to a caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportedState {
    /// Waiting or running.
    Open,
    /// All tasks have succeeded.
    Complete,
    /// A task has failed as often as its queue allows.
    Failed,
    /// The job was cancelled.
    Cancelled,
    /// No such job exists.
    Unknown,
}

/// What a caller, a worker or the round itself has seen. Jobs are given by their id.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// A caller submits a job, for the first time or again.
    Sent(u64),
    /// A submission ended, with the status of the response. `None` if no response tells
    /// whether the job was accepted.
    Answered(u64, Option<u16>),
    /// A caller sends a cancel.
    CancelSent(u64),
    /// A response confirmed a cancel.
    Cancelled(u64),
    /// A response showed the state of a job.
    Shown(u64, ReportedState),
    /// The process with this number has exited though no fault stopped it.
    Exited(usize),
    /// The process with this number was started.
    Started(usize),
    /// A fault began.
    FaultBegan,
    /// A fault ended, and what it had stopped was started again.
    FaultEnded,
    /// This version of the configuration was written, and has to be in force everywhere after
    /// so many milliseconds.
    ConfigWritten(u64, u64),
    /// A process was asked for a queue that came with a version of the configuration.
    Probed(Probe),
    /// The worker with this id started a run, ended one, or got an end acknowledged.
    Worker(String, Observation),
}

/// Request to one process for a queue that came with a version of the configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Probe {
    /// Number of the process.
    pub process: usize,
    /// Version of the configuration.
    pub version: u64,
    /// When the request was sent, in milliseconds since the round started.
    pub sent_ms: u64,
    /// Whether the process knows the queue.
    pub is_known: bool,
}

/// An event and when it was seen.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// Time since the round started, in milliseconds.
    pub at_ms: u64,
    /// The event.
    pub event: Event,
}

/// Events in the order in which they were recorded. Clones share one list.
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
    /// Appends an event with the current time.
    pub fn record(&self, event: Event) {
        // The time is read under the lock, so that times follow the order of entries.
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let at_ms = self.now_ms();
        entries.push(Entry { at_ms, event });
    }

    /// Returns the time since the round started, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.origin.elapsed().as_millis() as u64
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
