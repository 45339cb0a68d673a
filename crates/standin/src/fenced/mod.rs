//! Simulated platform of `sycamore-node`: a store with compare-and-swap, workers that check
//! fencing tokens and list what they run, and an advice service.
//!
//! The servers implement the guarantees that the scheduler relies on and refuse nothing else: a
//! worker starts every task that a valid request names, even beyond its capacity. An [`Observer`]
//! receives what the workers do, so that a test can find violations.

mod advice;
mod documents;
mod kv;
mod store;
mod worker;

use std::fmt::Debug;

pub use advice::{Advice, AdviceMode};
pub use documents::{
    DEADLINE_HEADER, KEY_HEADER, ProcessSettings, Queue, Step, Team, config, job, settings,
    with_advice, with_queues,
};
pub use store::{Mode, Store};
pub use worker::{Capacity, Worker};

/// Event of a run on a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Observation {
    /// A run has started.
    Started {
        /// Task in the form JOB.OCCURRENCE.STEP.INDEX.
        task: String,
        /// Number of the attempt to run the task.
        attempt: u64,
        /// Payload of the job.
        payload: String,
    },
    /// A run has ended.
    Ended {
        /// Task in the form JOB.OCCURRENCE.STEP.INDEX.
        task: String,
        /// Number of the attempt to run the task.
        attempt: u64,
        /// Outcome in the platform's terms: `done`, `failed`, `stopped` or `lapsed` (the lease
        /// expired); or `crashed`, of which the platform hears nothing.
        how: &'static str,
    },
    /// The scheduler has acknowledged the end of a run. Left out for ends that the worker still
    /// listed when its lease expired, since the scheduler may have started those tasks again.
    Noted {
        /// Task in the form JOB.OCCURRENCE.STEP.INDEX.
        task: String,
        /// Number of the attempt to run the task.
        attempt: u64,
        /// Outcome, as in [`Observation::Ended`].
        how: &'static str,
    },
}

/// Receives the events of workers in the order in which they happen.
pub trait Observer: Clone + Debug + Send + Sync + 'static {
    /// Receives an event of the worker with this id.
    fn observe(&self, worker: &str, observation: Observation);
}

/// Ignores all events.
impl Observer for () {
    fn observe(&self, _worker: &str, _observation: Observation) {}
}
