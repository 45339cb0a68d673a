//! Stand-ins for a platform whose workers fence: a store with compare-and-swap, and
//! workers that list what they run.
//!
//! They hold to the semantics that the product relies on and guard nothing else: a worker
//! starts whatever a valid order names. What was seen goes to an [`Observer`].

mod documents;
mod kv;
mod store;
mod worker;

use std::fmt::Debug;

pub use documents::{KEY_HEADER, ProcessSettings, Queue, Step, Team, config, job, settings};
pub use store::{Mode, Store};
pub use worker::{Capacity, Worker};

/// What a worker shows from outside.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Observation {
    /// A run has begun.
    Started {
        /// Task in the form JOB.OCCURRENCE.STEP.INDEX.
        task: String,
        /// Number of the task's start.
        attempt: u64,
        /// Payload of the job.
        payload: String,
    },
    /// A run has ended.
    Ended {
        /// Task in the form JOB.OCCURRENCE.STEP.INDEX.
        task: String,
        /// Number of the task's start.
        attempt: u64,
        /// How it has ended, in the platform's word.
        how: &'static str,
    },
    /// An end was acknowledged.
    Noted {
        /// Task in the form JOB.OCCURRENCE.STEP.INDEX.
        task: String,
        /// Number of the task's start.
        attempt: u64,
        /// How it had ended, in the platform's word.
        how: &'static str,
    },
}

/// Hears what workers do, in the order in which they do it.
pub trait Observer: Clone + Debug + Send + Sync + 'static {
    /// Takes in what one worker, named by its id, shows.
    fn observe(&self, worker: &str, observation: Observation);
}

/// Hears nothing.
impl Observer for () {
    fn observe(&self, _worker: &str, _observation: Observation) {}
}
